package capacity

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// replayRuns is how many times the recorded events are replayed. The lowest
// processor time counts.
const replayRuns = 3

// handleEffect carries out an effect in place of the shell.
func (r *entrySim) handleEffect(x node.Effect) {
	switch v := x.(type) {
	case node.SetTimer:
		r.setTimer(v.At)
	case node.SendMessage:
		r.handleMessage(v.Message)
	case node.OpenConn:
		r.instanceByConn[v.Conn] = v.Instance
		r.scheduleInput(connectDelay+r.staggeredDelay(int(v.Conn), networkDelay), node.ConnOpened{Conn: v.Conn})
	case node.CloseConn:
		r.scheduleInput(0, node.ConnLost{Conn: v.Conn})
	case node.Probe:
		r.answerProbe(v)
	case node.RunRequest:
		r.executeRequest(v)
	case node.AnswerRequest:
		delete(r.kindByRequest, v.Request)
		if v.Verdict != node.VerdictDone {
			r.traffic.refusedRequests++
		} else if r.isWarm {
			r.traffic.doneRequests++
		}
	}
}

func (r *entrySim) setTimer(at catalog.Instant) {
	r.timerGeneration++
	generation := r.timerGeneration
	r.schedule(at.Sub(r.now), func() {
		if r.timerGeneration == generation {
			r.step(node.TimerFired{})
		}
	})
}

func (r *entrySim) handleMessage(m wire.Message) {
	out, size := r.roundTrip(m)
	switch {
	case m.Report != nil:
		if r.isWarm {
			r.traffic.reports++
			r.traffic.reportBytes += size
		}
		r.schedule(networkDelay, func() { r.answerReport(*out.Report) })
	case m.Announcement != nil && r.isWarm:
		r.traffic.announcements++
		r.traffic.announcementBytes += size
	}
}

// answerReport replies to a report in place of control. The primaries are at the
// entry's own site, where the entry may hold localShare connections without a
// grant, so it is granted that many fewer connections to them than it desires.
func (r *entrySim) answerReport(m wire.Report) {
	length := catalog.DefaultTimings().LeaseLength
	a := &wire.Answer{Leader: controlVM, Sequence: m.Sequence, Version: 1}
	for n := range m.Services {
		a.Leases = append(a.Leases, wire.Lease{Primary: newPrimary(n), Length: length})
	}
	for _, w := range m.Demands {
		n := w.Desired
		if r.roleByInstance[w.Instance] == catalog.RolePrimary {
			n -= localShare
		}
		a.Grants = append(a.Grants, wire.Grant{
			Service: w.Service, Instance: w.Instance, Connections: min(max(n, 0), connectionLimit), Length: length,
		})
	}
	out, size := r.roundTrip(wire.Message{Answer: a})
	if r.isWarm {
		r.traffic.answerBytes += size
	}
	r.scheduleInput(networkDelay, node.MessageReceived{From: controlVM, Message: out})
}

func (r *entrySim) currentPosition() catalog.Position {
	return catalog.Position{Term: term, Offset: baseOffset + catalog.Offset(r.now/catalog.Instant(time.Millisecond))}
}

func (r *entrySim) answerProbe(v node.Probe) {
	if r.isWarm {
		r.traffic.probes++
	}
	sent := r.now
	r.schedule(networkDelay+r.staggeredDelay(int(v.Conn), networkDelay), func() {
		r.step(node.ProbeDone{
			Conn: v.Conn, SentAt: sent, Evidence: wire.EvidenceAlive,
			Role: r.roleByInstance[r.instanceByConn[v.Conn]], Position: r.currentPosition(),
		})
	})
}

func (r *entrySim) executeRequest(v node.RunRequest) {
	sent := r.now
	d := node.RequestDone{Request: v.Request, Conn: v.Conn, Reusable: true, PositionQueriedAt: sent}
	if r.kindByRequest[v.Request] == node.KindBegin {
		d.InTransaction, d.Reusable = true, false
		r.traffic.openTransactions++
	}
	r.schedule(statementDuration+r.staggeredDelay(int(v.Request), statementDuration), func() {
		if v.QueryPosition {
			d.Position = r.currentPosition()
		}
		r.step(d)
	})
}

// replay passes the recorded events to new entries, replayRuns times. It returns
// the lowest processor time that the events of the measured time took.
func (r *entrySim) replay() time.Duration {
	minCPU := time.Duration(0)
	for n := range replayRuns {
		e := newEntry(r.load)
		for _, v := range r.events[:r.measuredFrom] {
			e.Step(v)
		}
		cpu := cpuTimeOf(func() {
			for _, v := range r.events[r.measuredFrom:] {
				e.Step(v)
			}
		})
		if n == 0 || cpu < minCPU {
			minCPU = cpu
		}
	}
	return minCPU
}

// measureHeap returns the bytes of heap that the entry uses. It discards the entry,
// so the simulation can't continue.
func (r *entrySim) measureHeap() float64 {
	r.events, r.pending = nil, nil
	h := heapFreedBy(func() { r.entry = nil })
	r.instanceByConn = nil
	return h
}
