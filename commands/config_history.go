package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("config history", "List the accepted changes, newest first", func(d *CLI) flags.Commander {
		return &configHistory{desk: d}
	})
}

type configHistory struct {
	desk  *CLI
	Limit int `long:"limit" default:"20" description:"how many changes to list"`
}

// Execute lists the changes.
func (c *configHistory) Execute([]string) error {
	q := &node.HistoryQuery{Limit: c.Limit}
	return c.desk.send(node.Command{History: q}, func(r node.Reply) {
		t := newSheet(c.desk.Stdout, "VERSION", "CHANGE-ID", "TEXT")
		for _, h := range r.History {
			t.row(h.Version, h.Change, h.Text)
		}
		t.end()
	})
}
