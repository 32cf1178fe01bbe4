package session

import (
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/node"
)

// scriptedCaller is a caller that has sent its statements before the session
// starts. When it has none left, Receive is interrupted at the time last set. If
// none was set or the session was refused, Receive fails since the caller has
// disconnected.
type scriptedCaller struct {
	statements []Statement
	// crossing are statements of which one reaches the session after each error
	// that it has sent.
	crossing   []Statement
	answers    []Answer
	refused    []Code
	interrupts []time.Time
	closed     bool
}

func (k *scriptedCaller) callerConn() CallerConn {
	return CallerConn{
		ReceiveStartup: func() (Startup, error) { return Startup{Database: "shop"}, nil },
		Receive: func() (Statement, error) {
			if len(k.statements) == 0 {
				if last := k.interrupts[len(k.interrupts)-1]; !last.IsZero() && len(k.refused) == 0 {
					time.Sleep(time.Until(last))
					return Statement{}, ErrInterrupted
				}
				return Statement{}, errors.New("the caller disconnected")
			}
			st := k.statements[0]
			k.statements = k.statements[1:]
			return st, nil
		},
		Answer: func(a Answer) error {
			k.answers = append(k.answers, a)
			return nil
		},
		Refuse: func(c Code, _ string) {
			k.refused = append(k.refused, c)
			if len(k.crossing) > 0 {
				k.statements, k.crossing = append(k.statements, k.crossing[0]), k.crossing[1:]
			}
		},
		InterruptAt: func(at time.Time) { k.interrupts = append(k.interrupts, at) },
		Close:       func() { k.closed = true },
	}
}

// TestServer guards against sessions that end too early or not at all, against
// callers that are refused or rolled back without the right error, and against a
// transaction that stays open at the upstream after a late reply.
func TestServer(t *testing.T) {
	Convey("a caller that asks for an unknown database is refused with that reason", t, func() {
		g := newHarness(t)
		g.server.SetRoutes(node.RoutesChanged{Version: 2})
		k := &scriptedCaller{}
		g.server.Serve(k.callerConn())
		So(k.refused, ShouldResemble, []Code{CodeNoDatabase})
		So(k.closed, ShouldBeTrue)
	})
	Convey("a caller that connects to an isolated entry is refused", t, func() {
		g := newHarness(t)
		g.server.SetIsolated(true)
		k := &scriptedCaller{}
		g.server.Serve(k.callerConn())
		So(k.refused, ShouldResemble, []Code{CodeBusy})
		So(k.answers, ShouldBeEmpty)
	})
	Convey("a transaction that is idle for too long is rolled back, and its next statement reports that", t, func() {
		g := newHarness(t)
		g.server.SetRoutes(node.RoutesChanged{Version: 2, TransactionIdle: time.Millisecond, Routes: g.server.routes.current.Routes})
		g.expect("- begin = ok open")
		g.expect("w1 write 7 x = ok open")
		So(g.session.handle(Statement{ID: "b1", Verb: VerbBegin}), ShouldBeNil)
		So(g.session.handle(Statement{ID: "w1", Verb: VerbWrite, Text: "write 7 x"}), ShouldBeNil)
		time.Sleep(2 * time.Millisecond)
		So(g.session.enforceDeadlines(), ShouldBeFalse)
		So(g.holdsTransaction, ShouldBeFalse)
		So(g.session.handle(Statement{ID: "c1", Verb: VerbCommit, Text: "commit"}), ShouldBeNil)
		So(g.answers[len(g.answers)-1].Code, ShouldEqual, CodeAborted)
	})
	Convey("a late reply is read, and the transaction that it left open is rolled back", t, func() {
		g := newHarness(t)
		g.expect("- begin = ok open")
		g.expect("w1 write 7 x = silent")
		So(g.session.handle(Statement{ID: "b1", Verb: VerbBegin}), ShouldBeNil)
		So(g.session.handle(Statement{ID: "w1", Verb: VerbWrite, Text: "write 7 x"}), ShouldBeNil)
		So(g.answers[len(g.answers)-1].Code, ShouldEqual, CodeAborted)
		g.expect("- rollback = ok idle")
		g.replies <- Reply{State: StateTransaction}
		deadline := time.Now().Add(time.Second)
		for g.remaining() > 0 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		So(g.remaining(), ShouldEqual, 0)
	})
}

// TestSessionEnd guards against a session that ends under a caller's statement:
// the caller would not learn whether the statement has run.
func TestSessionEnd(t *testing.T) {
	Convey("a session ends with the refusal of a request that another entry may run", t, func() {
		g := newHarness(t)
		g.verdict = "elsewhere"
		g.expect("r1 read 7 = busy idle")
		k := &scriptedCaller{statements: []Statement{{ID: "r1", Verb: VerbRead, Text: "read 7"}, {ID: "r2", Verb: VerbRead, Text: "read 8"}}}
		g.server.Serve(k.callerConn())
		So(k.answers, ShouldHaveLength, 3)
		So(k.answers[1].Code, ShouldEqual, CodeBusy)
		// r2 crosses the end of the session. The error that ends the session
		// answers r2, so only READY follows, and then an error for an idle caller.
		So(k.refused, ShouldResemble, []Code{CodeBusy, CodeBusy})
		So(k.answers[2], ShouldResemble, Answer{Body: []byte{}, State: StateIdle})
		So(k.closed, ShouldBeTrue)
	})
	Convey("statements that cross the end of an idle session are refused and do not run", t, func() {
		g := newHarness(t)
		k := &scriptedCaller{crossing: []Statement{{ID: "w1", Verb: VerbWrite, Text: "write 7 x"}, {ID: "w2", Verb: VerbWrite, Text: "write 8 x"}}}
		g.server.Drain(time.Now().Add(time.Minute))
		g.server.Serve(k.callerConn())
		So(k.refused, ShouldResemble, []Code{CodeBusy, CodeBusy, CodeBusy})
		So(k.answers, ShouldHaveLength, 3)
		for _, a := range k.answers[1:] {
			So(a, ShouldResemble, Answer{Body: []byte{}, State: StateIdle})
		}
		So(k.closed, ShouldBeTrue)
	})
	Convey("a planned stop ends a session only after its caller has been idle", t, func() {
		g := newHarness(t)
		g.expect("r1 read 7 = ok idle")
		k := &scriptedCaller{statements: []Statement{{ID: "r1", Verb: VerbRead, Text: "read 7"}}}
		g.server.Drain(time.Now().Add(time.Minute))
		started := time.Now()
		g.server.Serve(k.callerConn())
		So(k.answers, ShouldHaveLength, 2)
		So(time.Since(started), ShouldBeGreaterThanOrEqualTo, minIdleTime)
	})
}
