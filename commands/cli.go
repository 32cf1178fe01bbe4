package commands

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

const changeIDBytes = 8

// CLI holds the options, streams and client that all commands share.
type CLI struct {
	Options Options
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	// Getenv returns the value of an environment variable, as os.Getenv does.
	Getenv func(string) string
	// NewChangeID returns a new unique change id.
	NewChangeID func() catalog.ChangeID
	// onNewClient, if not nil, is called with the client before its first use.
	onNewClient  func(*Client)
	cachedClient *Client
}

// NewCLI returns a CLI with the process's output streams and environment, and
// with random change ids.
func NewCLI() *CLI {
	return &CLI{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, NewChangeID: newChangeID}
}

func newChangeID() catalog.ChangeID {
	id := make([]byte, changeIDBytes)
	// Read never returns an error. If there is no randomness, the runtime
	// crashes the process.
	_, _ = rand.Read(id)
	return catalog.ChangeID(hex.EncodeToString(id))
}

// Run parses a command line without the program name, runs the command and
// returns the exit code.
func (cli *CLI) Run(args []string) ExitCode {
	p := flags.NewNamedParser("kingcupknot", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operate a kingcupknot system"
	if _, err := p.AddGroup("Global options", "", &cli.Options); err != nil {
		return cli.reportError(err)
	}
	if err := addCommands(p, cli); err != nil {
		return cli.reportError(err)
	}
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if c == nil {
			return nil
		}
		if len(rest) > 0 {
			return usageError(fmt.Sprintf("argument %q is one too many", rest[0]))
		}
		if err := cli.Options.resolve(cli.Getenv); err != nil {
			return err
		}
		return c.Execute(rest)
	}
	if _, err := p.ParseArgs(args); err != nil {
		return cli.reportError(err)
	}
	return ExitOK
}

// reportError prints an error and returns its exit code.
func (cli *CLI) reportError(err error) ExitCode {
	var flag *flags.Error
	if errors.As(err, &flag) {
		if flag.Type == flags.ErrHelp {
			fmt.Fprintln(cli.Stdout, flag.Message)
			return ExitOK
		}
		err = usageError(flag.Message)
	}
	var f *Failure
	if !errors.As(err, &f) {
		f = &Failure{Exit: ExitFailed, Text: err.Error()}
	}
	if f == errPrinted {
		return f.Exit
	}
	if cli.Options.JSON {
		cli.printJSON(f)
		return f.Exit
	}
	fmt.Fprintf(cli.Stderr, "kingcupknot: %s\n", f.Text)
	if f.Next != "" {
		fmt.Fprintf(cli.Stderr, "next: %s\n", f.Next)
	}
	if f.ChangeID != "" {
		fmt.Fprintf(cli.Stderr, "change-id: %s\n", f.ChangeID)
	}
	return f.Exit
}

// send sends a command and prints the reply, either as JSON or by calling show.
func (cli *CLI) send(c node.Command, show func(node.Reply)) error {
	r, err := cli.request(c)
	if err != nil {
		return err
	}
	if cli.Options.JSON {
		cli.printJSON(r)
		return nil
	}
	show(r)
	return nil
}

// request sends a command and returns the reply. If the reply's code is not ok,
// the error is a *Failure. A command that changes something gets the change id
// and the expected version from the options, or a new change id if the options
// have none.
func (cli *CLI) request(c node.Command) (node.Reply, error) {
	if isChange(c) {
		c.Change, c.IfVersion = cli.Options.ChangeID, cli.Options.IfVersion
		if c.Change == "" {
			c.Change = cli.NewChangeID()
		}
	}
	r, err := cli.client().Do(context.Background(), c)
	if err != nil {
		return r, err
	}
	if f := replyFailure(c, r); f != nil {
		return r, f
	}
	return r, nil
}

// sendChange sends a command that changes something and prints the resulting
// version.
func (cli *CLI) sendChange(c node.Command) error {
	return cli.send(c, func(r node.Reply) {
		fmt.Fprintf(cli.Stdout, "version %d: %s\n", r.Version, textOr(r.Text, "done"))
	})
}

func (cli *CLI) client() *Client {
	if cli.cachedClient != nil {
		return cli.cachedClient
	}
	cli.cachedClient = NewClient(cli.Options.Addresses, cli.Options.Timeout)
	if cli.onNewClient != nil {
		cli.onNewClient(cli.cachedClient)
	}
	return cli.cachedClient
}

func (cli *CLI) printJSON(v any) {
	e := json.NewEncoder(cli.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		fmt.Fprintf(cli.Stderr, "kingcupknot: %s\n", err)
	}
}

// isChange reports whether a command may change the state of the system.
func isChange(c node.Command) bool {
	return !c.IsQuery()
}
