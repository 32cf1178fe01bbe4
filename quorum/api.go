// Package quorum is the agreement between the control VMs: a replicated log
// with terms, pre-vote, check-quorum, snapshots and change of members one at a
// time. It is a pure reducer; the shell stores and sends what it returns.
package quorum

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Member is one control VM in one life of its data folder.
type Member struct {
	VM          catalog.VMID        `cbor:"1,keyasint"`
	Incarnation catalog.Incarnation `cbor:"2,keyasint"`
	// Voter is false for a learner, which gets the log but counts for nothing.
	Voter bool `cbor:"3,keyasint"`
}

// Index numbers the records of the log from 1.
type Index uint64

// Ballot numbers the leaders of the agreement.
type Ballot uint64

// Record is one entry of the log.
type Record struct {
	Index  Index  `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
	// Members is set in a record that changes the members.
	Members []Member `cbor:"3,keyasint,omitempty"`
	// Data is the proposer's command, empty in a leader's first record.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// Snapshot stands for all records up to Index.
type Snapshot struct {
	Index   Index    `cbor:"1,keyasint"`
	Ballot  Ballot   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint"`
}

// Vote is what a member must remember of the ballots it took part in.
type Vote struct {
	Ballot    Ballot       `cbor:"1,keyasint"`
	Candidate catalog.VMID `cbor:"2,keyasint"`
}

// Write is what must be synced before Synced may be given to the reducer.
type Write struct {
	// Vote is set if the vote changed.
	Vote *Vote
	// Truncate, if not zero, drops the records from that index on first.
	Truncate Index
	Append   []Record
	// Snapshot replaces the stored one and the records it stands for.
	Snapshot *Snapshot
}

// Saved is what a data folder held at the start.
type PersistentState struct {
	Self     Member
	Vote     Vote
	Snapshot Snapshot
	Records  []Record
}

// Settings are the same at all members.
type Settings struct {
	// Heartbeat is the time between two heartbeats of a leader.
	Heartbeat time.Duration
	// Election is the shortest time without a leader before a vote; the
	// longest is twice as long.
	ElectionTimeout time.Duration
	// SnapshotAfter is how many committed records past the snapshot make
	// Output.WantSnapshot true.
	SnapshotAfter int
	// Seed feeds the draw of election times.
	Seed uint64
}

// Envelope is a message on its way to another member.
type Envelope struct {
	To   catalog.VMID
	Body []byte
}

// Output is what the shell or the owner of a Group must do, in this order:
// replace the state by Restore, apply Committed, send Send, store Write.
type Output struct {
	Send []Envelope
	// Write, if not nil, must be synced and then reported by Synced(Token).
	// Messages that promise what it holds come out of Synced, not before.
	Write *Write
	Token uint64
	// Restore replaces the state machine's state.
	Restore *Snapshot
	// Committed are the records to apply now, in order, each exactly once.
	Committed []Record
	// WantSnapshot asks the owner to call Compact.
	WantSnapshot bool
}

// Progress is what the leader knows of one member.
type Progress struct {
	Member Member
	// Reachable is set if it answered within the election timeout.
	Reachable bool
	// Match is the last record that it is known to hold, synced.
	Match Index
}
