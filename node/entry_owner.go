package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// An upstream admits fewer connections than there are entries, and each new one
// takes it as long as several statements. Many entries that each send little
// also know little of where an upstream stands and how loaded it is. So few
// entries of each site, the owners of a service, hold its connections, and the
// others pass the requests of their callers on to them.

const (
	// connectionsPerSlot is how many connections of an upstream are put to use
	// for each statement that it runs at a time: enough that a slot does not
	// idle while answers travel and transactions rest.
	connectionsPerSlot = 4
	// awaitOwners is how long an entry that has just begun to hear from
	// control waits for the list of the others.
	awaitOwners = 400 * time.Millisecond
	// avoidSilent and avoidDeclined are how long an entry that fell silent, or
	// that took no requests, gets none. Those are the lengths of a restart and
	// of two reports.
	avoidSilent   = 2 * time.Second
	avoidDeclined = 500 * time.Millisecond
	// forwardTries is how many other entries a request may be passed to before
	// this one runs it itself.
	forwardTries = 2
)

// entryOwners is what an entry knows of the others of its site.
type entryOwners struct {
	// entries are those at work, this one included, in order; sites is how
	// many sites have entries, and mark marks both. All are zero at the start.
	entries []catalog.VMID
	sites   int
	mark    uint64
	// rankedMark and rankedServices are those of the present ranks.
	rankedMark     uint64
	rankedServices int
	// awaitedUntil is when this entry ceases to wait for them, zero if it has
	// not begun.
	awaitedUntil catalog.Instant
	// avoided says until when an entry gets no requests.
	avoided map[catalog.VMID]catalog.Instant
	// away are the transactions of this entry's callers that others hold, by
	// the request that began each.
	away map[catalog.RequestID]bool
}

// takeEntries takes control's list of the entries of the site.
func (e *Entry) takeEntries(a wire.Answer) {
	o := &e.owners
	if o.awaitedUntil == 0 {
		o.awaitedUntil = e.now.Add(awaitOwners)
	}
	if len(a.Entries) == 0 {
		return
	}
	o.entries, o.sites, o.mark = a.Entries, a.SiteCount, wire.MarkEntries(a.Entries, a.SiteCount)
	e.touchAll()
}

// awaitsOwners reports whether the entry has just started and does not know the
// others yet.
func (e *Entry) awaitsOwners() bool {
	o := &e.owners
	if !e.options.UpstreamsFromControl || o.mark != 0 {
		return false
	}
	if o.awaitedUntil == 0 || e.now.Before(o.awaitedUntil) {
		if o.awaitedUntil != 0 {
			e.wake(o.awaitedUntil)
		}
		return true
	}
	return false
}

// ownersOf lists the entries that hold the connections of a service, of those
// that are neither avoided nor stopping.
func (e *Entry) ownersOf(s *entryService) []catalog.VMID {
	o := &e.owners
	e.rankOwners()
	most := e.ownersWanted(s)
	var out []catalog.VMID
	for _, vm := range s.owners {
		leaves := e.leaving && vm == e.options.VM
		if len(out) < most && !leaves && !e.now.Before(o.avoided[vm]) {
			out = append(out, vm)
		}
	}
	return out
}

// ownersWanted is how many entries of the site own the service.
func (e *Entry) ownersWanted(s *entryService) int {
	return max(connectionsPerSlot*s.slots()/max(e.owners.sites, 1), 1)
}

// rankOwners ranks the entries of the site for each service, anew if the entries
// or the services have changed. Each entry ranks alike. An entry that owned
// several services by chance would have several times the work of others, so
// that one with its part already makes way for the next by hash.
func (e *Entry) rankOwners() {
	o := &e.owners
	if o.rankedMark == o.mark && o.rankedServices == len(e.order) {
		return
	}
	o.rankedMark, o.rankedServices = o.mark, len(e.order)
	total := 0
	for _, id := range e.order {
		total += min(e.ownersWanted(e.services[id]), len(o.entries))
	}
	part := (total + len(o.entries) - 1) / max(len(o.entries), 1)
	load := map[catalog.VMID]int{}
	for _, id := range e.order {
		s := e.services[id]
		s.owners = slices.Clone(o.entries)
		slices.SortFunc(s.owners, func(a, b catalog.VMID) int {
			return cmp.Compare(rendezvous(b, id), rendezvous(a, id))
		})
		if len(e.order) <= spreadServices {
			slices.SortStableFunc(s.owners, func(a, b catalog.VMID) int {
				return cmp.Compare(load[a]/part, load[b]/part)
			})
		}
		for _, vm := range s.owners[:min(e.ownersWanted(s), len(s.owners))] {
			load[vm]++
		}
	}
}

// spreadServices is up to how many services are spread evenly; chance does that
// for more.
const spreadServices = 64

// slots is the most that one upstream of the service runs at a time.
func (s *entryService) slots() int {
	most := 1
	for _, i := range s.instances {
		most = max(most, i.slots())
	}
	return most
}

// isOwner reports whether this entry holds connections of the service.
func (e *Entry) isOwner(s *entryService) bool {
	if e.owners.mark == 0 {
		return !e.awaitsOwners()
	}
	return slices.Contains(e.ownersOf(s), e.options.VM)
}

// mayForward reports whether another entry may run the request.
func (e *Entry) mayForward(r *entryRequest) bool {
	return e.options.UpstreamsFromControl && !r.Forwarded && !r.isLocal && r.Kind != KindInTransaction
}

// forward passes a request on to an owner, unless this entry is to run it. It
// reports whether the request was passed on.
func (e *Entry) forward(s *entryService, r *entryRequest) bool {
	owners := e.ownersOf(s)
	if r.forwards >= forwardTries || len(owners) == 0 || slices.Contains(owners, e.options.VM) {
		r.isLocal = true
		return false
	}
	r.forwards++
	r.forwardedTo = owners[rendezvous(e.options.VM, s.id)%uint64(len(owners))]
	e.emit(ForwardRequest{Request: r.Request, To: r.forwardedTo})
	return true
}

// use notes that this entry has callers of the service whose requests it runs
// itself.
func (e *Entry) use(r *entryRequest) {
	s := r.service
	s.used, s.wasUsed = e.now, true
	e.subscribe(s)
}

// takeForwarded follows what became of a request that was passed on.
func (e *Entry) takeForwarded(v ForwardDone) {
	r := e.requests[v.Request]
	if r == nil || r.forwardedTo == "" {
		return
	}
	to := r.forwardedTo
	r.forwardedTo = ""
	e.touch(r.service)
	switch v.Outcome {
	case ForwardAnswered:
		delete(e.requests, r.Request)
		if v.HoldsTransaction {
			e.owners.hold(r.Request)
		}
		e.count("forwards")
	case ForwardDeclined:
		if e.isCutOff() {
			// The others of the site are cut off as well.
			e.refuse(r, "control is out of reach", e.options.Timings.LeaseLength)
			return
		}
		e.avoidEntry(to, avoidDeclined)
		e.requeue(r)
	case ForwardLost:
		e.avoidEntry(to, avoidSilent)
		e.count("forwards-lost")
		if r.isRead() {
			// Nothing of a read is kept, so that it may run again.
			e.requeue(r)
			return
		}
		e.answerUnknown(r, "the entry that ran it fell silent")
	}
}

func (o *entryOwners) hold(r catalog.RequestID) {
	if o.away == nil {
		o.away = map[catalog.RequestID]bool{}
	}
	o.away[r] = true
}

func (e *Entry) avoidEntry(vm catalog.VMID, d time.Duration) {
	o := &e.owners
	if o.avoided == nil {
		o.avoided = map[catalog.VMID]catalog.Instant{}
	}
	o.avoided[vm] = max(o.avoided[vm], e.now.Add(d))
	for other, until := range o.avoided {
		if !e.now.Before(until) {
			delete(o.avoided, other)
		}
	}
}

// declines reports whether a request that is refused may well run at another
// entry: at one that control reaches or, if it was passed on to this
// one, that is not stopping and has heard of the service.
func (e *Entry) declines(r *entryRequest) bool {
	if e.options.UpstreamsFromControl && e.isCutOff() {
		return true
	}
	s := r.service
	return r.Forwarded && r.Kind != KindInTransaction && (e.leaving || !e.catchUp.inForce || s == nil || !s.accepted)
}
