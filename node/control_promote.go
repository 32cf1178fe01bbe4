package node

import (
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
)

// startPromotion promotes the elected instance. If the instance has not
// announced itself to this leader yet, advancePromotion sends Promote later.
func (c *Control) startPromotion(s catalog.Service, f *failover) {
	c.enterPhase(s, f, phasePromote)
	u := c.upstreams[f.target]
	f.promoteSent = u != nil
	if u == nil {
		return
	}
	f.attempts++
	c.emit(Promote{
		Service: s.ID, Instance: f.target, Address: u.announcement.Address,
		Epoch: f.epoch, After: c.state.Primary(s.ID).Term, Deadline: c.now.Add(promoteTimeout),
	})
}

// advancePromotion retries a promotion that timed out. If Promote was not sent
// because the instance was unknown to this leader, advancePromotion sends it
// once the instance announces itself, and gives up on the instance if that
// takes longer than SuspectTimeout.
func (c *Control) advancePromotion(s catalog.Service, f *failover) {
	switch {
	case !f.promoteSent && c.upstreams[f.target] != nil:
		c.startPromotion(s, f)
	case !f.promoteSent && f.phaseStartedAt.Add(c.options.Timings.SuspectTimeout).Before(c.now):
		f.attempts = c.promoteAttempts()
		c.retryPromotion(s, f)
	case f.phaseStartedAt.Add(promoteTimeout).Before(c.now):
		c.retryPromotion(s, f)
	}
}

func (c *Control) handlePromoteDone(v PromoteDone) {
	f := c.failovers[v.Service]
	s, ok := c.state.Service(v.Service)
	if f == nil || !ok || f.phase != phasePromote || f.target != v.Instance || f.epoch != v.Epoch {
		return
	}
	if !v.OK {
		c.retryPromotion(s, f)
		return
	}
	previousTerm := c.state.Primary(s.ID).Term
	if v.Position.Term <= previousTerm && v.Instance != f.oldPrimary {
		c.emit(Log{Level: LevelError, Part: "failover", Text: "An upstream reused a term.", Pairs: []string{"instance", string(v.Instance)}})
		f.attempts = c.promoteAttempts()
		c.retryPromotion(s, f)
		return
	}
	c.confirmPrimary(s, f, v.Position)
}

// adoptPrimary makes the elected instance, which leads the group already, the first
// primary of a service. No promotion of the service was ever requested, so there is
// none that could still be carried out.
func (c *Control) adoptPrimary(s catalog.Service, f *failover) {
	c.confirmPrimary(s, f, f.targetPosition)
}

// confirmPrimary proposes that the elected instance, at the given position, is ready.
func (c *Control) confirmPrimary(s catalog.Service, f *failover, at catalog.Position) {
	c.enterPhase(s, f, phaseConfirm)
	fork := catalog.Fork{}
	if term := c.state.Primary(s.ID).Term; term != 0 && at.Term > term {
		fork = catalog.Fork{Term: at.Term, At: at.Offset}
	}
	c.propose(registry.Change{Ready: &registry.PrimaryReady{
		Service: s.ID, Epoch: f.epoch, Term: at.Term, Fork: fork,
	}}, 0)
}

// retryPromotion promotes the target again, or starts a new survey after the
// last attempt.
func (c *Control) retryPromotion(s catalog.Service, f *failover) {
	if f.attempts < c.promoteAttempts() {
		c.startPromotion(s, f)
		return
	}
	c.log("failover", "A promotion failed.", "service", string(s.ID), "instance", string(f.target))
	f.attempts, f.kind, f.target = 0, failoverUnplanned, ""
	c.enterPhase(s, f, phaseSurvey)
}

func (c *Control) promoteAttempts() int {
	if c.options.PromoteAttempts > 0 {
		return c.options.PromoteAttempts
	}
	return defaultPromoteAttempts
}
