package quorum

import (
	"testing"
	"time"
)

// TestTransferLeadership guards against a leadership transfer that leads to no
// leader or skips a ballot, and against a late copy of its message that starts
// another election.
func TestTransferLeadership(t *testing.T) {
	s := newSim(3, 3, faultNone)
	s.reliable, s.maxSyncMillis = true, 2
	s.run(3*time.Second, func() {})
	before := s.leader()
	old := s.hosts[before].g
	ballot := old.Ballot()
	s.handleOutput(before, old.TransferLeadership(s.now))
	// Nothing relies on the quorum contact of a leader that resigned.
	s.hosts[before].contactUntil = s.now
	if old.Leading() || old.LastQuorumContact() != 0 {
		t.Fatal("the leader still leads after it resigned")
	}
	s.run(100*time.Millisecond, func() {})
	after := s.leader()
	if after < 0 || after == before || s.failure != nil {
		t.Fatalf("leader %d, then %d: %v", before, after, s.failure)
	}
	if got := s.hosts[after].g.Ballot(); got != ballot+1 {
		t.Fatalf("ballot %d, want %d", got, ballot+1)
	}

	// A late copy of the message must not start an election.
	late := Message{Kind: KindTransferLeadership, Ballot: ballot, Receiver: s.hosts[after].g.own.Incarnation, Sender: old.own.Incarnation}
	body, err := Encode(late)
	if err != nil {
		t.Fatal(err)
	}
	third := 3 - before - after
	if _, err := s.hosts[third].g.Receive(s.now, name(before), body); err != nil {
		t.Fatal(err)
	}
	s.run(time.Second, func() {})
	if s.leader() != after || s.hosts[after].g.Ballot() != ballot+1 {
		t.Fatal("a late copy of the message changed the leader")
	}
}
