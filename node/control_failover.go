package node

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// plan says why a primary is changed.
type plan uint8

const (
	planNone    plan = iota // the primary is gone
	planFirst               // the service has none yet
	planLeaving             // the primary asked to leave, or is drained
	planSwitch              // an operator asked
)

// phase is the step that a change of primary has reached.
type phase uint8

const (
	phaseFence phase = iota
	phaseSurvey
	phaseElect
	phasePromote
	phaseConfirm
)

var phaseNames = [...]string{"fence", "survey", "elect", "promote", "confirm"}

const (
	revokeEvery    = 50 * time.Millisecond
	surveyTime     = 150 * time.Millisecond
	surveyAgain    = 30 * time.Millisecond
	promoteTime    = 2 * time.Second
	promoteTries   = 3
	electTime      = time.Second
	catchUpTime    = 2 * time.Second
	switchFailText = "The replica did not catch up. The primary stays; try again when it lags less."
)

// failover is one change of primary in progress, planned or not.
type failover struct {
	plan  plan
	phase phase
	// epoch is the one being replaced up to phaseElect, the new one after.
	epoch  catalog.Epoch
	target catalog.InstanceID
	// from is the primary that is replaced.
	from      catalog.InstanceID
	startedAt catalog.Instant
	phaseAt   catalog.Instant
	// revokeAt is when revokes are sent again.
	revokeAt catalog.Instant
	// surveyAt is when the next survey starts, surveyEnds when the present
	// one is over.
	surveyAt   catalog.Instant
	surveyEnds catalog.Instant
	// surveys maps the numbers of open questions to the instance asked.
	surveys map[uint64]catalog.InstanceID
	// answers are those given in the present survey, all after the fence.
	answers map[catalog.InstanceID]Surveyed
	// giveUpAt ends the wait for a replica to catch up, for planned changes.
	giveUpAt catalog.Instant
	// asked is set once Promote was sent in this phase.
	asked bool
	tries int
	// number is the operator's command, zero if none waits.
	number uint64
}

func (c *Control) startFailover(s catalog.Service, p catalog.Primary, why plan, target catalog.InstanceID) *failover {
	f := &failover{plan: why, epoch: p.Epoch, target: target, startedAt: c.now, phaseAt: c.now, giveUpAt: c.now.Add(catchUpTime)}
	c.failovers[s.ID] = f
	c.emit(Count{Name: "failovers", Delta: 1})
	c.log("failover", "A change of primary begins.", "service", string(s.ID), "from", string(p.Instance))
	c.driveFailover(s, f)
	return f
}

func (c *Control) driveFailover(s catalog.Service, f *failover) {
	switch f.phase {
	case phaseFence:
		c.fence(s, f)
	case phaseSurvey:
		c.survey(s, f)
	case phaseElect:
		if f.phaseAt.Add(electTime).Before(c.now) {
			c.enter(s, f, phaseSurvey)
		}
	case phasePromote:
		c.drivePromotion(s, f)
	case phaseConfirm:
		if f.phaseAt.Add(promoteTime).Before(c.now) {
			c.promoteFailed(s, f)
		}
	}
}

func (c *Control) enter(s catalog.Service, f *failover, next phase) {
	if next != f.phase {
		c.emit(Span{Name: "failover-" + phaseNames[f.phase], Service: s.ID, Start: f.phaseAt, End: c.now})
	}
	f.phase, f.phaseAt = next, c.now
	f.surveys, f.answers, f.surveyAt = map[uint64]catalog.InstanceID{}, map[catalog.InstanceID]Surveyed{}, c.now
}

// fence waits until no entry can acknowledge a write of the old epoch.
func (c *Control) fence(s catalog.Service, f *failover) {
	send := f.revokeAt <= c.now
	held := c.now.Before(c.graceEnds)
	for _, vm := range c.holders.names(s.ID) {
		l, ok := c.entries[vm].leases[s.ID]
		if !ok || l.epoch > f.epoch || !c.leaseHeld(l.until, c.now) {
			continue
		}
		held = true
		if send {
			c.emit(SendPeer{To: vm, Message: wire.Message{Revoke: &wire.Revoke{
				Service: s.ID, Epoch: f.epoch, Drain: f.plan == planLeaving || f.plan == planSwitch,
			}}})
		}
	}
	if send {
		f.revokeAt = c.now.Add(revokeEvery)
	}
	if held {
		return
	}
	c.enter(s, f, phaseSurvey)
	c.survey(s, f)
}

// fenced notes that an entry gave up its lease.
func (c *Control) fenced(m wire.Fenced) {
	v := c.entries[m.VM]
	if !c.leading || v == nil || m.Life != v.life {
		return
	}
	if l, ok := v.leases[m.Service]; ok && l.epoch <= m.Epoch {
		delete(v.leases, m.Service)
		c.holders.remove(m.Service, m.VM)
	}
	if s, ok := c.state.Service(m.Service); ok {
		if f := c.failovers[m.Service]; f != nil && f.phase == phaseFence {
			c.driveFailover(s, f)
		}
	}
}

// survey asks the instances of the group how far they are, all after the
// fence, so that nothing acknowledged can be newer than the answers.
func (c *Control) survey(s catalog.Service, f *failover) {
	if f.surveyAt <= c.now && len(f.surveys) == 0 {
		c.askAll(s, f)
	}
	if c.decide(s, f) {
		return
	}
	if len(f.surveys) > 0 && f.surveyEnds <= c.now {
		f.surveys = map[uint64]catalog.InstanceID{}
		f.surveyAt = c.now.Add(surveyAgain)
	}
}

func (c *Control) askAll(s catalog.Service, f *failover) {
	f.answers = map[catalog.InstanceID]Surveyed{}
	f.surveyEnds = c.now.Add(surveyTime)
	f.surveyAt = c.now.Add(surveyAgain)
	for _, u := range c.instancesOf(s.ID) {
		c.surveys++
		f.surveys[c.surveys] = u.said.Instance
		c.emit(Survey{
			Survey: c.surveys, Service: s.ID, Instance: u.said.Instance,
			Address: u.said.Address, Deadline: f.surveyEnds,
		})
	}
}

func (c *Control) surveyed(v Surveyed) {
	for id, f := range c.failovers {
		if f.surveys[v.Survey] != v.Instance || f.phase != phaseSurvey {
			continue
		}
		delete(f.surveys, v.Survey)
		if v.Evidence == wire.EvidenceAlive {
			f.answers[v.Instance] = v
		}
		if s, ok := c.state.Service(id); ok {
			c.survey(s, f)
		}
		return
	}
}

// decide elects the next primary if enough is known. It reports whether the
// phase is over.
func (c *Control) decide(s catalog.Service, f *failover) bool {
	old := c.state.Primary(s.ID).Instance
	if !c.enough(s, f, old) {
		return c.abandonPlan(s, f)
	}
	target := c.choose(s, f, old)
	if target == "" {
		return c.abandonPlan(s, f)
	}
	c.enter(s, f, phaseElect)
	f.target, f.from = target, old
	if !c.propose(registry.Change{Elect: &registry.Elect{Service: s.ID, Epoch: f.epoch + 1, Instance: target}}, 0) {
		delete(c.failovers, s.ID)
	}
	return true
}

// answersNeeded is the least number of answers to elect by: one, or under
// replicated so many that every majority of the group has one among them.
func answersNeeded(s catalog.Service) int {
	if s.Ack != catalog.AckReplicated {
		return 1
	}
	return s.Instances - (s.Instances/2 + 1) + 1
}

// enoughAnswers reports whether every majority of the group has a member among
// the answers, so that a replicated write can't be missed, and whether no
// better answer can be expected soon.
func (c *Control) enoughAnswers(s catalog.Service, f *failover, old catalog.InstanceID) bool {
	if len(f.answers) < answersNeeded(s) {
		return false
	}
	if f.surveyEnds <= c.now {
		return true
	}
	for _, id := range f.surveys {
		if id != old {
			return false
		}
	}
	return true
}

// choose picks the next primary among the answers.
func (c *Control) choose(s catalog.Service, f *failover, old catalog.InstanceID) catalog.InstanceID {
	switch f.plan {
	case planSwitch, planLeaving:
		return c.chooseCaughtUp(f, old)
	}
	if a, ok := f.answers[old]; ok && a.Role == catalog.RolePrimary && a.Position.Term >= c.state.Primary(s.ID).Term {
		return old
	}
	var ids []catalog.InstanceID
	for id, a := range f.answers {
		if id == old || (f.plan == planFirst && a.Role != catalog.RolePrimary) {
			continue
		}
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	best := catalog.InstanceID("")
	for _, id := range ids {
		if best == "" || f.answers[best].Held().Less(f.answers[id].Held()) {
			best = id
		}
	}
	return best
}

// chooseCaughtUp picks a replica that holds everything the old primary has.
func (c *Control) chooseCaughtUp(f *failover, old catalog.InstanceID) catalog.InstanceID {
	from, ok := f.answers[old]
	if !ok {
		return ""
	}
	var ids []catalog.InstanceID
	for id := range f.answers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		u := c.upstreams[id]
		if id == old || u == nil || !c.usable(u) || (f.target != "" && id != f.target) {
			continue
		}
		if a := f.answers[id].Held(); a.Term == from.Position.Term && a.Offset >= from.Position.Offset {
			return id
		}
	}
	return ""
}

// abandonPlan ends a planned change that takes too long: the old primary is
// elected again, or, if it is gone, the change goes on as an unplanned one.
func (c *Control) abandonPlan(s catalog.Service, f *failover) bool {
	planned := f.plan == planSwitch || f.plan == planLeaving
	if !planned || c.now.Before(f.giveUpAt) {
		return false
	}
	if f.number != 0 {
		c.emit(OperatorAnswer{Number: f.number, Reply: Reply{Code: ReplyConflict, Version: c.state.Version, Text: switchFailText}})
		f.number = 0
	}
	f.plan, f.target = planNone, ""
	return false
}

// promote makes the elected instance a primary, once it was heard of.
func (c *Control) promote(s catalog.Service, f *failover) {
	c.enter(s, f, phasePromote)
	u := c.upstreams[f.target]
	f.asked = u != nil
	if u == nil {
		return
	}
	f.tries++
	c.emit(Promote{
		Service: s.ID, Instance: f.target, Address: u.said.Address,
		Epoch: f.epoch, After: c.state.Primary(s.ID).Term, Deadline: c.now.Add(promoteTime),
	})
}

// drivePromotion looks after a promotion that is not answered, or that a new
// leader takes over before it has heard of the instance.
func (c *Control) drivePromotion(s catalog.Service, f *failover) {
	switch {
	case !f.asked && c.upstreams[f.target] != nil:
		c.promote(s, f)
	case !f.asked && f.phaseAt.Add(c.options.Timings.Suspect).Before(c.now):
		f.tries = promoteTries
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
	if v.Position.Term <= before && v.Instance != f.from {
		c.emit(Log{Level: LevelError, Part: "failover", Text: "An upstream used a term again.", Pairs: []string{"instance", string(v.Instance)}})
		f.tries = promoteTries
		c.promoteFailed(s, f)
		return
	}
	c.enter(s, f, phaseConfirm)
	fork := catalog.Fork{}
	if before != 0 && v.Position.Term > before {
		fork = catalog.Fork{Term: v.Position.Term, At: v.Position.Offset}
	}
	c.propose(registry.Change{Ready: &registry.Ready{
		Service: s.ID, Epoch: v.Epoch, Term: v.Position.Term, Fork: fork,
	}}, 0)
}

// promoteFailed tries again, or looks for another instance.
func (c *Control) promoteFailed(s catalog.Service, f *failover) {
	if f.tries < promoteTries {
		c.promote(s, f)
		return
	}
	c.log("failover", "A promotion failed.", "service", string(s.ID), "instance", string(f.target))
	f.tries, f.plan, f.target = 0, planNone, ""
	c.enter(s, f, phaseSurvey)
}
