package quorum

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Errors of the proposals.
const (
	// ErrNotLeader says that another member must be asked.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrChangeInProgress says that a change of members, or the leader's
	// first record, is not committed yet.
	ErrChangeInProgress = errors.ConstError("a change of members is in progress")
	// ErrInvalidMembers says that the list can't follow the one in force.
	ErrInvalidMembers = errors.ConstError("invalid members")
	// ErrTooLarge says that a record exceeds MaxData.
	ErrTooLarge = errors.ConstError("record too large")
)

const (
	// maxBatchRecords and batchBytes bound one append.
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10
	// maxInFlightRecords bounds the records on their way to one member.
	maxInFlightRecords = 1024
)

type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// fault breaks one rule on purpose, so that tests can show that their checks
// catch it. Only tests set it.
type fault uint8

const (
	faultNone fault = iota
	// faultEarlyVote grants votes before the write is synced.
	faultEarlyVote
	// faultEarlyAck acknowledges records before the write is synced.
	faultEarlyAck
	// faultCountUnsynced lets a leader count its own records before they are
	// synced.
	faultCountUnsynced
	// faultVoteStaleLog grants votes to candidates that lack records.
	faultVoteStaleLog
	// faultDoubleVote grants any number of votes in a ballot.
	faultDoubleVote
	// faultNoPreVote raises ballots without asking.
	faultNoPreVote
	// faultVoteDespiteLeader grants votes while a leader is heard.
	faultVoteDespiteLeader
	// faultIgnoreIncarnation takes every incarnation of a VM for the member.
	faultIgnoreIncarnation
	// faultNeverCampaign never lets a member campaign.
	faultNeverCampaign
)

// peer is what a leader knows of another member.
type peer struct {
	incarnation catalog.Incarnation
	// matchIndex is the last record known to be synced there.
	matchIndex Index
	// nextIndex is the record to send nextIndex. Invariant: greater than match.
	nextIndex Index
	// windowStart is where the window of unanswered records begins. Invariant: less
	// than next.
	windowStart Index
	// probing is set until the peer agrees to next-1; no records go out.
	probing bool
	// lastContact is the send time of the latest message that it answered.
	lastContact catalog.Instant
	// lastReplyAt is when its latest answer came.
	lastReplyAt catalog.Instant
	// snapshotRetryAt is when an unanswered snapshot may be sent again.
	snapshotRetryAt catalog.Instant
}

// pendingWrite is a write that is not synced yet, with what waits for it.
type pendingWrite struct {
	id uint64
	// lastIndex is the end of the log that the write leaves, cut back to what
	// later writes keep of it.
	lastIndex Index
	// changesVote is set if the write changes the changesVote, and campaign is its ballot
	// if the changesVote is the own one.
	changesVote    bool
	campaignBallot Ballot
	afterSync      []Envelope
}

// Group is one member's part in the agreement. It is not safe for use by
// several goroutines.
type Group struct {
	settings Settings
	own      Member
	random   *rand.Rand
	fault    fault

	now  catalog.Instant
	role role
	vote Vote
	// leader is the VM that leads the present ballot, if known.
	leader catalog.VMID
	// leaderHeardAt is when a leader was last leaderHeardAt, or when this process began: it
	// can't know what it leaderHeardAt before.
	leaderHeardAt catalog.Instant
	// electionAt is when a member that leads not asks for pre-votes.
	electionAt  catalog.Instant
	heartbeatAt catalog.Instant
	// votes are the voters that granted the present (pre-)vote.
	votes map[catalog.VMID]bool

	log memoryLog
	// commitIndex is also the last record handed out.
	commitIndex Index
	// syncedIndex is the last record synced here and not dropped since.
	syncedIndex Index
	// members is the last list in the log; membersAt is its record.
	members      []Member
	membersIndex Index

	peers       map[catalog.VMID]*peer
	leaderSince catalog.Instant
	// firstIndex is the leader's firstIndex record of the present ballot.
	firstIndex Index

	lastWriteID   uint64
	pendingWrites []pendingWrite

	// The rest is gathered during one call.
	out            Output
	write          Write
	campaignBallot Ballot
	afterSync      []Envelope
}

// New returns a member that starts from what its data folder holds. The owner
// restores its state from saved.Snapshot itself; all later records come out as
// Committed.
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

// collectOutput closes one call: promises wait for the last write that is not synced.
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

// isSnapshotDue is false while no list of members is committed here: a VM that
// joined later knows none from before its own.
func (g *Group) isSnapshotDue() bool {
	after := g.settings.SnapshotAfter
	hasMembers := len(g.log.snapshot.Members) > 0 || (len(g.members) > 0 && g.membersIndex <= g.commitIndex)
	return after > 0 && hasMembers && g.commitIndex-g.log.snapshot.Index >= Index(after)
}

// sendAfterSync sends what may leave once all that is written so far is synced.
func (g *Group) sendAfterSync(es []Envelope, early fault) {
	if g.fault == early {
		g.out.Send = append(g.out.Send, es...)
		return
	}
	g.afterSync = append(g.afterSync, es...)
}

// isVoteSynced reports whether the present ballot would outlive a crash.
func (g *Group) isVoteSynced() bool {
	changes := func(p pendingWrite) bool { return p.changesVote }
	return g.write.Vote == nil && !slices.ContainsFunc(g.pendingWrites, changes)
}

// truncateAfter forgets the records after an index.
func (g *Group) truncateAfter(last Index) {
	g.log.truncateFrom(last + 1)
	g.write.TruncateFrom = last + 1
	g.syncedIndex = min(g.syncedIndex, last)
	for i := range g.pendingWrites {
		g.pendingWrites[i].lastIndex = min(g.pendingWrites[i].lastIndex, last)
	}
}

// MarkSynced says that all writes up to the token are on disk.
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

// Compact lets data, the owner's state after the record index, stand for the
// records up to it. Data over MaxData is not taken, since no member could get
// it; the log is then kept. The output does not ask for a snapshot again.
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
