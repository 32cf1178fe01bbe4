package commands

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("status", "Show the state of the system", func(cli *CLI) flags.Commander {
		return &status{cli: cli}
	})
}

type status struct {
	cli *CLI
}

// Execute prints the state of the system as the control leader reports it.
func (c *status) Execute([]string) error {
	return c.cli.sendStatus(func(s *node.Status) {
		w := c.cli.Stdout
		fmt.Fprintf(w, "leader %s, version %d\n\n", s.Leader, s.Version)
		c.cli.showMembers(s)
		fmt.Fprintln(w)
		c.cli.showServices(s)
		fmt.Fprintln(w)
		c.cli.showEntries(s)
		fmt.Fprintln(w)
		c.cli.showUpstreams(s)
	})
}

// sendStatus requests the status and prints it as JSON or by calling show.
func (cli *CLI) sendStatus(show func(*node.Status)) error {
	return cli.send(node.Command{Status: &node.StatusQuery{}}, func(r node.Reply) {
		if r.Status == nil {
			r.Status = &node.Status{}
		}
		show(r.Status)
	})
}

func (cli *CLI) showMembers(s *node.Status) {
	t := newTable(cli.Stdout, "CONTROL", "INCARNATION", "VOTER", "REACHABLE", "CAUGHT-UP", "LEADER")
	for _, m := range s.Members {
		t.addRow(m.VM, m.Incarnation, m.Voter, m.Reachable, m.CaughtUp, m.VM == s.Leader)
	}
	t.flush()
}

func (cli *CLI) showServices(s *node.Status) {
	t := newTable(cli.Stdout, "SERVICE", "PRIMARY", "READY", "EPOCH", "TERM", "PHASE")
	for _, v := range s.Services {
		p := v.Primary
		t.addRow(v.Service.ID, p.Instance, p.Ready, p.Epoch, p.Term, v.Phase)
	}
	t.flush()
}

func (cli *CLI) showEntries(s *node.Status) {
	t := newTable(cli.Stdout, "ENTRY", "SITE", "VERSION", "SEEN")
	for _, e := range s.Entries {
		t.addRow(e.VM, e.Site, e.Settings, e.ReportAge)
	}
	t.flush()
}

func (cli *CLI) showUpstreams(s *node.Status) {
	t := newTable(cli.Stdout, "UPSTREAM", "SERVICE", "SITE", "ADDRESS", "ROLE", "POSITION",
		"HEARD", "LEAVING", "DRAINING", "GRANTED")
	for _, u := range s.Upstreams {
		a := u.Announcement
		t.addRow(a.Instance, a.Service, a.Site, a.Address, a.Role, a.Position,
			u.AnnouncementAge, a.Leaving, u.Draining, u.Granted)
	}
	t.flush()
}
