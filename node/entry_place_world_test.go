package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	placeOpening = 12 * time.Millisecond
	placeStep    = 2 * time.Millisecond
)

// placeWorld runs an owner of a service against upstreams with slots, where opening
// a connection occupies a slot like a statement. It checks each effect.
type placeWorld struct {
	entry      *Entry
	now        catalog.Instant
	answer     wire.Answer
	primary    catalog.Primary
	granted    int
	slots      map[catalog.InstanceID]int
	work       time.Duration
	conns      map[catalog.ConnID]*placeConn
	jobs       []placeJob
	requests   map[catalog.RequestID]RequestArrived
	startedAt  map[catalog.RequestID]catalog.Instant
	answers    map[catalog.RequestID]Verdict
	opens      int
	violations []string
	inputs     []Input
	// doneAt is when each request was answered.
	doneAt map[catalog.RequestID]catalog.Instant
	// grantFor, if set, replaces granted. demands are those reported last.
	grantFor func(wire.Demand) int
	demands  []wire.Demand
	sequence uint64
}

type placeConn struct {
	instance      catalog.InstanceID
	organisation  catalog.OrganisationID
	opened, close bool
	running       catalog.RequestID
}

// placeJob occupies a slot of an upstream until end, which is zero while it waits
// for one.
type placeJob struct {
	at   catalog.InstanceID
	conn catalog.ConnID
	in   Input
	work time.Duration
	end  catalog.Instant
}

// newPlaceWorld returns a world whose upstreams have the given number of slots and
// whose control grants the given number of connections to each.
func newPlaceWorld(slots, granted int, work time.Duration) *placeWorld {
	l := newListedEntry()
	w := &placeWorld{
		entry: l.entry, now: l.now, answer: l.answer, primary: l.primary, granted: granted, work: work,
		slots: map[catalog.InstanceID]int{}, conns: map[catalog.ConnID]*placeConn{}, requests: map[catalog.RequestID]RequestArrived{},
		doneAt: map[catalog.RequestID]catalog.Instant{}, startedAt: map[catalog.RequestID]catalog.Instant{}, answers: map[catalog.RequestID]Verdict{},
	}
	for conn, id := range l.conns {
		if l.entry.conns[conn] != nil {
			w.conns[conn] = &placeConn{instance: id, opened: true}
		}
	}
	for n := range w.answer.Upstreams {
		w.answer.Upstreams[n].Slots, w.answer.Upstreams[n].Sequence = slots, 2
		w.slots[w.answer.Upstreams[n].Instance] = slots
	}
	w.answer.UpstreamsMark.Revision++
	w.advance(time.Second)
	return w
}

func (w *placeWorld) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(placeStep)
		w.runJobs()
		w.step(TimerFired{})
	}
}

// runJobs ends the jobs that are due and starts others in their slots.
func (w *placeWorld) runJobs() {
	var kept []placeJob
	busy := map[catalog.InstanceID]int{}
	for _, j := range w.jobs {
		switch {
		case j.end != 0 && !j.end.After(w.now):
			w.inputs = append(w.inputs, j.in)
			continue
		case j.end == 0 && busy[j.at] < w.slots[j.at]:
			j.end = w.now.Add(j.work)
		}
		if j.end != 0 {
			busy[j.at]++
		}
		kept = append(kept, j)
	}
	w.jobs = kept
	w.drainInputs()
}

func (w *placeWorld) drainInputs() {
	for len(w.inputs) > 0 {
		in := w.inputs[0]
		w.inputs = w.inputs[1:]
		w.step(in)
	}
}

func (w *placeWorld) step(in Input) {
	switch v := in.(type) {
	case ConnOpened:
		if c := w.conns[v.Conn]; c == nil || c.close {
			return
		}
		w.conns[v.Conn].opened = true
	case RequestDone:
		if c := w.conns[v.Conn]; c == nil || c.running != v.Request {
			return
		}
		w.conns[v.Conn].running = 0
	}
	for _, x := range w.entry.Step(Event{Now: w.now, Input: in}) {
		w.effect(x)
	}
	w.checkPlaces()
}

func (w *placeWorld) effect(x Effect) {
	switch v := x.(type) {
	case OpenConn:
		w.opens++
		w.conns[v.Conn] = &placeConn{instance: v.Instance, organisation: v.Organisation}
		w.jobs = append(w.jobs, placeJob{at: v.Instance, conn: v.Conn, in: ConnOpened{Conn: v.Conn}, work: placeOpening})
	case CloseConn:
		if c := w.conns[v.Conn]; c != nil && !c.close {
			w.lose(v.Conn, wire.EvidenceNone)
		}
	case Probe:
		role := catalog.RoleReplica
		if w.conns[v.Conn].instance == w.primary.Instance {
			role = catalog.RolePrimary
		}
		w.inputs = append(w.inputs, ProbeDone{Conn: v.Conn, SentAt: w.now, Evidence: wire.EvidenceAlive, Role: role, Position: catalog.Position{Term: 1, Offset: 5}})
	case RunRequest:
		w.run(v)
	case AnswerRequest:
		if _, twice := w.answers[v.Request]; twice {
			w.violations = append(w.violations, fmt.Sprintf("request %d was answered twice", v.Request))
		}
		w.answers[v.Request], w.doneAt[v.Request] = v.Verdict, w.now
	case SendMessage:
		w.report(v)
	}
}

func (w *placeWorld) run(v RunRequest) {
	c, r := w.conns[v.Conn], w.requests[v.Request]
	if c == nil || !c.opened || c.close || c.running != 0 || c.organisation != r.Organisation {
		w.violations = append(w.violations, fmt.Sprintf("request %d of %q runs on %+v", v.Request, r.Organisation, c))
		return
	}
	c.running = v.Request
	w.startedAt[v.Request] = w.now
	done := RequestDone{
		Request: v.Request, Conn: v.Conn, Outcome: OutcomeCompleted, Position: catalog.Position{Term: 1, Offset: 6},
		PositionQueriedAt: w.now, Reusable: r.Kind != KindBegin, InTransaction: r.Kind == KindBegin,
	}
	w.jobs = append(w.jobs, placeJob{at: c.instance, conn: v.Conn, in: done, work: w.work})
}

// lose ends a connection and the request on it.
func (w *placeWorld) lose(id catalog.ConnID, evidence wire.Evidence) {
	c := w.conns[id]
	c.close = true
	w.jobs = slices.DeleteFunc(w.jobs, func(j placeJob) bool { return j.conn == id })
	if c.running != 0 {
		w.inputs = append(w.inputs, RequestDone{Request: c.running, Conn: id, Outcome: OutcomeLost})
	}
	w.inputs = append(w.inputs, ConnLost{Conn: id, Evidence: evidence})
}

// cut ends a connection that is not closed yet and tells the entry.
func (w *placeWorld) cut(id catalog.ConnID, evidence wire.Evidence) {
	if !w.conns[id].close {
		w.lose(id, evidence)
	}
	w.drainInputs()
}

func (w *placeWorld) report(v SendMessage) {
	r := v.Message.Report
	if r == nil {
		return
	}
	a := w.answer
	a.Sequence = r.Sequence
	a.Leases = []wire.Lease{{Primary: w.primary, Length: 2 * time.Second}}
	if !r.DemandsUnchanged {
		w.demands = r.Demands
	}
	w.sequence = r.Sequence
	for _, demand := range w.demands {
		n := min(w.granted, max(demand.Desired, 1))
		if w.grantFor != nil {
			n = w.grantFor(demand)
		}
		a.Grants = append(a.Grants, wire.Grant{Service: "orders", Instance: demand.Instance, Connections: n, Length: 10 * time.Second})
	}
	w.inputs = append(w.inputs, MessageReceived{From: v.To, Message: wire.Message{Answer: &a}})
}

// pushGrant delivers a grant to the primary as a further answer to the last report.
func (w *placeWorld) pushGrant(n int) {
	a := wire.Answer{Leader: "c1", Version: w.answer.Version, Sequence: w.sequence, UpstreamsMark: w.answer.UpstreamsMark}
	a.Grants = []wire.Grant{{Service: "orders", Instance: "a", Connections: n, Length: 10 * time.Second}}
	w.inputs = append(w.inputs, MessageReceived{From: "c1", Message: wire.Message{Answer: &a}})
}

// checkPlaces compares the open connections with the grants.
func (w *placeWorld) checkPlaces() {
	for _, i := range w.entry.services["orders"].instances {
		if n, most := i.openCount(), max(i.hardConnLimit(), connLimit(i, w.now)); n > most {
			w.violations = append(w.violations, fmt.Sprintf("%s: %d connections are open, %d allowed", i.id, n, most))
		}
	}
}

// submit delivers a request with a new id, which it returns.
func (w *placeWorld) submit(r RequestArrived, objective, timeout time.Duration) catalog.RequestID {
	r.Request, r.Service, r.Database = catalog.RequestID(len(w.requests)+1000), "orders", "shop"
	r.Objective, r.Deadline = objective, w.now.Add(timeout)
	w.requests[r.Request] = r
	w.step(r)
	w.drainInputs()
	return r.Request
}

// openConns returns the ids of the connections that are not closed, in order.
func (w *placeWorld) openConns() []catalog.ConnID {
	var out []catalog.ConnID
	for id, c := range w.conns {
		if !c.close {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b catalog.ConnID) int { return cmp.Compare(a, b) })
	return out
}
