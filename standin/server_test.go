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

func startServer(t *testing.T, o Options) *Server {
	t.Helper()
	o.ListenAddress, o.Service = "127.0.0.1:0", "shop"
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

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func connURL(s *Server) string {
	return "postgres://caller:secret@" + s.Address + "/shop?sslmode=disable"
}

func connect(t *testing.T, s *Server) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(testContext(t), connURL(s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// runSQL runs a query. It returns the rows as "a,b;c,d", the command tag if
// there are no rows, or the SQLSTATE if the query fails.
func runSQL(c *pgx.Conn, sql string, args ...any) string {
	rows, err := c.Query(context.Background(), sql, args...)
	if err != nil {
		return sqlState(err)
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
		return sqlState(rows.Err())
	}
	if len(out) == 0 {
		return rows.CommandTag().String()
	}
	return strings.Join(out, ";")
}

func sqlState(err error) string {
	if e, ok := err.(*pgconn.PgError); ok {
		return e.Code
	}
	return err.Error()
}

// eventually reports whether ok returns true within about 5 seconds.
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
	s := startServer(t, Options{User: "caller", Password: "secret"})
	ctx := testContext(t)
	Convey("a pool with default settings connects with a password and runs statements", t, func() {
		pool, err := pgxpool.New(ctx, connURL(s))
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
		_, err := pgx.Connect(ctx, strings.Replace(connURL(s), "secret", "wrong", 1))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, codePassword)
	})
}

func TestStatusStatement(t *testing.T) {
	s := startServer(t, Options{})
	Convey("the status statement returns role, term and offset in both protocols", t, func() {
		c := connect(t, s)
		status := catalog.DefaultStatements().Status
		So(runSQL(c, status, pgx.QueryExecModeSimpleProtocol), ShouldEqual, "f,1,0,0")
		var replica bool
		var term, offset, received int64
		So(c.QueryRow(testContext(t), status).Scan(&replica, &term, &offset, &received), ShouldBeNil)
		So(term, ShouldEqual, 1)
		So(runSQL(c, "SELECT pg_promote(true, 5)"), ShouldEqual, codeNotInRecovery)
	})
}

func TestCopy(t *testing.T) {
	s := startServer(t, Options{})
	Convey("COPY reads and writes tables, and a failed COPY inserts no rows", t, func() {
		c, ctx := connect(t, s), testContext(t)
		tag, err := c.PgConn().CopyFrom(ctx, strings.NewReader("a\t1\nb\t2\n"), "COPY kv FROM STDIN")
		So(err, ShouldBeNil)
		So(tag.String(), ShouldEqual, "COPY 2")
		_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("c\t3\na\t9\n"), "COPY kv FROM STDIN")
		So(sqlState(err), ShouldEqual, codeUniqueViolation)
		var out strings.Builder
		_, err = c.PgConn().CopyTo(ctx, &out, "COPY kv TO STDOUT")
		So(err, ShouldBeNil)
		So(out.String(), ShouldEqual, "a\t1\nb\t2\n")
	})
}

func TestPipelineIsOneTransaction(t *testing.T) {
	s := startServer(t, Options{})
	Convey("an error in a pipeline rolls back its earlier statements", t, func() {
		c := connect(t, s)
		b := &pgx.Batch{}
		b.Queue("INSERT INTO kv (key, value) VALUES ('a', '1')")
		b.Queue("INSERT INTO kv (key, value) VALUES ('a', '2')")
		So(sqlState(c.SendBatch(testContext(t), b).Close()), ShouldEqual, codeUniqueViolation)
		So(runSQL(c, "SELECT key, value FROM kv"), ShouldEqual, "SELECT 0")
	})
	Convey("a large result arrives completely", t, func() {
		c := connect(t, s)
		So(runSQL(c, "SELECT generate_series(1, $1)", 3), ShouldEqual, "\x00\x00\x00\x01;\x00\x00\x00\x02;\x00\x00\x00\x03")
		n := 0
		rows, err := c.Query(testContext(t), "SELECT generate_series(1, 20000)")
		So(err, ShouldBeNil)
		for rows.Next() {
			n++
		}
		So(n, ShouldEqual, 20000)
	})
}

func TestCancel(t *testing.T) {
	s := startServer(t, Options{})
	Convey("a cancel request cancels the statement and keeps the connection open", t, func() {
		c, ctx := connect(t, s), testContext(t)
		sent := c.PgConn().Exec(ctx, "SELECT pg_sleep(10)")
		So(eventually(func() bool { return s.Stats().Executing == 1 }), ShouldBeTrue)
		So(c.PgConn().CancelRequest(ctx), ShouldBeNil)
		_, err := sent.ReadAll()
		So(sqlState(err), ShouldEqual, codeCanceled)
		So(runSQL(c, "SELECT 1", pgx.QueryExecModeSimpleProtocol), ShouldEqual, "1")
	})
}

func TestLimits(t *testing.T) {
	s := startServer(t, Options{Slots: 2, MaxConnections: 4, ExecutionTime: 5 * time.Millisecond})
	Convey("connections over the limit are refused, statements without a free slot wait", t, func() {
		var conns []*pgx.Conn
		for range 4 {
			conns = append(conns, connect(t, s))
		}
		_, err := pgx.Connect(testContext(t), connURL(s))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, codeTooManyConnections)
		done := make(chan string)
		for _, c := range conns {
			go func() { done <- runSQL(c, "SELECT 1", pgx.QueryExecModeSimpleProtocol) }()
		}
		for range conns {
			So(<-done, ShouldEqual, "1")
		}
		stats := s.Stats()
		So(stats.PeakExecuting, ShouldEqual, 2)
		So(stats.PeakConnections, ShouldEqual, 4)
		So(stats.RefusedConnections, ShouldEqual, 1)
	})
}

func TestFreezeAndStop(t *testing.T) {
	s := startServer(t, Options{})
	Convey("a frozen instance sends no response until it is unfrozen", t, func() {
		c := connect(t, s)
		s.SetFrozen(true)
		response := make(chan string, 1)
		go func() { response <- runSQL(c, "SELECT 1", pgx.QueryExecModeSimpleProtocol) }()
		select {
		case <-response:
			t.Error("a frozen instance sent a response")
		case <-time.After(50 * time.Millisecond):
		}
		s.SetFrozen(false)
		So(<-response, ShouldEqual, "1")
		s.Stop()
		_, err := c.Exec(testContext(t), "SELECT 1")
		So(err, ShouldNotBeNil)
	})
}

func TestShutdownWaitsForTransactions(t *testing.T) {
	s := startServer(t, Options{Instance: "a"})
	b := startServer(t, Options{Instance: "b", FollowAddress: s.Address})
	Convey("a planned stop waits for an open transaction, but not for followers", t, func() {
		c := connect(t, s)
		So(runSQL(c, "INSERT INTO kv (key, value) VALUES ('first', '1')"), ShouldEqual, "INSERT 0 1")
		So(eventually(func() bool { _, p := b.Status(); return p.Offset > 0 }), ShouldBeTrue)
		runSQL(c, "BEGIN")
		runSQL(c, "INSERT INTO kv (key, value) VALUES ('k', 'v')")
		start, done := time.Now(), make(chan struct{})
		go func() { s.Shutdown(); close(done) }()
		So(eventually(func() bool { return s.Stats().Leaving }), ShouldBeTrue)
		So(runSQL(c, "COMMIT"), ShouldEqual, "COMMIT")
		<-done
		So(time.Since(start), ShouldBeLessThan, drainTimeout)
	})
}
