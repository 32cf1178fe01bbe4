package node

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

func (c *Control) entryVMs() []catalog.VMID {
	return slices.Sorted(maps.Keys(c.entries))
}

// forgetEntries removes entries that have not reported for forgetAfter and so
// hold no lease or grant any more.
func (c *Control) forgetEntries() {
	for _, vm := range c.entryVMs() {
		if v := c.entries[vm]; v.reportedAt.Add(forgetAfter).Before(c.now) {
			c.forgetEntry(vm, v)
		}
	}
}

func (c *Control) forgetEntry(vm catalog.VMID, v *entryView) {
	delete(c.entries, vm)
	c.limits.allocator.Forget(vm)
	c.subscribe(vm, v, nil)
	for id := range v.leases {
		c.leaseHolders.remove(id, vm)
	}
	c.dropObservations(vm)
	for id, byEntry := range c.allocations {
		if byEntry[vm] != nil {
			c.allocationRevisions[id]++
		}
		delete(byEntry, vm)
	}
}

// dropObservations removes what an entry has observed.
func (c *Control) dropObservations(vm catalog.VMID) {
	for _, byEntry := range c.observations {
		delete(byEntry, vm)
	}
}

const (
	forgetAfter = time.Minute
	// membersInterval is the time between two lists of the control VMs sent to
	// an entry. It is short compared to the lifetime of a control VM.
	membersInterval = 2 * time.Second
)

// serviceVMs holds a set of entries for each service.
type serviceVMs map[catalog.ServiceID]map[catalog.VMID]bool

func (m serviceVMs) add(id catalog.ServiceID, vm catalog.VMID) {
	if m[id] == nil {
		m[id] = map[catalog.VMID]bool{}
	}
	m[id][vm] = true
}

func (m serviceVMs) remove(id catalog.ServiceID, vm catalog.VMID) {
	delete(m[id], vm)
}

// vms returns the entries of a service, sorted.
func (m serviceVMs) vms(id catalog.ServiceID) []catalog.VMID {
	return slices.Sorted(maps.Keys(m[id]))
}
