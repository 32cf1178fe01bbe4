package node

import (
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// applySettings applies a higher version of the accepted configuration.
func (e *Entry) applySettings(a wire.Answer) {
	if a.Version <= e.version {
		return
	}
	e.version = a.Version
	if a.Full {
		for _, id := range e.serviceIDs {
			e.service(id).accepted = false
		}
	}
	e.applyRoutes(a)
	for _, c := range a.Services {
		e.configureService(c)
	}
	for _, id := range a.RemovedServices {
		e.service(id).accepted = false
	}
	if a.HasDrained {
		e.drained = a.Drained
		e.markAllDirty()
	}
}

// isDrained reports whether operators forbid new work at the upstream.
func (e *Entry) isDrained(i *entryInstance) bool {
	return slices.Contains(e.drained, i.id)
}

func (e *Entry) configureService(c catalog.Service) {
	s := e.service(c.ID)
	changed := s.settings.Limits.Slots != c.Limits.Slots
	s.settings = c
	s.accepted = true
	if !changed {
		return
	}
	for _, i := range s.instances {
		i.adaptiveLimit = float64(i.slots())
	}
}
