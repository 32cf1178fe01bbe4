package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("config history", "List the accepted changes, newest first", func(cli *CLI) flags.Commander {
		return &configHistory{cli: cli}
	})
}

type configHistory struct {
	cli   *CLI
	Limit int `long:"limit" default:"20" description:"how many changes to list"`
}

// Execute lists the accepted changes, newest first.
func (c *configHistory) Execute([]string) error {
	q := &node.HistoryQuery{Limit: c.Limit}
	return c.cli.send(node.Command{History: q}, func(r node.Reply) {
		t := newTable(c.cli.Stdout, "VERSION", "CHANGE-ID", "TEXT")
		for _, h := range r.History {
			t.addRow(h.Version, h.Change, h.Text)
		}
		t.flush()
	})
}
