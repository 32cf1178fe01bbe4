package capacity

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// replays is how often a recording is timed; the quickest counts.
const replays = 3

// effect plays the shell.
func (r *entryRun) effect(x node.Effect) {
	switch v := x.(type) {
	case node.SetTimer:
		r.setTimer(v.At)
	case node.SendMessage:
		r.send(v.Message)
	case node.OpenConn:
		r.conns[v.Conn] = v.Instance
		r.stepAfter(connectTime+r.spread(int(v.Conn), way), node.ConnOpened{Conn: v.Conn})
	case node.CloseConn:
		r.stepAfter(0, node.ConnLost{Conn: v.Conn})
	case node.Probe:
		r.probe(v)
	case node.RunRequest:
		r.runRequest(v)
	case node.AnswerRequest:
		delete(r.kinds, v.Request)
		if v.Verdict != node.VerdictDone {
			r.traffic.refused++
		} else if r.warm {
			r.traffic.done++
		}
	}
}

func (r *entryRun) setTimer(at catalog.Instant) {
	r.timer++
	number := r.timer
	r.after(at.Sub(r.now), func() {
		if r.timer == number {
			r.step(node.TimerFired{})
		}
	})
}

func (r *entryRun) send(m wire.Message) {
	out, size := r.pass(m)
	switch {
	case m.Report != nil:
		if r.warm {
			r.traffic.reports++
			r.traffic.reportBytes += size
		}
		r.after(way, func() { r.answer(*out.Report) })
	case m.Announcement != nil && r.warm:
		r.traffic.announcements++
		r.traffic.announcementBytes += size
	}
}

// answer plays control. The primaries stand in the entry's own site.
func (r *entryRun) answer(m wire.Report) {
	length := catalog.DefaultTimings().LeaseLength
	a := &wire.Answer{Leader: controlVM, Sequence: m.Sequence, Version: 1}
	for n := range m.Services {
		a.Leases = append(a.Leases, wire.Lease{Primary: primaryOf(n), Length: length})
	}
	for _, w := range m.Demands {
		n := w.Desired
		if r.roles[w.Instance] == catalog.RolePrimary {
			n -= localShare
		}
		a.Grants = append(a.Grants, wire.Grant{
			Service: w.Service, Instance: w.Instance, Connections: min(max(n, 0), connections), Length: length,
		})
	}
	out, size := r.pass(wire.Message{Answer: a})
	if r.warm {
		r.traffic.answerBytes += size
	}
	r.stepAfter(way, node.MessageReceived{From: controlVM, Message: out})
}

func (r *entryRun) position() catalog.Position {
	return catalog.Position{Term: term, Offset: firstOffset + catalog.Offset(r.now/catalog.Instant(time.Millisecond))}
}

func (r *entryRun) probe(v node.Probe) {
	if r.warm {
		r.traffic.probes++
	}
	sent := r.now
	r.after(way+r.spread(int(v.Conn), way), func() {
		r.step(node.ProbeDone{
			Conn: v.Conn, SentAt: sent, Evidence: wire.EvidenceAlive,
			Role: r.roles[r.conns[v.Conn]], Position: r.position(),
		})
	})
}

func (r *entryRun) runRequest(v node.RunRequest) {
	sent := r.now
	d := node.RequestDone{Request: v.Request, Conn: v.Conn, Reusable: true, PositionQueriedAt: sent}
	if r.kinds[v.Request] == node.KindBegin {
		d.InTransaction, d.Reusable = true, false
		r.traffic.held++
	}
	r.after(statementTime+r.spread(int(v.Request), statementTime), func() {
		if v.QueryPosition {
			d.Position = r.position()
		}
		r.step(d)
	})
}

// replay gives a fresh entry the recording and returns the processor time of
// the measured span.
func (r *entryRun) replay() time.Duration {
	best := time.Duration(0)
	for n := range replays {
		e := newEntry(r.load)
		for _, v := range r.events[:r.measured] {
			e.Step(v)
		}
		used := timed(func() {
			for _, v := range r.events[r.measured:] {
				e.Step(v)
			}
		})
		if n == 0 || used < best {
			best = used
		}
	}
	return best
}

// heap returns what the entry alone holds. The run is over then.
func (r *entryRun) heap() float64 {
	r.events, r.due = nil, nil
	h := heapOf(func() { r.entry = nil })
	r.conns = nil
	return h
}
