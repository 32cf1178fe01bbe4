package node

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// ratePerOwner is the rate of an organisation's operations of a service in a site,
// in operations per second, that one owner runs. An owner runs that many with a
// fraction of its processor time. If it had all operations of a large
// organisation, its network link would limit them.
const ratePerOwner = 25

// ownerFor returns the owner that runs the requests of an organisation, or an
// empty id if there are no owners. The requests of an organisation meet at one
// owner, so that a site needs few connections for it. Those of an organisation
// with a high configured rate go to several owners, selected by the hash of this
// entry. Without an organisation, requests run here if this entry is an owner.
func (e *Entry) ownerFor(s *entryService, id catalog.OrganisationID, owners []catalog.VMID) catalog.VMID {
	if len(owners) == 0 {
		return ""
	}
	own := rendezvousWeight(e.options.VM, s.id)
	if id == "" {
		if slices.Contains(owners, e.options.VM) {
			return e.options.VM
		}
		return owners[own%uint64(len(owners))]
	}
	ranked := slices.Clone(owners)
	slices.SortFunc(ranked, func(a, b catalog.VMID) int {
		return cmp.Or(cmp.Compare(organisationWeight(b, s.id, id), organisationWeight(a, s.id, id)), cmp.Compare(a, b))
	})
	count := min(e.organisationOwnerCount(id), len(ranked))
	if slices.Contains(ranked[:count], e.options.VM) {
		return e.options.VM
	}
	return ranked[own%uint64(count)]
}

// organisationOwnerCount returns the number of owners of each service and site
// that run the requests of an organisation.
func (e *Entry) organisationOwnerCount(id catalog.OrganisationID) int {
	rate := e.expectedRate(id)
	return max(int(math.Ceil(rate/ratePerOwner)), 1)
}

// expectedRate returns an organisation's configured rate for one service and site,
// in operations per second, if its operations are spread evenly over them.
func (e *Entry) expectedRate(id catalog.OrganisationID) float64 {
	o, _ := e.organisations.ByID(id)
	return o.Rate / float64(max(len(e.serviceIDs), 1)*max(e.owners.sites, 1))
}

func organisationWeight(vm catalog.VMID, service catalog.ServiceID, id catalog.OrganisationID) uint64 {
	return xxhash.Sum64String(string(vm) + "\x00" + string(service) + "\x00" + string(id))
}
