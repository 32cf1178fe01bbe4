package commands

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/settings"
)

func init() {
	register("config check", "Check a base file with its overlays", func(d *CLI) flags.Commander {
		return &configCheck{desk: d}
	})
}

type configCheck struct {
	desk *CLI
	Args struct {
		Base     string   `positional-arg-name:"BASE" required:"yes"`
		Overlays []string `positional-arg-name:"OVERLAY"`
	} `positional-args:"yes"`
}

// Execute prints all findings. It needs no running system.
func (c *configCheck) Execute([]string) error {
	_, all := settings.LoadAll(c.Args.Base, c.Args.Overlays)
	if len(all) > 0 {
		return c.desk.showFindings(all)
	}
	if c.desk.Options.JSON {
		c.desk.printJSON(settings.Findings{})
		return nil
	}
	fmt.Fprintln(c.desk.Stdout, "no findings")
	return nil
}

// showFindings prints findings and returns the failure that stands for them.
func (d *CLI) showFindings(f settings.Findings) error {
	if d.Options.JSON {
		d.printJSON(f)
		return errShown
	}
	for _, g := range f {
		fmt.Fprintln(d.Stdout, g)
	}
	return &Failure{
		Exit: ExitFailed,
		Text: fmt.Sprintf("the settings have %d findings", len(f)),
		Next: "correct the files; docs/operators/settings.md describes every key",
	}
}
