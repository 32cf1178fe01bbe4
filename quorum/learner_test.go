package quorum

import (
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestLearnerForgetsALostLeader guards against a learner that names a leader which
// it has lost. Entries of a site that is cut off take its word that control works,
// stay ready, and refuse their callers for as long as the cut lasts.
func TestLearnerForgetsALostLeader(t *testing.T) {
	const electionTimeout = 200 * time.Millisecond
	members := []Member{{VM: "a", Incarnation: 1, Voter: true}, {VM: "b", Incarnation: 2, Voter: true}, {VM: "c", Incarnation: 3}}
	now := catalog.Instant(time.Second)
	g := New(Settings{HeartbeatInterval: 60 * time.Millisecond, ElectionTimeout: electionTimeout}, now, PersistentState{
		Self: members[2], Snapshot: Snapshot{Index: 1, Ballot: 1, Members: members},
	})
	body, err := Encode(Message{Kind: KindAppend, Ballot: 1, Sender: 1, Receiver: 3, PrevIndex: 1, PrevBallot: 1, SentAt: now})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.Receive(now, "a", body); err != nil {
		t.Fatal(err)
	}
	if g.Leader() != "a" {
		t.Fatalf("the learner follows %q", g.Leader())
	}
	g.Tick(now.Add(electionTimeout / 2))
	if g.Leader() != "a" {
		t.Fatalf("the learner gave up its leader within the election timeout")
	}
	if g.Tick(now.Add(2 * electionTimeout)); g.Leader() != "" {
		t.Fatalf("the learner still names %q", g.Leader())
	}
	if _, err := g.Receive(now.Add(2*electionTimeout), "a", body); err != nil || g.Leader() != "a" {
		t.Fatalf("the learner does not follow the leader again: %q, %v", g.Leader(), err)
	}
}
