package quorum

import (
	"testing"
	"time"
)

func TestHandover(t *testing.T) {
	s := newSim(3, 3, faultNone)
	s.calm, s.slow = true, 2
	s.run(3*time.Second, func() {})
	before := s.leader()
	old := s.hosts[before].g
	ballot := old.Ballot()
	s.take(before, old.TransferLeadership(s.now))
	// Nobody rests on the contact of a leader that gave up.
	s.hosts[before].until = s.now
	if old.Leading() || old.LastQuorumContact() != 0 {
		t.Fatal("the leader leads on after it resigned")
	}
	s.run(100*time.Millisecond, func() {})
	after := s.leader()
	if after < 0 || after == before || s.broken != nil {
		t.Fatalf("leader %d, then %d: %v", before, after, s.broken)
	}
	if got := s.hosts[after].g.Ballot(); got != ballot+1 {
		t.Fatalf("ballot %d, want %d", got, ballot+1)
	}

	// A late copy of the handover moves nobody.
	late := Message{Kind: KindHandover, Ballot: ballot, Receiver: s.hosts[after].g.own.Incarnation, Sender: old.own.Incarnation}
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
		t.Fatal("a late handover changed the leader")
	}
}
