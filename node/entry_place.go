package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/connplace"
)

// A connection is opened for one organisation and runs only its requests, since
// the upstream takes the organisation's name from the opening of the connection.
// There are more organisations than connections, so a request may need a
// connection while those of other organisations are idle. One of these is then
// closed, and its place is used.

const (
	// initialOpeningTime is the expected time to open a connection to an upstream
	// until one was opened.
	initialOpeningTime = 12 * time.Millisecond
	// claimDelay is how long a request waits for a connection before it takes the
	// place of a connection that requests behind it could use. With fewer places
	// than organisations, a connection then runs several requests before it is
	// closed. Otherwise upstreams would open connections for most of the time.
	claimDelay = 40 * time.Millisecond
	// claimDelayDivisor divides the objective of a request; the result limits the
	// delay. With statements of 18 ms and an objective of 250 ms, half of the
	// objective must be enough for the delay, the opening and a wait for a slot.
	claimDelayDivisor = 8
)

// connsPlace is the state of an upstream's connections that concerns
// organisations.
type connsPlace struct {
	// lacking are the organisations of the requests that connShortfall counts, in
	// the order of the requests.
	lacking []catalog.OrganisationID
	// unplaced is the number of requests that lacked a connection in this step
	// while none could be opened, because all that are allowed are in use.
	unplaced int
	uses     connplace.Uses
	// openingTime is the moving average of the time that opening a connection
	// takes, zero if none was opened yet.
	openingTime time.Duration
	// wanted is the number of connections that organisations needed or that were
	// worth keeping for them when the last report was built.
	wanted int
	// refusedAbove is the number of connections that were open when the upstream
	// refused another one, in force until refusedUntil.
	refusedAbove int
	refusedUntil catalog.Instant
}

// refusedTime is how long an entry opens no more connections than it had when the
// upstream refused one. An upstream counts the connections of a lost VM for seconds.
// Until it has room again, organisations take each other's places at the entry, and
// the entry's attempts don't occupy the upstream's slots.
const refusedTime = time.Second

// recordOpeningRefused records that the upstream is alive and refused a connection.
func (e *Entry) recordOpeningRefused(i *entryInstance) {
	i.place.refusedAbove, i.place.refusedUntil = max(i.openCount(), 1), e.now.Add(refusedTime)
}

// placeLimit returns the number of connections that organisations may have now.
func (e *Entry) placeLimit(i *entryInstance) int {
	n := e.connLimit(i, e.now)
	if e.now.Before(i.place.refusedUntil) {
		n = min(n, i.place.refusedAbove)
	}
	return n
}

// openingCost returns for how many seconds opening a connection is expected to occupy
// a slot. Openings at a saturated upstream take longer because they wait there.
func (p *connsPlace) openingCost() float64 {
	return min(p.expectedOpeningTime(), initialOpeningTime).Seconds()
}

func (p *connsPlace) recordOpening(d time.Duration) {
	d = max(d, 1)
	if p.openingTime == 0 {
		p.openingTime = d
	}
	p.openingTime += (d - p.openingTime) / 4
}

func (p *connsPlace) expectedOpeningTime() time.Duration {
	if p.openingTime == 0 {
		return initialOpeningTime
	}
	return p.openingTime
}

// resetShortfall prepares the counts of requests without connection for a step.
func (i *entryInstance) resetShortfall() {
	i.connShortfall, i.place.lacking, i.place.unplaced = 0, i.place.lacking[:0], 0
}

// servesOrganisations reports whether the upstream has connections of
// organisations or requests that lack one.
func (i *entryInstance) servesOrganisations() bool {
	for _, c := range i.conns {
		if c.organisation != "" {
			return true
		}
	}
	return i.place.unplaced > 0 || slices.ContainsFunc(i.place.lacking, func(id catalog.OrganisationID) bool { return id != "" })
}

// isIdleFor reports whether a request of the organisation may run on the
// connection now.
func (c *entryConn) isIdleFor(id catalog.OrganisationID) bool {
	return c.state == connIdle && !c.closeWhenFree && c.organisation == id
}

func (i *entryInstance) hasIdleFor(id catalog.OrganisationID) bool {
	return slices.ContainsFunc(i.conns, func(c *entryConn) bool { return c.isIdleFor(id) })
}

// recordUse records that a request starts on a connection of an organisation.
func (i *entryInstance) recordUse(c *entryConn, now catalog.Instant) {
	c.wasUsed = true
	i.place.uses.Record(c.organisation, now)
}

// claimedSlots returns how many slots of the upstream requests without connection
// have claimed ahead of a request. A request that has a connection only yields to
// connections that are being opened, so that it doesn't wait for other
// organisations' connections one after the other.
func (i *entryInstance) claimedSlots(r *entryRequest) int {
	if i.connShortfall == 0 || r.Organisation == "" || !i.hasIdleFor(r.Organisation) {
		return i.connShortfall
	}
	return min(i.connShortfall, i.openingCount())
}

// recordLack counts a request that found no connection in this step. A request of
// an organisation is counted at one upstream only, so that one connection is opened
// for it, and at none if no connection can be opened.
func (e *Entry) recordLack(i *entryInstance, r *entryRequest) {
	if r.Organisation == "" && !i.servesOrganisations() {
		i.connShortfall++
		i.place.lacking = append(i.place.lacking, "")
		return
	}
	if r.lackedStep == e.steps {
		return
	}
	if !e.claimPlace(i, r) {
		i.place.unplaced++
		return
	}
	r.lackedAt, r.lackedStep = i, e.steps
	i.connShortfall++
	i.place.lacking = append(i.place.lacking, r.Organisation)
}

// claimPlace reports whether a connection can be opened for a request now or is
// being opened. If a place is needed for it, the step closes an idle connection that
// no request waits for. If there is none and the request has waited for its claim
// delay, claimPlace closes one that requests behind it could use, unless the
// organisation has its share of the places.
func (e *Entry) claimPlace(i *entryInstance, r *entryRequest) bool {
	i.place.lacking = append(i.place.lacking, r.Organisation)
	defer func() { i.place.lacking = i.place.lacking[:len(i.place.lacking)-1] }()
	missing := i.missingOrganisations()
	over := len(missing) - (e.placeLimit(i) - i.openCount())
	if len(missing) == 0 || missing[len(missing)-1] != r.Organisation || over <= 0 {
		return true
	}
	candidates := i.idleCandidates(e.waitingTags(i.service), e.now)
	for _, at := range []catalog.Instant{i.openAfter, i.place.refusedUntil} {
		if e.now.Before(at) {
			e.scheduleWake(at)
		}
	}
	if over > len(candidates) || len(missing) > e.maxOpening(i)-i.openingCount() || e.now.Before(i.openAfter) && !i.confirmRefusal {
		return false
	}
	if i.service.hasTimely && e.missesObjective(r) {
		// It would be late anyway, and the opening would delay those that are not.
		return false
	}
	if over <= len(unneeded(candidates)) {
		return true
	}
	if at := r.queuedAt.Add(r.claimDelay()); e.now.Before(at) {
		e.scheduleWake(at)
		return true
	}
	if e.hasSharedPlaces(i, r.Organisation) {
		return false
	}
	if !slices.ContainsFunc(i.service.instances, func(x *entryInstance) bool { return x.hasIdleFor(r.Organisation) }) {
		e.closeLeastUsed(i, candidates, over)
	}
	return true
}

func (r *entryRequest) claimDelay() time.Duration {
	if r.Objective <= 0 {
		return claimDelay
	}
	return min(claimDelay, r.Objective/claimDelayDivisor)
}

// hasSharedPlaces reports whether an organisation has as many connections as its
// share by weight of those allowed, and at least one.
func (e *Entry) hasSharedPlaces(i *entryInstance, id catalog.OrganisationID) bool {
	own := 0
	for _, c := range i.conns {
		if c.organisation == id && c.state != connClosing {
			own++
		}
	}
	if own == 0 || e.organisations == nil {
		return own > 0
	}
	part := i.service.organisationClock().EntitledPart(id, e.weight(id))
	return float64(own) >= part*float64(e.connLimit(i, e.now))
}

// dropLack removes a read that was started elsewhere from the requests that lack a
// connection to another upstream, unless its organisation is likely to use a
// connection there often.
func (e *Entry) dropLack(r *entryRequest) {
	i := r.lackedAt
	if i == nil || r.lackedStep != e.steps {
		return
	}
	r.lackedAt = nil
	rate := 0.0
	for _, x := range r.service.instances {
		rate += x.place.uses.Rate(r.Organisation, e.now)
	}
	if rate >= connplace.MinUse {
		return
	}
	if n := slices.Index(i.place.lacking, r.Organisation); n >= 0 {
		i.place.lacking = slices.Delete(i.place.lacking, n, n+1)
		i.connShortfall--
	}
}

// missingOrganisations returns the organisations for which connections must be
// opened: those of the requests that lack one, without those for which one is
// opening or will be idle soon.
func (i *entryInstance) missingOrganisations() []catalog.OrganisationID {
	coming := map[catalog.OrganisationID]int{}
	for _, c := range i.conns {
		isComing := c.state == connOpening || c.state == connIdle || c.state == connProbing
		if isComing && !c.closeWhenFree {
			coming[c.organisation]++
		}
	}
	var out []catalog.OrganisationID
	for _, id := range i.place.lacking {
		if coming[id]--; coming[id] < 0 {
			out = append(out, id)
		}
	}
	return out
}

// openForOrganisations opens the connections that requests of organisations lack,
// and one for probes if there is a place. If the grant leaves no place for a
// request, it closes the idle connection with the lowest expected use, and opens
// the other once that one is gone.
func (e *Entry) openForOrganisations(i *entryInstance) {
	missing := i.missingOrganisations()
	room := max(e.placeLimit(i)-len(i.conns), 0)
	closing := len(i.conns) - i.openCount()
	if i.place.unplaced > 0 || len(missing) > room+closing {
		e.report.urgent = e.report.urgent || e.neededConns(i) > i.neededAtReport
	}
	spare := min(e.targetConns(i)-i.openCount(), room) - len(missing)
	if len(missing) == 0 && spare <= 0 {
		return
	}
	if e.now.Before(i.openAfter) && !i.confirmRefusal {
		e.scheduleWake(i.openAfter)
		return
	}
	missing = missing[:max(min(len(missing), e.maxOpening(i)-i.openingCount()), 0)]
	if lacked := len(missing) - room - closing; lacked > 0 {
		e.closeLeastUsed(i, unneeded(i.idleCandidates(i.service.firstWaiting(), e.now)), lacked)
	}
	if len(missing) == 0 && spare > 0 && i.openingCount() == 0 {
		missing = []catalog.OrganisationID{""}
	}
	i.confirmRefusal = false
	for _, id := range missing[:min(len(missing), room)] {
		e.openConn(i, id)
		e.chargeOpening(i, id)
	}
}

// maxOpening returns how many connections to the upstream may be opening at once.
// Opening a connection occupies a slot like a statement. The limit is half of the
// slots, so that requests with connections still run while many organisations
// return at once, and one while the upstream refuses connections.
func (e *Entry) maxOpening(i *entryInstance) int {
	if i.backoff > 0 || i.confirmRefusal {
		return 1
	}
	return max(i.slots()/2, 1)
}
