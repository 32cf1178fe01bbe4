package upstream

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/standin"
	"github.com/kingcupknot/kingcupknot/wire"
)

// inputRecorder collects the inputs that a pool feeds to the reducer.
type inputRecorder struct {
	mu  sync.Mutex
	all []node.Input
}

func (i *inputRecorder) record(in node.Input) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.all = append(i.all, in)
}

// waitForInput waits up to 5 s for the n-th input of one type.
func waitForInput[T node.Input](t *testing.T, i *inputRecorder, n int) T {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got := inputsOfType[T](i); len(got) >= n {
			return got[n-1]
		}
	}
	var none T
	t.Fatalf("no %T in time", none)
	return none
}

func inputsOfType[T node.Input](i *inputRecorder) []T {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []T
	for _, in := range i.all {
		if e, ok := in.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

func newTestOptions(i *inputRecorder) Options {
	start := time.Now()
	return Options{
		Feed: i.record, Now: func() catalog.Instant { return catalog.Instant(time.Since(start)) },
		Statements: catalog.DefaultStatements(), User: "kingcupknot", Password: "secret", Log: logr.Discard(),
	}
}

func startUpstream(t *testing.T, o standin.Options) *standin.Server {
	t.Helper()
	o.ListenAddress, o.Service, o.Instance = "127.0.0.1:0", "orders", "a"
	s, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func openConn(p *Pool, id catalog.ConnID, address string, within time.Duration) {
	p.Open(node.OpenConn{
		Conn: id, Service: "orders", Instance: "a", Address: address,
		Deadline: p.options.Now().Add(within),
	})
}

// TestPoolConnections guards against a pool that doesn't report the end of a
// connection, or reports a silent upstream as one that refuses connections.
func TestPoolConnections(t *testing.T) {
	Convey("a connection is opened, probed and closed, and a refused one is reported", t, func() {
		in := &inputRecorder{}
		p := NewPool(newTestOptions(in))
		s := startUpstream(t, standin.Options{User: "kingcupknot", Password: "secret", MaxConnections: 1})
		openConn(p, 1, s.Address, time.Second)
		waitForInput[node.ConnOpened](t, in, 1)
		p.Probe(node.Probe{Conn: 1, Deadline: p.options.Now().Add(time.Second)})
		probe := waitForInput[node.ProbeDone](t, in, 1)
		So(probe.Evidence, ShouldEqual, wire.EvidenceAlive)
		So(probe.Role, ShouldEqual, catalog.RolePrimary)
		So(probe.Position.Term, ShouldEqual, catalog.Term(1))

		openConn(p, 2, s.Address, time.Second)
		So(waitForInput[node.ConnLost](t, in, 1), ShouldResemble, node.ConnLost{Conn: 2, Evidence: wire.EvidenceNone})

		p.Close(node.CloseConn{Conn: 1})
		So(waitForInput[node.ConnLost](t, in, 2), ShouldResemble, node.ConnLost{Conn: 1, Evidence: wire.EvidenceNone})
		p.Close(node.CloseConn{Conn: 1})
		So(p.Conn(1), ShouldBeNil)
	})
	Convey("the loss of the upstream is reported once for an idle connection", t, func() {
		in := &inputRecorder{}
		p := NewPool(newTestOptions(in))
		s := startUpstream(t, standin.Options{})
		openConn(p, 1, s.Address, time.Second)
		waitForInput[node.ConnOpened](t, in, 1)
		c := p.Conn(1)
		s.Stop()
		So(waitForInput[node.ConnLost](t, in, 1), ShouldResemble, node.ConnLost{Conn: 1, Evidence: wire.EvidenceRefused})
		So(c.Acquire(), ShouldEqual, ErrConnClosed)
		p.Close(node.CloseConn{Conn: 1})
		openConn(p, 2, s.Address, time.Second)
		So(waitForInput[node.ConnLost](t, in, 2), ShouldResemble, node.ConnLost{Conn: 2, Evidence: wire.EvidenceRefused})
		So(len(inputsOfType[node.ConnLost](in)), ShouldEqual, 2)
	})
	Convey("a silent upstream is reported as silent, not as refusing", t, func() {
		in := &inputRecorder{}
		p := NewPool(newTestOptions(in))
		s := startUpstream(t, standin.Options{})
		openConn(p, 1, s.Address, time.Second)
		waitForInput[node.ConnOpened](t, in, 1)
		s.SetFrozen(true)
		p.Probe(node.Probe{Conn: 1, Deadline: p.options.Now().Add(50 * time.Millisecond)})
		So(waitForInput[node.ProbeDone](t, in, 1).Evidence, ShouldEqual, wire.EvidenceTimeout)
		So(waitForInput[node.ConnLost](t, in, 1).Evidence, ShouldEqual, wire.EvidenceTimeout)
		openConn(p, 2, s.Address, 50*time.Millisecond)
		So(waitForInput[node.ConnLost](t, in, 2), ShouldResemble, node.ConnLost{Conn: 2, Evidence: wire.EvidenceTimeout})
		s.SetFrozen(false)
	})
	Convey("closing a connection that is being opened cancels the attempt", t, func() {
		in := &inputRecorder{}
		p := NewPool(newTestOptions(in))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		openConn(p, 1, l.Addr().String(), time.Minute)
		p.Close(node.CloseConn{Conn: 1})
		So(waitForInput[node.ConnLost](t, in, 1), ShouldResemble, node.ConnLost{Conn: 1, Evidence: wire.EvidenceNone})
	})
}

// TestAcquireWaitsForRelease guards against a user that reads the answer to
// another user's query when several goroutines share one connection.
func TestAcquireWaitsForRelease(t *testing.T) {
	in := &inputRecorder{}
	p := NewPool(newTestOptions(in))
	s := startUpstream(t, standin.Options{})
	openConn(p, 1, s.Address, time.Second)
	waitForInput[node.ConnOpened](t, in, 1)
	Convey("users acquire the connection one after another, and each reads its own answer", t, func() {
		c := p.Conn(1)
		var users sync.WaitGroup
		for range 8 {
			users.Go(func() {
				for range 50 {
					if c.Acquire() != nil {
						t.Error("the connection was lost")
						return
					}
					c.Send(&pgproto3.Query{String: p.options.Statements.Status})
					_, _ = c.Flush()
					if s, connErr, statusErr := c.ReceiveStatus(); connErr != nil || statusErr != nil || s.Position.Term != 1 {
						t.Error(s, connErr, statusErr)
					}
					c.Release()
				}
			})
		}
		users.Wait()
		So(inputsOfType[node.ConnLost](in), ShouldBeEmpty)
	})
}

// TestSurveyor guards against a surveyor that misreports the role or state of an
// upstream, or fails to promote or redirect it.
func TestSurveyor(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first := startUpstream(t, standin.Options{})
	second := startUpstream(t, standin.Options{FollowAddress: first.Address})
	s := NewSurveyor(newTestOptions(&inputRecorder{}))
	defer s.Close()
	Convey("a surveyor queries roles, promotes and redirects upstreams", t, func() {
		status, evidence := s.Survey(ctx, "orders", first.Address)
		So(status.Role, ShouldEqual, catalog.RolePrimary)
		So(evidence, ShouldEqual, wire.EvidenceAlive)
		status, _ = s.Survey(ctx, "orders", second.Address)
		So(status.Role, ShouldEqual, catalog.RoleReplica)

		position, ok := s.Promote(ctx, "orders", second.Address, 1)
		So(ok, ShouldBeTrue)
		So(position.Term, ShouldEqual, catalog.Term(2))
		_, ok = s.Promote(ctx, "orders", second.Address, 1)
		So(ok, ShouldBeTrue)
		So(s.Follow(ctx, "orders", first.Address, second.Address), ShouldBeNil)
	})
	Convey("a stopped upstream is reported as refusing, and a frozen one as silent", t, func() {
		second.SetFrozen(true)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, evidence := s.Survey(short, "orders", second.Address)
		So(evidence, ShouldEqual, wire.EvidenceTimeout)
		second.SetFrozen(false)
		first.Stop()
		_, evidence = s.Survey(ctx, "orders", first.Address)
		So(evidence, ShouldEqual, wire.EvidenceRefused)
		_, ok := s.Promote(ctx, "orders", first.Address, 1)
		So(ok, ShouldBeFalse)
	})
}

// TestPreparedStatementEviction guards against the eviction of statements that
// are in use or were used recently.
func TestPreparedStatementEviction(t *testing.T) {
	Convey("the least recently used statements are evicted first, except those in use", t, func() {
		p := newPreparedStatements()
		for i := range MaxPreparedStatements {
			p.Add(StatementName(rune('a' + i)))
		}
		first, second := StatementName('a'), StatementName('b')
		So(p.EvictionCandidates(0, nil), ShouldBeEmpty)
		So(p.EvictionCandidates(1, nil), ShouldResemble, []StatementName{first})
		So(p.EvictionCandidates(1, map[StatementName]bool{first: true}), ShouldResemble, []StatementName{second})
		So(p.Touch(first), ShouldBeTrue)
		So(p.EvictionCandidates(1, nil), ShouldResemble, []StatementName{second})
		p.Remove(second)
		So(p.EvictionCandidates(1, nil), ShouldBeEmpty)
	})
}
