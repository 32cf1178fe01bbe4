package node

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/organisation"
)

// ratePerOwner is the rate of an organisation's operations of a service in a site,
// in operations per second, that one owner runs. An owner runs that many with a
// fraction of its processor time. If it had all operations of a large
// organisation, its network link would limit them.
const ratePerOwner = 25

// organisationConcurrencyFactor replaces siteConcurrencyFactor where there are
// organisations. While a statement waits at a saturated upstream, its connection
// can't run another one and its place is not free for another organisation, and
// opening a connection waits there too. The requests of one entry's callers go to
// all owners, so a site fills an upstream's slots with one statement for each.
const organisationConcurrencyFactor = 1

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
	ranked := rankForOrganisation(s.id, id, owners)
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

// rankForOrganisation returns the owners in the order in which they run an
// organisation's requests.
func rankForOrganisation(service catalog.ServiceID, id catalog.OrganisationID, owners []catalog.VMID) []catalog.VMID {
	ranked := slices.Clone(owners)
	slices.SortFunc(ranked, func(a, b catalog.VMID) int {
		return cmp.Or(cmp.Compare(organisationWeight(b, service, id), organisationWeight(a, service, id)), cmp.Compare(a, b))
	})
	return ranked
}

// ownerPart is the part of the work of all organisations, from 0 to 1, that an
// entry is expected to run as an owner of a service. The other fields identify what
// it was computed from.
type ownerPart struct {
	share    float64
	from     *organisation.Directory
	mark     uint64
	services int
	owners   int
}

// organisationsPart returns how many of the site's statements at an upstream this
// entry may run because of the organisations whose requests it runs. The requests
// of an organisation meet at one owner, so owners have unequal work: the largest
// organisation of a Zipf distribution with exponent 1.2 sends 29% of it, while the
// even part of one of four owners is 25%. The sum over the owners stays below twice
// of what the site may run, since no owner gets more than the larger of its even
// part and this one.
func (e *Entry) organisationsPart(s *entryService, siteLimit int) int {
	if e.organisations == nil || e.owners.mark == 0 {
		return 0
	}
	e.rankOwners(s)
	now := ownerPart{share: s.part.share, from: e.organisations, mark: e.owners.mark, services: len(e.serviceIDs), owners: e.ownerCount(s)}
	if s.part != now {
		now.share = e.ownerShare(s)
		s.part = now
	}
	return int(math.Ceil(s.part.share * float64(siteLimit)))
}

// ownerShare returns the sum of the configured rates of the organisations whose
// requests this entry runs as an owner of the service, relative to that of all
// organisations. Organisations without a limit count as one with the mean rate.
func (e *Entry) ownerShare(s *entryService) float64 {
	owners := s.owners[:min(e.ownerCount(s), len(s.owners))]
	if !slices.Contains(owners, e.options.VM) {
		return 0
	}
	ids := e.organisations.IDs()
	limited, sum := 0, 0.0
	for _, id := range ids {
		if o, _ := e.organisations.ByID(id); o.Rate > 0 {
			limited++
			sum += o.Rate
		}
	}
	mean := 1.0
	if limited > 0 {
		mean = sum / float64(limited)
	}
	own, total := 0.0, 0.0
	for _, id := range ids {
		o, _ := e.organisations.ByID(id)
		rate := o.Rate
		if rate == 0 {
			rate = mean
		}
		total += rate
		count := min(e.organisationOwnerCount(id), len(owners))
		if slices.Contains(rankForOrganisation(s.id, id, owners)[:count], e.options.VM) {
			own += rate / float64(count)
		}
	}
	if total == 0 {
		return 0
	}
	return own / total
}

func organisationWeight(vm catalog.VMID, service catalog.ServiceID, id catalog.OrganisationID) uint64 {
	return xxhash.Sum64String(string(vm) + "\x00" + string(service) + "\x00" + string(id))
}
