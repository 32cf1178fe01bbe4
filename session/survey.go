package session

import (
	"sync"
	"time"

	"github.com/kingcupknot/kingcupknot/wire"
)

// Surveyor queries the role and position of upstreams for control. It keeps one
// connection to each upstream.
type Surveyor struct {
	options PoolOptions

	mutex sync.Mutex
	// idle holds the open connections that are not in use.
	idle map[Target]*Conn
}

// NewSurveyor returns a surveyor without connections.
func NewSurveyor(o PoolOptions) *Surveyor {
	return &Surveyor{options: o, idle: map[Target]*Conn{}}
}

// Survey queries the status of one upstream. If no status arrives within the
// timeout, it returns the evidence of the failure.
func (s *Surveyor) Survey(t Target, timeout time.Duration) (Status, wire.Evidence) {
	end := time.Now().Add(timeout)
	if c := s.takeIdle(t); c != nil {
		if status, err := s.queryStatus(t, c, end); err == nil {
			return status, wire.EvidenceAlive
		}
	}
	transport, err := s.options.Dial(t, time.Until(end))
	if err != nil {
		return Status{}, evidenceOf(err)
	}
	c := newConn(0, t.Instance, transport, func(wire.Evidence) { s.removeIdle(t) })
	status, err := s.queryStatus(t, c, end)
	if err != nil {
		return Status{}, evidenceOf(err)
	}
	return status, wire.EvidenceAlive
}

// queryStatus queries the status over a connection and keeps the connection for
// reuse unless it failed.
func (s *Surveyor) queryStatus(t Target, c *Conn, end time.Time) (Status, error) {
	for {
		replies, err := c.Exchange(end, Command{Text: s.options.Dialect.StatusQuery()})
		if err != nil {
			c.end(err, wire.EvidenceNone)
			return Status{}, err
		}
		if replies[0].Code == CodeBusy && time.Now().Add(busyRetryDelay).Before(end) {
			time.Sleep(busyRetryDelay)
			continue
		}
		s.putIdle(t, c)
		return s.options.ParseStatus(replies[0])
	}
}

// busyRetryDelay is the delay before the next query to an upstream whose slots
// and queue are full. It is short, since a slot may become free at any time.
const busyRetryDelay = 15 * time.Millisecond

func (s *Surveyor) takeIdle(t Target) *Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.idle[t]
	delete(s.idle, t)
	return c
}

func (s *Surveyor) putIdle(t Target, c *Conn) {
	s.mutex.Lock()
	old := s.idle[t]
	s.idle[t] = c
	s.mutex.Unlock()
	if old != nil && old != c {
		go old.end(errConnUnneeded, wire.EvidenceNone)
	}
}

func (s *Surveyor) removeIdle(t Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.idle, t)
}

// Close closes the idle connections.
func (s *Surveyor) Close() {
	s.mutex.Lock()
	idle := s.idle
	s.idle = map[Target]*Conn{}
	s.mutex.Unlock()
	for _, c := range idle {
		go c.end(errConnUnneeded, wire.EvidenceNone)
	}
}
