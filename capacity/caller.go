package capacity

import (
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/listener"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/upstream"
)

const callerTimeout = 10 * time.Second

// measureCallers measures the memory that the listener uses for idle connected
// callers, stacks included. The simulated callers run in the same process, but each
// uses hardly more memory than a socket.
func (p Plan) measureCallers(rows *Rows) error {
	s := series{rows, "listener", "idle callers", "no TLS, trusted callers, their sockets in the same process"}
	for _, n := range p.choosePoints([]int{100, 400, 1600}, []int{50, 100, 200}) {
		bytesHeld, err := callerMemory(n)
		if err != nil {
			return errors.Trace(err)
		}
		s.add("heap and stacks", "bytes", float64(n), bytesHeld)
	}
	return nil
}

// callerMemory connects n callers and returns the memory in bytes that is in use
// for them.
func callerMemory(n int) (float64, error) {
	start := time.Now()
	now := func() catalog.Instant { return catalog.Instant(time.Since(start)) }
	feed := func(node.Input) {}
	pool := upstream.NewPool(upstream.Options{
		Feed: feed, Now: now, Statements: catalog.DefaultStatements(), Log: logr.Discard(),
	})
	defer pool.CloseAll()
	server, err := listener.New(listener.Options{
		Address: "127.0.0.1:0", Feed: feed, Now: now, TokenKey: []byte("measured key"), Pool: pool, Log: logr.Discard(),
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer server.Close()
	var hasEnded atomic.Bool
	go func() {
		_ = server.Serve()
		hasEnded.Store(true)
	}()
	before := memoryInUse()
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for i := range n {
		c, err := connectCaller(server.Addr().String())
		if err != nil {
			return 0, errors.Annotatef(err, "connect caller %d", i)
		}
		conns = append(conns, c)
	}
	bytesHeld := memoryInUse() - before
	if hasEnded.Load() {
		return 0, errors.New("the listener stopped during the measurement")
	}
	return bytesHeld, nil
}

// memoryInUse returns the bytes of the heap and the stacks after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// connectCaller opens one caller's connection and returns it once it is ready for
// statements.
func connectCaller(address string) (net.Conn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := startSession(c); err != nil {
		_ = c.Close()
		return nil, errors.Trace(err)
	}
	return c, nil
}

func startSession(c net.Conn) error {
	if err := c.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return errors.Trace(err)
	}
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "measured", "database": string(serviceID(0))},
	})
	if err := f.Flush(); err != nil {
		return errors.Trace(err)
	}
	for {
		m, err := f.Receive()
		if err != nil {
			return errors.Trace(err)
		}
		switch v := m.(type) {
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.ErrorResponse:
			return errors.Errorf("the listener refused the session: %s", v.Message)
		}
	}
}
