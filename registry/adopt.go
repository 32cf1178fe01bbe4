package registry

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// maxRetired is the number of retired incarnations of upstreams that are stored,
// so that their late announcements are rejected. It keeps each of them listed
// long enough even if thousands are retired a day.
const maxRetired = 1024

// adoptConfiguration replaces the configuration if the new version is higher
// than the current one.
func (s *State) adoptConfiguration(a AdoptConfiguration) Result {
	if a.Version <= s.Version {
		return Result{Code: CodeOK, Version: s.Version, Text: fmt.Sprintf("version %d is in force already", s.Version)}
	}
	services := slices.SortedFunc(slices.Values(a.Services), func(x, y catalog.Service) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
	routes := slices.SortedFunc(slices.Values(a.Routes), func(x, y catalog.Route) int {
		return x.Compare(y.RouteKey)
	})
	if text := CheckConfiguration(services, routes); text != "" {
		return s.invalid(text)
	}
	organisations := slices.SortedFunc(slices.Values(a.Organisations), catalog.Organisation.Compare)
	if text := CheckOrganisations(organisations); text != "" {
		return s.invalid(text)
	}
	s.markChangedServices(services, a.Version)
	s.markChangedRoutes(routes, a.Version)
	s.markChangedOrganisations(organisations, a.Version)
	s.Services, s.Routes = services, routes
	s.KeysRequired, s.Organisations = a.KeysRequired, organisations
	s.TransactionIdle, s.Document, s.Version = a.TransactionIdle, a.Document, a.Version
	return Result{Code: CodeOK, Version: s.Version, Text: fmt.Sprintf("version %d with %d routes is in force", a.Version, len(routes))}
}

// CheckConfiguration describes the first error in a configuration, and returns
// an empty string if it has none. Both lists must be sorted.
func CheckConfiguration(services []catalog.Service, routes []catalog.Route) string {
	known := map[catalog.ServiceID]bool{}
	for _, v := range services {
		if text := CheckService(v); text != "" {
			return text
		}
		if known[v.ID] {
			return fmt.Sprintf("service %s is given twice", v.ID)
		}
		known[v.ID] = true
	}
	for i, r := range routes {
		switch {
		case !known[r.Service]:
			return fmt.Sprintf("route of database %q: there is no service %q", r.Database, r.Service)
		case r.Timeout <= 0:
			return fmt.Sprintf("route of database %q: the timeout must be greater than zero", r.Database)
		case i > 0 && routes[i-1].RouteKey == r.RouteKey:
			return fmt.Sprintf("database %q has two routes for path %q", r.Database, r.Path)
		}
	}
	return ""
}

// markChangedRoutes stores the new version for each route that the new list
// adds, changes or removes.
func (s *State) markChangedRoutes(next []catalog.Route, version catalog.Version) {
	kept := map[catalog.RouteKey]bool{}
	for _, r := range next {
		kept[r.RouteKey] = true
		if old, ok := s.Route(r.RouteKey); !ok || old != r {
			s.markRouteChanged(r.RouteKey, version)
		}
	}
	for _, r := range s.Routes {
		if !kept[r.RouteKey] {
			s.markRouteChanged(r.RouteKey, version)
		}
	}
}

func (s *State) markRouteChanged(k catalog.RouteKey, version catalog.Version) {
	i := sort.Search(len(s.RouteVersions), func(i int) bool { return s.RouteVersions[i].Key.Compare(k) >= 0 })
	if i < len(s.RouteVersions) && s.RouteVersions[i].Key == k {
		s.RouteVersions[i].Version = version
		return
	}
	s.RouteVersions = slices.Insert(s.RouteVersions, i, RouteVersion{Key: k, Version: version})
}

// Route returns the route with a key, and false if there is none.
func (s *State) Route(k catalog.RouteKey) (catalog.Route, bool) {
	i := sort.Search(len(s.Routes), func(i int) bool { return s.Routes[i].Compare(k) >= 0 })
	if i < len(s.Routes) && s.Routes[i].RouteKey == k {
		return s.Routes[i], true
	}
	return catalog.Route{}, false
}

// RoutesSince returns the routes that were changed after a version, and the
// keys of those that were removed after it.
func (s *State) RoutesSince(v catalog.Version) (changed []catalog.Route, removed []catalog.RouteKey) {
	for _, t := range s.RouteVersions {
		if t.Version <= v {
			continue
		}
		if r, ok := s.Route(t.Key); ok {
			changed = append(changed, r)
		} else {
			removed = append(removed, t.Key)
		}
	}
	return changed, removed
}

func (s *State) retireUpstream(r RetireUpstream) Result {
	kept := slices.DeleteFunc(slices.Clone(s.Retired), func(old RetireUpstream) bool {
		return old.Instance == r.Instance && old.Incarnation <= r.Incarnation
	})
	s.Retired = append(kept, r)
	dropped := s.Retired[:max(len(s.Retired)-maxRetired, 0)]
	s.Retired = s.Retired[len(dropped):]
	s.Upstreams = slices.DeleteFunc(slices.Clone(s.Upstreams), func(a catalog.Announcement) bool {
		return a.Leaving && slices.ContainsFunc(dropped, func(old RetireUpstream) bool { return old.Instance == a.Instance })
	})
	if i, found := s.findUpstream(r.Instance); found && s.Upstreams[i].Incarnation <= r.Incarnation {
		s.Upstreams[i].Leaving = true
	}
	return Result{Code: CodeOK, Version: s.Version}
}

// findUpstream returns the index of a registered upstream, or where it belongs.
func (s *State) findUpstream(id catalog.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(s.Upstreams, id, func(a catalog.Announcement, id catalog.InstanceID) int {
		return cmp.Compare(a.Instance, id)
	})
}

// IsRegistered reports whether an incarnation of an upstream is registered.
func (s *State) IsRegistered(id catalog.InstanceID, incarnation uint64) bool {
	i, found := s.findUpstream(id)
	return found && s.Upstreams[i].Incarnation == incarnation
}

// IsRetired reports whether an incarnation of an upstream is retired. Retiring
// an incarnation includes all earlier ones.
func (s *State) IsRetired(id catalog.InstanceID, incarnation uint64) bool {
	return slices.ContainsFunc(s.Retired, func(r RetireUpstream) bool { return r.Instance == id && incarnation <= r.Incarnation })
}

// registerUpstream stores an announcement in place of older ones of the same
// instance. It rejects a retired incarnation.
func (s *State) registerUpstream(a catalog.Announcement) Result {
	if s.IsRetired(a.Instance, a.Incarnation) {
		return Result{Code: CodeConflict, Version: s.Version}
	}
	i, found := s.findUpstream(a.Instance)
	switch {
	case !found:
		// The list is changed in place: a copy for each of 3,600 upstreams that start
		// together would be 1 GB.
		s.Upstreams = slices.Insert(s.Upstreams, i, a)
	case a.Newer(s.Upstreams[i]):
		s.Upstreams[i] = a
	}
	return Result{Code: CodeOK, Version: s.Version}
}
