package node

import (
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/connplace"
)

// A connection is opened for one organisation and runs only its requests, since
// the upstream takes the organisation's name from the opening of the connection.
// There are more organisations than connections, so a request may need a
// connection while those of other organisations are idle. One of these is then
// closed, and its place is used.

// connsPlace is the state of an upstream's connections that concerns
// organisations.
type connsPlace struct {
	// lacking are the organisations of the requests that found no connection in
	// this step, in the order of the requests.
	lacking []catalog.OrganisationID
	uses    connplace.Uses
}

// servesOrganisations reports whether the upstream has connections of
// organisations or requests that lack one.
func (i *entryInstance) servesOrganisations() bool {
	for _, id := range i.place.lacking {
		if id != "" {
			return true
		}
	}
	for _, c := range i.conns {
		if c.organisation != "" {
			return true
		}
	}
	return false
}

// recordLack counts a request that found no connection in this step.
func (i *entryInstance) recordLack(r *entryRequest) {
	i.connShortfall++
	i.place.lacking = append(i.place.lacking, r.Organisation)
}

// missingOrganisations returns the organisations for which connections must be
// opened: those of the requests that lack one, without those for which one is
// opening or will be idle soon.
func (i *entryInstance) missingOrganisations() []catalog.OrganisationID {
	coming := map[catalog.OrganisationID]int{}
	for _, c := range i.conns {
		switch c.state {
		case connOpening, connIdle, connProbing:
			if !c.closeWhenFree {
				coming[c.organisation]++
			}
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
// and spare ones for probes. If the grant leaves no place for one, it closes the
// idle connection with the lowest expected use, and opens the other once that one
// is gone.
func (e *Entry) openForOrganisations(i *entryInstance) {
	missing := i.missingOrganisations()
	for spare := e.targetConns(i) - i.openCount() - len(missing); spare > 0; spare-- {
		missing = append(missing, "")
	}
	if len(missing) == 0 {
		return
	}
	if e.now.Before(i.openAfter) && !i.confirmRefusal {
		e.scheduleWake(i.openAfter)
		return
	}
	if over := len(missing) - e.maxOpening(i) + i.openingCount(); over > 0 {
		missing = missing[:max(len(missing)-over, 0)]
	}
	i.confirmRefusal = false
	room := e.connLimit(i, e.now) - len(i.conns)
	closing := len(i.conns) - i.openCount()
	if lacked := len(missing) - max(room, 0) - closing; lacked > 0 {
		e.report.urgent = e.report.urgent || e.neededConns(i) > i.neededAtReport
		e.closeLeastUsed(i, lacked)
	}
	for _, id := range missing[:min(len(missing), max(room, 0))] {
		e.openConn(i, id)
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

// closeLeastUsed closes up to n idle connections, those with the lowest expected
// use first. It keeps those of organisations whose requests lack a connection.
func (e *Entry) closeLeastUsed(i *entryInstance, n int) int {
	var list []connplace.Candidate
	count := map[catalog.OrganisationID]int{}
	for _, c := range i.conns {
		if c.state == connClosing {
			continue
		}
		count[c.organisation]++
		if c.state != connIdle || slices.Contains(i.place.lacking, c.organisation) {
			continue
		}
		list = append(list, connplace.Candidate{
			Conn: c.id, Organisation: c.organisation, Nth: count[c.organisation], Reserved: !c.wasUsed, IdleSince: c.idleSince,
		})
	}
	i.place.uses.SortByUse(list, i.service.serviceTime, e.now)
	closed := list[:max(min(n, len(list)), 0)]
	for _, x := range closed {
		e.closeConn(e.conns[x.Conn])
	}
	return len(closed)
}

// isIdleFor reports whether a request of the organisation may run on the
// connection now.
func (c *entryConn) isIdleFor(id catalog.OrganisationID) bool {
	return c.state == connIdle && !c.closeWhenFree && c.organisation == id
}

// recordUse records that a request starts on a connection of an organisation.
func (i *entryInstance) recordUse(c *entryConn, now catalog.Instant) {
	c.wasUsed = true
	i.place.uses.Record(c.organisation, now)
}
