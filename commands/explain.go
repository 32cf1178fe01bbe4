package commands

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("explain", "Say where a request would go at an entry, and why", func(cli *CLI) flags.Commander {
		return &explain{cli: cli}
	})
}

type explain struct {
	cli          *CLI
	Organisation catalog.OrganisationID `long:"organisation" value-name:"ID" description:"organisation of the caller"`
	Floor        string                 `long:"floor" value-name:"TERM.OFFSET" description:"position that a read has to cover"`
	Forwarded    bool                   `long:"forwarded" description:"explain the request as one that another entry has passed on"`
	Args         struct {
		Database string `positional-arg-name:"DATABASE" required:"yes"`
		Kind     string `positional-arg-name:"KIND" description:"read, write, begin or begin-read" required:"yes"`
	} `positional-args:"yes"`
}

// Execute asks an entry where a request would go now. Nothing is sent to an
// upstream.
func (c *explain) Execute([]string) error {
	q := node.ExplainQuery{Database: c.Args.Database, Kind: c.Args.Kind, Organisation: c.Organisation, Forwarded: c.Forwarded}
	if c.Floor != "" {
		floor, err := parsePosition(c.Floor)
		if err != nil {
			return err
		}
		q.Floor = floor
	}
	return c.cli.send(node.Command{Explain: &q}, func(r node.Reply) {
		if r.Explanation != nil {
			c.show(r.Explanation)
		}
	})
}

// parsePosition parses a position in the form TERM.OFFSET.
func parsePosition(text string) (catalog.Position, error) {
	term, offset, _ := strings.Cut(text, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	o, errOffset := strconv.ParseUint(offset, 10, 64)
	if errTerm != nil || errOffset != nil {
		return catalog.Position{}, usageError("floor " + text + " is not a term and an offset, such as 2.160")
	}
	return catalog.Position{Term: catalog.Term(t), Offset: catalog.Offset(o)}, nil
}

func (c *explain) show(x *node.Explanation) {
	out := newTable(c.cli.Stdout, "ABOUT", "STATE")
	e := x.Entry
	out.addRow("entry", fmt.Sprintf("%s in %s, version %d, ready: %s, control answered %s ago", e.VM, e.Site, e.Version, formatCell(e.Ready), formatCell(e.ControlAge)))
	if x.Route == nil {
		out.addRow("route", "unknown")
	} else {
		out.addRow("route", fmt.Sprintf("service %s, reads %v, max-age %v, timeout %v, objective %v, priority %d",
			x.Route.Service, x.Route.Reads, x.Route.MaxAge, x.Route.Timeout, x.Route.Objective, x.Route.Priority))
		c.showDecision(out, x)
	}
	out.addRow("choice", choiceText(x.Choice))
	out.flush()
	if len(x.Upstreams) > 0 {
		fmt.Fprintln(c.cli.Stdout)
		c.showUpstreams(x)
	}
}

func (c *explain) showDecision(out *table, x *node.Explanation) {
	if x.Organisation != nil {
		out.addRow("organisation", organisationText(*x.Organisation))
	}
	f := x.Forwarding
	where := "forwarded"
	if f.Here {
		where = "run here"
	}
	out.addRow("owner", fmt.Sprintf("%s: %s (owners %v)", where, f.Cause, f.Owners))
	s := x.Service
	lease := "no lease"
	if s.LeaseValid {
		lease = fmt.Sprintf("lease for %s more, renewed by the report of %s ago", formatCell(s.LeaseLeft), formatCell(s.LeaseAge))
	}
	out.addRow("primary", fmt.Sprintf("%s, epoch %d, ready: %s, %s", textOr(string(s.Primary), "none"), s.Epoch, formatCell(s.Ready), lease))
	switch {
	case s.FloorKnown:
		out.addRow("floor", s.Floor)
	case strings.HasSuffix(c.Args.Kind, "read") && x.Route.Reads != catalog.ReadsPrimary:
		out.addRow("floor", "unknown: no position of the primary is known from within the maximum age")
	}
	out.addRow("waiting", s.Waiting)
}

func organisationText(o node.ExplainedOrganisation) string {
	if !o.Known {
		return string(o.ID) + " is unknown"
	}
	if o.Standing == nil {
		return fmt.Sprintf("%s, no limit", o.ID)
	}
	verdict := "refused"
	if o.Admitted {
		verdict = "admitted"
	}
	s := o.Standing
	return fmt.Sprintf("%s, limit %g/s and burst %g, here %.1f/s (%s), %.1f tokens of %.1f needed: one more is %s",
		o.ID, o.Rate, o.Burst, s.Rate, s.Basis, s.Tokens, s.Needed, verdict)
}

func choiceText(c node.ExplainedChoice) string {
	switch c.Verdict {
	case node.ExplainRun:
		return "runs at " + string(c.Upstream)
	case node.ExplainForward:
		return fmt.Sprintf("passed on to %s; ask that entry with --forwarded", c.Entry)
	case node.ExplainWait:
		text := "waits: " + c.Cause
		if c.Upstream != "" {
			text += " (" + string(c.Upstream) + ")"
		}
		return text
	}
	text := "refused: " + c.Cause
	if c.RetryAfter > 0 {
		text += fmt.Sprintf("; retry after %s", formatCell(c.RetryAfter))
	}
	if c.Elsewhere {
		text += "; another entry may run it"
	}
	return text
}

func (c *explain) showUpstreams(x *node.Explanation) {
	t := newTable(c.cli.Stdout, "UPSTREAM", "SITE", "ROLE", "POSITION", "AGE", "COVERS", "LAG", "WAIT", "TIME", "COST", "RUNNING", "CONNECTION", "OPEN", "AGAINST")
	for _, u := range x.Upstreams {
		var position, age, lag any = "-", "-", "-"
		if u.PositionKnown {
			position, age = u.Position, u.PositionAge
		}
		if u.LagKnown {
			lag = u.Lag
		}
		connection := "idle"
		if !u.Idle {
			connection = "opens in " + u.OpeningTime.Round(time.Millisecond).String()
		}
		t.addRow(u.Instance, u.Site, u.Role, position, age, u.Covers, lag, u.Wait, u.Time, u.Cost,
			fmt.Sprintf("%d+%d/%d", u.Running, u.Claimed, u.Limit), connection, fmt.Sprintf("%d/%d", u.Open, u.Granted), strings.Join(u.Against, ", "))
	}
	t.flush()
}
