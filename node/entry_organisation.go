package node

import "github.com/kingcupknot/kingcupknot/wire"

// applyOrganisations applies the organisations of a higher configuration version.
func (e *Entry) applyOrganisations(a wire.Answer) {
	if !a.KeysRequired {
		e.organisations = nil
		return
	}
	base := e.organisations
	if a.Full {
		base = nil
	}
	if base == nil || len(a.Organisations)+len(a.RemovedOrganisations) > 0 {
		e.organisations = base.With(a.Organisations, a.RemovedOrganisations)
	}
}
