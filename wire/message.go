// Package wire holds the messages that the processes of the system send each
// other. They travel as CBOR in WebSocket frames.
package wire

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Protocol is the version of the messages; a peer with another one is refused.
const Protocol = 1

// MaxFrame is the largest frame a peer may send, in bytes.
const MaxFrame = 4 << 20

// Message is one typed message. Exactly one field is set.
type Message struct {
	Report       *Report               `cbor:"1,keyasint,omitempty"`
	Answer       *Answer               `cbor:"2,keyasint,omitempty"`
	Revoke       *Revoke               `cbor:"3,keyasint,omitempty"`
	FenceAck     *FenceAck             `cbor:"4,keyasint,omitempty"`
	Announcement *catalog.Announcement `cbor:"5,keyasint,omitempty"`
	Quorum       *Quorum               `cbor:"6,keyasint,omitempty"`
	Join         *Join                 `cbor:"7,keyasint,omitempty"`
	SettingsAsk  *SettingsAsk          `cbor:"8,keyasint,omitempty"`
	Settings     *Settings             `cbor:"9,keyasint,omitempty"`
}

// Evidence says how an attempt to use an upstream ended.
type Evidence uint8

// Kinds of evidence.
const (
	// EvidenceNone means that nothing was tried.
	EvidenceNone Evidence = iota
	// EvidenceAlive means that the upstream answered.
	EvidenceAlive
	// EvidenceRefused means that the upstream's machine answered and nobody
	// listens there, or that a connection was reset: the process is gone.
	EvidenceRefused
	// EvidenceSilent means that no answer came in time.
	EvidenceSilent
)

// Observation is what one entry knows first-hand of one upstream.
type Observation struct {
	Service  catalog.ServiceID  `cbor:"1,keyasint"`
	Instance catalog.InstanceID `cbor:"2,keyasint"`
	Evidence Evidence           `cbor:"3,keyasint"`
	// Age is the time since the evidence was gathered.
	Age time.Duration `cbor:"4,keyasint"`
	// AliveAge is the time since the upstream last answered this entry, or
	// negative if it never did.
	AliveAge time.Duration    `cbor:"5,keyasint"`
	Role     catalog.Role     `cbor:"6,keyasint"`
	Position catalog.Position `cbor:"7,keyasint"`
}

// Want says how many connections to an upstream an entry holds and could use.
type Demand struct {
	Service  catalog.ServiceID  `cbor:"1,keyasint"`
	Instance catalog.InstanceID `cbor:"2,keyasint"`
	// Held counts open and opening connections. Invariant: at most the grant.
	Held int `cbor:"3,keyasint"`
	// Wanted is what the entry's present load would use.
	Desired int `cbor:"4,keyasint"`
	// Idle is set if no request uses them at present, so that others who lack
	// connections go first.
	Idle bool `cbor:"5,keyasint,omitempty"`
}

// Report is what an entry tells control, over and over. Its answer renews the
// entry's leases and grants.
type Report struct {
	VM   catalog.VMID   `cbor:"1,keyasint"`
	Site catalog.SiteID `cbor:"2,keyasint"`
	// Life numbers the starts of the entry process.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Sequence numbers the reports of a life; the answer repeats it.
	Sequence uint64 `cbor:"4,keyasint"`
	// Settings is the version in force at the entry.
	SettingsVersion catalog.Version     `cbor:"5,keyasint"`
	Observations    []Observation       `cbor:"6,keyasint,omitempty"`
	Demands         []Demand            `cbor:"7,keyasint,omitempty"`
	Services        []catalog.ServiceID `cbor:"8,keyasint,omitempty"`
	// Leaving is true while the entry drains; it gets no new leases.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Instances are announcements the entry heard since the last report that
	// was answered.
	Announcements []catalog.Announcement `cbor:"10,keyasint,omitempty"`
	// AliveWithin, if not zero, says that Observations leaves out upstreams
	// that an earlier report told of as alive and that answered the entry
	// within this time. An entry tells of each at least once a second.
	AliveWithin time.Duration `cbor:"11,keyasint,omitempty"`
	// WantsKept says that Wants is as in the last report that the present
	// leader answered, and was left out.
	WantsKept bool `cbor:"13,keyasint,omitempty"`
	// Primaries marks the primaries that the entry knows of Services; see
	// MarkPrimaries.
	PrimariesMark uint64 `cbor:"14,keyasint,omitempty"`
	// Upstreams says which of control's lists of upstreams the entry has.
	Upstreams UpstreamsMark `cbor:"12,keyasint,omitempty"`
	// Entries marks the entries of its site that the entry knows, zero if it
	// knows none; see MarkEntries.
	EntriesMark uint64 `cbor:"15,keyasint,omitempty"`
}

// UpstreamsMark names a state of one leader's list of upstreams.
type UpstreamsMark struct {
	Leader   catalog.VMID `cbor:"1,keyasint,omitempty"`
	Revision uint64       `cbor:"2,keyasint,omitempty"`
}

// Lease lets an entry acknowledge writes that ran under one epoch.
type Lease struct {
	Primary catalog.Primary `cbor:"1,keyasint"`
	// Length counts from the moment the entry sent the report that the
	// answer repeats. Zero tells of a primary without giving a lease.
	Length time.Duration `cbor:"2,keyasint"`
}

// Grant lets an entry hold connections to an upstream.
type Grant struct {
	Service     catalog.ServiceID  `cbor:"1,keyasint"`
	Instance    catalog.InstanceID `cbor:"2,keyasint"`
	Connections int                `cbor:"3,keyasint"`
	// Length counts as that of a lease does.
	Length time.Duration `cbor:"4,keyasint"`
}

// Answer is control's answer to a report.
type Answer struct {
	// Leader is the VM that answers as leader or, when Refused is set, the
	// one to ask instead (empty if unknown).
	Leader   catalog.VMID `cbor:"1,keyasint"`
	Refused  bool         `cbor:"2,keyasint,omitempty"`
	Sequence uint64       `cbor:"3,keyasint"`
	Leases   []Lease      `cbor:"4,keyasint,omitempty"`
	Grants   []Grant      `cbor:"5,keyasint,omitempty"`
	// Settings are the services that were changed between the entry's version
	// and Version.
	Version  catalog.Version   `cbor:"6,keyasint"`
	Services []catalog.Service `cbor:"7,keyasint,omitempty"`
	// Whole says that Settings lists every service, for an entry without any.
	Full bool `cbor:"8,keyasint,omitempty"`
	// Drained lists the upstreams that operators keep new work from, if
	// HasDrained is set.
	Drained    []catalog.InstanceID `cbor:"9,keyasint,omitempty"`
	HasDrained bool                 `cbor:"10,keyasint,omitempty"`
	// Removed lists the services that were removed between the entry's
	// version and Version.
	Removed []catalog.ServiceID `cbor:"11,keyasint,omitempty"`
	// Routes and RemovedRoutes are to routes what Settings and Removed are to
	// services.
	Routes        []catalog.Route    `cbor:"12,keyasint,omitempty"`
	RemovedRoutes []catalog.RouteKey `cbor:"13,keyasint,omitempty"`
	// TransactionIdle is that of the configuration of Version.
	TransactionIdle time.Duration `cbor:"14,keyasint,omitempty"`
	// Upstreams are those that changed since the mark of the report, and
	// UpstreamsAt marks the list with them.
	Upstreams   []catalog.Announcement `cbor:"15,keyasint,omitempty"`
	UpstreamsAt UpstreamsMark          `cbor:"16,keyasint,omitempty"`
	// Renew, if not zero, renews the leases of all services of the report
	// under the primaries that Primaries marks. It counts as Lease.Length.
	Renew         time.Duration `cbor:"18,keyasint,omitempty"`
	PrimariesMark uint64        `cbor:"19,keyasint,omitempty"`
	// Members are the control VMs, empty if the entry was told before.
	Members []catalog.VMID `cbor:"17,keyasint,omitempty"`
	// Entries are the entries of the entry's site that are at work, in order,
	// empty if Report.Entries marks them. Sites is how many sites have entries.
	Entries   []catalog.VMID `cbor:"20,keyasint,omitempty"`
	SiteCount int            `cbor:"21,keyasint,omitempty"`
}

// MarkEntries tells one list of entries from another.
func MarkEntries(entries []catalog.VMID, sites int) uint64 {
	if len(entries) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, vm := range entries {
		// A digest takes everything.
		_, _ = d.WriteString(string(vm))
		_, _ = d.Write([]byte{0})
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(sites))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// MarkPrimaries tells one set of primaries from another. It is zero if one of
// them is not ready.
func MarkPrimaries(primaries []catalog.Primary) uint64 {
	d := xxhash.New()
	var b [8]byte
	for _, p := range primaries {
		if !p.Ready {
			return 0
		}
		// A digest takes everything.
		_, _ = d.WriteString(string(p.Service))
		binary.LittleEndian.PutUint64(b[:], uint64(p.Epoch))
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// SettingsAsk asks another entry for the accepted configuration if it has a
// higher version.
type SettingsAsk struct {
	// Have is the version that the sender has, zero if none.
	Have catalog.Version `cbor:"1,keyasint"`
	// Starting asks for the primaries too, whatever the version.
	Starting bool `cbor:"2,keyasint,omitempty"`
}

// Settings is an entry's answer to SettingsAsk.
type Settings struct {
	Version catalog.Version `cbor:"1,keyasint"`
	// Whole says that Services lists every service and Drained every upstream
	// that operators keep new work from. Without it both are empty.
	Full     bool                 `cbor:"2,keyasint,omitempty"`
	Services []catalog.Service    `cbor:"3,keyasint,omitempty"`
	Drained  []catalog.InstanceID `cbor:"4,keyasint,omitempty"`
	// Primaries are the choices of control that the sender knows.
	Primaries []catalog.Primary `cbor:"5,keyasint,omitempty"`
}

// Join is sent by a control VM whose incarnation is not yet a member.
type Join struct {
	VM          catalog.VMID        `cbor:"1,keyasint"`
	Incarnation catalog.Incarnation `cbor:"2,keyasint"`
}

// Revoke asks an entry to give up its lease for the epoch and all before it.
type Revoke struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	Epoch   catalog.Epoch     `cbor:"2,keyasint"`
	// Drain asks the entry to first let the writes in progress end, for a
	// planned change of primary.
	Drain bool `cbor:"3,keyasint,omitempty"`
}

// Fenced says that an entry will acknowledge nothing of the epoch or before.
type FenceAck struct {
	VM          catalog.VMID      `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Service     catalog.ServiceID `cbor:"3,keyasint"`
	Epoch       catalog.Epoch     `cbor:"4,keyasint"`
}

// Quorum carries one message between members of the agreement, encoded by
// package quorum.
type Quorum struct {
	Body []byte `cbor:"1,keyasint"`
}
