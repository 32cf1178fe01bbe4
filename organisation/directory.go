// Package organisation finds the organisations of callers by their keys.
package organisation

import (
	"maps"
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Directory holds the organisations of one version of the configuration. It is
// immutable, so any goroutine may use it. A nil Directory means that callers need
// no key.
type Directory struct {
	byID  map[catalog.OrganisationID]catalog.Organisation
	byKey map[catalog.KeyDigest]catalog.OrganisationID
}

// New returns a directory of the given organisations.
func New(organisations []catalog.Organisation) *Directory {
	byID := make(map[catalog.OrganisationID]catalog.Organisation, len(organisations))
	for _, o := range organisations {
		byID[o.ID] = o
	}
	return newDirectory(byID)
}

func newDirectory(byID map[catalog.OrganisationID]catalog.Organisation) *Directory {
	d := &Directory{byID: byID, byKey: map[catalog.KeyDigest]catalog.OrganisationID{}}
	for id, o := range byID {
		for _, key := range o.Keys {
			d.byKey[key] = id
		}
	}
	return d
}

// With returns a directory in which the changed organisations replace those with
// the same ids and the removed ones are missing. d may be nil.
func (d *Directory) With(changed []catalog.Organisation, removed []catalog.OrganisationID) *Directory {
	byID := map[catalog.OrganisationID]catalog.Organisation{}
	if d != nil {
		byID = maps.Clone(d.byID)
	}
	for _, id := range removed {
		delete(byID, id)
	}
	for _, o := range changed {
		byID[o.ID] = o
	}
	return newDirectory(byID)
}

// ByKey returns the id of the organisation that holds a key, and false if none
// does.
func (d *Directory) ByKey(key catalog.KeyDigest) (catalog.OrganisationID, bool) {
	id, ok := d.byKey[key]
	return id, ok
}

// ByID returns the organisation with an id, and false if there is none.
func (d *Directory) ByID(id catalog.OrganisationID) (catalog.Organisation, bool) {
	if d == nil {
		return catalog.Organisation{}, false
	}
	o, ok := d.byID[id]
	return o, ok
}

// IDs returns the ids of all organisations, sorted.
func (d *Directory) IDs() []catalog.OrganisationID {
	if d == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(d.byID))
}
