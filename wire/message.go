// Package wire defines the messages between the processes of the system. They
// are encoded as CBOR and sent in WebSocket frames.
package wire

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// ProtocolVersion is the version of the message format. Connections with a peer
// of another version are rejected.
const ProtocolVersion = 1

// MaxFrameBytes is the size limit of a frame.
const MaxFrameBytes = 4 << 20

// Message is one message of any type. Exactly one field is set.
type Message struct {
	Report          *Report               `cbor:"1,keyasint,omitempty"`
	Answer          *Answer               `cbor:"2,keyasint,omitempty"`
	Revoke          *Revoke               `cbor:"3,keyasint,omitempty"`
	FenceAck        *FenceAck             `cbor:"4,keyasint,omitempty"`
	Announcement    *catalog.Announcement `cbor:"5,keyasint,omitempty"`
	Quorum          *Quorum               `cbor:"6,keyasint,omitempty"`
	Join            *Join                 `cbor:"7,keyasint,omitempty"`
	SettingsRequest *SettingsRequest      `cbor:"8,keyasint,omitempty"`
	Settings        *Settings             `cbor:"9,keyasint,omitempty"`
}

// Evidence is the outcome of an attempt to use an upstream.
type Evidence uint8

// Kinds of evidence.
const (
	// EvidenceNone means that there was no attempt.
	EvidenceNone Evidence = iota
	// EvidenceAlive means that the upstream answered.
	EvidenceAlive
	// EvidenceRefused means that the upstream's machine refused the connection
	// because no process listens on the port, or that an open connection was
	// reset. In both cases the upstream's process has ended.
	EvidenceRefused
	// EvidenceTimeout means that the upstream didn't answer within the timeout.
	EvidenceTimeout
)

// Observation is what one entry has itself observed of one upstream.
type Observation struct {
	Service  catalog.ServiceID  `cbor:"1,keyasint"`
	Instance catalog.InstanceID `cbor:"2,keyasint"`
	Evidence Evidence           `cbor:"3,keyasint"`
	// Age is the time since the attempt that Evidence describes.
	Age time.Duration `cbor:"4,keyasint"`
	// AliveAge is the time since the upstream last answered this entry. It is
	// negative if the upstream has never answered.
	AliveAge time.Duration    `cbor:"5,keyasint"`
	Role     catalog.Role     `cbor:"6,keyasint"`
	Position catalog.Position `cbor:"7,keyasint"`
}

// Demand is how many connections to an upstream an entry holds and how many
// it needs.
type Demand struct {
	Service  catalog.ServiceID  `cbor:"1,keyasint"`
	Instance catalog.InstanceID `cbor:"2,keyasint"`
	// Held counts open and opening connections. Invariant: at most the grant.
	Held int `cbor:"3,keyasint"`
	// Desired is how many connections the entry's current load needs.
	Desired int `cbor:"4,keyasint"`
	// Idle is true if no request currently uses the connections. Entries that
	// lack connections then take precedence.
	Idle bool `cbor:"5,keyasint,omitempty"`
	// Kept is how many of the desired connections no request currently needs.
	// They are worth keeping for the organisations that use them often. Entries
	// that need connections take precedence.
	Kept int `cbor:"6,keyasint,omitempty"`
}

// Report is the state that an entry periodically sends to control. The answer
// renews the entry's leases and grants.
type Report struct {
	VM   catalog.VMID   `cbor:"1,keyasint"`
	Site catalog.SiteID `cbor:"2,keyasint"`
	// Incarnation numbers the starts of the entry process.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Sequence numbers the reports of an incarnation. The answer repeats it.
	Sequence uint64 `cbor:"4,keyasint"`
	// SettingsVersion is the configuration version in force at the entry.
	SettingsVersion catalog.Version `cbor:"5,keyasint"`
	Observations    []Observation   `cbor:"6,keyasint,omitempty"`
	Demands         []Demand        `cbor:"7,keyasint,omitempty"`
	// Services are the services for which the entry requests leases.
	Services []catalog.ServiceID `cbor:"8,keyasint,omitempty"`
	// Leaving is true if the entry drains and has no pending writes. Control
	// then grants it no leases and removes it from the site's active entries.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Announcements are the announcements that the entry has received since the
	// last answered report.
	Announcements []catalog.Announcement `cbor:"10,keyasint,omitempty"`
	// AliveWithin, if not zero, means that Observations omits upstreams that
	// an earlier report listed as alive and that answered the entry within this
	// duration. An entry reports each upstream at least once a second.
	AliveWithin time.Duration `cbor:"11,keyasint,omitempty"`
	// DemandsUnchanged means that Demands is omitted because it differs at most
	// in Held from an earlier one that the current leader has answered.
	DemandsUnchanged bool `cbor:"13,keyasint,omitempty"`
	// PrimariesMark is the hash of the primaries that the entry has for
	// Services, as the function PrimariesMark returns it.
	PrimariesMark uint64 `cbor:"14,keyasint,omitempty"`
	// UpstreamsMark identifies the list of upstreams that the entry last
	// received from control.
	UpstreamsMark UpstreamsMark `cbor:"12,keyasint,omitempty"`
	// EntriesMark is the hash of the Entries and SiteCount that the entry last
	// received, as the function EntriesMark returns it. It is zero if the entry
	// has received none.
	EntriesMark uint64 `cbor:"15,keyasint,omitempty"`
	// Usage lists the organisations whose callers recently asked the entry for
	// operations.
	Usage []OrganisationUsage `cbor:"16,keyasint,omitempty"`
	// Work lists the services for whose upstreams the entry has work.
	Work []ServiceWork `cbor:"17,keyasint,omitempty"`
	// EntryCount is the EntryCount of the last answer that had one. It is zero
	// if there was none or if there are no organisations.
	EntryCount int `cbor:"18,keyasint,omitempty"`
	// SpentEpochs lists the services whose primary the entry knows, but in an
	// epoch for which it accepts no leases any more. It can serve them again only
	// in a higher epoch.
	SpentEpochs []ServiceEpoch `cbor:"19,keyasint,omitempty"`
}

// ServiceEpoch is an epoch of a service's primary.
type ServiceEpoch struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	Epoch   catalog.Epoch     `cbor:"2,keyasint"`
}

// UpstreamsMark identifies a revision of one leader's list of upstreams.
type UpstreamsMark struct {
	Leader   catalog.VMID `cbor:"1,keyasint,omitempty"`
	Revision uint64       `cbor:"2,keyasint,omitempty"`
}

// Lease allows an entry to acknowledge writes that ran under one epoch.
type Lease struct {
	Primary catalog.Primary `cbor:"1,keyasint"`
	// Length is the duration of the lease, counted from the moment when the
	// entry sent the report with the answer's sequence number. Zero means that
	// the answer reports the primary but grants no lease.
	Length time.Duration `cbor:"2,keyasint"`
}

// Grant allows an entry to hold connections to an upstream.
type Grant struct {
	Service     catalog.ServiceID  `cbor:"1,keyasint"`
	Instance    catalog.InstanceID `cbor:"2,keyasint"`
	Connections int                `cbor:"3,keyasint"`
	// Length is the duration of the grant, counted from the same moment as
	// Lease.Length.
	Length time.Duration `cbor:"4,keyasint"`
}

// Answer is control's answer to a report.
type Answer struct {
	// Leader is the VM that answers as leader. If Refused is set, it is the VM
	// to send the report to instead, or empty if the leader is unknown.
	Leader   catalog.VMID `cbor:"1,keyasint"`
	Refused  bool         `cbor:"2,keyasint,omitempty"`
	Sequence uint64       `cbor:"3,keyasint"`
	Leases   []Lease      `cbor:"4,keyasint,omitempty"`
	Grants   []Grant      `cbor:"5,keyasint,omitempty"`
	// Version is the configuration version of this answer. It is zero if the
	// leader has no contact with a quorum. Services are the services that changed
	// between the entry's version and Version.
	Version  catalog.Version   `cbor:"6,keyasint"`
	Services []catalog.Service `cbor:"7,keyasint,omitempty"`
	// Full means that Services lists every service. Control sends a full list
	// to an entry without a configuration.
	Full bool `cbor:"8,keyasint,omitempty"`
	// Drained lists the upstreams that operators have drained. It is valid
	// only if HasDrained is set.
	Drained    []catalog.InstanceID `cbor:"9,keyasint,omitempty"`
	HasDrained bool                 `cbor:"10,keyasint,omitempty"`
	// RemovedServices lists the services that were removed between the entry's
	// version and Version.
	RemovedServices []catalog.ServiceID `cbor:"11,keyasint,omitempty"`
	// Routes and RemovedRoutes are the routes that changed and those that were
	// removed between the entry's version and Version.
	Routes        []catalog.Route    `cbor:"12,keyasint,omitempty"`
	RemovedRoutes []catalog.RouteKey `cbor:"13,keyasint,omitempty"`
	// TransactionIdle is the TransactionIdle of the configuration of Version.
	TransactionIdle time.Duration `cbor:"14,keyasint,omitempty"`
	// Upstreams are the upstreams that changed since the report's
	// UpstreamsMark, and UpstreamsMark identifies the list with these changes.
	Upstreams     []catalog.Announcement `cbor:"15,keyasint,omitempty"`
	UpstreamsMark UpstreamsMark          `cbor:"16,keyasint,omitempty"`
	// RenewalLength, if not zero, renews the leases of all services of the
	// report under the primaries that PrimariesMark identifies. It is counted
	// from the same moment as Lease.Length.
	RenewalLength time.Duration `cbor:"18,keyasint,omitempty"`
	PrimariesMark uint64        `cbor:"19,keyasint,omitempty"`
	// Members are the control VMs. It is empty if control sent them recently.
	Members []catalog.VMID `cbor:"17,keyasint,omitempty"`
	// Entries lists the active entries of the entry's site in order. It is
	// empty if the report's EntriesMark already identifies this list and
	// SiteCount, and while a new leader still collects reports. SiteCount is the
	// number of sites with entries.
	Entries   []catalog.VMID `cbor:"20,keyasint,omitempty"`
	SiteCount int            `cbor:"21,keyasint,omitempty"`
	// Organisations and RemovedOrganisations are the organisations that changed
	// and those that were removed between the entry's version and Version.
	// KeysRequired is the KeysRequired of the configuration of Version.
	Organisations        []catalog.Organisation   `cbor:"22,keyasint,omitempty"`
	RemovedOrganisations []catalog.OrganisationID `cbor:"23,keyasint,omitempty"`
	KeysRequired         bool                     `cbor:"24,keyasint,omitempty"`
	// Limits are the shares of limited organisations that the entry gets.
	Limits []OrganisationLimit `cbor:"25,keyasint,omitempty"`
	// SiteShares are the shares of saturated services that the entry's site
	// gets, where they differ from an even share.
	SiteShares []SiteShare `cbor:"26,keyasint,omitempty"`
	// EntryCount is the number of entries of all sites. It is zero if it is that
	// of the report or if there are no organisations.
	EntryCount int `cbor:"27,keyasint,omitempty"`
}

// OrganisationUsage is the rate at which an organisation's callers asked an entry
// for operations, whether they were admitted or not.
type OrganisationUsage struct {
	Organisation catalog.OrganisationID `cbor:"1,keyasint"`
	// Rate is in operations per second.
	Rate float32 `cbor:"2,keyasint"`
	// Refused is the part of Rate that was refused as over the limit.
	Refused float32 `cbor:"3,keyasint,omitempty"`
}

// OrganisationLimit is an entry's share of the limit of an organisation that asks
// for more than its limit or nearly as much.
type OrganisationLimit struct {
	Organisation catalog.OrganisationID `cbor:"1,keyasint"`
	// Rate is in operations per second, Burst in operations.
	Rate  float32 `cbor:"2,keyasint"`
	Burst float32 `cbor:"3,keyasint"`
	// Length is the duration of the share, counted from the same moment as
	// Lease.Length.
	Length time.Duration `cbor:"4,keyasint"`
}

// ServiceWork is how much work an entry has for the upstreams of a service.
type ServiceWork struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	// Asked is the work that callers recently asked of the service's primary,
	// as the mean number of statements that would run there at the same time.
	// It includes the work that was refused.
	Asked float32 `cbor:"2,keyasint"`
}

// SiteShare is the share of a service's saturated primary that the entries of one
// site may use.
type SiteShare struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	// Statements is the number of statements that the entries of the site
	// together may run at the primary.
	Statements float32 `cbor:"2,keyasint"`
	// Length is the duration of the share, counted from the same moment as
	// Lease.Length.
	Length time.Duration `cbor:"3,keyasint"`
}

// EntriesMark returns a hash of a list of entries and the number of sites. It
// is zero for an empty list.
func EntriesMark(entries []catalog.VMID, sites int) uint64 {
	if len(entries) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, vm := range entries {
		// Writes to a digest never fail.
		_, _ = d.WriteString(string(vm))
		_, _ = d.Write([]byte{0})
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(sites))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// PrimariesMark returns a hash of the services and epochs of primaries. It is
// zero if one of the primaries is not ready.
func PrimariesMark(primaries []catalog.Primary) uint64 {
	d := xxhash.New()
	var b [8]byte
	for _, p := range primaries {
		if !p.Ready {
			return 0
		}
		// Writes to a digest never fail.
		_, _ = d.WriteString(string(p.Service))
		binary.LittleEndian.PutUint64(b[:], uint64(p.Epoch))
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// SettingsRequest requests the accepted configuration from another entry, which
// sends it if its version is higher.
type SettingsRequest struct {
	// Version is the sender's configuration version, zero if it has none.
	Version catalog.Version `cbor:"1,keyasint"`
	// WithPrimaries also requests the primaries, whatever the version. An entry
	// sets it after a start until it begins to serve requests.
	WithPrimaries bool `cbor:"2,keyasint,omitempty"`
}

// Settings is an entry's answer to SettingsRequest.
type Settings struct {
	Version catalog.Version `cbor:"1,keyasint"`
	// Full means that Services lists every service and Drained every upstream
	// that operators have drained. Otherwise both are empty.
	Full     bool                 `cbor:"2,keyasint,omitempty"`
	Services []catalog.Service    `cbor:"3,keyasint,omitempty"`
	Drained  []catalog.InstanceID `cbor:"4,keyasint,omitempty"`
	// Primaries are control's decisions that the sender has received.
	Primaries []catalog.Primary `cbor:"5,keyasint,omitempty"`
}

// Join is a request for membership by a control VM whose incarnation is not yet
// a member.
type Join struct {
	VM          catalog.VMID        `cbor:"1,keyasint"`
	Incarnation catalog.Incarnation `cbor:"2,keyasint"`
}

// Revoke asks an entry to release its lease for the epoch and all earlier ones.
type Revoke struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	Epoch   catalog.Epoch     `cbor:"2,keyasint"`
	// Drain asks the entry to complete the writes in progress first. It is set
	// for a planned change of primary.
	Drain bool `cbor:"3,keyasint,omitempty"`
}

// FenceAck is an entry's promise to acknowledge no more writes of the epoch or
// of earlier ones.
type FenceAck struct {
	VM          catalog.VMID      `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Service     catalog.ServiceID `cbor:"3,keyasint"`
	Epoch       catalog.Epoch     `cbor:"4,keyasint"`
}

// Quorum carries one message between control members, encoded by package
// quorum.
type Quorum struct {
	Body []byte `cbor:"1,keyasint"`
}
