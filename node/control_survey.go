package node

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// survey asks the instances of the group how far they are, all after the
// fence, so that nothing acknowledged can be newer than the answers.
func (c *Control) survey(s catalog.Service, f *failover) {
	// The last answer may say no more than that an upstream is silent: what the
	// others said must be weighed before it is dropped for a new survey.
	if c.decide(s, f) {
		return
	}
	if f.surveyAt <= c.now && len(f.surveys) == 0 {
		c.askAll(s, f)
		return
	}
	if len(f.surveys) > 0 && f.surveyEnds <= c.now {
		f.surveys = map[uint64]catalog.InstanceID{}
		f.surveyAt = c.now.Add(surveyAgain)
	}
}

func (c *Control) askAll(s catalog.Service, f *failover) {
	f.answers = map[catalog.InstanceID]Surveyed{}
	f.surveyEnds = c.now.Add(c.surveyTime())
	f.surveyAt = c.now.Add(surveyAgain)
	for _, u := range c.instancesOf(s.ID) {
		f.surveys[c.askUpstream(u, f.surveyEnds)] = u.announcement.Instance
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
	if !c.isSurveySufficient(s, f, old) {
		return c.abandonPlan(s, f)
	}
	target := c.choose(s, f, old)
	if target == "" {
		return c.abandonPlan(s, f)
	}
	f.target, f.oldPrimary = target, old
	c.proposeElection(s, f)
	return true
}

// elect has the target agreed on as the next primary.
func (c *Control) proposeElection(s catalog.Service, f *failover) {
	c.enter(s, f, phaseElect)
	if !c.propose(registry.Change{Elect: &registry.ElectPrimary{Service: s.ID, Epoch: f.epoch + 1, Instance: f.target}}, 0) {
		delete(c.failovers, s.ID)
	}
}

// answersNeeded is the least number of eligible answers to elect by: one, or
// under replicated so many that every majority of the group has one among them.
func answersNeeded(s catalog.Service) int {
	if s.Ack != catalog.AckReplicated {
		return 1
	}
	return s.Instances - (s.Instances/2 + 1) + 1
}

// holdsWrites reports whether one of the eligible answers surely holds every
// acknowledged write that the service's replicas must hold. Such a write is at
// the primary and at SyncReplicas of the others, whichever they are.
func (c *Control) holdsWrites(s catalog.Service, f *failover, old catalog.InstanceID) bool {
	if s.SyncReplicas == 0 {
		return true
	}
	replicas, answers := 0, 0
	for _, u := range c.instancesOf(s.ID) {
		if u.announcement.Instance != old && c.mayHoldWrites(u) {
			replicas++
		}
	}
	for _, id := range c.eligible(s, f) {
		switch {
		case id != old:
			answers++
		case f.answers[id].Role == catalog.RolePrimary:
			return true
		}
	}
	return answers > max(replicas, answers)-s.SyncReplicas
}

// mayHoldWrites reports whether an upstream may have been sent writes that no
// other replica has received. One that is long silent is not waited for, since
// the others have received since what it held.
func (c *Control) mayHoldWrites(u *upstreamView) bool {
	return c.now.Before(max(u.heardAt, c.graceEnds).Add(holdsWritesFor))
}

// holdsWritesFor is how long a silent replica is waited for: longer than a cut
// between it and control, or than a restart, is expected to last.
const holdsWritesFor = 15 * time.Second

// enoughAnswers reports whether a write that replicas hold can't be missed by
// the eligible answers, and whether no better answer can be expected soon.
func (c *Control) enoughAnswers(s catalog.Service, f *failover, old catalog.InstanceID) bool {
	if f.plan != planFirst && (len(c.eligible(s, f)) < answersNeeded(s) || !c.holdsWrites(s, f, old)) {
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
	term := c.state.Primary(s.ID).Term
	if a, ok := f.answers[old]; ok && a.Role == catalog.RolePrimary && a.Position.Term >= term {
		return old
	}
	best := catalog.InstanceID("")
	for _, id := range c.eligible(s, f) {
		if best == "" || f.answers[best].PromotionPosition().Less(f.answers[id].PromotionPosition()) {
			best = id
		}
	}
	return best
}

// eligible lists the instances that answered and could lead the group, in
// order. A primary of an older term was left behind: it can't begin a term
// before it has followed, so what only it holds must not be counted on.
func (c *Control) eligible(s catalog.Service, f *failover) []catalog.InstanceID {
	term := c.state.Primary(s.ID).Term
	var ids []catalog.InstanceID
	for _, id := range slices.Sorted(maps.Keys(f.answers)) {
		a := f.answers[id]
		isPrimary := a.Role == catalog.RolePrimary
		if f.plan == planFirst && !isPrimary || isPrimary && a.Position.Term < term {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// chooseCaughtUp picks a replica that holds everything the old primary has.
func (c *Control) chooseCaughtUp(f *failover, old catalog.InstanceID) catalog.InstanceID {
	from, ok := f.answers[old]
	if !ok {
		return ""
	}
	for _, id := range slices.Sorted(maps.Keys(f.answers)) {
		u := c.upstreams[id]
		if id == old || u == nil || !c.isUsable(u) || (f.target != "" && id != f.target) {
			continue
		}
		if a := f.answers[id].PromotionPosition(); a.Term == from.Position.Term && a.Offset >= from.Position.Offset {
			return id
		}
	}
	return ""
}

func (c *Control) surveyTime() time.Duration {
	if c.options.SurveyTime > 0 {
		return c.options.SurveyTime
	}
	return surveyTime
}
