package catalog

import (
	"strings"
	"time"
)

// ReadPolicy says where the reads of a route may run.
type ReadPolicy string

// Read policies.
const (
	// ReadsPrimary keeps all reads at the primary.
	ReadsPrimary ReadPolicy = "primary"
	// ReadsBounded lets a replica serve reads that accept its age.
	ReadsBounded ReadPolicy = "bounded"
	// ReadsOwnWrites is as ReadsBounded, and a session also sees all that it
	// wrote itself.
	ReadsOwnWrites ReadPolicy = "own-writes"
)

// RouteKey tells the routes of a configuration apart.
type RouteKey struct {
	// Database is the name that callers give when they connect.
	Database string `cbor:"1,keyasint" json:"database"`
	// Path tells several routes of one database apart; it is the root as a
	// rule.
	Path string `cbor:"2,keyasint" json:"path"`
}

// Compare orders keys by database, then by path.
func (k RouteKey) Compare(l RouteKey) int {
	if n := strings.Compare(k.Database, l.Database); n != 0 {
		return n
	}
	return strings.Compare(k.Path, l.Path)
}

// Route lets callers reach a service under the name of a database.
type Route struct {
	RouteKey
	Service ServiceID  `cbor:"3,keyasint" json:"service"`
	Reads   ReadPolicy `cbor:"4,keyasint" json:"reads"`
	// MaxAge is the age of data that reads accept. Zero sets no bound.
	MaxAge time.Duration `cbor:"5,keyasint" json:"max-age"`
	// Timeout bounds one statement. Invariant: greater than zero.
	Timeout time.Duration `cbor:"6,keyasint" json:"timeout"`
	// Objective is the latency that a caller's whole operation should keep.
	Objective time.Duration `cbor:"7,keyasint" json:"objective"`
	// Priority orders the routes when load is shed, 0 first.
	Priority int `cbor:"8,keyasint" json:"priority"`
}

// Configuration is what operators decide about databases.
type Configuration struct {
	Version  Version
	Services []Service
	// Routes are sorted by key. Invariant: each key stands once, and each
	// service is one of Services.
	Routes []Route
	// TransactionIdle is how long a transaction may rest before it may be
	// rolled back. Zero sets no bound.
	TransactionIdle time.Duration
	// Document is the configuration as the operator wrote it.
	Document []byte
}
