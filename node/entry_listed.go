package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Where control lists the upstreams, entries hear of them from control alone
// and go on using them while control is silent.

// takeRoutes takes the routes that came with a higher version.
func (e *Entry) takeRoutes(a wire.Answer) {
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
	e.routes, e.idle = routes, a.TransactionIdle
	if len(a.RemovedRoutes) > 0 {
		e.forgetWork()
	}
	e.emit(RoutesChanged{Version: e.version, Routes: routes, TransactionIdle: e.idle})
}

// takeUpstreams takes what control lists of upstreams.
func (e *Entry) takeUpstreams(a wire.Answer) {
	if a.UpstreamsAt.Leader == "" {
		return
	}
	same := a.UpstreamsAt.Leader == e.upstreamsAt.Leader
	if same && a.UpstreamsAt.Revision < e.upstreamsAt.Revision {
		return
	}
	e.upstreamsAt = a.UpstreamsAt
	for _, said := range a.Upstreams {
		e.takeAnnouncement(said, false)
	}
}

// takeMembers replaces the control VMs that reports may go to.
func (e *Entry) takeMembers(members []catalog.VMID) {
	if len(members) > 0 {
		e.options.Control = sortedVMs(members)
	}
}

// controlVMs lists whom to ask while no leader is known. Those of the settings
// come in if the members known do not answer.
func (e *Entry) controlVMs() []catalog.VMID {
	if !e.options.UpstreamsFromControl || e.now.Sub(e.report.heardAt) < askSeedsAfter {
		return e.options.Control
	}
	all := append(slices.Clone(e.options.Control), e.seeds...)
	slices.Sort(all)
	return slices.Compact(all)
}

const (
	// askSeedsAfter is how long the known control VMs may be silent before
	// those of the settings are asked too: longer than a change of leader.
	askSeedsAfter = 1500 * time.Millisecond
	// releaseAfter is how long an entry that is not ready keeps its callers: as
	// long as new connections are still sent to it, two polls a second apart.
	// Until then it serves what it can without control.
	releaseAfter = 2200 * time.Millisecond
)

// isCutOff reports whether no control VM has known a leader for some reports. One
// in the same site may answer all the while when the site is cut off.
func (e *Entry) isCutOff() bool {
	return e.now.Sub(e.report.ledAt) > e.cutOffAfter()
}

// cutOffAfter is for how long no control VM may know a leader: a change of
// leader, of which a report tells.
func (e *Entry) cutOffAfter() time.Duration {
	return 2*e.options.Timings.ElectionTimeout + e.options.Timings.ReportInterval
}

// settleReadiness tells the shell when this entry begins or ceases to be able
// to serve new callers.
func (e *Entry) settleReadiness() {
	reason := ""
	switch {
	case e.leaving:
		reason = "this entry is stopping"
	case !e.catchUp.inForce:
		reason = "the entry has no configuration yet"
	case e.options.UpstreamsFromControl && e.isCutOff():
		reason = "control is out of reach"
	}
	if e.options.UpstreamsFromControl && e.ready {
		e.wake(e.report.ledAt.Add(e.cutOffAfter() + 1))
	}
	ready := reason == ""
	if ready != e.ready {
		e.ready, e.unreadySince = ready, e.now
		e.released = false
		e.emit(ReadinessChanged{Ready: ready, Reason: reason})
		return
	}
	if ready || e.released || !e.catchUp.inForce || e.leaving {
		return
	}
	if until := e.unreadySince.Add(releaseAfter); until.After(e.now) {
		e.wake(until)
		return
	}
	e.released = true
	e.emit(ReadinessChanged{Reason: reason, ReleaseCallers: true})
}

// listedReplicas returns the replicas for a read whose floor the upstream
// checks itself: those that have shown to cover it, and those that may.
func (e *Entry) listedReplicas(s *entryService, r *entryRequest, floor catalog.Position) (shown, likely []*entryInstance) {
	shown, likely = e.shown[:0], e.likely[:0]
	for _, i := range s.instances {
		if r.primaryOnly || i.id == s.primary.Instance || !e.usable(i) || e.isBad(i) {
			continue
		}
		switch {
		case i.known && !i.position.Less(floor):
			shown = append(shown, i)
		case i == r.avoid || r.verifies >= verifyTries:
		case !i.known || e.now.Sub(i.knownAt) > trustBehind || e.likelyCovers(s, i, floor):
			likely = append(likely, i)
		}
	}
	e.shown, e.likely = shown, likely
	e.rankListed(shown, r)
	e.rankListed(likely, r)
	return shown, likely
}

// trustBehind is how long a replica that was seen to be behind is left alone
// before a read tries it again.
const trustBehind = 150 * time.Millisecond

// isBad reports whether the last attempt to use the upstream failed.
func (e *Entry) isBad(i *entryInstance) bool {
	return i.evidence == wire.EvidenceRefused || i.evidence == wire.EvidenceSilent
}

// ageFloor returns the position that a read must cover to be no older than it
// accepts, counted from its arrival. It fails if the primary's position has not
// been seen since then.
func (e *Entry) ageFloor(s *entryService, r *entryRequest) (catalog.Position, bool) {
	if r.MaxAge == 0 {
		return catalog.Position{}, true
	}
	oldest := r.arrived.Add(-r.MaxAge)
	for _, x := range s.ring {
		if !x.sentAt.Before(oldest) {
			return x.position, true
		}
	}
	return catalog.Position{}, false
}

// placeListed runs a read at a replica or at the leased primary.
func (e *Entry) placeListed(s *entryService, r *entryRequest, p *placement) bool {
	r.proof = false
	age, known := e.ageFloor(s, r)
	floor := s.primary.Forks.Clip(r.Floor)
	if age = s.primary.Forks.Clip(age); floor.Less(age) {
		floor = age
	}
	if !known || r.primaryOnly {
		return e.startAtPrimary(s, r, p) || e.awaitPrimary(s, r, p)
	}
	r.after = floor
	shown, likely := e.listedReplicas(s, r, floor)
	for _, i := range shown {
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
	if primary != nil && !r.weighed {
		r.weighed = true
		r.yields = e.yields(r, primary)
	}
	if !r.yields && e.startAtPrimary(s, r, p) {
		return true
	}
	if r.yields && len(shown)+len(likely) == 0 {
		e.refuse(r, "no replica is new enough and the primary is busy", primary.expected(e.now))
		return true
	}
	if len(shown)+len(likely) > 0 {
		return e.awaitReplica(s, r, p)
	}
	return e.awaitPrimary(s, r, p)
}
