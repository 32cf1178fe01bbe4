package catalog

import (
	"time"

	"github.com/juju/errors"
)

// AckMode determines when a write may be acknowledged.
type AckMode string

// Acknowledgement modes.
const (
	// AckPrimary acknowledges a write when the primary has committed it.
	AckPrimary AckMode = "primary"
	// AckReplicated acknowledges a write when a majority of the group holds it.
	AckReplicated AckMode = "replicated"
)

// Limits bound the concurrent load on one upstream instance.
type Limits struct {
	// Connections is the maximum number of connections to the instance.
	Connections int `cbor:"1,keyasint" json:"connections"`
	// Reserved is how many of Connections control reserves for its own use.
	// Invariant: less than Connections.
	Reserved int `cbor:"2,keyasint" json:"reserved"`
	// Slots is how many statements the instance runs concurrently.
	Slots int `cbor:"3,keyasint" json:"slots"`
	// LocalShare is how many connections each entry VM of the instance's own
	// site may hold without a grant, so that a partitioned site can still
	// serve reads.
	LocalShare int `cbor:"4,keyasint" json:"local-share"`
}

// Service is the accepted configuration of one database service.
type Service struct {
	ID     ServiceID `cbor:"1,keyasint" json:"id"`
	Ack    AckMode   `cbor:"2,keyasint" json:"ack"`
	Limits Limits    `cbor:"3,keyasint" json:"limits"`
	// Instances is the full size of the group. A majority is more than half
	// of it.
	Instances int `cbor:"4,keyasint" json:"instances"`
	// SyncReplicas is how many replicas must hold a write before the primary
	// acknowledges it.
	SyncReplicas int `cbor:"5,keyasint,omitempty" json:"sync-replicas,omitempty"`
}

// Primary is control's decision about the primary of a service.
type Primary struct {
	Service ServiceID `cbor:"1,keyasint" json:"service"`
	// Epoch numbers the decision. Invariant: it increases with every decision.
	Epoch Epoch `cbor:"2,keyasint" json:"epoch"`
	// Instance is the chosen upstream. It is empty before the first decision.
	Instance InstanceID `cbor:"3,keyasint" json:"instance"`
	// Term is the group's term under this primary. It is set together with Ready.
	Term Term `cbor:"4,keyasint" json:"term"`
	// Ready is false from the decision until the promotion has finished.
	// Control grants no lease while it is false.
	Ready bool `cbor:"5,keyasint" json:"ready"`
	// Forks are the points where the group's terms diverged.
	Forks Forks `cbor:"6,keyasint" json:"forks,omitempty"`
	// Former is the instance that was ready last. Invariant: it is empty while Ready is
	// true, and while no instance was ever ready.
	Former InstanceID `cbor:"7,keyasint,omitempty" json:"former,omitempty"`
}

// LastReady returns the instance that leads the group, or led it last, as far as
// control knows. An instance that was elected and is not ready may never lead it.
func (p Primary) LastReady() InstanceID {
	if p.Ready {
		return p.Instance
	}
	return p.Former
}

// Announcement is the state that an upstream periodically announces.
type Announcement struct {
	Service  ServiceID  `cbor:"1,keyasint" json:"service"`
	Instance InstanceID `cbor:"2,keyasint" json:"instance"`
	// Address is the IP and port where the upstream accepts connections.
	Address string `cbor:"3,keyasint" json:"address"`
	Site    SiteID `cbor:"4,keyasint" json:"site"`
	Role    Role   `cbor:"5,keyasint" json:"role"`
	// Position is the log position that the upstream has written or replayed.
	Position Position `cbor:"6,keyasint" json:"position"`
	// Leaving is true if the upstream must not get new work.
	Leaving bool `cbor:"7,keyasint" json:"leaving"`
	// Incarnation numbers the upstream's starts, and Sequence its announcements
	// since that start. Together they order announcements that arrive over
	// several paths.
	Incarnation uint64 `cbor:"8,keyasint" json:"life"`
	Sequence    uint64 `cbor:"9,keyasint" json:"sequence"`
	// Slots is how many statements the upstream runs concurrently, zero if
	// the upstream doesn't announce it.
	Slots int `cbor:"10,keyasint,omitempty" json:"slots,omitempty"`
}

// Check returns a NotValid error if the announcement has a value that can't be
// used. Announcements come from outside, from processes of other builds and from
// the log. The address may be of any form here.
func (a Announcement) Check() error {
	for _, v := range []struct{ kind, text string }{{"service", string(a.Service)}, {"instance", string(a.Instance)}} {
		if err := CheckName(v.kind, v.text); err != nil {
			return err
		}
	}
	for _, v := range []struct{ kind, text string }{{"address", a.Address}, {"site", string(a.Site)}} {
		if v.text == "" {
			continue
		}
		if err := CheckText(v.kind, v.text); err != nil {
			return err
		}
	}
	if a.Role > RoleReplica {
		return errors.NotValidf("role %d", a.Role)
	}
	if a.Slots < 0 || a.Slots > MaxSlots {
		return errors.NotValidf("%d slots", a.Slots)
	}
	return nil
}

// MaxSlots bounds the slots that an upstream announces, so that sums of them don't
// overflow.
const MaxSlots = 1 << 20

// Newer reports whether a is newer than b. Both must come from the same
// upstream.
func (a Announcement) Newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Timings are the intervals and timeouts of failure detection, leases and
// elections. All VMs of a system use the same values.
type Timings struct {
	// ReportInterval is the time between two reports from an entry to control.
	ReportInterval time.Duration
	// ProbeInterval is the time between two probes of an upstream.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe may remain unanswered before it counts
	// as evidence of a failure.
	ProbeTimeout time.Duration
	// SuspectTimeout is the minimum time since the last answer of a primary
	// before control replaces it because its probes time out. A primary that
	// refuses connections is replaced without this delay.
	SuspectTimeout time.Duration
	// LeaseLength is the duration of a write lease. It is also the duration of
	// a connection grant if GrantLength is zero.
	LeaseLength time.Duration
	// MaxDrift is the maximum drift between two clocks during one lease.
	MaxDrift time.Duration
	// AnnouncementTTL is how long an upstream stays in use after its latest
	// announcement.
	AnnouncementTTL time.Duration
	// HeartbeatInterval is the time between two heartbeats of the control
	// leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a leader before a member
	// starts an election. The maximum is twice as long.
	ElectionTimeout time.Duration
	// DrainTimeout limits the duration of a planned stop.
	DrainTimeout time.Duration
	// GrantLength is the duration of a connection grant. If it is zero,
	// grants last LeaseLength.
	GrantLength time.Duration
}

// HostedTimings returns timings for sites that are a few milliseconds apart, and
// for VMs that have a fraction of a core and may pause for 100 ms. drainTimeout
// is Timings.DrainTimeout.
func HostedTimings(drainTimeout time.Duration) Timings {
	return Timings{
		ReportInterval: 200 * time.Millisecond,
		ProbeInterval:  300 * time.Millisecond,
		ProbeTimeout:   300 * time.Millisecond,
		SuspectTimeout: 600 * time.Millisecond,
		// A lease is long enough for a change of the control leader, which
		// takes twice the minimum election timeout, followed by a report for
		// which the entry looks for the new leader among the control VMs.
		LeaseLength:     650 * time.Millisecond,
		MaxDrift:        50 * time.Millisecond,
		AnnouncementTTL: 4 * time.Second,
		// Three heartbeats, or a pause of a VM, fit into the election timeout.
		HeartbeatInterval: 60 * time.Millisecond,
		ElectionTimeout:   200 * time.Millisecond,
		DrainTimeout:      drainTimeout,
		// Upstreams enforce their connection limits themselves, so grants may
		// outlast leases.
		GrantLength: 10 * time.Second,
	}
}

// DefaultTimings returns timings for sites with a network latency of a few
// milliseconds between them.
func DefaultTimings() Timings {
	return Timings{
		ReportInterval:    100 * time.Millisecond,
		ProbeInterval:     100 * time.Millisecond,
		ProbeTimeout:      200 * time.Millisecond,
		SuspectTimeout:    500 * time.Millisecond,
		LeaseLength:       600 * time.Millisecond,
		MaxDrift:          20 * time.Millisecond,
		AnnouncementTTL:   2 * time.Second,
		HeartbeatInterval: 50 * time.Millisecond,
		ElectionTimeout:   250 * time.Millisecond,
		DrainTimeout:      10 * time.Second,
	}
}
