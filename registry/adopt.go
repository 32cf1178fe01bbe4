package registry

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// keptRetired bounds the lives of upstreams that are remembered as retired. An
// upstream that is gone is remembered long enough if thousands leave a day.
const keptRetired = 1024

// adopt takes a configuration of a higher version than the one in force.
func (s *State) adopt(a AdoptConfiguration) Result {
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
	s.touchDifferences(services, a.Version)
	s.touchRoutes(routes, a.Version)
	s.Services, s.Routes = services, routes
	s.TransactionIdle, s.Document, s.Version = a.TransactionIdle, a.Document, a.Version
	return Result{Code: CodeOK, Version: s.Version, Text: fmt.Sprintf("version %d with %d routes is in force", a.Version, len(routes))}
}

// CheckConfiguration says what is wrong with a configuration, or nothing. Both
// lists are sorted.
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

// touchRoutes notes the routes that a new list adds, changes or drops.
func (s *State) touchRoutes(next []catalog.Route, version catalog.Version) {
	kept := map[catalog.RouteKey]bool{}
	for _, r := range next {
		kept[r.RouteKey] = true
		if old, ok := s.Route(r.RouteKey); !ok || old != r {
			s.touchRoute(r.RouteKey, version)
		}
	}
	for _, r := range s.Routes {
		if !kept[r.RouteKey] {
			s.touchRoute(r.RouteKey, version)
		}
	}
}

func (s *State) touchRoute(k catalog.RouteKey, version catalog.Version) {
	i := sort.Search(len(s.RouteVersions), func(i int) bool { return s.RouteVersions[i].Key.Compare(k) >= 0 })
	if i < len(s.RouteVersions) && s.RouteVersions[i].Key == k {
		s.RouteVersions[i].Version = version
		return
	}
	s.RouteVersions = slices.Insert(s.RouteVersions, i, RouteVersion{Key: k, Version: version})
}

// Route finds a route by its key.
func (s *State) Route(k catalog.RouteKey) (catalog.Route, bool) {
	i := sort.Search(len(s.Routes), func(i int) bool { return s.Routes[i].Compare(k) >= 0 })
	if i < len(s.Routes) && s.Routes[i].RouteKey == k {
		return s.Routes[i], true
	}
	return catalog.Route{}, false
}

// RoutesSince lists the routes that were changed after a version, and those
// that were removed after it.
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

func (s *State) retire(r RetireUpstream) Result {
	s.Upstreams = slices.DeleteFunc(slices.Clone(s.Upstreams), func(a catalog.Announcement) bool {
		return a.Instance == r.Instance && a.Incarnation <= r.Life
	})
	kept := slices.DeleteFunc(slices.Clone(s.Retired), func(old RetireUpstream) bool {
		return old.Instance == r.Instance && old.Life <= r.Life
	})
	s.Retired = append(kept, r)
	if over := len(s.Retired) - keptRetired; over > 0 {
		s.Retired = s.Retired[over:]
	}
	return Result{Code: CodeOK, Version: s.Version}
}

// IsRetired reports whether one life of an upstream gets no new work any more.
func (s *State) IsRetired(id catalog.InstanceID, life uint64) bool {
	return slices.ContainsFunc(s.Retired, func(r RetireUpstream) bool { return r.Instance == id && life <= r.Life })
}

// enroll remembers an upstream in place of its earlier lives.
func (s *State) enroll(a catalog.Announcement) Result {
	if s.IsRetired(a.Instance, a.Incarnation) {
		return Result{Code: CodeConflict, Version: s.Version}
	}
	i := sort.Search(len(s.Upstreams), func(i int) bool { return s.Upstreams[i].Instance >= a.Instance })
	switch {
	case i == len(s.Upstreams) || s.Upstreams[i].Instance != a.Instance:
		s.Upstreams = slices.Insert(slices.Clone(s.Upstreams), i, a)
	case a.Newer(s.Upstreams[i]):
		s.Upstreams = slices.Clone(s.Upstreams)
		s.Upstreams[i] = a
	}
	return Result{Code: CodeOK, Version: s.Version}
}
