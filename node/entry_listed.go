package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Where control lists the upstreams, entries hear of them from control alone
// and go on using them while control is silent.

// applyRoutes takes the routes that came with a higher version.
func (e *Entry) applyRoutes(a wire.Answer) {
	routes := slices.Clone(e.routes)
	if a.Whole {
		routes = nil
	}
	changed := map[catalog.RouteKey]bool{}
	for _, k := range a.RemovedRoutes {
		changed[k] = true
	}
	for _, r := range a.Routes {
		changed[r.RouteKey] = true
	}
	routes = slices.DeleteFunc(routes, func(r catalog.Route) bool { return changed[r.RouteKey] })
	routes = append(routes, a.Routes...)
	slices.SortFunc(routes, func(x, y catalog.Route) int { return x.Compare(y.RouteKey) })
	e.routes, e.transactionIdle = routes, a.TransactionIdle
	if len(a.RemovedRoutes) > 0 {
		e.dropUnroutedBaselines()
	}
	e.emit(RoutesChanged{Version: e.version, Routes: routes, TransactionIdle: e.transactionIdle})
}

// applyUpstreams takes what control lists of upstreams.
func (e *Entry) applyUpstreams(a wire.Answer) {
	if a.UpstreamsAt.Leader == "" {
		return
	}
	same := a.UpstreamsAt.Leader == e.upstreamsMark.Leader
	if same && a.UpstreamsAt.Revision < e.upstreamsMark.Revision {
		return
	}
	e.upstreamsMark = a.UpstreamsAt
	for _, announcement := range a.Upstreams {
		e.handleAnnouncement(announcement, false)
	}
}

// setMembers replaces the control VMs that reports may go to.
func (e *Entry) setMembers(members []catalog.VMID) {
	if len(members) > 0 {
		e.options.Control = sortedVMs(members)
	}
}

// controlVMs lists whom to ask while no leader is known. Those of the settings
// come in if the members known do not answer.
func (e *Entry) controlVMs() []catalog.VMID {
	if !e.options.UpstreamsFromControl || e.now.Sub(e.report.controlAnsweredAt) < seedFallbackDelay {
		return e.options.Control
	}
	all := append(slices.Clone(e.options.Control), e.seeds...)
	slices.Sort(all)
	return slices.Compact(all)
}

const (
	// seedFallbackDelay is how long the known control VMs may be silent before
	// those of the settings are asked too: longer than a change of leader.
	seedFallbackDelay = 1500 * time.Millisecond
	// callerReleaseDelay is how long an entry that is not ready keeps its callers: as
	// long as new connections are still sent to it, two polls a second apart.
	// Until then it serves what it can without control.
	callerReleaseDelay = 2200 * time.Millisecond
)

// isLeaderless reports whether no control VM has known a leader for some reports. One
// in the same site may answer all the while when the site is cut off.
func (e *Entry) isLeaderless() bool {
	return e.now.Sub(e.report.leaderKnownAt) > e.leaderlessAfter()
}

// leaderlessAfter is for how long no control VM may know a leader: a change of
// leader, of which a report tells.
func (e *Entry) leaderlessAfter() time.Duration {
	return 2*e.options.Timings.Election + e.options.Timings.Report
}

// updateReadiness tells the shell when this entry begins or ceases to be able
// to serve new callers.
func (e *Entry) updateReadiness() {
	reason := ""
	switch {
	case e.draining:
		reason = "this entry is stopping"
	case !e.catchUp.inForce:
		reason = "the entry has no configuration yet"
	case e.options.UpstreamsFromControl && e.isLeaderless():
		reason = "control is out of reach"
	}
	if e.options.UpstreamsFromControl && e.ready {
		e.scheduleWake(e.report.leaderKnownAt.Add(e.leaderlessAfter() + 1))
	}
	ready := reason == ""
	if ready != e.ready {
		e.ready, e.unreadySince = ready, e.now
		e.released = false
		e.emit(ReadinessChanged{Ready: ready, Reason: reason})
		return
	}
	if ready || e.released || !e.catchUp.inForce || e.draining {
		return
	}
	if until := e.unreadySince.Add(callerReleaseDelay); until.After(e.now) {
		e.scheduleWake(until)
		return
	}
	e.released = true
	e.emit(ReadinessChanged{Reason: reason, Release: true})
}

// replicasForFloor returns the replicas for a read whose floor the upstream
// checks itself: those that have shown to cover it, and those that may.
func (e *Entry) replicasForFloor(s *entryService, r *entryRequest, floor catalog.Position) (proven, likely []*entryInstance) {
	proven, likely = e.provenBuffer[:0], e.likelyBuffer[:0]
	for _, i := range s.instances {
		if r.primaryOnly || i.id == s.primary.Instance || !e.isUsable(i) || e.isFailing(i) {
			continue
		}
		switch {
		case i.positionKnown && !i.position.Less(floor):
			proven = append(proven, i)
		case i == r.lastFailed || r.verifyCount >= maxVerifyTries:
		case !i.positionKnown || e.now.Sub(i.positionAskedAt) > behindRetryDelay || e.likelyCovers(s, i, floor):
			likely = append(likely, i)
		}
	}
	e.provenBuffer, e.likelyBuffer = proven, likely
	e.sortByCost(proven, r)
	e.sortByCost(likely, r)
	return proven, likely
}

// behindRetryDelay is how long a replica that was seen to be behind is left alone
// before a read tries it again.
const behindRetryDelay = 150 * time.Millisecond

// isFailing reports whether the last attempt to use the upstream failed.
func (e *Entry) isFailing(i *entryInstance) bool {
	return i.evidence == wire.EvidenceRefused || i.evidence == wire.EvidenceSilent
}

// ageFloor returns the position that a read must cover to be no older than it
// accepts, counted from its arrival. It fails if the primary's position has not
// been seen since then.
func (e *Entry) ageFloor(s *entryService, r *entryRequest) (catalog.Position, bool) {
	if r.MaxAge == 0 {
		return catalog.Position{}, true
	}
	oldest := r.arrivedAt.Add(-r.MaxAge)
	for _, x := range s.primaryPositions {
		if !x.sentAt.Before(oldest) {
			return x.position, true
		}
	}
	return catalog.Position{}, false
}

// placeFloorRead runs a read at a replica or at the leased primary.
func (e *Entry) placeFloorRead(s *entryService, r *entryRequest, p *placement) bool {
	r.awaitsReplica = false
	age, known := e.ageFloor(s, r)
	floor := s.primary.Forks.Clip(r.Floor)
	if age = s.primary.Forks.Clip(age); floor.Less(age) {
		floor = age
	}
	if !known || r.primaryOnly {
		return e.startAtPrimary(s, r, p) || e.awaitPrimary(s, r, p)
	}
	r.requiredPosition = floor
	proven, likely := e.replicasForFloor(s, r, floor)
	for _, i := range proven {
		if e.startRead(r, i, false) {
			return true
		}
	}
	for _, i := range likely {
		if e.startRead(r, i, false) {
			return true
		}
	}
	primary := s.primaryInstance()
	if primary != nil && !r.yieldDecided {
		r.yieldDecided = true
		r.yields = e.shouldYield(r, primary)
	}
	if !r.yields && e.startAtPrimary(s, r, p) {
		return true
	}
	if r.yields && len(proven)+len(likely) == 0 {
		e.refuse(r, "no replica is new enough and the primary is busy", primary.expectedLatency(e.now))
		return true
	}
	if len(proven)+len(likely) > 0 {
		return e.awaitReplica(s, r, p)
	}
	return e.awaitPrimary(s, r, p)
}
