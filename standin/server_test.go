package standin

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

func begin(t *testing.T, o Options) *Server {
	t.Helper()
	o.Listen, o.Service = "127.0.0.1:0", "shop"
	if o.Instance == "" {
		o.Instance = catalog.InstanceID(t.Name())
	}
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func bounded(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func url(s *Server) string {
	return "postgres://caller:secret@" + s.Address + "/shop?sslmode=disable"
}

func connect(t *testing.T, s *Server) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(bounded(t), url(s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// do runs a query and returns its rows as "a,b;c,d", or the SQLSTATE.
func do(c *pgx.Conn, sql string, args ...any) string {
	rows, err := c.Query(context.Background(), sql, args...)
	if err != nil {
		return state(err)
	}
	defer rows.Close()
	var out []string
	for rows.Next() {
		var cells []string
		for _, v := range rows.RawValues() {
			cells = append(cells, string(v))
		}
		out = append(out, strings.Join(cells, ","))
	}
	if rows.Err() != nil {
		return state(rows.Err())
	}
	if len(out) == 0 {
		return rows.CommandTag().String()
	}
	return strings.Join(out, ";")
}

func state(err error) string {
	if e, ok := err.(*pgconn.PgError); ok {
		return e.Code
	}
	return err.Error()
}

func eventually(ok func() bool) bool {
	for range 500 {
		if ok() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestPoolUsesDefaults(t *testing.T) {
	s := begin(t, Options{User: "caller", Password: "secret"})
	ctx := bounded(t)
	Convey("a pool with default settings works, with a password", t, func() {
		pool, err := pgxpool.New(ctx, url(s))
		So(err, ShouldBeNil)
		defer pool.Close()
		_, err = pool.Exec(ctx, "INSERT INTO booking (key, value) VALUES ($1, $2)", "a", "1")
		So(err, ShouldBeNil)
		var n int64
		So(pool.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n), ShouldBeNil)
		So(n, ShouldEqual, 1)
		var total int
		So(pool.QueryRow(ctx, "SELECT $1::int", 7).Scan(&total), ShouldBeNil)
		So(total, ShouldEqual, 7)
	})
	Convey("a wrong password is refused", t, func() {
		_, err := pgx.Connect(ctx, strings.Replace(url(s), "secret", "wrong", 1))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, codePassword)
	})
}

func TestStatusStatement(t *testing.T) {
	s := begin(t, Options{})
	Convey("the status statement gives role, term and offset in both protocols", t, func() {
		c := connect(t, s)
		status := catalog.DefaultStatements().Status
		So(do(c, status, pgx.QueryExecModeSimpleProtocol), ShouldEqual, "f,1,0,0")
		var replica bool
		var term, offset, received int64
		So(c.QueryRow(bounded(t), status).Scan(&replica, &term, &offset, &received), ShouldBeNil)
		So(term, ShouldEqual, 1)
		So(do(c, "SELECT pg_promote(true, 5)"), ShouldEqual, codeNotInRecovery)
	})
}

func TestCopy(t *testing.T) {
	s := begin(t, Options{})
	Convey("COPY goes in and out, and fails as a whole", t, func() {
		c, ctx := connect(t, s), bounded(t)
		tag, err := c.PgConn().CopyFrom(ctx, strings.NewReader("a\t1\nb\t2\n"), "COPY kv FROM STDIN")
		So(err, ShouldBeNil)
		So(tag.String(), ShouldEqual, "COPY 2")
		_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("c\t3\na\t9\n"), "COPY kv FROM STDIN")
		So(state(err), ShouldEqual, codeDuplicate)
		var out strings.Builder
		_, err = c.PgConn().CopyTo(ctx, &out, "COPY kv TO STDOUT")
		So(err, ShouldBeNil)
		So(out.String(), ShouldEqual, "a\t1\nb\t2\n")
	})
}

func TestPipelineIsOneTransaction(t *testing.T) {
	s := begin(t, Options{})
	Convey("an error in a pipeline undoes what came before it", t, func() {
		c := connect(t, s)
		b := &pgx.Batch{}
		b.Queue("INSERT INTO kv (key, value) VALUES ('a', '1')")
		b.Queue("INSERT INTO kv (key, value) VALUES ('a', '2')")
		So(state(c.SendBatch(bounded(t), b).Close()), ShouldEqual, codeDuplicate)
		So(do(c, "SELECT key, value FROM kv"), ShouldEqual, "SELECT 0")
	})
	Convey("a portal gives its rows in parts", t, func() {
		c := connect(t, s)
		So(do(c, "SELECT generate_series(1, $1)", 3), ShouldEqual, "\x00\x00\x00\x01;\x00\x00\x00\x02;\x00\x00\x00\x03")
		n := 0
		rows, err := c.Query(bounded(t), "SELECT generate_series(1, 20000)")
		So(err, ShouldBeNil)
		for rows.Next() {
			n++
		}
		So(n, ShouldEqual, 20000)
	})
}

func TestCancel(t *testing.T) {
	s := begin(t, Options{})
	Convey("a cancel request ends the statement and not the connection", t, func() {
		c, ctx := connect(t, s), bounded(t)
		sent := c.PgConn().Exec(ctx, "SELECT pg_sleep(10)")
		So(eventually(func() bool { return s.Stats().Executing == 1 }), ShouldBeTrue)
		So(c.PgConn().CancelRequest(ctx), ShouldBeNil)
		_, err := sent.ReadAll()
		So(state(err), ShouldEqual, codeCanceled)
		So(do(c, "SELECT 1", pgx.QueryExecModeSimpleProtocol), ShouldEqual, "1")
	})
}

func TestLimits(t *testing.T) {
	s := begin(t, Options{Slots: 2, MaxConnections: 4, Work: 5 * time.Millisecond})
	Convey("connections over the limit are refused, statements over the slots wait", t, func() {
		var conns []*pgx.Conn
		for range 4 {
			conns = append(conns, connect(t, s))
		}
		_, err := pgx.Connect(bounded(t), url(s))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, codeTooMany)
		done := make(chan string)
		for _, c := range conns {
			go func() { done <- do(c, "SELECT 1", pgx.QueryExecModeSimpleProtocol) }()
		}
		for range conns {
			So(<-done, ShouldEqual, "1")
		}
		stats := s.Stats()
		So(stats.ExecutingHighest, ShouldEqual, 2)
		So(stats.ConnectionsHighest, ShouldEqual, 4)
		So(stats.RefusedConnections, ShouldEqual, 1)
	})
}

func TestFreezeAndStop(t *testing.T) {
	s := begin(t, Options{})
	Convey("a frozen instance answers nothing and goes on when thawed", t, func() {
		c := connect(t, s)
		s.Freeze(true)
		answer := make(chan string, 1)
		go func() { answer <- do(c, "SELECT 1", pgx.QueryExecModeSimpleProtocol) }()
		select {
		case <-answer:
			t.Error("a frozen instance answered")
		case <-time.After(50 * time.Millisecond):
		}
		s.Freeze(false)
		So(<-answer, ShouldEqual, "1")
		s.Stop()
		_, err := c.Exec(bounded(t), "SELECT 1")
		So(err, ShouldNotBeNil)
	})
}

func TestShutdownLetsWorkEnd(t *testing.T) {
	s := begin(t, Options{Instance: "a"})
	b := begin(t, Options{Instance: "b", FollowAddress: s.Address})
	Convey("a planned stop waits for an open transaction and for no follower", t, func() {
		c := connect(t, s)
		So(do(c, "INSERT INTO kv (key, value) VALUES ('first', '1')"), ShouldEqual, "INSERT 0 1")
		So(eventually(func() bool { _, p := b.Status(); return p.Offset > 0 }), ShouldBeTrue)
		do(c, "BEGIN")
		do(c, "INSERT INTO kv (key, value) VALUES ('k', 'v')")
		start, done := time.Now(), make(chan struct{})
		go func() { s.Shutdown(); close(done) }()
		So(eventually(func() bool { return s.Stats().Leaving }), ShouldBeTrue)
		So(do(c, "COMMIT"), ShouldEqual, "COMMIT")
		<-done
		So(time.Since(start), ShouldBeLessThan, drainTime)
	})
}
