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

// front is the entry that a caller is connected to. It passes every request on
// to the entry of a rig.
type front struct {
	server *Server
	behind *Server
	// lost and unreachable are how the next exchange or way fails.
	lost, unreachable bool
	// outcomes are those that the reducer was told.
	outcomes []node.ForwardOutcome
	ways     int
	closed   int
	// away counts the transactions that the reducer believes to be held there.
	away int
}

// newForwardingRig returns a rig whose caller is connected to a front.
func newForwardingRig(t *testing.T) *rig {
	g, _ := newFront(t)
	return g
}

func newFront(t *testing.T) (*rig, *front) {
	g := newRig(t)
	f := &front{behind: g.server}
	f.server = NewServer(Options{
		Feed: f.feed, Now: func() catalog.Instant { return 1 }, Way: f.way, Decided: func(Decision) {},
		Pool: NewPool(PoolOptions{Now: func() catalog.Instant { return 1 }, Log: logr.Discard()}),
	})
	g.session.server = f.server
	g.setRoute(catalog.ReadsOwnWrites)
	return g, f
}

// feed is the reducer of the front.
func (f *front) feed(in node.Input) {
	switch v := in.(type) {
	case node.RequestArrived:
		f.server.Deliver(v.Request, node.ForwardRequest{Request: v.Request, To: "b"})
	case node.ForwardedTransactionEnded:
		f.away--
	case node.ForwardDone:
		f.outcomes = append(f.outcomes, v.Outcome)
		if v.HoldsTransaction {
			f.away++
		}
		switch v.Outcome {
		case node.ForwardDeclined:
			f.server.Deliver(v.Request, node.AnswerRequest{Request: v.Request, Verdict: node.VerdictNotRun})
		case node.ForwardLost:
			f.server.Deliver(v.Request, node.AnswerRequest{Request: v.Request, Verdict: node.VerdictUnknown})
		}
	}
}

func (f *front) way(to catalog.VMID) (*Way, error) {
	if f.unreachable {
		return nil, errors.New("nobody is there")
	}
	f.ways++
	there := &session{server: f.behind, from: "a"}
	end := func(isHeld bool) {
		if isHeld {
			f.closed++
			there.drop()
		}
	}
	return &Way{Peer: to, Release: end, Exchange: func(q ForwardedRequest, _ time.Time) (ForwardReply, error) {
		if f.lost {
			return ForwardReply{}, errors.New("it fell silent")
		}
		var arrived ForwardedRequest
		carry(q, &arrived)
		var r ForwardReply
		carry(there.runForwarded(arrived), &r)
		return r, nil
	}}, nil
}

// carry encodes and decodes, as between two processes.
func carry(from, to any) {
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

// ask has the caller send one statement and returns the answer.
func (g *rig) ask(st Statement) Answer {
	g.answers = nil
	So(g.session.handle(st), ShouldBeNil)
	So(g.answers, ShouldHaveLength, 1)
	return g.answers[0]
}

func TestForwarding(t *testing.T) {
	Convey("what could not be sent has not run", t, func() {
		g, f := newFront(t)
		f.unreachable = true
		So(g.ask(writeSeven).Code, ShouldEqual, CodeBusy)
		So(f.outcomes, ShouldResemble, []node.ForwardOutcome{node.ForwardDeclined})
	})
	Convey("an entry that is stopping or cut off declines what is new to it", t, func() {
		g, f := newFront(t)
		g.server.Leave()
		So(g.ask(writeSeven).Code, ShouldEqual, CodeBusy)
		So(f.outcomes, ShouldResemble, []node.ForwardOutcome{node.ForwardDeclined})
	})
	Convey("a write is in doubt if the entry that ran it fell silent", t, func() {
		g, f := newFront(t)
		f.lost = true
		So(g.ask(writeSeven).Code, ShouldEqual, CodeInDoubt)
		So(f.outcomes, ShouldResemble, []node.ForwardOutcome{node.ForwardLost})
	})
}

func TestForwardedTransactions(t *testing.T) {
	Convey("a transaction stays with the entry that began it", t, func() {
		g, f := newFront(t)
		g.expect("- begin = ok open")
		g.expect("w1 write 7 x = ok open")
		g.ask(beginOne)
		So(g.ask(writeSeven).Code, ShouldEqual, CodeNone)
		So(g.held, ShouldBeTrue)
		So(f.away, ShouldEqual, 1)
		Reset(func() { So(f.away, ShouldEqual, 0) })
		Convey("while that is stopping too", func() {
			g.server.Leave()
			g.expect("c1 commit = ok idle")
			So(g.ask(commitOne).Code, ShouldEqual, CodeNone)
			So(f.ways, ShouldEqual, 1)
			So(g.held, ShouldBeFalse)
		})
		Convey("and its commit is in doubt if that falls silent", func() {
			f.lost = true
			a := g.ask(commitOne)
			So(a.Code, ShouldEqual, CodeInDoubt)
			So(a.State, ShouldEqual, StateIdle)
			So(g.held, ShouldBeFalse)
		})
		Convey("any other statement then ends it with nothing kept", func() {
			f.lost = true
			a := g.ask(readSeven)
			So(a.Code, ShouldEqual, CodeAborted)
			So(a.State, ShouldEqual, StateFailed)
			So(g.held, ShouldBeFalse)
			Convey("and later ones do not reach the entry", func() {
				f.lost = false
				So(g.ask(commitOne).Code, ShouldEqual, CodeAborted)
			})
		})
		Convey("and is rolled back there when the caller is gone", func() {
			g.session.drop()
			So(g.held, ShouldBeFalse)
			So(f.closed, ShouldEqual, 1)
		})
	})
	Convey("a statement of a transaction that is not there any more has not run", t, func() {
		g := newRig(t)
		there := &session{server: g.server, from: "a"}
		r := there.runForwarded(ForwardedRequest{ID: "c1", Verb: VerbCommit, Kind: node.KindInTransaction, Text: "commit"})
		So(r.Declined, ShouldBeFalse)
		So(r.Verdict, ShouldEqual, node.VerdictNotRun)
	})
}
