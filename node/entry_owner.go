package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// An upstream accepts fewer connections than there are entries, and opening a
// connection costs the upstream as much as several statements. An entry that
// sends few requests also has outdated information on an upstream's position
// and load. So only some entries of each site, the owners of a service, have
// connections to the service's upstreams, and the others forward their callers'
// requests to the owners.

const (
	// connectionsPerSlot is the number of connections used per slot of an
	// upstream. It keeps a slot busy while answers are in transit and
	// transactions are idle.
	connectionsPerSlot = 4
	// ownersWait is how long an entry waits for the list of the site's entries
	// after the first answer from control.
	ownersWait = 400 * time.Millisecond
	// avoidAfterSilence and avoidAfterDecline are how long no requests are
	// forwarded to an entry that did not answer, or that declined a request.
	// The first is the time that a restart takes, the second the time in which
	// two reports are sent.
	avoidAfterSilence = 2 * time.Second
	avoidAfterDecline = 500 * time.Millisecond
	// maxForwards is the number of entries to which a request may be forwarded
	// before this entry runs it itself.
	maxForwards = 2
)

// entryOwners is the state of the entry that concerns the other entries of its
// site.
type entryOwners struct {
	// entries are the working entries of the site in order, including this one;
	// sites is the number of sites that have entries; and mark is a hash of
	// both. All are zero until control has sent them.
	entries []catalog.VMID
	sites   int
	mark    uint64
	// rankedMark and rankedServices are the mark and the number of services for
	// which the owners were last ranked by load. Both are zero while they are
	// ranked by hashing alone.
	rankedMark     uint64
	rankedServices int
	// waitUntil is when this entry stops waiting for the list of entries, zero
	// before the first answer from control.
	waitUntil catalog.Instant
	// avoidedUntil is the instant until which no requests are forwarded to an
	// entry.
	avoidedUntil map[catalog.VMID]catalog.Instant
	// remoteTransactions holds the transactions of this entry's callers that
	// run at other entries, keyed by the request that began each.
	remoteTransactions map[catalog.RequestID]bool
}

// setSiteEntries applies control's list of the site's entries.
func (e *Entry) setSiteEntries(a wire.Answer) {
	o := &e.owners
	if o.waitUntil == 0 {
		o.waitUntil = e.now.Add(ownersWait)
	}
	if len(a.Entries) == 0 {
		return
	}
	o.entries, o.sites, o.mark = a.Entries, a.SiteCount, wire.EntriesMark(a.Entries, a.SiteCount)
	e.markAllDirty()
}

// isAwaitingOwners reports whether the entry has just started and still waits
// for the list of the site's entries.
func (e *Entry) isAwaitingOwners() bool {
	o := &e.owners
	if !e.options.UpstreamsFromControl || o.mark != 0 {
		return false
	}
	if o.waitUntil == 0 || e.now.Before(o.waitUntil) {
		if o.waitUntil != 0 {
			e.scheduleWake(o.waitUntil)
		}
		return true
	}
	return false
}

// ownersOf returns the owners of a service, chosen from the entries that are
// neither avoided nor stopping.
func (e *Entry) ownersOf(s *entryService) []catalog.VMID {
	o := &e.owners
	e.rankOwners(s)
	count := e.ownerCount(s)
	var out []catalog.VMID
	for _, vm := range s.owners {
		isStopping := e.draining && vm == e.options.VM
		if len(out) < count && !isStopping && !e.now.Before(o.avoidedUntil[vm]) {
			out = append(out, vm)
		}
	}
	return out
}

// ownerCount returns the number of entries of the site that own the service.
func (e *Entry) ownerCount(s *entryService) int {
	return max(connectionsPerSlot*s.slots()/max(e.owners.sites, 1), 1)
}

// rankOwners ranks the entries of the site for a service, if the entries or the
// services have changed. All entries compute the same ranks. Hashing alone may
// give an entry several services and so several times the load of others;
// therefore, with few services, an entry that has its share already is ranked
// behind the others.
func (e *Entry) rankOwners(s *entryService) {
	o := &e.owners
	if len(e.serviceIDs) > maxBalancedServices {
		// The ranks of a service do not depend on the other services. Ranking all
		// of 1,200 services whenever one is added takes an entry with a tenth of a
		// core longer than the time between two reports.
		o.rankedMark, o.rankedServices = 0, 0
		if s.rankedMark != o.mark {
			s.rankedMark = o.mark
			s.owners = rankByHash(o.entries, s.id)
		}
		return
	}
	if o.rankedMark != o.mark || o.rankedServices != len(e.serviceIDs) {
		o.rankedMark, o.rankedServices = o.mark, len(e.serviceIDs)
		e.rankOwnersByLoad()
	}
}

func (e *Entry) rankOwnersByLoad() {
	o := &e.owners
	total := 0
	for _, id := range e.serviceIDs {
		total += min(e.ownerCount(e.services[id]), len(o.entries))
	}
	share := (total + len(o.entries) - 1) / max(len(o.entries), 1)
	load := map[catalog.VMID]int{}
	for _, id := range e.serviceIDs {
		s := e.services[id]
		s.rankedMark = 0
		s.owners = rankByHash(o.entries, id)
		slices.SortStableFunc(s.owners, func(a, b catalog.VMID) int {
			return cmp.Compare(load[a]/share, load[b]/share)
		})
		for _, vm := range s.owners[:min(e.ownerCount(s), len(s.owners))] {
			load[vm]++
		}
	}
}

// rankByHash returns the entries ranked for a service by rendezvous hashing.
func rankByHash(entries []catalog.VMID, id catalog.ServiceID) []catalog.VMID {
	type weighted struct {
		vm     catalog.VMID
		weight uint64
	}
	list := make([]weighted, len(entries))
	for n, vm := range entries {
		list[n] = weighted{vm: vm, weight: rendezvousWeight(vm, id)}
	}
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]catalog.VMID, len(list))
	for n, w := range list {
		out[n] = w.vm
	}
	return out
}

// maxBalancedServices is the highest number of services for which rankOwners
// considers the load of the entries. More services are distributed evenly
// enough by hashing alone.
const maxBalancedServices = 64

// slots returns the highest number of slots of any upstream of the service.
func (s *entryService) slots() int {
	most := 1
	for _, i := range s.instances {
		most = max(most, i.slots())
	}
	return most
}

// isOwner reports whether this entry is an owner of the service.
func (e *Entry) isOwner(s *entryService) bool {
	if e.owners.mark == 0 {
		return !e.isAwaitingOwners()
	}
	return slices.Contains(e.ownersOf(s), e.options.VM)
}

// mayForward reports whether the request may be forwarded to another entry.
func (e *Entry) mayForward(r *entryRequest) bool {
	return e.options.UpstreamsFromControl && !r.Forwarded && !r.runsLocally && r.Kind != KindInTransaction
}

// forward forwards a request to an owner of the service and returns true. If
// this entry has to run the request itself, it sets runsLocally and returns
// false.
func (e *Entry) forward(s *entryService, r *entryRequest) bool {
	owners := e.ownersOf(s)
	to := e.ownerFor(s, r.Organisation, owners)
	if r.forwardCount >= maxForwards || to == "" || to == e.options.VM {
		r.runsLocally = true
		return false
	}
	r.forwardCount++
	r.forwardedTo = to
	e.emit(ForwardRequest{Request: r.Request, To: r.forwardedTo})
	return true
}

// markInUse records that this entry runs requests of the service for its
// callers.
func (e *Entry) markInUse(r *entryRequest) {
	s := r.service
	s.usedAt, s.wasUsed = e.now, true
	e.updateSubscription(s)
}

// handleForwardDone handles the outcome of a forwarded request.
func (e *Entry) handleForwardDone(v ForwardDone) {
	r := e.requests[v.Request]
	if r == nil || r.forwardedTo == "" {
		return
	}
	to := r.forwardedTo
	r.forwardedTo = ""
	e.markDirty(r.service)
	switch v.Outcome {
	case ForwardAnswered:
		delete(e.requests, r.Request)
		if v.HoldsTransaction {
			e.owners.addRemoteTransaction(r.Request)
		}
		e.increment("forwards")
	case ForwardDeclined:
		if e.isLeaderless() {
			// The other entries of the site have no contact with control
			// either.
			e.refuse(r, "control is out of reach", e.options.Timings.LeaseLength)
			return
		}
		e.avoidEntry(to, avoidAfterDecline)
		e.requeue(r)
	case ForwardLost:
		e.avoidEntry(to, avoidAfterSilence)
		e.increment("forwards-lost")
		if r.isRead() {
			// A read is idempotent, so it may run again.
			e.requeue(r)
			return
		}
		e.answerUnknown(r, "the entry that ran it fell silent")
	}
}

func (o *entryOwners) addRemoteTransaction(r catalog.RequestID) {
	if o.remoteTransactions == nil {
		o.remoteTransactions = map[catalog.RequestID]bool{}
	}
	o.remoteTransactions[r] = true
}

func (e *Entry) avoidEntry(vm catalog.VMID, d time.Duration) {
	o := &e.owners
	if o.avoidedUntil == nil {
		o.avoidedUntil = map[catalog.VMID]catalog.Instant{}
	}
	o.avoidedUntil[vm] = max(o.avoidedUntil[vm], e.now.Add(d))
	for other, until := range o.avoidedUntil {
		if !e.now.Before(until) {
			delete(o.avoidedUntil, other)
		}
	}
}

// canRunElsewhere reports whether a request that this entry refuses may succeed
// at another entry, because this entry has no contact with control or, if the
// request was forwarded to it, is stopping or has no configuration of the
// service.
func (e *Entry) canRunElsewhere(r *entryRequest) bool {
	if e.options.UpstreamsFromControl && e.isLeaderless() {
		return true
	}
	s := r.service
	return r.Forwarded && r.Kind != KindInTransaction && (e.draining || !e.catchUp.inForce || s == nil || !s.accepted)
}
