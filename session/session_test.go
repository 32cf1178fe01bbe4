package session

import (
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/node"
)

// scriptedLink is a caller whose statements come when Receive is called, and
// who is interrupted at once whenever a time is set.
type scriptedLink struct {
	statements []Statement
	answers    []Answer
	refused    []Code
	wakes      []time.Time
	closed     bool
}

func (k *scriptedLink) link() Link {
	return Link{
		ReceiveStartup: func() (string, error) { return "shop", nil },
		Receive: func() (Statement, error) {
			if len(k.statements) == 0 {
				if last := k.wakes[len(k.wakes)-1]; !last.IsZero() {
					time.Sleep(time.Until(last))
					return Statement{}, ErrInterrupted
				}
				return Statement{}, errors.New("the caller is gone")
			}
			st := k.statements[0]
			k.statements = k.statements[1:]
			return st, nil
		},
		Answer: func(a Answer) error {
			k.answers = append(k.answers, a)
			return nil
		},
		Refuse:    func(c Code, _ string) { k.refused = append(k.refused, c) },
		Interrupt: func(at time.Time) { k.wakes = append(k.wakes, at) },
		IsWaiting: func() bool { return true },
		Close:     func() { k.closed = true },
	}
}

func TestServer(t *testing.T) {
	Convey("a caller of an unknown database is told so", t, func() {
		g := newRig(t)
		g.server.SetRoutes(node.RoutesChanged{Version: 2})
		k := &scriptedLink{}
		g.server.Serve(k.link())
		So(k.refused, ShouldResemble, []Code{CodeNoDatabase})
		So(k.closed, ShouldBeTrue)
	})
	Convey("a caller is refused when it connects to an entry that is cut off", t, func() {
		g := newRig(t)
		g.server.Release(true)
		k := &scriptedLink{}
		g.server.Serve(k.link())
		So(k.refused, ShouldResemble, []Code{CodeBusy})
		So(k.answers, ShouldBeEmpty)
	})
	Convey("a caller whose request another entry may run is let go with the refusal", t, func() {
		g := newRig(t)
		g.verdict = "elsewhere"
		g.expect("r1 read 7 = busy idle")
		k := &scriptedLink{statements: []Statement{{ID: "r1", Verb: VerbRead, Text: "read 7"}, {ID: "r2", Verb: VerbRead, Text: "read 8"}}}
		g.server.Serve(k.link())
		So(k.answers, ShouldHaveLength, 2)
		So(k.answers[1].Code, ShouldEqual, CodeBusy)
		So(k.closed, ShouldBeTrue)
	})
	Convey("a planned stop lets a caller go only after it has rested", t, func() {
		g := newRig(t)
		g.expect("r1 read 7 = ok idle")
		k := &scriptedLink{statements: []Statement{{ID: "r1", Verb: VerbRead, Text: "read 7"}}}
		g.server.Drain(time.Now().Add(time.Minute))
		started := time.Now()
		g.server.Serve(k.link())
		So(k.answers, ShouldHaveLength, 2)
		So(time.Since(started), ShouldBeGreaterThanOrEqualTo, restTime)
	})
	Convey("a transaction that rests too long is rolled back and says so when it is used", t, func() {
		g := newRig(t)
		g.server.SetRoutes(node.RoutesChanged{Version: 2, TransactionIdle: time.Millisecond, Routes: g.server.routes.now.Routes})
		g.expect("- begin = ok open")
		g.expect("w1 write 7 x = ok open")
		So(g.session.handle(Statement{ID: "b1", Verb: VerbBegin}), ShouldBeNil)
		So(g.session.handle(Statement{ID: "w1", Verb: VerbWrite, Text: "write 7 x"}), ShouldBeNil)
		time.Sleep(2 * time.Millisecond)
		So(g.session.isOver(), ShouldBeFalse)
		So(g.held, ShouldBeFalse)
		So(g.session.handle(Statement{ID: "c1", Verb: VerbCommit, Text: "commit"}), ShouldBeNil)
		So(g.answers[len(g.answers)-1].Code, ShouldEqual, CodeAborted)
	})
	Convey("a late reply is waited for, and what it left open is rolled back", t, func() {
		g := newRig(t)
		g.expect("- begin = ok open")
		g.expect("w1 write 7 x = silent")
		So(g.session.handle(Statement{ID: "b1", Verb: VerbBegin}), ShouldBeNil)
		So(g.session.handle(Statement{ID: "w1", Verb: VerbWrite, Text: "write 7 x"}), ShouldBeNil)
		So(g.answers[len(g.answers)-1].Code, ShouldEqual, CodeAborted)
		g.expect("- rollback = ok idle")
		g.replies <- Reply{State: StateTransaction}
		deadline := time.Now().Add(time.Second)
		for g.left() > 0 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		So(g.left(), ShouldEqual, 0)
	})
}
