package standin

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Options configures one instance.
type Options struct {
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Site     catalog.SiteID
	// ListenAddress is the IP and port for PostgreSQL connections. With port 0
	// the kernel chooses the port.
	ListenAddress string
	// AdminAddress is the IP and port for HTTP requests. If it is empty, HTTP
	// is not served.
	AdminAddress string
	// AdvertiseAddress is the address to announce. If it is empty, the address
	// that the instance listens at is announced.
	AdvertiseAddress string
	// FollowAddress is the PostgreSQL address to replicate from. If it is
	// empty, the instance starts as a primary.
	FollowAddress string
	// AnnounceAddresses are the HTTP addresses of the VMs that receive
	// announcements.
	AnnounceAddresses []string
	// Slots limits the statements that run concurrently; 0 means no limit.
	Slots int
	// MaxConnections limits the client connections; 0 means no limit.
	// Connections from other instances do not count.
	MaxConnections int
	// ConnectDelay delays the start of every session.
	ConnectDelay time.Duration
	// ReplicationLag is the time between the commit of a record and its
	// application by a replica.
	ReplicationLag time.Duration
	// ExecutionTime is added to the run time of statements on tables and of
	// SELECT without a table, except those on replication, configuration
	// and session variables. The statement holds its slot during this time.
	ExecutionTime time.Duration
	// User and Password are checked by SCRAM-SHA-256. An empty Password
	// disables authentication, an empty User admits any user name, and other
	// instances are not authenticated.
	User     string
	Password string
}
