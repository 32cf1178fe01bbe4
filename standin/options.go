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
	// ListenAddress is the IP and port for PostgreSQL; port 0 lets the kernel choose.
	ListenAddress string
	// AdminAddress is the IP and port for HTTP, empty for none.
	AdminAddress string
	// AdvertiseAddress is the address to announce, empty for where it listens.
	AdvertiseAddress string
	// FollowAddress is the PostgreSQL address to replicate from, empty for a primary.
	FollowAddress string
	// AnnounceAddresses are the HTTP addresses of the system's VMs.
	AnnounceAddresses []string
	// Slots is how many statements run side by side, 0 for no limit.
	Slots int
	// MaxConnections is the most connections taken, 0 for no limit.
	MaxConnections int
	// ConnectDelay is waited before a connection is accepted.
	ConnectDelay time.Duration
	// ReplicationLag is how long after its commit a replica applies a record.
	ReplicationLag time.Duration
	// ExecutionTime is how long a statement holds its slot.
	ExecutionTime time.Duration
	// User and Password, if Password is not empty, are demanded by SCRAM.
	User     string
	Password string
}
