package catalog

import "time"

// AckMode says when a write may be acknowledged.
type AckMode string

// Acknowledgement modes.
const (
	// AckPrimary acknowledges once the primary has committed.
	AckPrimary AckMode = "primary"
	// AckReplicated acknowledges once a majority of the group holds the write.
	AckReplicated AckMode = "replicated"
)

// Limits bound what an upstream instance is asked to do at a time.
type Limits struct {
	// Connections is the most connections the instance takes.
	Connections int `cbor:"1,keyasint" json:"connections"`
	// Reserved is how many of them control keeps for itself. Invariant: less
	// than Connections.
	Reserved int `cbor:"2,keyasint" json:"reserved"`
	// Slots is how many statements the instance runs side by side.
	Slots int `cbor:"3,keyasint" json:"slots"`
	// LocalShare is how many connections each entry VM of the instance's own
	// site holds without asking, so that a cut-off site can go on reading.
	LocalShare int `cbor:"4,keyasint" json:"local-share"`
}

// Service is the accepted configuration of one database service.
type Service struct {
	ID     ServiceID `cbor:"1,keyasint" json:"id"`
	Ack    AckMode   `cbor:"2,keyasint" json:"ack"`
	Limits Limits    `cbor:"3,keyasint" json:"limits"`
	// Instances is how many instances the group has when it is whole; a
	// majority is counted against it.
	Instances int `cbor:"4,keyasint" json:"instances"`
	// SyncReplicas is how many replicas hold a write before the primary itself
	// acknowledges it.
	SyncReplicas int `cbor:"5,keyasint,omitempty" json:"sync-replicas,omitempty"`
}

// Primary is what control decided about the primary of a service.
type Primary struct {
	Service ServiceID `cbor:"1,keyasint" json:"service"`
	// Epoch numbers the choice. Invariant: it grows with every choice.
	Epoch Epoch `cbor:"2,keyasint" json:"epoch"`
	// Instance is the chosen upstream, empty before the first choice.
	Instance InstanceID `cbor:"3,keyasint" json:"instance"`
	// Term is the group's term under this primary, known once it is Ready.
	Term Term `cbor:"4,keyasint" json:"term"`
	// Ready is false between the choice and the end of the promotion. No
	// lease is given before it is true.
	Ready bool `cbor:"5,keyasint" json:"ready"`
	// Forks are the places where the group's terms parted.
	Forks Forks `cbor:"6,keyasint" json:"forks,omitempty"`
}

// Announcement is what an upstream says of itself, over and over.
type Announcement struct {
	Service  ServiceID  `cbor:"1,keyasint" json:"service"`
	Instance InstanceID `cbor:"2,keyasint" json:"instance"`
	// Address is the IP and port where the upstream takes connections.
	Address string `cbor:"3,keyasint" json:"address"`
	Site    SiteID `cbor:"4,keyasint" json:"site"`
	Role    Role   `cbor:"5,keyasint" json:"role"`
	// Position is what the upstream has written or replayed.
	Position Position `cbor:"6,keyasint" json:"position"`
	// Leaving is true once the upstream asks for no new work.
	Leaving bool `cbor:"7,keyasint" json:"leaving"`
	// Life numbers the upstream's starts, and Sequence its announcements
	// within a life; together they order what is heard over several ways.
	Incarnation uint64 `cbor:"8,keyasint" json:"life"`
	Sequence    uint64 `cbor:"9,keyasint" json:"sequence"`
	// Slots is how many statements the upstream runs side by side, zero if it
	// does not say.
	Slots int `cbor:"10,keyasint,omitempty" json:"slots,omitempty"`
}

// Newer reports whether a was made after b by the same upstream.
func (a Announcement) Newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Timings are the lengths of time that the decisions use. All VMs of a system
// run with the same ones.
type Timings struct {
	// Report is the time between two reports of an entry to control.
	ReportInterval time.Duration
	// Probe is the time between two probes of an upstream.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe may go unanswered before it counts
	// as evidence against the upstream.
	ProbeTimeout time.Duration
	// Suspect is how long the evidence must last without an answer before a
	// silent primary is replaced. A refused connection needs no such wait.
	Suspect time.Duration
	// Lease is the length of a write lease and of a connection grant.
	LeaseLength time.Duration
	// Drift bounds how much two clocks part during one lease.
	Drift time.Duration
	// Announce is how long an announcement keeps an upstream in use.
	Announce time.Duration
	// Heartbeat is the time between two heartbeats of the control leader.
	HeartbeatInterval time.Duration
	// Election is the shortest time without a leader before a vote; the
	// longest is twice as long.
	ElectionTimeout time.Duration
	// Drain bounds a planned stop.
	Drain time.Duration
	// Grant is the length of a connection grant; zero takes that of a lease.
	GrantLength time.Duration
}

// DefaultTimings fits sites a few milliseconds apart.
func DefaultTimings() Timings {
	return Timings{
		ReportInterval:    100 * time.Millisecond,
		ProbeInterval:     100 * time.Millisecond,
		ProbeTimeout:      200 * time.Millisecond,
		Suspect:           500 * time.Millisecond,
		LeaseLength:       600 * time.Millisecond,
		Drift:             20 * time.Millisecond,
		Announce:          2 * time.Second,
		HeartbeatInterval: 50 * time.Millisecond,
		ElectionTimeout:   250 * time.Millisecond,
		Drain:             10 * time.Second,
	}
}
