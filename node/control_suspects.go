package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// checkSuspects checks the services that have a failover in progress or are
// suspected, and all services once per fullCheckInterval.
func (c *Control) checkSuspects() {
	if c.nextFullCheckAt <= c.now {
		c.nextFullCheckAt = c.now.Add(fullCheckInterval)
		for _, s := range c.state.Services {
			c.checkService(s)
		}
		c.forgetEntries()
		return
	}
	for _, id := range c.nextSuspects() {
		if s, ok := c.state.Service(id); ok {
			c.checkService(s)
		}
	}
}

// maxChecksPerSweep bounds the services that one sweep checks because they are
// suspected or fail over. When a fleet starts, all of 1,200 services do both for
// seconds, and checking each of them 50 times a second takes half of a leader's
// processor. With this bound each is checked within 100 ms.
const maxChecksPerSweep = 256

// nextSuspects returns the services that have a failover in progress or are
// suspected, sorted by id. Where there are more than maxChecksPerSweep, successive
// calls return successive parts of them.
func (c *Control) nextSuspects() []catalog.ServiceID {
	var ids []catalog.ServiceID
	for id := range c.failovers {
		ids = append(ids, id)
	}
	for id, until := range c.suspectUntil {
		if until < c.now {
			delete(c.suspectUntil, id)
		} else if c.failovers[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if len(ids) <= maxChecksPerSweep {
		return ids
	}
	first, isFound := slices.BinarySearch(ids, c.lastChecked)
	if isFound {
		first++
	}
	ids = append(ids[first:], ids[:first]...)[:maxChecksPerSweep]
	c.lastChecked = ids[len(ids)-1]
	return ids
}

// checkReported checks services that a report gives as suspect. With few services
// in question it checks all of them, so that failovers in progress advance, too.
// With many that would take the leader of 300 entries, each of which may report a
// failure, more than its processor.
func (c *Control) checkReported(suspects []catalog.ServiceID) {
	if len(suspects) == 0 {
		return
	}
	if len(c.suspectUntil)+len(c.failovers) <= maxChecksPerReport {
		c.checkSuspects()
		return
	}
	slices.Sort(suspects)
	for _, id := range slices.Compact(suspects) {
		if s, ok := c.state.Service(id); ok {
			c.checkService(s)
		}
	}
}

// maxChecksPerReport bounds the services that are checked although a report gives
// no reason for it.
const maxChecksPerReport = 64

// markSuspect makes every sweep check a service for suspectPeriod.
func (c *Control) markSuspect(id catalog.ServiceID) {
	c.suspectUntil[id] = c.now.Add(suspectPeriod)
}

const (
	fullCheckInterval = time.Second
	keepaliveInterval = 10 * time.Second
	suspectPeriod     = 3 * time.Second
)
