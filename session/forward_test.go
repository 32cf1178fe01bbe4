package session

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// frontEntry is the entry that a caller is connected to. It forwards every
// request to the entry of a harness.
type frontEntry struct {
	server *Server
	remote *Server
	// lost makes exchanges with the other entry fail as if the reply were lost,
	// unreachable makes connecting to that entry fail.
	lost, unreachable bool
	// outcomes are the outcomes of forwards that were reported to the reducer.
	outcomes                []node.ForwardOutcome
	peerConns               int
	releasedWithTransaction int
	// remoteTransactions counts the transactions that the other entry holds, as
	// far as they were reported to the reducer.
	remoteTransactions int
}

// newForwardingHarness returns a harness whose caller is connected to a
// frontEntry.
func newForwardingHarness(t *testing.T) *harness {
	g, _ := newFrontEntry(t)
	return g
}

func newFrontEntry(t *testing.T) (*harness, *frontEntry) {
	g := newHarness(t)
	f := &frontEntry{remote: g.server}
	f.server = NewServer(Options{
		Feed: f.feed, Now: func() catalog.Instant { return 1 }, AcquirePeer: f.acquirePeer, LogDecision: func(Decision) {},
		Pool: NewPool(PoolOptions{Now: func() catalog.Instant { return 1 }, Log: logr.Discard()}),
	})
	g.session.server = f.server
	g.setRoute(catalog.ReadsOwnWrites)
	return g, f
}

// feed stands in for the reducer of the front entry: it forwards every request.
func (f *frontEntry) feed(in node.Input) {
	switch v := in.(type) {
	case node.RequestArrived:
		f.server.Deliver(v.Request, node.ForwardRequest{Request: v.Request, To: "b"})
	case node.ForwardedTransactionEnded:
		f.remoteTransactions--
	case node.ForwardDone:
		f.outcomes = append(f.outcomes, v.Outcome)
		if v.HoldsTransaction {
			f.remoteTransactions++
		}
		switch v.Outcome {
		case node.ForwardDeclined:
			f.server.Deliver(v.Request, node.AnswerRequest{Request: v.Request, Verdict: node.VerdictNotRun})
		case node.ForwardLost:
			f.server.Deliver(v.Request, node.AnswerRequest{Request: v.Request, Verdict: node.VerdictUnknown})
		}
	}
}

func (f *frontEntry) acquirePeer(to catalog.VMID) (*PeerConn, error) {
	if f.unreachable {
		return nil, errors.New("the entry is unreachable")
	}
	f.peerConns++
	remote := &session{server: f.remote, forwardedFrom: "a"}
	release := func(holdsTransaction bool) {
		if holdsTransaction {
			f.releasedWithTransaction++
			remote.dropTransaction()
		}
	}
	return &PeerConn{Peer: to, Release: release, Exchange: func(q ForwardedRequest, _ time.Time) (ForwardReply, error) {
		if f.lost {
			return ForwardReply{}, errors.New("the entry did not reply")
		}
		var arrived ForwardedRequest
		encodeAndDecode(q, &arrived)
		var r ForwardReply
		encodeAndDecode(remote.runForwarded(arrived), &r)
		return r, nil
	}}, nil
}

// encodeAndDecode copies a value by encoding and decoding it, as if it were sent
// to another process.
func encodeAndDecode(from, to any) {
	data, err := cbor.Marshal(from)
	if err == nil {
		err = cbor.Unmarshal(data, to)
	}
	if err != nil {
		panic(err)
	}
}

var (
	readSeven  = Statement{ID: "r1", Verb: VerbRead, Text: "read 7"}
	writeSeven = Statement{ID: "w1", Verb: VerbWrite, Text: "write 7 x"}
	beginOne   = Statement{ID: "b1", Verb: VerbBegin}
	commitOne  = Statement{ID: "c1", Verb: VerbCommit, Text: "commit"}
)

// request sends one statement of the caller and returns its answer.
func (g *harness) request(st Statement) Answer {
	g.answers = nil
	So(g.session.handle(st), ShouldBeNil)
	So(g.answers, ShouldHaveLength, 1)
	return g.answers[0]
}

// TestForwarding guards against a wrong outcome for a request whose forwarding
// failed: a write that may have run must be in doubt, and one that was not sent
// must be reported as not run.
func TestForwarding(t *testing.T) {
	Convey("a request that could not be sent is answered as not run", t, func() {
		g, f := newFrontEntry(t)
		f.unreachable = true
		So(g.request(writeSeven).Code, ShouldEqual, CodeBusy)
		So(f.outcomes, ShouldResemble, []node.ForwardOutcome{node.ForwardDeclined})
	})
	Convey("an entry that is stopping declines new requests of other entries", t, func() {
		g, f := newFrontEntry(t)
		g.server.RejectForwards()
		So(g.request(writeSeven).Code, ShouldEqual, CodeBusy)
		So(f.outcomes, ShouldResemble, []node.ForwardOutcome{node.ForwardDeclined})
	})
	Convey("a write is in doubt if the entry that ran it did not reply", t, func() {
		g, f := newFrontEntry(t)
		f.lost = true
		So(g.request(writeSeven).Code, ShouldEqual, CodeInDoubt)
		So(f.outcomes, ShouldResemble, []node.ForwardOutcome{node.ForwardLost})
	})
}

// TestForwardedTransactions guards against a transaction whose statements go to
// different entries, and against one that stays open at the other entry after a
// lost reply or a disconnected caller.
func TestForwardedTransactions(t *testing.T) {
	Convey("a transaction stays with the entry that began it", t, func() {
		g, f := newFrontEntry(t)
		g.expect("- begin = ok open")
		g.expect("w1 write 7 x = ok open")
		g.request(beginOne)
		So(g.request(writeSeven).Code, ShouldEqual, CodeNone)
		So(g.holdsTransaction, ShouldBeTrue)
		So(f.remoteTransactions, ShouldEqual, 1)
		Reset(func() { So(f.remoteTransactions, ShouldEqual, 0) })
		Convey("even while that entry is stopping", func() {
			g.server.RejectForwards()
			g.expect("c1 commit = ok idle")
			So(g.request(commitOne).Code, ShouldEqual, CodeNone)
			So(f.peerConns, ShouldEqual, 1)
			So(g.holdsTransaction, ShouldBeFalse)
		})
		Convey("and its commit is in doubt if that entry doesn't reply", func() {
			f.lost = true
			a := g.request(commitOne)
			So(a.Code, ShouldEqual, CodeInDoubt)
			So(a.State, ShouldEqual, StateIdle)
			So(g.holdsTransaction, ShouldBeFalse)
		})
		Convey("and it fails as rolled back if another statement gets no reply", func() {
			f.lost = true
			a := g.request(readSeven)
			So(a.Code, ShouldEqual, CodeAborted)
			So(a.State, ShouldEqual, StateFailed)
			So(g.holdsTransaction, ShouldBeFalse)
			Convey("and later statements are not sent to that entry", func() {
				f.lost = false
				So(g.request(commitOne).Code, ShouldEqual, CodeAborted)
			})
		})
		Convey("and is rolled back there when the caller has disconnected", func() {
			g.session.dropTransaction()
			So(g.holdsTransaction, ShouldBeFalse)
			So(f.releasedWithTransaction, ShouldEqual, 1)
		})
	})
	Convey("a statement of a transaction that the entry has rolled back is answered as not run", t, func() {
		g := newHarness(t)
		remote := &session{server: g.server, forwardedFrom: "a"}
		r := remote.runForwarded(ForwardedRequest{ID: "c1", Verb: VerbCommit, Kind: node.KindInTransaction, Text: "commit"})
		So(r.Declined, ShouldBeFalse)
		So(r.Verdict, ShouldEqual, node.VerdictNotRun)
	})
}
