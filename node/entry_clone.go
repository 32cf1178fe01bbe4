package node

import (
	"maps"
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// A copy of an entry decides on a request as the entry itself would, and leaves the
// entry unchanged. It shares with the entry only what neither of them modifies in
// place: the configuration, messages, and lists that are replaced as a whole.

// entryCloner maps the parts of an entry to their copies.
type entryCloner struct {
	services  map[*entryService]*entryService
	instances map[*entryInstance]*entryInstance
	conns     map[*entryConn]*entryConn
	requests  map[*entryRequest]*entryRequest
}

// clone returns an independent copy of the entry's state between two steps.
func (e *Entry) clone() *Entry {
	m := &entryCloner{
		services: map[*entryService]*entryService{}, instances: map[*entryInstance]*entryInstance{},
		conns: map[*entryConn]*entryConn{}, requests: map[*entryRequest]*entryRequest{},
	}
	c := *e
	c.effects, c.provenBuffer, c.likelyBuffer, c.siteOrder = nil, nil, nil, siteOrder{}
	c.counterEffects = maps.Clone(e.counterEffects)
	c.limits.admission = e.limits.admission.Clone()
	c.serviceIDs = slices.Clone(e.serviceIDs)
	c.services = make(map[catalog.ServiceID]*entryService, len(e.services))
	for id, s := range e.services {
		c.services[id] = m.service(s)
	}
	c.conns = make(map[catalog.ConnID]*entryConn, len(e.conns))
	for id, x := range e.conns {
		c.conns[id] = m.conn(x)
	}
	c.requests = make(map[catalog.RequestID]*entryRequest, len(e.requests))
	for id, r := range e.requests {
		c.requests[id] = m.request(r)
	}
	c.report.sentAt = maps.Clone(e.report.sentAt)
	c.report.searches = maps.Clone(e.report.searches)
	c.report.acknowledged = maps.Clone(e.report.acknowledged)
	c.report.pendingAnnouncements = cloneList(e.report.pendingAnnouncements, m.instance)
	c.report.services = cloneList(e.report.services, m.service)
	c.schedule = entrySchedule{dirty: cloneList(e.schedule.dirty, m.service), wakes: cloneList(e.schedule.wakes, m.service)}
	c.catchUp.confirmed = maps.Clone(e.catchUp.confirmed)
	c.owners.avoidedUntil = maps.Clone(e.owners.avoidedUntil)
	c.owners.remoteTransactions = maps.Clone(e.owners.remoteTransactions)
	return &c
}

// cloneList copies a list and each of its elements. It keeps nil.
func cloneList[L ~[]*T, T any](list L, clone func(*T) *T) L {
	out := slices.Clone(list)
	for n, x := range out {
		out[n] = clone(x)
	}
	return out
}

func (m *entryCloner) service(s *entryService) *entryService {
	if s == nil || m.services[s] != nil {
		return m.services[s]
	}
	c := *s
	m.services[s] = &c
	c.drainRequesters = slices.Clone(s.drainRequesters)
	c.instances = cloneList(s.instances, m.instance)
	for class := range s.waiting {
		c.waiting[class] = cloneList(s.waiting[class], m.request)
	}
	c.costs = maps.Clone(s.costs)
	c.waitingTags = maps.Clone(s.waitingTags)
	c.clock = s.clock.Clone()
	c.replicating = cloneList(s.replicating, m.request)
	c.running = cloneList(s.running, m.request)
	c.primaryPositions = slices.Clone(s.primaryPositions)
	c.baselines.latencies = maps.Clone(s.baselines.latencies)
	c.balance.target = m.instance(s.balance.target)
	return &c
}

func (m *entryCloner) instance(i *entryInstance) *entryInstance {
	if i == nil || m.instances[i] != nil {
		return m.instances[i]
	}
	c := *i
	m.instances[i] = &c
	c.service = m.service(i.service)
	c.grants = slices.Clone(i.grants)
	c.conns = cloneList(i.conns, m.conn)
	c.place.lacking = slices.Clone(i.place.lacking)
	c.place.uses = i.place.uses.Clone()
	return &c
}

func (m *entryCloner) conn(x *entryConn) *entryConn {
	if x == nil || m.conns[x] != nil {
		return m.conns[x]
	}
	c := *x
	m.conns[x] = &c
	c.instance, c.request = m.instance(x.instance), m.request(x.request)
	return &c
}

func (m *entryCloner) request(r *entryRequest) *entryRequest {
	if r == nil || m.requests[r] != nil {
		return m.requests[r]
	}
	c := *r
	m.requests[r] = &c
	c.service = m.service(r.service)
	c.instance, c.lackedAt, c.lastFailed = m.instance(r.instance), m.instance(r.lackedAt), m.instance(r.lastFailed)
	return &c
}
