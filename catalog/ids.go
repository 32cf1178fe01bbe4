// Package catalog names the things kingcupknot works with: VMs, sites,
// services, upstream instances, and the positions their logs have reached.
package catalog

import "github.com/juju/errors"

// SiteID names a data centre.
type SiteID string

// VMID names one VM of the system.
type VMID string

// ServiceID names a database service: a group of upstream instances with one
// primary. Callers give it as the database name when they connect.
type ServiceID string

// InstanceID names one upstream of a service. It is unique within the system.
type InstanceID string

// SessionID is the name a caller gives to its session, the same at every VM.
type SessionID string

// ChangeID makes a change of configuration idempotent: a resend with the same
// id gets the first answer.
type ChangeID string

// RequestID numbers a request within one entry process.
type RequestID uint64

// ConnID numbers an upstream connection within one entry process.
type ConnID uint64

// Incarnation numbers the lives of a control VM's data folder. A VM that lost
// its disk returns with a higher one.
type Incarnation uint64

// Version numbers accepted configurations; it only grows.
type Version uint64

// Epoch numbers the primaries that control chose for a service; it only grows.
// A write lease is bound to one epoch.
type Epoch uint64

// Term numbers the primaries of a database group as the group itself counts
// them (a PostgreSQL timeline).
type Term uint64

// Offset is a place in a database group's log, in bytes.
type Offset uint64

// Role is what an upstream says it does in its group.
type Role uint8

// Roles of an upstream.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// MarshalText writes the role as String does.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText reads what MarshalText wrote; anything else is an error.
func (r *Role) UnmarshalText(text []byte) error {
	for _, k := range []Role{RoleUnknown, RolePrimary, RoleReplica} {
		if k.String() == string(text) {
			*r = k
			return nil
		}
	}
	return errors.NotValidf("role %q", text)
}

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}
