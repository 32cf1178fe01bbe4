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
	// batchRecords and batchBytes bound one append.
	batchRecords = 256
	batchBytes   = 512 << 10
	// windowRecords bounds the records on their way to one member.
	windowRecords = 1024
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
	// faultEarlySelf lets a leader count its own records before they are
	// synced.
	faultEarlySelf
	// faultAnyLog grants votes to candidates that lack records.
	faultAnyLog
	// faultTwice grants any number of votes in a ballot.
	faultTwice
	// faultNoPreVote raises ballots without asking.
	faultNoPreVote
	// faultDisloyal grants votes while a leader is heard.
	faultDisloyal
	// faultAnyLife takes every incarnation of a VM for the member.
	faultAnyLife
	// faultDeaf never lets a member campaign.
	faultDeaf
)

// peer is what a leader knows of another member.
type peer struct {
	incarnation catalog.Incarnation
	// match is the last record known to be synced there.
	match Index
	// next is the record to send next. Invariant: greater than match.
	next Index
	// base is where the window of unanswered records begins. Invariant: less
	// than next.
	base Index
	// probing is set until the peer agrees to next-1; no records go out.
	probing bool
	// contact is the send time of the latest message that it answered.
	contact catalog.Instant
	// answered is when its latest answer came.
	answered catalog.Instant
	// snapshotUntil is when an unanswered snapshot may be sent again.
	snapshotUntil catalog.Instant
}

// pending is a write that is not synced yet, with what waits for it.
type pending struct {
	token uint64
	// last is the end of the log that the write leaves, cut back to what
	// later writes keep of it.
	last Index
	// vote is set if the write changes the vote, and campaign is its ballot
	// if the vote is the own one.
	vote     bool
	campaign Ballot
	promises []Envelope
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
	// heard is when a leader was last heard, or when this process began: it
	// can't know what it heard before.
	heard catalog.Instant
	// electionAt is when a member that leads not asks for pre-votes.
	electionAt  catalog.Instant
	heartbeatAt catalog.Instant
	// votes are the voters that granted the present (pre-)vote.
	votes map[catalog.VMID]bool

	log history
	// committed is also the last record handed out.
	committed Index
	// stable is the last record synced here and not dropped since.
	stable Index
	// members is the last list in the log; membersAt is its record.
	members   []Member
	membersAt Index

	peers    map[catalog.VMID]*peer
	ledSince catalog.Instant
	// first is the leader's first record of the present ballot.
	first Index

	token   uint64
	pending []pending

	// The rest is gathered during one call.
	out      Output
	write    Write
	campaign Ballot
	promises []Envelope
}

// New returns a member that starts from what its data folder holds. The owner
// restores its state from saved.Snapshot itself; all later records come out as
// Committed.
func New(s Settings, now catalog.Instant, saved PersistentState) *Group {
	stream := xxhash.Sum64String(string(saved.Self.VM)) ^ uint64(saved.Self.Incarnation)
	g := &Group{
		settings:  s,
		own:       saved.Self,
		random:    rand.New(rand.NewPCG(s.Seed^uint64(saved.Vote.Ballot), stream)),
		now:       now,
		vote:      saved.Vote,
		heard:     now,
		log:       history{snapshot: saved.Snapshot, records: slices.Clone(saved.Records)},
		committed: saved.Snapshot.Index,
	}
	g.stable = g.log.last()
	g.adoptMembers()
	g.armElection()
	return g
}

func (g *Group) begin(now catalog.Instant) {
	if now.After(g.now) {
		g.now = now
	}
}

// finish closes one call: promises wait for the last write that is not synced.
func (g *Group) finish() Output {
	out := g.out
	if g.write.Vote != nil || g.write.Truncate > 0 || len(g.write.Append) > 0 || g.write.Snapshot != nil {
		g.token++
		w := g.write
		out.Write, out.Token = &w, g.token
		g.pending = append(g.pending, pending{
			token: g.token, last: g.log.last(), vote: w.Vote != nil, campaign: g.campaign,
		})
	}
	if n := len(g.pending); n > 0 {
		g.pending[n-1].promises = append(g.pending[n-1].promises, g.promises...)
	} else {
		out.Send = append(out.Send, g.promises...)
	}
	g.out, g.write, g.campaign, g.promises = Output{}, Write{}, 0, nil
	out.WantSnapshot = g.wantSnapshot()
	return out
}

// wantSnapshot is false while no list of members is committed here: a VM that
// joined later knows none from before its own.
func (g *Group) wantSnapshot() bool {
	after := g.settings.SnapshotAfter
	known := len(g.log.snapshot.Members) > 0 || (len(g.members) > 0 && g.membersAt <= g.committed)
	return after > 0 && known && g.committed-g.log.snapshot.Index >= Index(after)
}

// promise sends what may leave once all that is written so far is synced.
func (g *Group) promise(es []Envelope, early fault) {
	if g.fault == early {
		g.out.Send = append(g.out.Send, es...)
		return
	}
	g.promises = append(g.promises, es...)
}

// ballotSynced reports whether the present ballot would outlive a crash.
func (g *Group) ballotSynced() bool {
	changes := func(p pending) bool { return p.vote }
	return g.write.Vote == nil && !slices.ContainsFunc(g.pending, changes)
}

// drop forgets the records after an index.
func (g *Group) drop(last Index) {
	g.log.truncate(last + 1)
	g.write.Truncate = last + 1
	g.stable = min(g.stable, last)
	for i := range g.pending {
		g.pending[i].last = min(g.pending[i].last, last)
	}
}

// Synced says that all writes up to the token are on disk.
func (g *Group) Synced(now catalog.Instant, token uint64) Output {
	g.begin(now)
	for len(g.pending) > 0 && g.pending[0].token <= token {
		p := g.pending[0]
		g.pending = g.pending[1:]
		g.stable = p.last
		g.out.Send = append(g.out.Send, p.promises...)
		if p.campaign > 0 && p.campaign == g.vote.Ballot && g.role == roleCandidate {
			g.count(g.own.VM)
		}
	}
	g.advance()
	return g.finish()
}

// Compact lets data, the owner's state after the record index, stand for the
// records up to it. Data over MaxData is not taken, since no member could get
// it; the log is then kept. The output does not ask for a snapshot again.
func (g *Group) Compact(now catalog.Instant, index Index, data []byte) Output {
	g.begin(now)
	g.compact(index, data)
	out := g.finish()
	out.WantSnapshot = false
	return out
}

func (g *Group) compact(index Index, data []byte) {
	if index <= g.log.snapshot.Index || index > g.committed || len(data) > MaxData {
		return
	}
	ballot, _ := g.log.ballot(index)
	members, _ := g.log.membersUpTo(index)
	if len(members) == 0 {
		return
	}
	s := Snapshot{Index: index, Ballot: ballot, Members: members, Data: slices.Clone(data)}
	g.log.compact(s)
	g.write.Snapshot = &s
}
