// Package catalog defines the identifiers and data types that all packages
// share: VMs, sites, services, routes, upstream instances, and the positions
// of their logs.
package catalog

import "github.com/juju/errors"

// SiteID identifies a data centre.
type SiteID string

// VMID identifies one VM of the system.
type VMID string

// ServiceID identifies a database service: a group of upstream instances with
// one primary. Callers send it as the database name when they connect.
type ServiceID string

// InstanceID identifies one upstream of a service. It is unique within the
// system.
type InstanceID string

// SessionID is the identifier that a caller chooses for its session. It is the
// same at every VM.
type SessionID string

// ChangeID makes a configuration change idempotent: a resend with the same id
// returns the result of the first request.
type ChangeID string

// RequestID numbers a request within one entry process.
type RequestID uint64

// ConnID numbers an upstream connection within one entry process.
type ConnID uint64

// Incarnation numbers the data folders that a control VM has had. A VM that
// lost its disk rejoins with a higher incarnation.
type Incarnation uint64

// Version numbers the accepted configurations. It only increases.
type Version uint64

// Epoch numbers the primaries that control chose for a service. It only
// increases. A write lease is valid for one epoch only.
type Epoch uint64

// Term numbers the primaries of a database group as the database itself counts
// them. For PostgreSQL, it is the number of the timeline.
type Term uint64

// Offset is a byte offset in a database group's log.
type Offset uint64

// Role is the role that an upstream reports for itself in its group.
type Role uint8

// Roles of an upstream.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// MarshalText encodes the role as String returns it.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText decodes the output of MarshalText. Any other text is an error.
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
