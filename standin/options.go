package standin

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Options set up one instance.
type Options struct {
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Site     catalog.SiteID
	// Listen is the IP and port for PostgreSQL; port 0 lets the kernel choose.
	Listen string
	// Admin is the IP and port for HTTP, empty for none.
	Admin string
	// Advertise is the address to announce, empty for where it listens.
	Advertise string
	// Follow is the PostgreSQL address to replicate from, empty for a primary.
	FollowAddress string
	// Announce are the HTTP addresses of the system's VMs.
	Announce []string
	// Slots is how many statements run side by side, 0 for no limit.
	Slots int
	// Connections is the most connections taken, 0 for no limit.
	MaxConnections int
	// ConnectTime is waited before a connection is accepted.
	ConnectTime time.Duration
	// Lag is how long after its commit a replica applies a record.
	Lag time.Duration
	// Work is how long a statement holds its slot.
	Work time.Duration
	// User and Password, if Password is not empty, are demanded by SCRAM.
	User     string
	Password string
}
