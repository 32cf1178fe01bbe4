package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// With UpstreamsFromControl, an entry learns of upstreams from control alone
// and keeps using the upstreams it knows while control does not answer.

// applyRoutes applies the routes of a higher configuration version.
func (e *Entry) applyRoutes(a wire.Answer) {
	routes := slices.Clone(e.routes)
	if a.Full {
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
	e.applyOrganisations(a)
	e.emit(RoutesChanged{
		Version: e.version, Routes: routes, TransactionIdle: e.transactionIdle, Organisations: e.organisations,
	})
}

// applyUpstreams applies control's list of upstreams. The mark stays if the same
// leader has already sent a newer list, or if the answer has only some upstreams.
func (e *Entry) applyUpstreams(a wire.Answer) {
	leader, _ := splitListName(a.UpstreamsMark.Leader)
	known, _ := splitListName(e.upstreamsMark.Leader)
	if leader == known && a.UpstreamsMark.Revision < e.upstreamsMark.Revision {
		return
	}
	if leader != "" {
		e.upstreamsMark = a.UpstreamsMark
	}
	for _, announcement := range a.Upstreams {
		e.handleAnnouncement(announcement, false)
	}
}

// setMembers replaces the list of control VMs to which reports may be sent. An
// empty list changes nothing.
func (e *Entry) setMembers(members []catalog.VMID) {
	if len(members) > 0 {
		e.options.Control = sortedVMs(members)
	}
}

// controlVMs returns the control VMs to report to besides a known leader. With
// UpstreamsFromControl, the seeds are included if no control VM has answered
// for seedFallbackDelay.
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
	// the seeds are asked too. It is longer than an election of a leader.
	seedFallbackDelay = 1500 * time.Millisecond
	// callerReleaseDelay is how long an entry that is not ready keeps its
	// callers. New connections still reach it until two polls, one second
	// apart, have seen that it is not ready. Until then it serves the requests
	// that need no control.
	callerReleaseDelay = 2200 * time.Millisecond
)

// isLeaderless reports whether for several report intervals no control VM has
// known a leader. A control VM of the same site may still answer while the site
// is disconnected from the others.
func (e *Entry) isLeaderless() bool {
	return e.now.Sub(e.report.leaderKnownAt) > e.leaderlessAfter()
}

// leaderlessAfter returns how long the control VMs may be without a leader
// before the entry is not ready: two election timeouts, and the report whose
// answer names the new leader.
func (e *Entry) leaderlessAfter() time.Duration {
	return 2*e.options.Timings.ElectionTimeout + e.options.Timings.ReportInterval
}

// updateReadiness notifies the shell when this entry becomes able or unable to
// serve new callers. After callerReleaseDelay without readiness, it asks the
// shell to release the present callers, unless the entry is draining or has no
// configuration in force.
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
	e.emit(ReadinessChanged{Reason: reason, ReleaseCallers: true})
}

// replicasForFloor returns the replicas for a read whose floor the upstream
// verifies itself: those proven to cover the floor, and those that may cover it
// because their position is unknown, outdated or likely to have advanced far
// enough.
func (e *Entry) replicasForFloor(s *entryService, r *entryRequest, floor catalog.Position) (proven, likely []*entryInstance) {
	proven, likely = e.provenBuffer[:0], e.likelyBuffer[:0]
	for _, i := range s.instances {
		if r.primaryOnly || i.id == s.primary.Instance || !e.isUsable(i) || e.isFailing(i) {
			continue
		}
		switch {
		case i.hasReached(floor):
			proven = append(proven, i)
		case i == r.lastFailed || r.verifyCount >= maxVerifyTries:
		case e.mayHaveCaughtUp(i) || i.behindCount < hopelessBehindCount && e.likelyCovers(s, i, floor):
			likely = append(likely, i)
		}
	}
	e.provenBuffer, e.likelyBuffer = proven, likely
	e.sortByCost(proven, r)
	e.sortByCost(likely, r)
	return proven, likely
}

// hasReached reports whether the upstream is known to have reached a position.
func (i *entryInstance) hasReached(p catalog.Position) bool {
	return i.positionKnown && !i.position.Less(p)
}

// A replica that falls far behind stays so for many seconds. Reads that try it
// again and again reach the primary later, and while they wait for a connection
// to such a replica they are not refused although the primary is busy. This
// answers the load of replicas that apply the log tens of times as late as usual.
const (
	// behindRetryDelay is how long a replica that was behind once gets no reads
	// that need a newer position. The delay doubles with each further read that
	// finds the replica behind, up to maxBehindRetryDelay.
	behindRetryDelay    = 150 * time.Millisecond
	maxBehindRetryDelay = 1200 * time.Millisecond
	// hopelessBehindCount is the number of reads in a row after which only one
	// read at a time tries the replica.
	hopelessBehindCount = 3
)

// mayHaveCaughtUp reports whether a read may try a replica whose last known
// position was too old.
func (e *Entry) mayHaveCaughtUp(i *entryInstance) bool {
	if !i.positionKnown {
		return true
	}
	if i.behindCount >= hopelessBehindCount && i.running+i.connShortfall > 0 {
		return false
	}
	delay := min(behindRetryDelay<<min(max(i.behindCount-1, 0), hopelessBehindCount), maxBehindRetryDelay)
	return e.now.Sub(i.positionQueriedAt) > delay
}

// recordReadAt counts the reads in a row that found a replica behind.
func (i *entryInstance) recordReadAt(v RequestDone) {
	switch v.Outcome {
	case OutcomeBehind:
		i.behindCount++
	case OutcomeCompleted:
		i.behindCount = 0
	}
}

// isFailing reports whether the last attempt to use the upstream failed.
func (e *Entry) isFailing(i *entryInstance) bool {
	return i.evidence == wire.EvidenceRefused || i.evidence == wire.EvidenceTimeout
}

// ageFloor returns the position that a read must cover so that its data is not
// older than MaxAge, counted from the read's arrival. It returns false if no
// position of the primary is known from within that time.
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

// readFloor returns the position that a replica must cover to serve a read, by the
// read's floor and MaxAge. It returns false if no position of the primary is known
// from within MaxAge.
func (e *Entry) readFloor(s *entryService, r *entryRequest) (catalog.Position, bool) {
	age, known := e.ageFloor(s, r)
	floor := s.primary.Forks.Clip(r.Floor)
	if age = s.primary.Forks.Clip(age); floor.Less(age) {
		floor = age
	}
	return floor, known
}

// startAtAny starts a read at the first of the replicas that has a slot and a
// connection, and reports whether there was one.
func (e *Entry) startAtAny(r *entryRequest, replicas []*entryInstance) bool {
	for _, i := range replicas {
		if e.startRead(r, i, false) {
			return true
		}
	}
	return false
}

// placeFloorRead starts a read at a replica or at the leased primary, if
// upstreams verify the read's floor themselves.
func (e *Entry) placeFloorRead(s *entryService, r *entryRequest, p *placement) bool {
	r.awaitsReplica = false
	floor, known := e.readFloor(s, r)
	if !known || r.primaryOnly {
		e.recordPrimaryWork(r)
		return e.startAtPrimary(s, r, p) || e.awaitPrimary(s, r, p)
	}
	r.requiredPosition = floor
	if !e.options.BalanceSites && e.prefersLocalPrimary(s, r) && e.startAtPrimary(s, r, p) {
		return true
	}
	proven, likely := e.replicasForFloor(s, r, floor)
	if e.options.BalanceSites {
		if placed, waits := e.placeBySite(s, r, p, proven, likely); placed || waits {
			return placed
		}
	} else if e.startAtAny(r, proven) || e.startAtAny(r, likely) {
		return true
	}
	e.recordPrimaryWork(r)
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
