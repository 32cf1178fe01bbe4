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

// inputs collects what a pool feeds.
type inputs struct {
	mu  sync.Mutex
	all []node.Input
}

func (i *inputs) feed(in node.Input) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.all = append(i.all, in)
}

// wait returns the n-th input of one type.
func wait[T node.Input](t *testing.T, i *inputs, n int) T {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got := count[T](i); len(got) >= n {
			return got[n-1]
		}
	}
	var none T
	t.Fatalf("no %T in time", none)
	return none
}

func count[T node.Input](i *inputs) []T {
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

func options(i *inputs) Options {
	start := time.Now()
	return Options{
		Feed: i.feed, Now: func() catalog.Instant { return catalog.Instant(time.Since(start)) },
		Statements: catalog.DefaultStatements(), User: "kingcupknot", Password: "secret", Log: logr.Discard(),
	}
}

func startUpstream(t *testing.T, o standin.Options) *standin.Server {
	t.Helper()
	o.Listen, o.Service, o.Instance = "127.0.0.1:0", "orders", "a"
	s, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func open(p *Pool, id catalog.ConnID, address string, within time.Duration) {
	p.Open(node.OpenConn{
		Conn: id, Service: "orders", Instance: "a", Address: address,
		Deadline: p.options.Now().Add(within),
	})
}

func TestConnections(t *testing.T) {
	Convey("a connection is opened, probed, used and closed", t, func() {
		in := &inputs{}
		p := NewPool(options(in))
		s := startUpstream(t, standin.Options{User: "kingcupknot", Password: "secret", MaxConnections: 1})
		open(p, 1, s.Address, time.Second)
		wait[node.ConnOpened](t, in, 1)
		p.Probe(node.Probe{Conn: 1, Deadline: p.options.Now().Add(time.Second)})
		probe := wait[node.ProbeDone](t, in, 1)
		So(probe.Evidence, ShouldEqual, wire.EvidenceAlive)
		So(probe.Role, ShouldEqual, catalog.RolePrimary)
		So(probe.Position.Term, ShouldEqual, catalog.Term(1))

		open(p, 2, s.Address, time.Second)
		So(wait[node.ConnLost](t, in, 1), ShouldResemble, node.ConnLost{Conn: 2, Evidence: wire.EvidenceNone})

		p.Close(node.CloseConn{Conn: 1})
		So(wait[node.ConnLost](t, in, 2), ShouldResemble, node.ConnLost{Conn: 1, Evidence: wire.EvidenceNone})
		p.Close(node.CloseConn{Conn: 1})
		So(p.Conn(1), ShouldBeNil)
	})
	Convey("a lost upstream is noticed on an idle connection, and once", t, func() {
		in := &inputs{}
		p := NewPool(options(in))
		s := startUpstream(t, standin.Options{})
		open(p, 1, s.Address, time.Second)
		wait[node.ConnOpened](t, in, 1)
		c := p.Conn(1)
		s.Stop()
		So(wait[node.ConnLost](t, in, 1), ShouldResemble, node.ConnLost{Conn: 1, Evidence: wire.EvidenceRefused})
		So(c.Take(), ShouldEqual, ErrLost)
		p.Close(node.CloseConn{Conn: 1})
		open(p, 2, s.Address, time.Second)
		So(wait[node.ConnLost](t, in, 2), ShouldResemble, node.ConnLost{Conn: 2, Evidence: wire.EvidenceRefused})
		So(len(count[node.ConnLost](in)), ShouldEqual, 2)
	})
	Convey("a silent upstream is told from one that is gone", t, func() {
		in := &inputs{}
		p := NewPool(options(in))
		s := startUpstream(t, standin.Options{})
		open(p, 1, s.Address, time.Second)
		wait[node.ConnOpened](t, in, 1)
		s.Freeze(true)
		p.Probe(node.Probe{Conn: 1, Deadline: p.options.Now().Add(50 * time.Millisecond)})
		So(wait[node.ProbeDone](t, in, 1).Evidence, ShouldEqual, wire.EvidenceTimeout)
		So(wait[node.ConnLost](t, in, 1).Evidence, ShouldEqual, wire.EvidenceTimeout)
		open(p, 2, s.Address, 50*time.Millisecond)
		So(wait[node.ConnLost](t, in, 2), ShouldResemble, node.ConnLost{Conn: 2, Evidence: wire.EvidenceTimeout})
		s.Freeze(false)
	})
	Convey("closing while opening ends the attempt", t, func() {
		in := &inputs{}
		p := NewPool(options(in))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		open(p, 1, l.Addr().String(), time.Minute)
		p.Close(node.CloseConn{Conn: 1})
		So(wait[node.ConnLost](t, in, 1), ShouldResemble, node.ConnLost{Conn: 1, Evidence: wire.EvidenceNone})
	})
}

func TestTakeWaitsForPark(t *testing.T) {
	in := &inputs{}
	p := NewPool(options(in))
	s := startUpstream(t, standin.Options{})
	open(p, 1, s.Address, time.Second)
	wait[node.ConnOpened](t, in, 1)
	Convey("one user follows the other, and each reads its own answer", t, func() {
		c := p.Conn(1)
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				for range 50 {
					if c.Take() != nil {
						t.Error("the connection was lost")
						return
					}
					c.Send(&pgproto3.Query{String: p.options.Statements.Status})
					_, _ = c.Flush()
					if s, lost, refused := c.ReceiveStatus(); lost != nil || refused != nil || s.Position.Term != 1 {
						t.Error(s, lost, refused)
					}
					c.Park()
				}
			})
		}
		all.Wait()
		So(count[node.ConnLost](in), ShouldBeEmpty)
	})
}

func TestSurveyor(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first := startUpstream(t, standin.Options{})
	second := startUpstream(t, standin.Options{Follow: first.Address})
	s := NewSurveyor(options(&inputs{}))
	defer s.Close()
	Convey("control asks for roles, promotes and redirects", t, func() {
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
	Convey("a lost upstream refuses, and a silent one is silent", t, func() {
		second.Freeze(true)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, evidence := s.Survey(short, "orders", second.Address)
		So(evidence, ShouldEqual, wire.EvidenceTimeout)
		second.Freeze(false)
		first.Stop()
		_, evidence = s.Survey(ctx, "orders", first.Address)
		So(evidence, ShouldEqual, wire.EvidenceRefused)
		_, ok := s.Promote(ctx, "orders", first.Address, 1)
		So(ok, ShouldBeFalse)
	})
}

func TestPrepared(t *testing.T) {
	Convey("the statements used longest ago make room", t, func() {
		p := newPrepared()
		for i := range MaxPrepared {
			p.Add(StatementName(rune('a' + i)))
		}
		first, second := StatementName('a'), StatementName('b')
		So(p.Surplus(0, nil), ShouldBeEmpty)
		So(p.Surplus(1, nil), ShouldResemble, []StatementName{first})
		So(p.Surplus(1, map[StatementName]bool{first: true}), ShouldResemble, []StatementName{second})
		So(p.Has(first), ShouldBeTrue)
		So(p.Surplus(1, nil), ShouldResemble, []StatementName{second})
		p.Remove(second)
		So(p.Surplus(1, nil), ShouldBeEmpty)
	})
}
