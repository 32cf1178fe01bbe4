package session

import (
	"sync"
	"time"

	"github.com/kingcupknot/kingcupknot/wire"
)

// Surveyor asks upstreams for role and position on behalf of control. It keeps
// one connection to each.
type Surveyor struct {
	options PoolOptions

	mutex sync.Mutex
	// idle are the connections that nobody uses now.
	idle map[Target]*Conn
}

// NewSurveyor returns a surveyor without connections.
func NewSurveyor(o PoolOptions) *Surveyor {
	return &Surveyor{options: o, idle: map[Target]*Conn{}}
}

// Survey asks one upstream, within a timeout.
func (s *Surveyor) Survey(t Target, timeout time.Duration) (Status, wire.Evidence) {
	end := time.Now().Add(timeout)
	if c := s.take(t); c != nil {
		if status, err := s.ask(t, c, end); err == nil {
			return status, wire.EvidenceAlive
		}
	}
	w, err := s.options.Dial(t, time.Until(end))
	if err != nil {
		return Status{}, evidenceOf(err)
	}
	c := newConn(0, t.Instance, w, func(wire.Evidence) { s.drop(t) })
	status, err := s.ask(t, c, end)
	if err != nil {
		return Status{}, evidenceOf(err)
	}
	return status, wire.EvidenceAlive
}

// ask asks on a connection and keeps it if it is still good.
func (s *Surveyor) ask(t Target, c *Conn, end time.Time) (Status, error) {
	for {
		replies, err := c.Exchange(end, Command{Text: s.options.Dialect.StatusQuery()})
		if err != nil {
			c.end(err, wire.EvidenceNone)
			return Status{}, err
		}
		if replies[0].Code == CodeBusy && time.Now().Add(busyPause).Before(end) {
			time.Sleep(busyPause)
			continue
		}
		s.keep(t, c)
		return s.options.ParseStatus(replies[0])
	}
}

// busyPause is the time between two questions to an upstream whose slots and
// queue are full: one may come free any moment.
const busyPause = 15 * time.Millisecond

func (s *Surveyor) take(t Target) *Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.idle[t]
	delete(s.idle, t)
	return c
}

func (s *Surveyor) keep(t Target, c *Conn) {
	s.mutex.Lock()
	old := s.idle[t]
	s.idle[t] = c
	s.mutex.Unlock()
	if old != nil && old != c {
		go old.end(errSpare, wire.EvidenceNone)
	}
}

func (s *Surveyor) drop(t Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.idle, t)
}

// Close closes the connections that are idle.
func (s *Surveyor) Close() {
	s.mutex.Lock()
	idle := s.idle
	s.idle = map[Target]*Conn{}
	s.mutex.Unlock()
	for _, c := range idle {
		go c.end(errSpare, wire.EvidenceNone)
	}
}
