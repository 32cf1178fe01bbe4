package node

import (
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// takeSettings takes a higher version of the accepted configuration.
func (e *Entry) takeSettings(a wire.Answer) {
	if a.Version <= e.version {
		return
	}
	e.version = a.Version
	if a.Full {
		for _, id := range e.order {
			e.service(id).accepted = false
		}
	}
	e.takeRoutes(a)
	for _, c := range a.Services {
		e.configure(c)
	}
	for _, id := range a.Removed {
		e.service(id).accepted = false
	}
	if a.HasDrained {
		e.drained = a.Drained
		e.touchAll()
	}
}

// isDrained reports whether operators keep new work from the upstream.
func (e *Entry) isDrained(i *entryInstance) bool {
	return slices.Contains(e.drained, i.id)
}

func (e *Entry) configure(c catalog.Service) {
	s := e.service(c.ID)
	changed := s.settings.Limits.Slots != c.Limits.Slots
	s.settings = c
	s.accepted = true
	if !changed {
		return
	}
	for _, i := range s.instances {
		i.limit = float64(i.slots())
	}
}
