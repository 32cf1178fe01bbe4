package listener

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/standin"
)

func TestCancel(t *testing.T) {
	s, ctx := startUpstream(t, standin.Options{}), bounded(t)
	d := newDriver(t, s.Address, 1, nil)
	a, b := connect(t, d, ""), connect(t, d, "")
	runs := func(n int) func() bool {
		return func() bool { return len(seen[node.RequestArrived](d)) == n && s.Stats().Executing == 1 }
	}
	var raw net.Conn
	Convey("a cancel request ends what its caller runs", t, func() {
		ended := make(chan error, 1)
		go func() { _, err := a.Exec(ctx, "SELECT pg_sleep(10)"); ended <- err }()
		eventually(t, "the statement runs", runs(1))
		So(a.PgConn().CancelRequest(ctx), ShouldBeNil)
		So(state(<-ended), ShouldStartWith, "57014")
	})
	Convey("a late one doesn't hit the next user of the connection", t, func() {
		ended := make(chan error, 1)
		go func() { _, err := b.Exec(ctx, "SELECT pg_sleep(0.2)"); ended <- err }()
		eventually(t, "the statement runs", runs(2))
		So(a.PgConn().CancelRequest(ctx), ShouldBeNil)
		So(<-ended, ShouldBeNil)
		So(len(seen[node.ConnOpened](d)), ShouldEqual, 1)
	})
	Convey("a request that waits is taken back", t, func() {
		ended := make(chan error, 1)
		// By hand from here on: pgx cancels on its own when its connection
		// breaks, and a statement that is canceled leaves the upstream's clean.
		h, err := b.PgConn().Hijack()
		So(err, ShouldBeNil)
		raw = h.Conn
		h.Frontend.Send(&pgproto3.Query{String: "SELECT pg_sleep(10)"})
		So(h.Frontend.Flush(), ShouldBeNil)
		eventually(t, "the statement runs", runs(3))
		go func() { _, err := a.Exec(ctx, "SELECT 1"); ended <- err }()
		eventually(t, "the request waits", func() bool { return len(seen[node.RequestArrived](d)) == 4 })
		So(a.PgConn().CancelRequest(ctx), ShouldBeNil)
		So(state(<-ended), ShouldStartWith, "57014")
		So(len(seen[node.RequestCanceled](d)), ShouldEqual, 1)
	})
	Convey("a caller that vanishes in its answer gives up the connection", t, func() {
		So(raw.Close(), ShouldBeNil)
		eventually(t, "the connection is closed", func() bool { return len(seen[node.ConnLost](d)) == 1 })
		done := seen[node.RequestDone](d)
		last := done[len(done)-1]
		So(last.CallerDisconnected, ShouldBeTrue)
		So(last.Reusable, ShouldBeFalse)
	})
}

func TestAnswerWhileRunning(t *testing.T) {
	s, ctx := startUpstream(t, standin.Options{}), bounded(t)
	d := newDriver(t, s.Address, 1, nil)
	c := connect(t, d, "")
	ended := make(chan error, 1)
	run := func(sql string, n int) {
		go func() { _, err := c.Exec(ctx, sql); ended <- err }()
		eventually(t, "the statement runs", func() bool {
			return len(seen[node.RequestArrived](d)) == n && s.Stats().Executing == 1
		})
	}
	Convey("an answer of the reducer ends a request that runs", t, func() {
		run("SELECT pg_sleep(10)", 1)
		d.server.DeliverAnswer(node.AnswerRequest{
			Request: seen[node.RequestArrived](d)[0].Request, Verdict: node.VerdictUnknown, Reason: "the entry stops",
		})
		So(state(<-ended), ShouldEqual, "08007 outcome unknown: the entry stops")
		eventually(t, "the connection is closed", func() bool { return len(seen[node.ConnLost](d)) == 1 })
		So(seen[node.RequestDone](d)[0].Outcome, ShouldEqual, node.OutcomeLost)
	})
	Convey("so does the caller's deadline", t, func() {
		run("/* kingcupknot: deadline=100ms */ SELECT pg_sleep(10)", 2)
		So(state(<-ended), ShouldStartWith, codeOutcomeUnknown)
		eventually(t, "the connection is closed", func() bool { return len(seen[node.ConnLost](d)) == 2 })
	})
	Convey("and a close of the connection", t, func() {
		run("SELECT pg_sleep(10)", 3)
		d.pool.Close(node.CloseConn{Conn: 3})
		So(state(<-ended), ShouldStartWith, codeOutcomeUnknown)
		eventually(t, "the loss is told", func() bool { return len(seen[node.ConnLost](d)) == 3 })
	})
}
