package commands

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("status", "Show the state of the system", func(d *CLI) flags.Commander {
		return &status{desk: d}
	})
}

type status struct {
	desk *CLI
}

// Execute shows the state as the control leader sees it.
func (c *status) Execute([]string) error {
	return c.desk.sendStatus(func(s *node.Status) {
		w := c.desk.Stdout
		fmt.Fprintf(w, "leader %s, version %d\n\n", s.Leader, s.Version)
		c.desk.showMembers(s)
		fmt.Fprintln(w)
		c.desk.showServices(s)
		fmt.Fprintln(w)
		c.desk.showEntries(s)
		fmt.Fprintln(w)
		c.desk.showUpstreams(s)
	})
}

// sendStatus asks for the status and shows a part of it.
func (d *CLI) sendStatus(show func(*node.Status)) error {
	return d.send(node.Command{Status: &node.StatusQuery{}}, func(r node.Reply) {
		if r.Status == nil {
			r.Status = &node.Status{}
		}
		show(r.Status)
	})
}

func (d *CLI) showMembers(s *node.Status) {
	t := newSheet(d.Stdout, "CONTROL", "INCARNATION", "VOTER", "REACHABLE", "CAUGHT-UP", "LEADER")
	for _, m := range s.Members {
		t.row(m.VM, m.Incarnation, m.Voter, m.Reachable, m.CaughtUp, m.VM == s.Leader)
	}
	t.end()
}

func (d *CLI) showServices(s *node.Status) {
	t := newSheet(d.Stdout, "SERVICE", "PRIMARY", "READY", "EPOCH", "TERM", "PHASE")
	for _, v := range s.Services {
		p := v.Primary
		t.row(v.Service.ID, p.Instance, p.Ready, p.Epoch, p.Term, v.Phase)
	}
	t.end()
}

func (d *CLI) showEntries(s *node.Status) {
	t := newSheet(d.Stdout, "ENTRY", "SITE", "VERSION", "SEEN")
	for _, e := range s.Entries {
		t.row(e.VM, e.Site, e.Settings, e.ReportAge)
	}
	t.end()
}

func (d *CLI) showUpstreams(s *node.Status) {
	t := newSheet(d.Stdout, "UPSTREAM", "SERVICE", "SITE", "ADDRESS", "ROLE", "POSITION",
		"HEARD", "LEAVING", "DRAINING", "GRANTED")
	for _, u := range s.Upstreams {
		a := u.Announcement
		t.row(a.Instance, a.Service, a.Site, a.Address, a.Role, a.Position,
			u.AnnouncementAge, a.Leaving, u.Draining, u.Granted)
	}
	t.end()
}
