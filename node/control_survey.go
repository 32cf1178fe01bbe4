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
	if c.tryElect(s, f) {
		return
	}
	if f.nextSurveyAt <= c.now && len(f.openSurveys) == 0 {
		c.startSurvey(s, f)
		return
	}
	if len(f.openSurveys) > 0 && f.surveyEndsAt <= c.now {
		f.openSurveys = map[uint64]catalog.InstanceID{}
		f.nextSurveyAt = c.now.Add(surveyRetryDelay)
	}
}

func (c *Control) startSurvey(s catalog.Service, f *failover) {
	f.answers = map[catalog.InstanceID]SurveyDone{}
	f.surveyEndsAt = c.now.Add(c.surveyTimeout())
	f.nextSurveyAt = c.now.Add(surveyRetryDelay)
	for _, u := range c.instancesOf(s.ID) {
		f.openSurveys[c.surveyUpstream(u, f.surveyEndsAt)] = u.announcement.Instance
	}
}

func (c *Control) handleSurveyDone(v SurveyDone) {
	for id, f := range c.failovers {
		if f.openSurveys[v.Survey] != v.Instance || f.phase != phaseSurvey {
			continue
		}
		delete(f.openSurveys, v.Survey)
		if v.Evidence == wire.EvidenceAlive {
			f.answers[v.Instance] = v
		}
		if s, ok := c.state.Service(id); ok {
			c.survey(s, f)
		}
		return
	}
}

// tryElect elects the next primary if enough is known. It reports whether the
// phase is over.
func (c *Control) tryElect(s catalog.Service, f *failover) bool {
	old := c.state.Primary(s.ID).Instance
	if !c.isSurveySufficient(s, f, old) {
		return c.giveUpPlannedChange(s, f)
	}
	target := c.chooseTarget(s, f, old)
	if target == "" {
		return c.giveUpPlannedChange(s, f)
	}
	f.target, f.oldPrimary = target, old
	c.proposeElection(s, f)
	return true
}

// proposeElection has the target agreed on as the next primary.
func (c *Control) proposeElection(s catalog.Service, f *failover) {
	c.enterPhase(s, f, phaseElect)
	if !c.propose(registry.Change{Elect: &registry.Elect{Service: s.ID, Epoch: f.epoch + 1, Instance: f.target}}, 0) {
		delete(c.failovers, s.ID)
	}
}

// minAnswers is the least number of eligible answers to elect by: one, or
// under replicated so many that every majority of the group has one among them.
func minAnswers(s catalog.Service) int {
	if s.Ack != catalog.AckReplicated {
		return 1
	}
	return s.Instances - (s.Instances/2 + 1) + 1
}

// coversSyncWrites reports whether one of the eligible answers surely holds every
// acknowledged write that the service's replicas must hold. Such a write is at
// the primary and at SyncReplicas of the others, whichever they are.
func (c *Control) coversSyncWrites(s catalog.Service, f *failover, old catalog.InstanceID) bool {
	if s.SyncReplicas == 0 {
		return true
	}
	replicas, answers := 0, 0
	for _, u := range c.instancesOf(s.ID) {
		if u.announcement.Instance != old && c.mayHoldLatestWrites(u) {
			replicas++
		}
	}
	for _, id := range c.eligibleInstances(s, f) {
		switch {
		case id != old:
			answers++
		case f.answers[id].Role == catalog.RolePrimary:
			return true
		}
	}
	return answers > max(replicas, answers)-s.SyncReplicas
}

// mayHoldLatestWrites reports whether an upstream may have been sent writes that no
// other replica has received. One that is long silent is not waited for, since
// the others have received since what it held.
func (c *Control) mayHoldLatestWrites(u *upstreamView) bool {
	return c.now.Before(max(u.announcedAt, c.graceEndsAt).Add(silentReplicaWait))
}

// silentReplicaWait is how long a silent replica is waited for: longer than a cut
// between it and control, or than a restart, is expected to last.
const silentReplicaWait = 15 * time.Second

// surveySuffices reports whether a write that replicas hold can't be missed by
// the eligible answers, and whether no better answer can be expected soon.
func (c *Control) surveySuffices(s catalog.Service, f *failover, old catalog.InstanceID) bool {
	if f.kind != failoverBootstrap && (len(c.eligibleInstances(s, f)) < minAnswers(s) || !c.coversSyncWrites(s, f, old)) {
		return false
	}
	if f.surveyEndsAt <= c.now {
		return true
	}
	for _, id := range f.openSurveys {
		if id != old {
			return false
		}
	}
	return true
}

// chooseTarget picks the next primary among the answers.
func (c *Control) chooseTarget(s catalog.Service, f *failover, old catalog.InstanceID) catalog.InstanceID {
	switch f.kind {
	case failoverSwitch, failoverLeaving:
		return c.chooseCaughtUpReplica(f, old)
	}
	term := c.state.Primary(s.ID).Term
	if a, ok := f.answers[old]; ok && a.Role == catalog.RolePrimary && a.Position.Term >= term {
		return old
	}
	best := catalog.InstanceID("")
	for _, id := range c.eligibleInstances(s, f) {
		if best == "" || f.answers[best].PromotionPosition().Less(f.answers[id].PromotionPosition()) {
			best = id
		}
	}
	return best
}

// eligibleInstances lists the instances that answered and could lead the group, in
// order. A primary of an older term was left behind: it can't begin a term
// before it has followed, so what only it holds must not be counted on.
func (c *Control) eligibleInstances(s catalog.Service, f *failover) []catalog.InstanceID {
	term := c.state.Primary(s.ID).Term
	var ids []catalog.InstanceID
	for _, id := range slices.Sorted(maps.Keys(f.answers)) {
		a := f.answers[id]
		isPrimary := a.Role == catalog.RolePrimary
		if f.kind == failoverBootstrap && !isPrimary || isPrimary && a.Position.Term < term {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// chooseCaughtUpReplica picks a replica that holds everything the old primary has.
func (c *Control) chooseCaughtUpReplica(f *failover, old catalog.InstanceID) catalog.InstanceID {
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

func (c *Control) surveyTimeout() time.Duration {
	if c.options.SurveyTimeout > 0 {
		return c.options.SurveyTimeout
	}
	return defaultSurveyTimeout
}
