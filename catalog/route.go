package catalog

import (
	"math"
	"strings"
	"time"
)

// ReadPolicy determines which upstreams may serve the reads of a route.
type ReadPolicy string

// Read policies.
const (
	// ReadsPrimary sends all reads to the primary.
	ReadsPrimary ReadPolicy = "primary"
	// ReadsBounded lets a replica serve a read if the age of its data is
	// within the read's bound.
	ReadsBounded ReadPolicy = "bounded"
	// ReadsOwnWrites bounds the age as ReadsBounded does and also guarantees
	// that a session reads its own writes.
	ReadsOwnWrites ReadPolicy = "own-writes"
)

// UnboundedAge is the MaxAge of a route whose reads accept data of any age. Builds
// that take zero for no bound read it as an age that nothing reaches.
const UnboundedAge = time.Duration(math.MaxInt64)

// NeedsPrimary reports whether all reads of the route must run at the primary. Only
// the primary holds all commits that may have been acknowledged before a read.
func (r Route) NeedsPrimary() bool {
	return r.Reads == ReadsPrimary || r.MaxAge <= 0
}

// RouteKey identifies a route within a configuration.
type RouteKey struct {
	// Database is the database name that callers send when they connect.
	Database string `cbor:"1,keyasint" json:"database"`
	// Path distinguishes several routes of one database. It is usually the
	// root path.
	Path string `cbor:"2,keyasint" json:"path"`
}

// Compare orders keys by database, then by path. The result is negative, zero
// or positive as in strings.Compare.
func (k RouteKey) Compare(l RouteKey) int {
	if n := strings.Compare(k.Database, l.Database); n != 0 {
		return n
	}
	return strings.Compare(k.Path, l.Path)
}

// Route maps a database name that callers use to a service, and sets the
// limits of requests on it.
type Route struct {
	RouteKey
	Service ServiceID  `cbor:"3,keyasint" json:"service"`
	Reads   ReadPolicy `cbor:"4,keyasint" json:"reads"`
	// MaxAge is the maximum age of data that reads accept. With zero they accept none
	// that lacks a commit. UnboundedAge is no bound.
	MaxAge time.Duration `cbor:"5,keyasint" json:"max-age"`
	// Timeout limits the duration of one statement. Invariant: greater than
	// zero.
	Timeout time.Duration `cbor:"6,keyasint" json:"timeout"`
	// Objective is the latency target of a caller's whole operation.
	Objective time.Duration `cbor:"7,keyasint" json:"objective"`
	// Priority orders the routes for load shedding, 0 first.
	Priority int `cbor:"8,keyasint" json:"priority"`
	// KeyExempt lets callers connect without a key of an organisation.
	KeyExempt bool `cbor:"9,keyasint,omitempty" json:"key-exempt,omitempty"`
}

// Configuration is one version of the services and routes that operators
// configure.
type Configuration struct {
	Version  Version
	Services []Service
	// Routes are sorted by key. Invariant: keys are unique, and the service of
	// each route is in Services.
	Routes []Route
	// KeysRequired is set if callers need the key of an organisation, also if
	// Organisations is empty. Organisations are sorted by id.
	KeysRequired  bool
	Organisations []Organisation
	// TransactionIdle is how long a transaction may be idle before it may be
	// rolled back. Zero means no bound.
	TransactionIdle time.Duration
	// Document is the configuration as the operator sent it.
	Document []byte
}
