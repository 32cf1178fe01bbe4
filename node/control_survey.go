package node

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// survey queries the positions of the group's instances. All queries are sent
// after the fence, so no acknowledged write can be newer than the answers.
func (c *Control) survey(s catalog.Service, f *failover) {
	// The last result of a survey may be the timeout of an upstream. The answers
	// of the other upstreams must be evaluated before a new survey discards
	// them.
	if c.tryElect(s, f) {
		return
	}
	if f.nextSurveyAt <= c.now && len(f.openSurveys) == 0 {
		if c.maySurvey() {
			c.startSurvey(s, f)
		}
		return
	}
	if len(f.openSurveys) > 0 && f.surveyEndsAt <= c.now {
		f.openSurveys = map[uint64]catalog.InstanceID{}
		f.nextSurveyAt = c.now.Add(surveyRetryDelay)
	}
}

// maxSurveyedServices bounds the services that are surveyed at the same time. When
// all of 1,200 services get their first primary, the answers of 3,600 upstreams would
// otherwise come so late that the surveys have timed out, and a leader with half of a
// core would handle them for longer than an election timeout.
const maxSurveyedServices = 24

// maySurvey reports whether one more service may be surveyed now. A service that
// must wait is asked for again by the next sweeps.
func (c *Control) maySurvey() bool {
	if len(c.surveyed) < maxSurveyedServices {
		return true
	}
	for id := range c.surveyed {
		if f := c.failovers[id]; f == nil || len(f.openSurveys) == 0 {
			delete(c.surveyed, id)
		}
	}
	return len(c.surveyed) < maxSurveyedServices
}

func (c *Control) startSurvey(s catalog.Service, f *failover) {
	c.surveyed[s.ID] = true
	f.answers = map[catalog.InstanceID]SurveyDone{}
	f.surveyEndsAt = c.now.Add(c.surveyTimeout())
	if f.firstSurveyAt == 0 {
		f.firstSurveyAt = c.now
	}
	f.nextSurveyAt = c.now.Add(surveyRetryDelay)
	for _, u := range c.instancesOf(s.ID) {
		f.openSurveys[c.surveyUpstream(u, f.surveyEndsAt)] = u.announcement.Instance
	}
}

func (c *Control) handleSurveyDone(v SurveyDone) {
	c.recordQueryAnswer(v)
	u := c.upstreams[v.Instance]
	if u == nil {
		return
	}
	// Each survey of a new leader of 3,600 upstreams ends here, most without a
	// failover, so that a search of all failovers would take too long.
	id := u.announcement.Service
	f := c.failovers[id]
	if f == nil || f.openSurveys[v.Survey] != v.Instance || f.phase != phaseSurvey {
		return
	}
	delete(f.openSurveys, v.Survey)
	if v.Evidence == wire.EvidenceAlive {
		f.answers[v.Instance] = v
	}
	if s, ok := c.state.Service(id); ok {
		c.survey(s, f)
	}
}

// tryElect elects the next primary if the answers suffice. It reports whether
// the phase is over.
func (c *Control) tryElect(s catalog.Service, f *failover) bool {
	oldPrimary := c.state.Primary(s.ID).LastReady()
	if !c.isSurveySufficient(s, f, oldPrimary) {
		c.giveUp(s, f)
		return false
	}
	target := c.chooseTarget(s, f, oldPrimary)
	if target == "" {
		c.giveUp(s, f)
		return false
	}
	f.target, f.oldPrimary, f.targetPosition = target, oldPrimary, f.answers[target].Position
	c.proposeElection(s, f)
	return true
}

// proposeElection proposes the target as the next primary.
func (c *Control) proposeElection(s catalog.Service, f *failover) {
	c.enterPhase(s, f, phaseElect)
	if !c.propose(registry.Change{Elect: &registry.ElectPrimary{Service: s.ID, Epoch: f.epoch + 1, Instance: f.target}}, 0) {
		delete(c.failovers, s.ID)
	}
}

// minAnswers returns how many eligible answers an election requires. That is
// one, or with AckReplicated so many that every majority of the group includes
// an instance that answered.
func minAnswers(s catalog.Service) int {
	if s.Ack != catalog.AckReplicated {
		return 1
	}
	return s.Instances - (s.Instances/2 + 1) + 1
}

// coversSyncWrites reports whether at least one eligible answer is certain to
// hold every acknowledged write that synchronous replicas must hold. Such a
// write is at the primary and at SyncReplicas or more of the other instances,
// which may be any of them.
func (c *Control) coversSyncWrites(s catalog.Service, f *failover, oldPrimary catalog.InstanceID) bool {
	if s.SyncReplicas == 0 {
		return true
	}
	replicas, answers := 0, 0
	for _, u := range c.instancesOf(s.ID) {
		a, hasAnswered := f.answers[u.announcement.Instance]
		if hasAnswered && !holdsHistory(c.state.Primary(s.ID), a) {
			continue
		}
		if u.announcement.Instance != oldPrimary && c.mayHoldLatestWrites(u) {
			replicas++
		}
	}
	for _, id := range c.eligibleInstances(s, f) {
		switch {
		case id != oldPrimary:
			answers++
		case f.answers[id].Role == catalog.RolePrimary:
			return true
		}
	}
	return answers > max(replicas, answers)-s.SyncReplicas
}

// mayHoldLatestWrites reports whether an upstream may hold writes that no other
// replica has received. An upstream that has not announced itself for
// unresponsiveReplicaWait is assumed to hold none, since the other replicas have
// meanwhile received everything it held.
func (c *Control) mayHoldLatestWrites(u *upstreamView) bool {
	return c.now.Before(max(u.announcedAt, c.graceEndsAt).Add(unresponsiveReplicaWait))
}

// unresponsiveReplicaWait is how long an election waits for a replica that does
// not announce itself. It is longer than an expected restart or an expected
// network cut between the replica and control.
const unresponsiveReplicaWait = 15 * time.Second

// surveySuffices reports whether the eligible answers include every write that
// replicas must hold, and whether no better answer can be expected soon.
func (c *Control) surveySuffices(s catalog.Service, f *failover, oldPrimary catalog.InstanceID) bool {
	if c.awaitsOldPrimary(f, oldPrimary) {
		return false
	}
	if f.kind != failoverBootstrap && (len(c.eligibleInstances(s, f)) < minAnswers(s) || !c.coversSyncWrites(s, f, oldPrimary)) {
		return false
	}
	if f.surveyEndsAt <= c.now {
		return true
	}
	for _, id := range f.openSurveys {
		if id != oldPrimary {
			return false
		}
	}
	return true
}

// awaitsOldPrimary reports whether a renewal must wait for the answer of the
// primary. The primary is most likely healthy, and a replica may lack writes.
func (c *Control) awaitsOldPrimary(f *failover, oldPrimary catalog.InstanceID) bool {
	_, hasAnswered := f.answers[oldPrimary]
	return f.kind == failoverRenewal && !hasAnswered && c.now.Before(f.phaseStartedAt.Add(c.options.Timings.SuspectTimeout))
}

// chooseTarget returns the instance to elect, empty if there is none.
func (c *Control) chooseTarget(s catalog.Service, f *failover, oldPrimary catalog.InstanceID) catalog.InstanceID {
	switch f.kind {
	case failoverSwitch, failoverLeaving:
		return c.chooseCaughtUpReplica(f, oldPrimary)
	}
	best := catalog.InstanceID("")
	for _, id := range c.eligibleInstances(s, f) {
		if best == "" || f.answers[best].PromotionPosition().Less(f.answers[id].PromotionPosition()) {
			best = id
		}
	}
	// An instance that was promoted meanwhile has a later term than the old primary.
	a, hasAnswered := f.answers[oldPrimary]
	if hasAnswered && a.Role == catalog.RolePrimary && a.Position.Term >= max(c.state.Primary(s.ID).Term, f.answers[best].Position.Term) {
		return oldPrimary
	}
	return best
}

// eligibleInstances returns the instances that answered and can lead the group,
// sorted by id. A bootstrap accepts only primaries.
func (c *Control) eligibleInstances(s catalog.Service, f *failover) []catalog.InstanceID {
	p := c.state.Primary(s.ID)
	var ids []catalog.InstanceID
	for _, id := range slices.Sorted(maps.Keys(f.answers)) {
		a := f.answers[id]
		if f.kind == failoverBootstrap && a.Role != catalog.RolePrimary || !holdsHistory(p, a) {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// holdsHistory reports whether the log of an instance that answered is part of the
// group's history. An instance that led or followed an earlier term, and has not
// followed the present one since, may hold writes beyond the point at which a later
// term began. If it were elected, these writes would return, and those of the later
// terms would be lost. The log of a primary of an earlier term may still grow.
func holdsHistory(p catalog.Primary, a SurveyDone) bool {
	if a.Role == catalog.RolePrimary && a.Position.Term < p.Term {
		return false
	}
	return p.Forks.Includes(a.PromotionPosition())
}

// chooseCaughtUpReplica returns a replica that holds everything the old primary
// holds, empty if there is none.
func (c *Control) chooseCaughtUpReplica(f *failover, oldPrimary catalog.InstanceID) catalog.InstanceID {
	from, ok := f.answers[oldPrimary]
	if !ok {
		return ""
	}
	for _, id := range slices.Sorted(maps.Keys(f.answers)) {
		u := c.upstreams[id]
		if id == oldPrimary || u == nil || !c.isUsable(u) || (f.target != "" && id != f.target) {
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
