package listener

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/standin"
)

// TestCancel guards against cancel requests that have no effect, and against late
// ones that cancel the statement of another caller: a cancel request names only
// the upstream connection, which may have been reused.
func TestCancel(t *testing.T) {
	s, ctx := startUpstream(t, standin.Options{}), testContext(t)
	d := newDriver(t, s.Address, 1, nil)
	a, b := connect(t, d, ""), connect(t, d, "")
	runs := func(n int) func() bool {
		return func() bool { return len(inputsOf[node.RequestArrived](d)) == n && s.Stats().Executing == 1 }
	}
	var raw net.Conn
	Convey("a cancel request cancels the running statement of its caller", t, func() {
		ended := make(chan error, 1)
		go func() { _, err := a.Exec(ctx, "SELECT pg_sleep(10)"); ended <- err }()
		eventually(t, "the statement runs", runs(1))
		So(a.PgConn().CancelRequest(ctx), ShouldBeNil)
		So(errorText(<-ended), ShouldStartWith, "57014")
	})
	Convey("a late cancel request doesn't cancel the next user's statement on the connection", t, func() {
		ended := make(chan error, 1)
		go func() { _, err := b.Exec(ctx, "SELECT pg_sleep(0.2)"); ended <- err }()
		eventually(t, "the statement runs", runs(2))
		So(a.PgConn().CancelRequest(ctx), ShouldBeNil)
		So(<-ended, ShouldBeNil)
		So(len(inputsOf[node.ConnOpened](d)), ShouldEqual, 1)
	})
	Convey("a cancel request withdraws a waiting request", t, func() {
		ended := make(chan error, 1)
		// The test uses the raw connection from here on. When a connection of pgx
		// breaks, pgx sends a cancel request itself, and the canceled statement
		// would leave the upstream connection reusable.
		h, err := b.PgConn().Hijack()
		So(err, ShouldBeNil)
		raw = h.Conn
		h.Frontend.Send(&pgproto3.Query{String: "SELECT pg_sleep(10)"})
		So(h.Frontend.Flush(), ShouldBeNil)
		eventually(t, "the statement runs", runs(3))
		go func() { _, err := a.Exec(ctx, "SELECT 1"); ended <- err }()
		eventually(t, "the request waits", func() bool { return len(inputsOf[node.RequestArrived](d)) == 4 })
		So(a.PgConn().CancelRequest(ctx), ShouldBeNil)
		So(errorText(<-ended), ShouldStartWith, "57014")
		So(len(inputsOf[node.RequestCanceled](d)), ShouldEqual, 1)
	})
	Convey("the upstream connection is closed if a caller disconnects during a run", t, func() {
		So(raw.Close(), ShouldBeNil)
		eventually(t, "the connection is closed", func() bool { return len(inputsOf[node.ConnLost](d)) == 1 })
		done := inputsOf[node.RequestDone](d)
		last := done[len(done)-1]
		So(last.CallerDisconnected, ShouldBeTrue)
		So(last.Reusable, ShouldBeFalse)
	})
}

// TestAnswerWhileRunning guards against a caller that keeps waiting for the
// upstream although its request was answered, its deadline has passed, or the
// connection was closed.
func TestAnswerWhileRunning(t *testing.T) {
	s, ctx := startUpstream(t, standin.Options{}), testContext(t)
	d := newDriver(t, s.Address, 1, nil)
	c := connect(t, d, "")
	ended := make(chan error, 1)
	run := func(sql string, n int) {
		go func() { _, err := c.Exec(ctx, sql); ended <- err }()
		eventually(t, "the statement runs", func() bool {
			return len(inputsOf[node.RequestArrived](d)) == n && s.Stats().Executing == 1
		})
	}
	Convey("the reducer's answer ends a running request", t, func() {
		run("SELECT pg_sleep(10)", 1)
		d.server.DeliverAnswer(node.AnswerRequest{
			Request: inputsOf[node.RequestArrived](d)[0].Request, Verdict: node.VerdictUnknown, Reason: "the entry stops",
		})
		So(errorText(<-ended), ShouldEqual, "08007 outcome unknown: the entry stops")
		eventually(t, "the connection is closed", func() bool { return len(inputsOf[node.ConnLost](d)) == 1 })
		So(inputsOf[node.RequestDone](d)[0].Outcome, ShouldEqual, node.OutcomeLost)
	})
	Convey("the caller's deadline ends a running request", t, func() {
		run("/* kingcupknot: deadline=100ms */ SELECT pg_sleep(10)", 2)
		So(errorText(<-ended), ShouldStartWith, codeOutcomeUnknown)
		eventually(t, "the connection is closed", func() bool { return len(inputsOf[node.ConnLost](d)) == 2 })
	})
	Convey("closing the upstream connection ends a running request", t, func() {
		run("SELECT pg_sleep(10)", 3)
		d.pool.Close(node.CloseConn{Conn: 3})
		So(errorText(<-ended), ShouldStartWith, codeOutcomeUnknown)
		eventually(t, "the loss is reported", func() bool { return len(inputsOf[node.ConnLost](d)) == 3 })
	})
}
