package commands

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/settings"
)

func init() {
	register("config check", "Check a base file with its overlays", func(cli *CLI) flags.Commander {
		return &configCheck{cli: cli}
	})
}

type configCheck struct {
	cli  *CLI
	Args struct {
		Base     string   `positional-arg-name:"BASE" required:"yes"`
		Overlays []string `positional-arg-name:"OVERLAY"`
	} `positional-args:"yes"`
}

// Execute checks the files and prints all findings. It sends nothing to the
// system.
func (c *configCheck) Execute([]string) error {
	_, all := settings.LoadAll(c.Args.Base, c.Args.Overlays)
	if len(all) > 0 {
		return c.cli.showFindings(all)
	}
	if c.cli.Options.JSON {
		c.cli.printJSON(settings.Findings{})
		return nil
	}
	fmt.Fprintln(c.cli.Stdout, "no findings")
	return nil
}

// showFindings prints findings and returns the error for the exit code.
func (cli *CLI) showFindings(f settings.Findings) error {
	if cli.Options.JSON {
		cli.printJSON(f)
		return errPrinted
	}
	for _, g := range f {
		fmt.Fprintln(cli.Stdout, g)
	}
	return &Failure{
		Exit: ExitFailed,
		Text: fmt.Sprintf("the settings have %d findings", len(f)),
		Next: "correct the files; docs/operators/settings.md describes every key",
	}
}
