package registry

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Apply applies one change of the replicated log and returns its result. It is
// deterministic. An operator's change with the ID of a stored result is not
// applied again: Apply returns that result, or CodeInvalid if the earlier change
// was a different one.
func (s *State) Apply(c Change) Result {
	switch {
	case c.Elect != nil:
		return s.electPrimary(*c.Elect)
	case c.Ready != nil:
		return s.markPrimaryReady(*c.Ready)
	case c.Adopt != nil:
		return s.adoptConfiguration(*c.Adopt)
	case c.Retire != nil:
		return s.retireUpstream(*c.Retire)
	case c.Register != nil:
		return s.registerUpstream(*c.Register)
	}
	digest := digestOf(c)
	if r, ok := s.resultByID[c.ID]; ok && c.ID != "" {
		if r.Digest == digest {
			return r
		}
		return Result{
			ID: c.ID, Code: CodeInvalid, Version: s.Version,
			Text: fmt.Sprintf("change id %s was used for another change; take a new one", c.ID),
		}
	}
	r := s.applyOperatorChange(c)
	r.ID, r.Digest = c.ID, digest
	if c.ID != "" {
		s.storeResult(r)
	}
	return r
}

func digestOf(c Change) uint64 {
	data, err := Encode(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func (s *State) applyOperatorChange(c Change) Result {
	if c.IfVersion != 0 && c.IfVersion != s.Version {
		return Result{
			Code: CodeConflict, Version: s.Version, ConflictingChange: s.lastAcceptedChange(),
			Text: fmt.Sprintf("version %d was asked for, but %d is in force; look at it and apply again", c.IfVersion, s.Version),
		}
	}
	switch {
	case c.Replace != nil:
		return s.replaceServices(c.Replace.Services)
	case c.Create != nil:
		return s.createService(c.Create.Service)
	case c.Remove != nil:
		return s.removeService(c.Remove.Service)
	case c.Drain != nil:
		return s.drainUpstream(*c.Drain)
	}
	return s.invalid("the change is empty")
}

func (s *State) lastAcceptedChange() catalog.ChangeID {
	for i := len(s.Results) - 1; i >= 0; i-- {
		if s.Results[i].Code == CodeOK {
			return s.Results[i].ID
		}
	}
	return ""
}

func (s *State) invalid(text string) Result {
	return Result{Code: CodeInvalid, Version: s.Version, Text: text}
}

func (s *State) accept(text string) Result {
	s.Version++
	return Result{Code: CodeOK, Version: s.Version, Text: text}
}

func (s *State) replaceServices(services []catalog.Service) Result {
	sorted := append([]catalog.Service(nil), services...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	for i, v := range sorted {
		if text := CheckService(v); text != "" {
			return s.invalid(text)
		}
		if i > 0 && sorted[i-1].ID == v.ID {
			return s.invalid(fmt.Sprintf("service %s is given twice", v.ID))
		}
	}
	s.markChangedServices(sorted, s.Version+1)
	s.Services = sorted
	return s.accept(fmt.Sprintf("%d services in force", len(sorted)))
}

// markChangedServices stores the new version for each service that the new list
// adds, changes or removes.
func (s *State) markChangedServices(next []catalog.Service, version catalog.Version) {
	kept := map[catalog.ServiceID]bool{}
	for _, v := range next {
		kept[v.ID] = true
		if old, ok := s.Service(v.ID); !ok || old != v {
			s.markServiceChanged(v.ID, version)
		}
	}
	for _, v := range s.Services {
		if !kept[v.ID] {
			s.markServiceChanged(v.ID, version)
		}
	}
}

func (s *State) createService(v catalog.Service) Result {
	if text := CheckService(v); text != "" {
		return s.invalid(text)
	}
	if _, ok := s.Service(v.ID); ok {
		return s.invalid(fmt.Sprintf("service %s exists already", v.ID))
	}
	s.markServiceChanged(v.ID, s.Version+1)
	s.Services = append(append([]catalog.Service(nil), s.Services...), v)
	sort.Slice(s.Services, func(i, j int) bool { return s.Services[i].ID < s.Services[j].ID })
	return s.accept(fmt.Sprintf("service %s created", v.ID))
}

func (s *State) removeService(id catalog.ServiceID) Result {
	if _, ok := s.Service(id); !ok {
		return Result{Code: CodeNotFound, Version: s.Version, Text: fmt.Sprintf("there is no service %s", id)}
	}
	var kept []catalog.Service
	for _, v := range s.Services {
		if v.ID != id {
			kept = append(kept, v)
		}
	}
	s.markServiceChanged(id, s.Version+1)
	s.Services = kept
	return s.accept(fmt.Sprintf("service %s removed", id))
}

func (s *State) drainUpstream(d DrainUpstream) Result {
	i := sort.Search(len(s.Drained), func(i int) bool { return s.Drained[i] >= d.Instance })
	isDrained := i < len(s.Drained) && s.Drained[i] == d.Instance
	next := append([]catalog.InstanceID(nil), s.Drained[:i]...)
	rest := s.Drained[i:]
	if isDrained {
		rest = rest[1:]
	}
	if !d.Off {
		next = append(next, d.Instance)
	}
	s.Drained = append(next, rest...)
	s.DrainedVersion = s.Version + 1
	if d.Off {
		return s.accept(fmt.Sprintf("upstream %s takes work again", d.Instance))
	}
	return s.accept(fmt.Sprintf("upstream %s gets no new work", d.Instance))
}

func (s *State) electPrimary(e ElectPrimary) Result {
	p := s.Primary(e.Service)
	if _, ok := s.Service(e.Service); !ok {
		return Result{Code: CodeNotFound, Version: s.Version}
	}
	if e.Epoch != p.Epoch+1 {
		return Result{Code: CodeConflict, Version: s.Version}
	}
	p.Epoch, p.Instance, p.Ready, p.Former = e.Epoch, e.Instance, false, p.LastReady()
	s.setPrimary(p)
	return Result{Code: CodeOK, Version: s.Version}
}

func (s *State) markPrimaryReady(r PrimaryReady) Result {
	p := s.Primary(r.Service)
	if r.Epoch != p.Epoch {
		return Result{Code: CodeConflict, Version: s.Version}
	}
	p.Term, p.Ready, p.Former = r.Term, true, ""
	if r.Fork.Term != 0 {
		p.Forks = p.Forks.With(r.Fork)
	}
	s.setPrimary(p)
	return Result{Code: CodeOK, Version: s.Version}
}

// CheckService describes the first error in a service's configuration, and
// returns an empty string if it has none.
func CheckService(v catalog.Service) string {
	l := v.Limits
	switch {
	case v.ID == "":
		return "a service needs an id"
	case v.Ack != catalog.AckPrimary && v.Ack != catalog.AckReplicated:
		return fmt.Sprintf("service %s: ack must be primary or replicated, not %q", v.ID, v.Ack)
	case v.Instances < 1:
		return fmt.Sprintf("service %s: instances must be at least 1", v.ID)
	case l.Slots < 1:
		return fmt.Sprintf("service %s: slots must be at least 1", v.ID)
	case l.Reserved < 1 || l.Reserved >= l.Connections:
		return fmt.Sprintf("service %s: reserved must be at least 1 and below connections", v.ID)
	case l.LocalShare < 0 || l.LocalShare > l.Connections-l.Reserved:
		return fmt.Sprintf("service %s: local-share must fit into connections less reserved", v.ID)
	}
	return ""
}
