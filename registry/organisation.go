package registry

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// OrganisationVersion is the version that last changed an organisation.
type OrganisationVersion struct {
	ID      catalog.OrganisationID `cbor:"1,keyasint"`
	Version catalog.Version        `cbor:"2,keyasint"`
}

// CheckOrganisations describes the first error in a list of organisations, and
// returns an empty string if it has none. The list must be sorted by id. The
// description contains no key.
func CheckOrganisations(organisations []catalog.Organisation) string {
	holders := map[catalog.KeyDigest]catalog.OrganisationID{}
	for i, o := range organisations {
		switch {
		case o.ID == "" || strings.ContainsAny(string(o.ID), " \r\n"):
			return fmt.Sprintf("organisation %q: the id must not be empty or contain blanks", o.ID)
		case i > 0 && organisations[i-1].ID == o.ID:
			return fmt.Sprintf("organisation %s is given twice", o.ID)
		case o.Rate < 0 || o.Burst < 0:
			return fmt.Sprintf("organisation %s: rate and burst must not be negative", o.ID)
		}
		for _, key := range o.Keys {
			if holder, ok := holders[key]; ok && holder != o.ID {
				return fmt.Sprintf("organisations %s and %s share a key", holder, o.ID)
			}
			holders[key] = o.ID
		}
	}
	return ""
}

// Organisation returns the organisation with an id, and false if there is none.
func (s *State) Organisation(id catalog.OrganisationID) (catalog.Organisation, bool) {
	i := sort.Search(len(s.Organisations), func(i int) bool { return s.Organisations[i].ID >= id })
	if i < len(s.Organisations) && s.Organisations[i].ID == id {
		return s.Organisations[i], true
	}
	return catalog.Organisation{}, false
}

// OrganisationsSince returns the organisations that were changed after a version,
// and the ids of those that were removed after it.
func (s *State) OrganisationsSince(v catalog.Version) (changed []catalog.Organisation, removed []catalog.OrganisationID) {
	for _, t := range s.OrganisationVersions {
		if t.Version <= v {
			continue
		}
		if o, ok := s.Organisation(t.ID); ok {
			changed = append(changed, o)
		} else {
			removed = append(removed, t.ID)
		}
	}
	return changed, removed
}

// markChangedOrganisations stores the new version for each organisation that the
// new list adds, changes or removes.
func (s *State) markChangedOrganisations(next []catalog.Organisation, version catalog.Version) {
	kept := map[catalog.OrganisationID]bool{}
	for _, o := range next {
		kept[o.ID] = true
		if old, ok := s.Organisation(o.ID); !ok || !isSameOrganisation(old, o) {
			s.markOrganisationChanged(o.ID, version)
		}
	}
	for _, o := range s.Organisations {
		if !kept[o.ID] {
			s.markOrganisationChanged(o.ID, version)
		}
	}
}

func isSameOrganisation(a, b catalog.Organisation) bool {
	return a.Priority == b.Priority && a.Rate == b.Rate && a.Burst == b.Burst && slices.Equal(a.Keys, b.Keys)
}

func (s *State) markOrganisationChanged(id catalog.OrganisationID, version catalog.Version) {
	i := sort.Search(len(s.OrganisationVersions), func(i int) bool { return s.OrganisationVersions[i].ID >= id })
	if i < len(s.OrganisationVersions) && s.OrganisationVersions[i].ID == id {
		s.OrganisationVersions[i].Version = version
		return
	}
	s.OrganisationVersions = slices.Insert(s.OrganisationVersions, i, OrganisationVersion{ID: id, Version: version})
}
