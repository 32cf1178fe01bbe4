package listener

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgxpool"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/xdg-go/scram"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/standin"
	"github.com/kingcupknot/kingcupknot/token"
)

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func startDriver(t *testing.T, maxConns int, change func(*Options)) *driver {
	return newDriver(t, startUpstream(t, standin.Options{}).Address, maxConns, change)
}

// TestSharedPreparedStatements guards against statements that run on an upstream
// connection on which another caller prepared a different statement, or none.
func TestSharedPreparedStatements(t *testing.T) {
	d, ctx := startDriver(t, 3, nil), testContext(t)
	Convey("callers share fewer upstream connections, and each runs its own prepared statements", t, func() {
		pool, err := pgxpool.New(ctx, callerURL(d)+"&pool_max_conns=8")
		So(err, ShouldBeNil)
		defer pool.Close()
		var all sync.WaitGroup
		faults := make(chan error, 8)
		for g := range 8 {
			all.Go(func() { faults <- runPoolCaller(ctx, pool, g) })
		}
		all.Wait()
		for range 8 {
			So(<-faults, ShouldBeNil)
		}
		So(len(inputsOf[node.ConnOpened](d)), ShouldEqual, 3)
		So(inputsOf[node.ConnLost](d), ShouldBeEmpty)
	})
	Convey("a caller may prepare more statements than an upstream connection keeps", t, func() {
		c := connect(t, d, "&statement_cache_capacity=600")
		for i := range 900 {
			var got int
			sql := fmt.Sprintf("SELECT $1::int AS c%d", i%450)
			So(c.QueryRow(ctx, sql, i).Scan(&got), ShouldBeNil)
			So(got, ShouldEqual, i)
		}
	})
}

func runPoolCaller(ctx context.Context, pool *pgxpool.Pool, g int) error {
	for i := range 50 {
		var got int
		if err := pool.QueryRow(ctx, "SELECT $1::int", i*8+g).Scan(&got); err != nil || got != i*8+g {
			return fmt.Errorf("read %d of %d: got %d, %w", i, g, got, err)
		}
		key := fmt.Sprintf("%d-%d", g, i)
		if _, err := pool.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", key, "1"); err != nil {
			return err
		}
	}
	return nil
}

// TestPipelineWithAnError guards against a pipeline that stays partly in force
// after an error, and against an error that leaves the only upstream connection
// unusable for the next request.
func TestPipelineWithAnError(t *testing.T) {
	d, ctx := startDriver(t, 1, nil), testContext(t)
	Convey("an error rolls the pipeline back and skips its rest, and the next request runs", t, func() {
		c := connect(t, d, "")
		b := &pgx.Batch{}
		for _, key := range []string{"a", "b", "a", "c"} {
			b.Queue("INSERT INTO kv (key, value) VALUES ($1, $2)", key, "1")
		}
		results := c.SendBatch(ctx, b)
		for _, want := range []string{"", "", "23505", "23505"} {
			_, err := results.Exec()
			if want == "" {
				So(err, ShouldBeNil)
				continue
			}
			So(errorText(err), ShouldStartWith, want)
		}
		So(results.Close(), ShouldNotBeNil)
		var n int
		So(c.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&n), ShouldBeNil)
		So(n, ShouldEqual, 0)
	})
}

// TestFlush guards against a caller that waits for replies in vain. The answer to
// a batch that Flush ended has no ReadyForQuery, and after an error in such a
// batch only Sync is answered.
func TestFlush(t *testing.T) {
	d := startDriver(t, 2, nil)
	Convey("Flush returns the replies to prepared statements, and an error skips to Sync", t, func() {
		h, err := connect(t, d, "").PgConn().Hijack()
		So(err, ShouldBeNil)
		So(h.Conn.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
		exchange := func(want string, messages ...pgproto3.FrontendMessage) {
			for _, m := range messages {
				h.Frontend.Send(m)
			}
			So(h.Frontend.Flush(), ShouldBeNil)
			var got string
			for len(got) < len(want) {
				m, err := h.Frontend.Receive()
				So(err, ShouldBeNil)
				if _, status := m.(*pgproto3.ParameterStatus); !status {
					got += strings.TrimPrefix(fmt.Sprintf("%T ", m), "*pgproto3.")
				}
			}
			So(got, ShouldEqual, want)
		}
		describe, flush, sync := &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Flush{}, &pgproto3.Sync{}
		exchange("ParseComplete ParameterDescription RowDescription ",
			&pgproto3.Parse{Query: "SELECT $1::text"}, describe, flush)
		exchange("BindComplete DataRow CommandComplete ReadyForQuery ",
			&pgproto3.Bind{Parameters: [][]byte{[]byte("x")}}, &pgproto3.Execute{}, sync)
		exchange("ErrorResponse ", &pgproto3.Parse{Query: "SELECT nonsense"}, describe, flush)
		exchange("ReadyForQuery ", &pgproto3.Bind{}, &pgproto3.Execute{}, sync)
		exchange("ErrorResponse ", &pgproto3.Parse{Query: "LISTEN x"}, describe, flush)
		exchange("ReadyForQuery EmptyQueryResponse ReadyForQuery ", sync, &pgproto3.Query{})
	})
}

// TestCopy guards against a status query that is sent together with a COPY FROM
// STDIN: the upstream would read the query as data of the COPY.
func TestCopy(t *testing.T) {
	d, ctx := startDriver(t, 1, nil), testContext(t)
	d.editRun = func(e *node.RunRequest) { e.QueryPosition = true }
	Convey("COPY transfers data in both directions, and one that fails has no effect", t, func() {
		c := connect(t, d, "")
		var in, out strings.Builder
		for i := range 5000 {
			fmt.Fprintf(&in, "%05d\t%d\n", i, i)
		}
		tag, err := c.PgConn().CopyFrom(ctx, strings.NewReader(in.String()), "COPY kv FROM STDIN")
		So(err, ShouldBeNil)
		So(tag.String(), ShouldEqual, "COPY 5000")
		_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("x\t1\n00001\t1\n"), "COPY kv FROM STDIN")
		So(errorText(err), ShouldStartWith, "23505")
		_, err = c.PgConn().CopyTo(ctx, &out, "COPY kv TO STDOUT")
		So(err, ShouldBeNil)
		So(out.String(), ShouldEqual, in.String())
		So(c.PgConn().ParameterStatus("kingcupknot.token"), ShouldNotBeEmpty)
	})
}

// TestLargeAnswer guards against rows that are lost, repeated or refused if an
// answer exceeds the buffers on its way to the caller.
func TestLargeAnswer(t *testing.T) {
	d, ctx := startDriver(t, 1, nil), testContext(t)
	Convey("an answer larger than all buffers is streamed to the caller", t, func() {
		c := connect(t, d, "")
		const rows = 400_000
		r, err := c.Query(ctx, "SELECT generate_series(1, $1)", rows)
		So(err, ShouldBeNil)
		n, total := 0, 0
		for r.Next() {
			if err := r.Scan(&n); err != nil {
				t.Fatal(err)
			}
			total += n
		}
		So(r.Err(), ShouldBeNil)
		So(total, ShouldEqual, rows*(rows+1)/2)
	})
}

// TestSessions guards against reads that miss the session's own writes, since the
// floor of an earlier connection was lost, and against hints of one request that
// apply to the next one too.
func TestSessions(t *testing.T) {
	d, ctx := startDriver(t, 1, nil), testContext(t)
	d.editRun = func(e *node.RunRequest) { e.QueryPosition = true }
	lastArrival := func() node.RequestArrived {
		all := inputsOf[node.RequestArrived](d)
		return all[len(all)-1]
	}
	simple := pgx.QueryExecModeSimpleProtocol
	Convey("a token carries the session's floor to another connection", t, func() {
		a := connect(t, d, "&kingcupknot.session=s")
		_, err := a.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('k', '1')")
		So(err, ShouldBeNil)
		text := a.PgConn().ParameterStatus("kingcupknot.token")
		carried, err := token.Verify([]byte("test key"), testService, text)
		So(err, ShouldBeNil)
		So(carried.Session, ShouldEqual, catalog.SessionID("s"))

		b := connect(t, d, "&kingcupknot.token="+text)
		_, err = b.Exec(ctx, "SELECT 1", simple)
		So(err, ShouldBeNil)
		So(lastArrival().Floor, ShouldResemble, carried.Position)
		So(lastArrival().FloorUnknown, ShouldBeFalse)

		c := connect(t, d, "")
		_, err = c.Exec(ctx, "/* kingcupknot: token="+text+", max-age=500ms, class=browse */ SELECT 1", simple)
		So(err, ShouldBeNil)
		So(lastArrival().Floor, ShouldResemble, carried.Position)
		So(lastArrival().MaxAge, ShouldEqual, 500*time.Millisecond)
		So(lastArrival().PrimaryOnly, ShouldBeFalse)
		So(lastArrival().Class, ShouldEqual, node.ClassBrowse)
		_, err = c.Exec(ctx, "SELECT 1", simple)
		So(err, ShouldBeNil)
		So(lastArrival().Class, ShouldEqual, node.ClassNormal)
	})
	// A maximum age of zero was taken for none, so that any replica served the read.
	Convey("a maximum age of zero is a bound, and an empty one is none", t, func() {
		c := connect(t, d, "")
		for _, x := range []struct {
			age         string
			primaryOnly bool
		}{{"0", true}, {"0s", true}, {"1ns", false}, {"0ms", true}, {"", false}} {
			_, err := c.Exec(ctx, "SET kingcupknot.max_age = '"+x.age+"'", simple)
			So(err, ShouldBeNil)
			_, err = c.Exec(ctx, "SELECT 1", simple)
			So(err, ShouldBeNil)
			So(lastArrival().PrimaryOnly, ShouldEqual, x.primaryOnly)
		}
	})
	Convey("a session with an id and without a token has an unknown floor", t, func() {
		c := connect(t, d, "&options=-c%20kingcupknot.session%3Ds")
		_, err := c.Exec(ctx, "SELECT 1", simple)
		So(err, ShouldBeNil)
		So(lastArrival().FloorUnknown, ShouldBeTrue)
	})
	Convey("settings that are invalid or not supported are refused at startup", t, func() {
		for more, want := range map[string]string{
			"&kingcupknot.token=1.forged": codeInvalidAuthorization,
			"&search_path=x":              codeNotSupported,
			"&kingcupknot.class=x":        codeInvalidParameter,
		} {
			_, err := pgx.Connect(ctx, callerURL(d)+more)
			So(errorText(err), ShouldStartWith, want)
		}
	})
}

func TestPasswords(t *testing.T) {
	client, err := scram.SHA256.NewClient(testUser, "secret", "")
	if err != nil {
		t.Fatal(err)
	}
	verifier, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "salt of the test", Iters: 4096})
	if err != nil {
		t.Fatal(err)
	}
	d := startDriver(t, 1, func(o *Options) { o.Callers = map[string]scram.StoredCredentials{testUser: verifier} })
	ctx := testContext(t)
	Convey("a caller is accepted with the right password only", t, func() {
		_, err := connect(t, d, "").Exec(ctx, "SELECT 1")
		So(err, ShouldBeNil)
		for _, wrong := range []string{":wrong@", ":@"} {
			_, err = pgx.Connect(ctx, strings.Replace(callerURL(d), ":secret@", wrong, 1))
			So(err, ShouldNotBeNil)
		}
		_, err = pgx.Connect(ctx, strings.Replace(callerURL(d), "//"+testUser+":", "//nobody:", 1))
		So(errorText(err), ShouldStartWith, codeInvalidPassword)
	})
}

// TestDrain guards against a planned stop that interrupts an open transaction or
// that never ends, since idle callers stay connected.
func TestDrain(t *testing.T) {
	d, ctx := startDriver(t, 2, nil), testContext(t)
	Convey("a planned stop waits for open transactions and accepts no new callers", t, func() {
		idle, busy := connect(t, d, ""), connect(t, d, "")
		tx, err := busy.Begin(ctx)
		So(err, ShouldBeNil)
		d.server.Drain()
		eventually(t, "the idle caller is disconnected", func() bool { return idle.Ping(ctx) != nil })
		_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('k', '1')")
		So(err, ShouldBeNil)
		So(d.server.IsIdle(), ShouldBeFalse)
		So(tx.Commit(ctx), ShouldBeNil)
		eventually(t, "all callers have disconnected", d.server.IsIdle)
		_, err = pgx.Connect(ctx, callerURL(d))
		So(err, ShouldNotBeNil)
	})
}

// TestRequestThatCrossesAStop guards against a reset of the connection: the
// caller would then not learn that the request, sent before the entry's error
// arrived, was not run.
func TestRequestThatCrossesAStop(t *testing.T) {
	d := startDriver(t, 1, nil)
	Convey("a request sent while the entry disconnects the caller gets that error as its answer", t, func() {
		conn, err := connect(t, d, "").PgConn().Hijack()
		So(err, ShouldBeNil)
		defer func() { _ = conn.Conn.Close() }()
		d.server.Drain()
		for range 3 {
			// The entry keeps its end open, so that each write succeeds.
			conn.Frontend.Send(&pgproto3.Query{String: "SELECT 1"})
			So(conn.Frontend.Flush(), ShouldBeNil)
		}
		m, err := conn.Frontend.Receive()
		So(err, ShouldBeNil)
		e, ok := m.(*pgproto3.ErrorResponse)
		So(ok, ShouldBeTrue)
		So(e.Code, ShouldEqual, codeNotRun)
		So(e.Message, ShouldStartWith, "not run:")
		So(e.Hint, ShouldNotBeEmpty)
	})
}

// TestRequestThatArrivesWithAStop guards against a request that is taken although
// a planned stop has begun: a choice between the two that is left to chance.
func TestRequestThatArrivesWithAStop(t *testing.T) {
	const attempts = 64
	Convey("an idle caller's message is never taken once the stop has begun", t, func() {
		s := &Server{draining: make(chan struct{})}
		close(s.draining)
		for range attempts {
			c := newCaller(s, nil)
			c.messages = make(chan pgproto3.FrontendMessage, 1)
			c.messages <- &pgproto3.Query{String: "SELECT 1"}
			m, f := c.nextMessage(true)
			So(m, ShouldBeNil)
			So(f.Code, ShouldEqual, codeNotRun)
		}
	})
}

// TestOutcomes guards against a caller that gets a replica's error for a write
// that another upstream could run. A caller that asked for a read-only transaction
// must still get the error.
func TestOutcomes(t *testing.T) {
	primary := startUpstream(t, standin.Options{})
	replica := startUpstream(t, standin.Options{FollowAddress: primary.Address})
	d, ctx := newDriver(t, replica.Address, 1, nil), testContext(t)
	Convey("a write that a replica refuses is reported to the reducer, so that it can run elsewhere", t, func() {
		for _, sql := range []string{
			"INSERT INTO kv (key, value) VALUES ('k', '1')",
			"/* kingcupknot: request=r */ INSERT INTO kv (key, value) VALUES ('k', '1')",
		} {
			_, err := connect(t, d, "").Exec(ctx, sql)
			So(errorText(err), ShouldStartWith, codeOutcomeUnknown)
			done := inputsOf[node.RequestDone](d)
			last := done[len(done)-1]
			So(last.Outcome, ShouldEqual, node.OutcomeReadOnly)
			So(last.AnswerStarted, ShouldBeFalse)
			So(last.Reusable, ShouldBeTrue)
		}
	})
	Convey("the error of a write in a read-only transaction is forwarded", t, func() {
		_, err := connect(t, d, "").Exec(ctx, "BEGIN READ ONLY; DELETE FROM kv WHERE key = 'k'; COMMIT")
		So(errorText(err), ShouldStartWith, codeReadOnlyTransaction)
	})
}
