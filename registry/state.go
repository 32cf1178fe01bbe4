package registry

import (
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// KeptChanges is how many accepted and refused changes are remembered for
// resends and for the history.
const KeptChanges = 4096

// Code says how a change ended.
type Code string

// Codes of results.
const (
	CodeOK       Code = "ok"
	CodeConflict Code = "conflict"
	CodeInvalid  Code = "invalid"
	CodeNotFound Code = "not-found"
)

// Result is the answer to one change. A resend gets the same again.
type Result struct {
	ID      catalog.ChangeID `cbor:"1,keyasint"`
	Code    Code             `cbor:"2,keyasint"`
	Version catalog.Version  `cbor:"3,keyasint"`
	Text    string           `cbor:"4,keyasint"`
	// Winner is the change that made the version which a conflict met.
	ConflictingChange catalog.ChangeID `cbor:"5,keyasint,omitempty"`
	// Digest tells a resend from another change under the same id.
	Digest uint64 `cbor:"6,keyasint,omitempty"`
}

// Touch is the last change of one service.
type Touch struct {
	ID      catalog.ServiceID `cbor:"1,keyasint"`
	Version catalog.Version   `cbor:"2,keyasint"`
}

// RouteTouch is the last change of one route.
type RouteTouch struct {
	Key     catalog.RouteKey `cbor:"1,keyasint"`
	Version catalog.Version  `cbor:"2,keyasint"`
}

// State is the agreed state.
type State struct {
	// Version numbers the accepted configurations. Invariant: it only grows.
	Version catalog.Version `cbor:"1,keyasint"`
	// Services is sorted by id.
	Services []catalog.Service `cbor:"2,keyasint"`
	// Primaries is sorted by service.
	Primaries []catalog.Primary `cbor:"3,keyasint"`
	// Drained is sorted.
	Drained []catalog.InstanceID `cbor:"4,keyasint"`
	// Results are those of the last KeptChanges operator changes, oldest
	// first.
	Results []Result `cbor:"5,keyasint"`
	// Touched says in which version a service or the drained upstreams of one
	// were last changed, sorted by id. A service that is in it but not in
	// Services was removed.
	Touched []Touch `cbor:"6,keyasint"`
	// DrainedAt is the version that last changed Drained.
	DrainedVersion catalog.Version `cbor:"7,keyasint"`
	// Routes are sorted by key.
	Routes          []catalog.Route `cbor:"8,keyasint,omitempty"`
	TransactionIdle time.Duration   `cbor:"9,keyasint,omitempty"`
	// Document is the compressed text of the configuration in force.
	Document []byte `cbor:"10,keyasint,omitempty"`
	// RoutesTouched is to Routes what Touched is to Services.
	RoutesTouched []RouteTouch `cbor:"11,keyasint,omitempty"`
	// Retired are the lives of upstreams that get no new work, the oldest
	// first. Invariant: at most one for each instance, at most keptRetired.
	Retired []RetireUpstream `cbor:"12,keyasint,omitempty"`
	// Upstreams are those that announced themselves and were not retired,
	// sorted by instance.
	Upstreams []catalog.Announcement `cbor:"13,keyasint,omitempty"`
	// known finds a result by change id; it is derived from Results.
	known map[catalog.ChangeID]Result
}

// New returns the state before the first change.
func New() *State {
	return &State{known: map[catalog.ChangeID]Result{}}
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	data, err := encoder.Marshal(s)
	return data, errors.Annotate(err, "encode registry")
}

// Restore decodes a state that Snapshot encoded.
func Restore(data []byte) (*State, error) {
	if len(data) == 0 {
		return New(), nil
	}
	s := &State{}
	if err := decoder.Unmarshal(data, s); err != nil {
		return nil, errors.Annotate(err, "decode registry")
	}
	s.known = make(map[catalog.ChangeID]Result, len(s.Results))
	for _, r := range s.Results {
		s.known[r.ID] = r
	}
	return s, nil
}

// Service finds a service by id.
func (s *State) Service(id catalog.ServiceID) (catalog.Service, bool) {
	i := sort.Search(len(s.Services), func(i int) bool { return s.Services[i].ID >= id })
	if i < len(s.Services) && s.Services[i].ID == id {
		return s.Services[i], true
	}
	return catalog.Service{}, false
}

// Primary finds what was decided about a service; the zero Primary with the
// service's id before any decision.
func (s *State) Primary(id catalog.ServiceID) catalog.Primary {
	i := s.primaryIndex(id)
	if i < len(s.Primaries) && s.Primaries[i].Service == id {
		return s.Primaries[i]
	}
	return catalog.Primary{Service: id}
}

func (s *State) primaryIndex(id catalog.ServiceID) int {
	return sort.Search(len(s.Primaries), func(i int) bool { return s.Primaries[i].Service >= id })
}

func (s *State) setPrimary(p catalog.Primary) {
	i := s.primaryIndex(p.Service)
	if i < len(s.Primaries) && s.Primaries[i].Service == p.Service {
		s.Primaries[i] = p
		return
	}
	s.Primaries = append(s.Primaries, catalog.Primary{})
	copy(s.Primaries[i+1:], s.Primaries[i:])
	s.Primaries[i] = p
}

// IsDrained reports whether operators keep new work from an upstream.
func (s *State) IsDrained(id catalog.InstanceID) bool {
	i := sort.Search(len(s.Drained), func(i int) bool { return s.Drained[i] >= id })
	return i < len(s.Drained) && s.Drained[i] == id
}

// Since lists the services that were changed after a version, and those that
// were removed after it.
func (s *State) ServicesSince(v catalog.Version) (changed []catalog.Service, removed []catalog.ServiceID) {
	for _, t := range s.Touched {
		if t.Version <= v {
			continue
		}
		if c, ok := s.Service(t.ID); ok {
			changed = append(changed, c)
		} else {
			removed = append(removed, t.ID)
		}
	}
	return changed, removed
}

// touch notes that a service is changed by the version in the making.
func (s *State) touch(id catalog.ServiceID, version catalog.Version) {
	i := sort.Search(len(s.Touched), func(i int) bool { return s.Touched[i].ID >= id })
	if i < len(s.Touched) && s.Touched[i].ID == id {
		s.Touched[i].Version = version
		return
	}
	s.Touched = append(s.Touched, Touch{})
	copy(s.Touched[i+1:], s.Touched[i:])
	s.Touched[i] = Touch{ID: id, Version: version}
}

func (s *State) remember(r Result) {
	s.known[r.ID] = r
	s.Results = append(s.Results, r)
	if len(s.Results) <= KeptChanges {
		return
	}
	delete(s.known, s.Results[0].ID)
	s.Results = append([]Result(nil), s.Results[1:]...)
}
