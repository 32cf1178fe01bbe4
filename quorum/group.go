package quorum

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Errors of Propose and ProposeMembers.
const (
	// ErrNotLeader says that this member is not the leader.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrChangeInProgress says that the previous membership change, or the
	// leader's first record, is not committed yet.
	ErrChangeInProgress = errors.ConstError("a change of members is in progress")
	// ErrInvalidMembers says that a list of members is malformed or not a
	// permitted change of the current list.
	ErrInvalidMembers = errors.ConstError("invalid members")
	// ErrTooLarge says that the data of a record exceeds MaxDataBytes.
	ErrTooLarge = errors.ConstError("record too large")
)

const (
	// maxBatchRecords and maxBatchBytes limit the records of one append
	// message.
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10
	// maxInFlightRecords limits the unacknowledged records sent to one member.
	maxInFlightRecords = 1024
)

type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// fault breaks one rule of the protocol on purpose, so that tests can show that
// their checks detect the violation. Only tests set it.
type fault uint8

const (
	faultNone fault = iota
	// faultEarlyVote grants votes before they are synced.
	faultEarlyVote
	// faultEarlyAck acknowledges records before they are synced.
	faultEarlyAck
	// faultCountUnsynced makes a leader count its own records towards the
	// majority before they are synced.
	faultCountUnsynced
	// faultVoteStaleLog grants votes to candidates whose log is behind.
	faultVoteStaleLog
	// faultDoubleVote grants votes to several candidates in one ballot.
	faultDoubleVote
	// faultNoPreVote starts elections without a pre-vote.
	faultNoPreVote
	// faultVoteDespiteLeader grants votes although a leader was in contact
	// within the election timeout.
	faultVoteDespiteLeader
	// faultIgnoreIncarnation treats every incarnation of a VM as the member.
	faultIgnoreIncarnation
	// faultNeverCampaign keeps a member from starting elections.
	faultNeverCampaign
)

// peer is the leader's replication state of another member.
type peer struct {
	incarnation catalog.Incarnation
	// matchIndex is the last record that the peer is known to have synced.
	matchIndex Index
	// nextIndex is the next record to send. Invariant: greater than matchIndex.
	nextIndex Index
	// windowStart is the record before the first unacknowledged one of the send
	// window. Invariant: less than nextIndex.
	windowStart Index
	// probing is true until the peer confirms that its log matches up to
	// nextIndex-1. No records are sent meanwhile.
	probing bool
	// lastContact is the send time, on the leader's clock, of the latest
	// message that the peer replied to.
	lastContact catalog.Instant
	// lastReplyAt is when the latest reply arrived.
	lastReplyAt catalog.Instant
	// snapshotRetryAt is when an unacknowledged snapshot may be sent again.
	snapshotRetryAt catalog.Instant
}

// pendingWrite is a write that is not synced yet, with the messages that wait
// for it.
type pendingWrite struct {
	id uint64
	// lastIndex is the last record of the log after the write, lowered if later
	// writes truncate the log below it.
	lastIndex Index
	// changesVote is true if the write changes the vote. campaignBallot is the
	// ballot in which the member votes for itself with this write, or zero.
	changesVote    bool
	campaignBallot Ballot
	afterSync      []Envelope
}

// Group is one member of the replicated log. It is not safe for concurrent use.
type Group struct {
	settings Settings
	own      Member
	random   *rand.Rand
	fault    fault

	now  catalog.Instant
	role role
	vote Vote
	// leader is the leader of the current ballot, empty if unknown.
	leader catalog.VMID
	// leaderHeardAt is when the latest message of a leader arrived. It begins
	// at the start of the process, since contact before a restart is unknown.
	leaderHeardAt catalog.Instant
	// electionAt is when a member that does not lead starts a pre-vote.
	electionAt  catalog.Instant
	heartbeatAt catalog.Instant
	// votes are the voters that granted the current vote or pre-vote.
	votes map[catalog.VMID]bool

	log memoryLog
	// commitIndex is the last record known to be committed. All records up to
	// it were returned in Output.Committed or are part of a snapshot.
	commitIndex Index
	// syncedIndex is the last record synced to the local disk and not truncated
	// since.
	syncedIndex Index
	// members is the latest list of members in the log, committed or not.
	// membersIndex is the index of the record that holds the list.
	members      []Member
	membersIndex Index

	peers       map[catalog.VMID]*peer
	leaderSince catalog.Instant
	// firstIndex is the first record that this leader wrote in the current
	// ballot.
	firstIndex Index

	lastWriteID   uint64
	pendingWrites []pendingWrite

	// The fields below collect the output of the current call.
	out            Output
	write          Write
	campaignBallot Ballot
	afterSync      []Envelope
}

// New returns a member that continues from the content of its data folder. The
// owner restores its state machine from saved.Snapshot. Output.Committed returns
// later records once they are known to be committed.
func New(s Settings, now catalog.Instant, saved PersistentState) *Group {
	stream := xxhash.Sum64String(string(saved.Self.VM)) ^ uint64(saved.Self.Incarnation)
	g := &Group{
		settings:      s,
		own:           saved.Self,
		random:        rand.New(rand.NewPCG(s.Seed^uint64(saved.Vote.Ballot), stream)),
		now:           now,
		vote:          saved.Vote,
		leaderHeardAt: now,
		log:           memoryLog{snapshot: saved.Snapshot, records: slices.Clone(saved.Records)},
		commitIndex:   saved.Snapshot.Index,
	}
	g.syncedIndex = g.log.lastIndex()
	g.updateMembers()
	g.resetElectionTimer()
	return g
}

func (g *Group) advanceClock(now catalog.Instant) {
	if now.After(g.now) {
		g.now = now
	}
}

// collectOutput returns the output of the current call. Messages in afterSync
// are held back until the last unsynced write, if any, is synced.
func (g *Group) collectOutput() Output {
	out := g.out
	if g.write.Vote != nil || g.write.TruncateFrom > 0 || len(g.write.Append) > 0 || g.write.Snapshot != nil {
		g.lastWriteID++
		w := g.write
		out.Write, out.WriteID = &w, g.lastWriteID
		g.pendingWrites = append(g.pendingWrites, pendingWrite{
			id: g.lastWriteID, lastIndex: g.log.lastIndex(), changesVote: w.Vote != nil, campaignBallot: g.campaignBallot,
		})
	}
	if n := len(g.pendingWrites); n > 0 {
		g.pendingWrites[n-1].afterSync = append(g.pendingWrites[n-1].afterSync, g.afterSync...)
	} else {
		out.Send = append(out.Send, g.afterSync...)
	}
	g.out, g.write, g.campaignBallot, g.afterSync = Output{}, Write{}, 0, nil
	out.SnapshotDue = g.isSnapshotDue()
	return out
}

// isSnapshotDue reports whether enough records are committed for a snapshot. It
// returns false while no committed list of members is known: a snapshot must
// contain one, and a VM that joins a running group starts without any.
func (g *Group) isSnapshotDue() bool {
	after := g.settings.SnapshotAfter
	hasMembers := len(g.log.snapshot.Members) > 0 || (len(g.members) > 0 && g.membersIndex <= g.commitIndex)
	committed := int(g.commitIndex - g.log.snapshot.Index)
	return after > 0 && hasMembers && (committed >= after || g.isLogLong(committed))
}

// maxLogPerSnapshot is the size of the log, relative to the latest snapshot, up to
// which another snapshot would cost more than the records that it replaces.
const maxLogPerSnapshot = 2

// isLogLong reports whether the first records after the snapshot have so many
// bytes that a snapshot is due.
func (g *Group) isLogLong(records int) bool {
	if g.settings.SnapshotAfterBytes == 0 {
		return false
	}
	limit := max(g.settings.SnapshotAfterBytes, maxLogPerSnapshot*len(g.log.snapshot.Data))
	size := 0
	for _, r := range g.log.records[:records] {
		size += len(r.Data)
	}
	return size >= limit
}

// sendAfterSync sends messages once all writes so far are synced. If the early
// fault is set, it sends them at once.
func (g *Group) sendAfterSync(es []Envelope, early fault) {
	if g.fault == early {
		g.out.Send = append(g.out.Send, es...)
		return
	}
	g.afterSync = append(g.afterSync, es...)
}

// isVoteSynced reports whether the current vote is on disk.
func (g *Group) isVoteSynced() bool {
	changes := func(p pendingWrite) bool { return p.changesVote }
	return g.write.Vote == nil && !slices.ContainsFunc(g.pendingWrites, changes)
}

// truncateAfter deletes the records after last from the log.
func (g *Group) truncateAfter(last Index) {
	g.log.truncateFrom(last + 1)
	g.write.TruncateFrom = last + 1
	g.syncedIndex = min(g.syncedIndex, last)
	for i := range g.pendingWrites {
		g.pendingWrites[i].lastIndex = min(g.pendingWrites[i].lastIndex, last)
	}
}

// MarkSynced reports that all writes up to and including writeID are synced to
// disk.
func (g *Group) MarkSynced(now catalog.Instant, writeID uint64) Output {
	g.advanceClock(now)
	for len(g.pendingWrites) > 0 && g.pendingWrites[0].id <= writeID {
		p := g.pendingWrites[0]
		g.pendingWrites = g.pendingWrites[1:]
		g.syncedIndex = p.lastIndex
		g.out.Send = append(g.out.Send, p.afterSync...)
		if p.campaignBallot > 0 && p.campaignBallot == g.vote.Ballot && g.role == roleCandidate {
			g.recordVote(g.own.VM)
		}
	}
	g.advanceCommit()
	return g.collectOutput()
}

// Compact replaces the records up to index by a snapshot, whose data is the
// owner's state after the record at index. It keeps the log if that record is
// not committed or already in a snapshot, or if no list of members is known at
// index. It also keeps the log if data is larger than MaxDataBytes, since such a
// snapshot could not be sent to other members. It never sets
// Output.SnapshotDue.
func (g *Group) Compact(now catalog.Instant, index Index, data []byte) Output {
	g.advanceClock(now)
	g.compact(index, data)
	out := g.collectOutput()
	out.SnapshotDue = false
	return out
}

func (g *Group) compact(index Index, data []byte) {
	if index <= g.log.snapshot.Index || index > g.commitIndex || len(data) > MaxDataBytes {
		return
	}
	ballot, _ := g.log.ballotAt(index)
	members, _ := g.log.membersAt(index)
	if len(members) == 0 {
		return
	}
	s := Snapshot{Index: index, Ballot: ballot, Members: members, Data: slices.Clone(data)}
	g.log.compact(s)
	g.write.Snapshot = &s
}
