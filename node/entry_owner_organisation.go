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

// connsPerStatement is how many connections to an upstream an entry must be allowed
// for each statement beyond one per slot, while it wants more connections than that.
// While a statement waits at a saturated upstream, its connection can't run another
// one and its place is not free for another organisation. A site that serves alone
// has about three connections for each of its two statements per slot and must fill
// the slots; with three sites each has one, and openings occupy the slots. In a play
// at 70% of the upstream, one per slot was too little for one site alone (9.9% late
// instead of 1.0%), and two were too many for three sites (4.3% instead of 3.7%).
const connsPerStatement = 2

// organisationsLimit returns how many statements this entry may run at an upstream
// as one of the given number of owners: its part of two statements per slot or, where
// connections are scarce, of one statement per slot.
func (e *Entry) organisationsLimit(i *entryInstance, owners int) int {
	least, most := e.organisationsParts(i.service, i.slots(), owners)
	granted := e.connLimit(i, e.now)
	if i.place.wanted <= granted {
		return most
	}
	return max(least, min(most, granted/connsPerStatement))
}

// unreservedLimit returns the number of statements up to which browsing leaves no
// slot free, zero without organisations. An entry that may only run one statement per
// slot would otherwise leave a part of the upstream unused.
func (e *Entry) unreservedLimit(i *entryInstance) int {
	if e.organisations == nil || !e.options.UpstreamsFromControl {
		return 0
	}
	least, _ := e.organisationsParts(i.service, i.slots(), e.sharingOwners(i.service))
	return least
}

// sharingOwners returns the number of owners that share what the site may run.
func (e *Entry) sharingOwners(s *entryService) int {
	return max(min(e.ownerCount(s), len(e.owners.entries)), 1)
}

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

// ownerParts holds the parts of the work of all organisations, from 0 to 1, that the
// owners of a service are expected to run. The other fields identify what they were
// computed from.
type ownerParts struct {
	// shares has the order of the owners; own is the index of this entry, or -1.
	shares   []float64
	own      int
	from     *organisation.Directory
	mark     uint64
	services int
	// one and two are the last results of organisationsParts, for these slots.
	slots, one, two int
}

// organisationsParts returns how many statements this entry may run, as one of the
// owners, at an upstream with the given slots, if the site runs one statement per
// slot and if it runs two. The requests of an organisation meet at one owner, so
// owners have unequal work: the largest organisation of a Zipf distribution with
// exponent 1.2 sends 29% of it, while the even part of one of four owners is 25%.
// Of one statement per slot, an owner gets its even part or that of its organisations,
// whichever is larger. What this leaves of two per slot goes one by one to the owner
// that lacks most of its organisations' part.
func (e *Entry) organisationsParts(s *entryService, slots, owners int) (one, two int) {
	even := func(n int) int { return max((n+owners-1)/owners, 1) }
	p := e.ownerParts(s)
	if p.own < 0 {
		return even(slots), even(siteConcurrencyFactor * slots)
	}
	if p.slots == slots {
		return p.one, p.two
	}
	most, total := float64(siteConcurrencyFactor*slots), 0
	parts := make([]int, len(p.shares))
	for n, share := range p.shares {
		parts[n] = max(even(slots), int(math.Ceil(share*float64(slots))))
		total += parts[n]
	}
	p.slots, p.one = slots, parts[p.own]
	for ; total < siteConcurrencyFactor*slots; total++ {
		lacking := 0
		for n, share := range p.shares {
			if share*most-float64(parts[n]) > p.shares[lacking]*most-float64(parts[lacking]) {
				lacking = n
			}
		}
		parts[lacking]++
	}
	p.two = parts[p.own]
	return p.one, p.two
}

// ownerParts returns the parts of the owners of a service, which it computes when
// what they depend on has changed.
func (e *Entry) ownerParts(s *entryService) *ownerParts {
	if e.owners.mark == 0 {
		return &ownerParts{own: -1}
	}
	e.rankOwners(s)
	owners := s.owners[:min(e.ownerCount(s), len(s.owners))]
	p := &s.parts
	if p.from != e.organisations || p.mark != e.owners.mark || p.services != len(e.serviceIDs) || len(p.shares) != len(owners) {
		*p = ownerParts{
			shares: e.ownerShares(s, owners), own: slices.Index(owners, e.options.VM),
			from: e.organisations, mark: e.owners.mark, services: len(e.serviceIDs),
		}
	}
	return p
}

// ownerShares returns, for each of the owners, the sum of the configured rates of the
// organisations whose requests it runs, relative to that of all organisations.
// Organisations without a limit count as one with the mean rate.
func (e *Entry) ownerShares(s *entryService, owners []catalog.VMID) []float64 {
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
	shares, total := make([]float64, len(owners)), 0.0
	for _, id := range ids {
		o, _ := e.organisations.ByID(id)
		rate := o.Rate
		if rate == 0 {
			rate = mean
		}
		total += rate
		ranked := rankForOrganisation(s.id, id, owners)
		ranked = ranked[:min(e.organisationOwnerCount(id), len(ranked))]
		for _, vm := range ranked {
			shares[slices.Index(owners, vm)] += rate / float64(len(ranked))
		}
	}
	for n := range shares {
		shares[n] /= max(total, 1e-9)
	}
	return shares
}

func organisationWeight(vm catalog.VMID, service catalog.ServiceID, id catalog.OrganisationID) uint64 {
	return xxhash.Sum64String(string(vm) + "\x00" + string(service) + "\x00" + string(id))
}
