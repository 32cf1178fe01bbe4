package node

import (
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
)

// promote makes the elected instance a primary, once it was heard of.
func (c *Control) promote(s catalog.Service, f *failover) {
	c.enter(s, f, phasePromote)
	u := c.upstreams[f.target]
	f.promoteSent = u != nil
	if u == nil {
		return
	}
	f.attempts++
	c.emit(Promote{
		Service: s.ID, Instance: f.target, Address: u.announcement.Address,
		Epoch: f.epoch, After: c.state.Primary(s.ID).Term, Deadline: c.now.Add(promoteTime),
	})
}

// drivePromotion looks after a promotion that is not answered, or that a new
// leader takes over before it has heard of the instance.
func (c *Control) drivePromotion(s catalog.Service, f *failover) {
	switch {
	case !f.promoteSent && c.upstreams[f.target] != nil:
		c.promote(s, f)
	case !f.promoteSent && f.phaseAt.Add(c.options.Timings.SuspectTimeout).Before(c.now):
		f.attempts = c.promoteTries()
		c.promoteFailed(s, f)
	case f.phaseAt.Add(promoteTime).Before(c.now):
		c.promoteFailed(s, f)
	}
}

func (c *Control) promoted(v Promoted) {
	f := c.failovers[v.Service]
	s, ok := c.state.Service(v.Service)
	if f == nil || !ok || f.phase != phasePromote || f.target != v.Instance || f.epoch != v.Epoch {
		return
	}
	if !v.OK {
		c.promoteFailed(s, f)
		return
	}
	before := c.state.Primary(s.ID).Term
	if v.Position.Term <= before && v.Instance != f.oldPrimary {
		c.emit(Log{Level: LevelError, Part: "failover", Text: "An upstream used a term again.", Pairs: []string{"instance", string(v.Instance)}})
		f.attempts = c.promoteTries()
		c.promoteFailed(s, f)
		return
	}
	c.enter(s, f, phaseConfirm)
	fork := catalog.Fork{}
	if before != 0 && v.Position.Term > before {
		fork = catalog.Fork{Term: v.Position.Term, At: v.Position.Offset}
	}
	c.propose(registry.Change{Ready: &registry.PrimaryReady{
		Service: s.ID, Epoch: v.Epoch, Term: v.Position.Term, Fork: fork,
	}}, 0)
}

// promoteFailed tries again, or looks for another instance.
func (c *Control) promoteFailed(s catalog.Service, f *failover) {
	if f.attempts < c.promoteTries() {
		c.promote(s, f)
		return
	}
	c.log("failover", "A promotion failed.", "service", string(s.ID), "instance", string(f.target))
	f.attempts, f.plan, f.target = 0, planNone, ""
	c.enter(s, f, phaseSurvey)
}

func (c *Control) promoteTries() int {
	if c.options.PromoteTries > 0 {
		return c.options.PromoteTries
	}
	return promoteTries
}
