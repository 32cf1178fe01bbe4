// Package quorum replicates a log between the control VMs by consensus. It
// follows Raft, with pre-vote, check-quorum, snapshots, learners, leadership
// transfer and membership changes of one voter at a time; a ballot is what Raft
// calls a term. The package is a pure reducer without I/O: its owner stores and
// sends what each call returns.
package quorum

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Member is one incarnation of a control VM's data folder.
type Member struct {
	VM          catalog.VMID        `cbor:"1,keyasint"`
	Incarnation catalog.Incarnation `cbor:"2,keyasint"`
	// Voter is false for a learner, which receives the log but has no vote and
	// does not count towards a majority.
	Voter bool `cbor:"3,keyasint"`
}

// Index numbers the records of the log from 1.
type Index uint64

// Ballot numbers the elections. At most one leader is elected in a ballot.
type Ballot uint64

// Record is one entry of the log.
type Record struct {
	Index  Index  `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
	// Members, if not empty, is the new list of members.
	Members []Member `cbor:"3,keyasint,omitempty"`
	// Data is the proposed command. It is empty in membership changes and in
	// the first record of a leader.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces all records up to and including Index.
type Snapshot struct {
	Index   Index    `cbor:"1,keyasint"`
	Ballot  Ballot   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint"`
}

// Vote is the ballot that a member is in and the candidate that it voted for in
// that ballot, if any. It must survive a crash.
type Vote struct {
	Ballot    Ballot       `cbor:"1,keyasint"`
	Candidate catalog.VMID `cbor:"2,keyasint"`
}

// Write is a change of the stored state. Once it is synced to disk, the owner
// reports it with Group.MarkSynced.
type Write struct {
	// Vote is nil if the vote did not change.
	Vote *Vote
	// TruncateFrom, if not zero, is the index of the first record to delete. All
	// later records are deleted too, before Append is stored.
	TruncateFrom Index
	Append       []Record
	// Snapshot, if not nil, replaces the stored snapshot and all records up to
	// its index.
	Snapshot *Snapshot
}

// PersistentState is the content of a data folder when the process starts.
type PersistentState struct {
	Self     Member
	Vote     Vote
	Snapshot Snapshot
	Records  []Record
}

// Settings configure a Group. They must be the same at all members.
type Settings struct {
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without contact to a leader after
	// which a member starts an election. Each timeout is drawn at random from
	// one to two times this value.
	ElectionTimeout time.Duration
	// SnapshotAfter is how many records must be committed after the latest
	// snapshot before Output.SnapshotDue is set. Zero turns snapshots off.
	SnapshotAfter int
	// SnapshotAfterBytes makes a snapshot due also after as many bytes of
	// records, or as many as maxLogPerSnapshot snapshots have if these are more.
	// Zero means no bound. All records since the snapshot are kept in memory.
	SnapshotAfterBytes int
	// Seed seeds the random election timeouts. The seed of each member also
	// depends on its VM and incarnation, so that their timeouts differ.
	Seed uint64
}

// Envelope is an encoded message with its receiver.
type Envelope struct {
	To   catalog.VMID
	Body []byte
}

// Output lists what the owner of a Group must do after a call, in this order:
// replace the state machine's state by Restore, apply Committed, send Send,
// store Write.
type Output struct {
	Send []Envelope
	// Write, if not nil, must be synced to disk and then reported with
	// Group.MarkSynced(WriteID). Messages that depend on the write are returned
	// by MarkSynced, not before.
	Write   *Write
	WriteID uint64
	// Restore, if not nil, replaces the state of the state machine.
	Restore *Snapshot
	// Committed are the records to apply, in order. Each record is returned
	// once.
	Committed []Record
	// SnapshotDue asks the owner to call Group.Compact.
	SnapshotDue bool
}

// Progress is the leader's view of one member's replication.
type Progress struct {
	Member Member
	// Reachable is true if the member replied to the leader within the last
	// Settings.ElectionTimeout. It is always true for the leader itself.
	Reachable bool
	// MatchIndex is the last record that the member is known to have synced.
	MatchIndex Index
}
