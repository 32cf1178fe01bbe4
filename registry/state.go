package registry

import (
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// MaxStoredResults is the number of results of operators' changes that are
// stored, for resends and for the history.
const MaxStoredResults = 4096

// Code is the outcome of a change.
type Code string

// Codes of results.
const (
	CodeOK       Code = "ok"
	CodeConflict Code = "conflict"
	CodeInvalid  Code = "invalid"
	CodeNotFound Code = "not-found"
)

// Result is the answer to a change. A resent change gets the stored result.
type Result struct {
	ID      catalog.ChangeID `cbor:"1,keyasint"`
	Code    Code             `cbor:"2,keyasint"`
	Version catalog.Version  `cbor:"3,keyasint"`
	Text    string           `cbor:"4,keyasint"`
	// ConflictingChange is the operators' change that was accepted last, if Code
	// is CodeConflict because of IfVersion.
	ConflictingChange catalog.ChangeID `cbor:"5,keyasint,omitempty"`
	// Digest is the hash of the change. It tells a resend from another change
	// with the same id.
	Digest uint64 `cbor:"6,keyasint,omitempty"`
}

// ServiceVersion is the version that last changed a service.
type ServiceVersion struct {
	ID      catalog.ServiceID `cbor:"1,keyasint"`
	Version catalog.Version   `cbor:"2,keyasint"`
}

// RouteVersion is the version that last changed a route.
type RouteVersion struct {
	Key     catalog.RouteKey `cbor:"1,keyasint"`
	Version catalog.Version  `cbor:"2,keyasint"`
}

// State is the state that all control VMs agree on.
type State struct {
	// Version is the version of the current configuration. Invariant: it never
	// decreases.
	Version catalog.Version `cbor:"1,keyasint"`
	// Services are sorted by id.
	Services []catalog.Service `cbor:"2,keyasint"`
	// Primaries are sorted by service.
	Primaries []catalog.Primary `cbor:"3,keyasint"`
	// Drained are the upstreams that operators drained, sorted.
	Drained []catalog.InstanceID `cbor:"4,keyasint"`
	// Results are those of the last MaxStoredResults operators' changes, the
	// oldest first.
	Results []Result `cbor:"5,keyasint"`
	// ServiceVersions are sorted by id. A service that is listed here but not
	// in Services was removed.
	ServiceVersions []ServiceVersion `cbor:"6,keyasint"`
	// DrainedVersion is the version that last changed Drained.
	DrainedVersion catalog.Version `cbor:"7,keyasint"`
	// Routes are sorted by key.
	Routes []catalog.Route `cbor:"8,keyasint,omitempty"`
	// TransactionIdle is how long a transaction may be idle before it may be
	// rolled back. Zero means no bound.
	TransactionIdle time.Duration `cbor:"9,keyasint,omitempty"`
	// Document is the configuration file of the current version, compressed.
	Document []byte `cbor:"10,keyasint,omitempty"`
	// RouteVersions are sorted by key. A route that is listed here but not in
	// Routes was removed.
	RouteVersions []RouteVersion `cbor:"11,keyasint,omitempty"`
	// Retired are the incarnations of upstreams that get no new work, the least
	// recently retired first. Invariant: at most one per instance, at most
	// maxRetired.
	Retired []RetireUpstream `cbor:"12,keyasint,omitempty"`
	// Upstreams are the registered upstreams, sorted by instance. Invariant: a
	// retired one is marked as leaving. It stays until Retired drops it, so that
	// each later leader tells the entries.
	Upstreams []catalog.Announcement `cbor:"13,keyasint,omitempty"`
	// KeysRequired is set if callers need the key of an organisation.
	// Organisations are sorted by id.
	KeysRequired  bool                   `cbor:"14,keyasint,omitempty"`
	Organisations []catalog.Organisation `cbor:"15,keyasint,omitempty"`
	// OrganisationVersions are sorted by id. An organisation that is listed here
	// but not in Organisations was removed.
	OrganisationVersions []OrganisationVersion `cbor:"16,keyasint,omitempty"`
	// resultByID is an index of Results.
	resultByID map[catalog.ChangeID]Result
}

// New returns the state before the first change.
func New() *State {
	return &State{resultByID: map[catalog.ChangeID]Result{}}
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	data, err := encoder.Marshal(s)
	return data, errors.Annotate(err, "encode registry")
}

// Restore decodes a state that Snapshot encoded. Empty data is the state before
// the first change.
func Restore(data []byte) (*State, error) {
	if len(data) == 0 {
		return New(), nil
	}
	s := &State{}
	if err := decoder.Unmarshal(data, s); err != nil {
		return nil, errors.Annotate(err, "decode registry")
	}
	s.resultByID = make(map[catalog.ChangeID]Result, len(s.Results))
	for _, r := range s.Results {
		s.resultByID[r.ID] = r
	}
	return s, nil
}

// Service returns the service with an id, and false if there is none.
func (s *State) Service(id catalog.ServiceID) (catalog.Service, bool) {
	i := sort.Search(len(s.Services), func(i int) bool { return s.Services[i].ID >= id })
	if i < len(s.Services) && s.Services[i].ID == id {
		return s.Services[i], true
	}
	return catalog.Service{}, false
}

// Primary returns the primary of a service. Before the first election it
// returns a Primary with only the service's id.
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

// IsDrained reports whether an operator drained the upstream.
func (s *State) IsDrained(id catalog.InstanceID) bool {
	i := sort.Search(len(s.Drained), func(i int) bool { return s.Drained[i] >= id })
	return i < len(s.Drained) && s.Drained[i] == id
}

// ServicesSince returns the services that were changed after a version, and the
// ids of those that were removed after it.
func (s *State) ServicesSince(v catalog.Version) (changed []catalog.Service, removed []catalog.ServiceID) {
	for _, t := range s.ServiceVersions {
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

// markServiceChanged stores the version that changes a service.
func (s *State) markServiceChanged(id catalog.ServiceID, version catalog.Version) {
	i := sort.Search(len(s.ServiceVersions), func(i int) bool { return s.ServiceVersions[i].ID >= id })
	if i < len(s.ServiceVersions) && s.ServiceVersions[i].ID == id {
		s.ServiceVersions[i].Version = version
		return
	}
	s.ServiceVersions = append(s.ServiceVersions, ServiceVersion{})
	copy(s.ServiceVersions[i+1:], s.ServiceVersions[i:])
	s.ServiceVersions[i] = ServiceVersion{ID: id, Version: version}
}

func (s *State) storeResult(r Result) {
	s.resultByID[r.ID] = r
	s.Results = append(s.Results, r)
	if len(s.Results) <= MaxStoredResults {
		return
	}
	delete(s.resultByID, s.Results[0].ID)
	s.Results = append([]Result(nil), s.Results[1:]...)
}
