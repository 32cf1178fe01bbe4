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

const changeBytes = 8

// Desk is what all commands share.
type Desk struct {
	Options Options
	Stdout  io.Writer
	Stderr  io.Writer
	// Getenv reads the environment.
	Getenv func(string) string
	// Draw makes a new change id.
	Draw func() catalog.ChangeID
	// clientMade, if not nil, may change the client before its first use.
	clientMade func(*Client)
	made       *Client
}

// NewDesk returns a desk on the process's own output and environment.
func NewDesk() *Desk {
	return &Desk{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Draw: drawChange}
}

func drawChange() catalog.ChangeID {
	id := make([]byte, changeBytes)
	// Read never fails: the runtime ends the process instead.
	_, _ = rand.Read(id)
	return catalog.ChangeID(hex.EncodeToString(id))
}

// Run parses a command line, runs its command and returns the exit code.
func (d *Desk) Run(args []string) ExitCode {
	p := flags.NewNamedParser("kingcupknot", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operate a kingcupknot system"
	if _, err := p.AddGroup("Global options", "", &d.Options); err != nil {
		return d.fail(err)
	}
	if err := addCommands(p, d); err != nil {
		return d.fail(err)
	}
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if c == nil {
			return nil
		}
		if len(rest) > 0 {
			return usage(fmt.Sprintf("argument %q is one too many", rest[0]))
		}
		if err := d.Options.resolve(d.Getenv); err != nil {
			return err
		}
		return c.Execute(rest)
	}
	if _, err := p.ParseArgs(args); err != nil {
		return d.fail(err)
	}
	return ExitOK
}

// fail reports an error and returns the exit code that stands for it.
func (d *Desk) fail(err error) ExitCode {
	var flag *flags.Error
	if errors.As(err, &flag) {
		if flag.Type == flags.ErrHelp {
			fmt.Fprintln(d.Stdout, flag.Message)
			return ExitOK
		}
		err = usage(flag.Message)
	}
	var f *Failure
	if !errors.As(err, &f) {
		f = &Failure{Exit: ExitFailed, Text: err.Error()}
	}
	if f == errShown {
		return f.Exit
	}
	if d.Options.JSON {
		d.printJSON(f)
		return f.Exit
	}
	fmt.Fprintf(d.Stderr, "kingcupknot: %s\n", f.Text)
	if f.Next != "" {
		fmt.Fprintf(d.Stderr, "next: %s\n", f.Next)
	}
	if f.ChangeID != "" {
		fmt.Fprintf(d.Stderr, "change-id: %s\n", f.ChangeID)
	}
	return f.Exit
}

// send sends a command and shows the reply, by show or as JSON.
func (d *Desk) send(c node.Command, show func(node.Reply)) error {
	r, err := d.ask(c)
	if err != nil {
		return err
	}
	if d.Options.JSON {
		d.printJSON(r)
		return nil
	}
	show(r)
	return nil
}

// ask sends a command and returns the reply if it is a good one.
func (d *Desk) ask(c node.Command) (node.Reply, error) {
	if changes(c) {
		c.Change, c.IfVersion = d.Options.ChangeID, d.Options.IfVersion
		if c.Change == "" {
			c.Change = d.Draw()
		}
	}
	r, err := d.client().Do(context.Background(), c)
	if err != nil {
		return r, err
	}
	if f := judge(c, r); f != nil {
		return r, f
	}
	return r, nil
}

// change sends a changing command and shows what became of it.
func (d *Desk) change(c node.Command) error {
	return d.send(c, func(r node.Reply) {
		fmt.Fprintf(d.Stdout, "version %d: %s\n", r.Version, orText(r.Text, "done"))
	})
}

func (d *Desk) client() *Client {
	if d.made != nil {
		return d.made
	}
	d.made = NewClient(d.Options.Addresses, d.Options.Timeout)
	if d.clientMade != nil {
		d.clientMade(d.made)
	}
	return d.made
}

func (d *Desk) printJSON(v any) {
	e := json.NewEncoder(d.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		fmt.Fprintf(d.Stderr, "kingcupknot: %s\n", err)
	}
}

// changes reports whether a command may change something.
func changes(c node.Command) bool {
	return c.Status == nil && c.History == nil && c.Settings == nil
}
