package node

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// fakeUpstream is a simulated upstream.
type fakeUpstream struct {
	catalog.Announcement
	down, silent, held, frozen bool
	pause                      time.Duration
	grant                      int
}

type fakeConn struct {
	at      *fakeUpstream
	opened  bool
	running catalog.RequestID
	epoch   catalog.Epoch
}

// fakeWorld runs an Entry against simulated upstreams and a simulated control,
// and checks the invariants on every effect.
type fakeWorld struct {
	entry         *Entry
	timings       catalog.Timings
	now           catalog.Instant
	queue         []fakeEvent
	number        int
	upstreams     map[catalog.InstanceID]*fakeUpstream
	conns         map[catalog.ConnID]*fakeConn
	requests      map[catalog.RequestID]RequestArrived
	began         map[catalog.RequestID]catalog.Epoch
	ran           map[catalog.RequestID]string
	answers       map[catalog.RequestID]AnswerRequest
	primary       catalog.Primary
	lease         bool
	controlSilent bool
	leases        map[catalog.Epoch]catalog.Instant
	fenced        catalog.Epoch
	// spentEpoch is the epoch that the last report gave as spent, zero if none.
	spentEpoch catalog.Epoch
	grants     map[catalog.InstanceID][]fakeGrant
	settings   wire.Answer
	trace      []string
	violations []string
	sent       []string
	probes     map[catalog.InstanceID]int
	verified   map[catalog.RequestID]int
	stopped    bool
	peers      map[catalog.VMID]*fakePeer
	// onRead, if set, is called with a read and the position of the upstream
	// that answered it.
	onRead func(RequestArrived, catalog.Position)
}

type fakeEvent struct {
	at     catalog.Instant
	number int
	input  func() Input
}

type fakeGrant struct {
	connections int
	until       catalog.Instant
}

func newFakeWorld(o EntryOptions) *fakeWorld {
	return &fakeWorld{
		entry: NewEntry(o), timings: o.Timings, now: catalog.Instant(time.Second),
		upstreams: map[catalog.InstanceID]*fakeUpstream{}, conns: map[catalog.ConnID]*fakeConn{},
		requests: map[catalog.RequestID]RequestArrived{}, began: map[catalog.RequestID]catalog.Epoch{},
		ran: map[catalog.RequestID]string{}, answers: map[catalog.RequestID]AnswerRequest{},
		leases: map[catalog.Epoch]catalog.Instant{}, grants: map[catalog.InstanceID][]fakeGrant{}, lease: true,
		probes: map[catalog.InstanceID]int{}, verified: map[catalog.RequestID]int{},
		peers: map[catalog.VMID]*fakePeer{},
	}
}

func (w *fakeWorld) after(d time.Duration, in func() Input) {
	w.number++
	w.queue = append(w.queue, fakeEvent{at: w.now.Add(d), number: w.number, input: in})
	sort.SliceStable(w.queue, func(a, b int) bool { return w.queue[a].at < w.queue[b].at })
}

func (w *fakeWorld) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		v := w.queue[0]
		w.queue = w.queue[1:]
		w.now = v.at
		if in := v.input(); in != nil {
			w.step(in)
		}
	}
	w.now = end
}

func (w *fakeWorld) step(in Input) {
	for _, x := range w.entry.Step(Event{Now: w.now, Input: in}) {
		text, err := json.Marshal(x)
		if err != nil {
			w.addViolation("%v", err)
		}
		w.trace = append(w.trace, fmt.Sprintf("%d %T %s", w.now, x, text))
		w.effect(x)
	}
	w.checkConns()
}

func (w *fakeWorld) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}

func (w *fakeWorld) effect(x Effect) {
	switch v := x.(type) {
	case SetTimer:
		w.after(v.At.Sub(w.now), func() Input { return TimerFired{} })
	case OpenConn:
		u := w.upstreams[v.Instance]
		c := &fakeConn{at: u}
		w.conns[v.Conn] = c
		w.after(10*time.Millisecond, func() Input {
			if w.conns[v.Conn] != c {
				return nil
			}
			if u.down {
				return w.loseConn(v.Conn, wire.EvidenceRefused)
			}
			c.opened = true
			return ConnOpened{Conn: v.Conn}
		})
	case CloseConn:
		w.after(0, func() Input { return w.loseConn(v.Conn, wire.EvidenceNone) })
	case Probe:
		w.probe(v)
	case RunRequest:
		w.run(v)
	case AnswerRequest:
		w.answer(v)
	case SendMessage:
		w.send(v)
	case Stopped:
		w.stopped = true
	}
}

func (w *fakeWorld) probe(v Probe) {
	c, sent := w.conns[v.Conn], w.now
	if c == nil || !c.opened || c.running != 0 {
		w.addViolation("probe on connection %d that is not idle", v.Conn)
		return
	}
	w.probes[c.at.Instance]++
	role, at := c.at.Role, c.at.Position
	if c.at.frozen {
		w.after(v.Deadline.Sub(w.now), func() Input {
			return ProbeDone{Conn: v.Conn, SentAt: sent, Evidence: wire.EvidenceTimeout}
		})
		return
	}
	w.after(time.Millisecond, func() Input {
		if w.conns[v.Conn] != c {
			return nil
		}
		return ProbeDone{
			Conn: v.Conn, SentAt: sent, Evidence: wire.EvidenceAlive,
			Role: role, Position: at,
		}
	})
}

func (w *fakeWorld) run(v RunRequest) {
	c, q := w.conns[v.Conn], w.requests[v.Request]
	if c == nil || !c.opened || c.running != 0 {
		w.addViolation("request %d on connection %d that is not free", v.Request, v.Conn)
		return
	}
	if q.Kind != KindInTransaction {
		c.epoch = w.entry.services[q.Service].primary.Epoch
	}
	c.running = v.Request
	if v.Verify {
		w.verified[v.Request]++
	}
	w.ran[v.Request] = string(c.at.Instance)
	w.began[v.Request] = c.epoch
	if c.at.held || c.at.frozen {
		return
	}
	asked := w.now
	w.after(2*time.Millisecond+c.at.pause, func() Input {
		if w.conns[v.Conn] != c || c.running != v.Request {
			return nil
		}
		d := RequestDone{Reusable: true, Position: c.at.Position, PositionQueriedAt: asked}
		if v.Verify && !v.Forks.Covers(c.at.Position, v.Floor) {
			d.Outcome = OutcomeBehind
		} else if q.Kind == KindRead && w.onRead != nil {
			w.onRead(q, c.at.Position)
		}
		return w.requestDone(c, v.Conn, v.Request, d)
	})
}
