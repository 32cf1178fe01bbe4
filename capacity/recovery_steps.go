package capacity

import (
	"strings"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

func (w *recoverySim) feed(v *modelVM, in node.Input) {
	if v.isDown {
		return
	}
	if node.IsUrgent(in) {
		v.urgent = append(v.urgent, in)
	} else if key, ok := node.KeyOf(in); !ok {
		v.inputs = append(v.inputs, in)
	} else if earlier, ok := v.waiting[key]; !ok {
		v.inputs = append(v.inputs, key)
		v.waiting[key] = in
	} else if node.Supersedes(in, earlier) {
		v.waiting[key] = in
	}
	if !v.isActive {
		v.isActive = true
		w.work(v)
	}
}

// work handles the next input of a process and continues with the one after it
// once the processor is free.
func (w *recoverySim) work(v *modelVM) {
	var in node.Input
	switch {
	case len(v.urgent) > 0:
		in, v.urgent = v.urgent[0], v.urgent[1:]
	case v.timerAt != 0 && !w.now.Before(v.timerAt):
		in, v.timerAt = node.TimerFired{}, 0
	case len(v.inputs) > 0:
		in, v.inputs = v.inputs[0], v.inputs[1:]
		if key, ok := in.(node.InputKey); ok {
			in = v.waiting[key]
			delete(v.waiting, key)
		}
	default:
		v.isActive = false
		return
	}
	used := entryInputTime
	if v.isControl {
		used = controlInputTime
	}
	for _, x := range w.step(v, in) {
		if m, ok := x.(node.SendMessage); ok && v.isControl {
			used += controlMessageTime
			w.recordAnswer(v, m)
		}
		w.execute(v, x, used)
	}
	w.later(v, used, func() { w.work(v) })
}

func (w *recoverySim) step(v *modelVM, in node.Input) []node.Effect {
	e := node.Event{Now: w.now, Input: in}
	if w.meter == nil {
		return v.step(e)
	}
	started := time.Now()
	effects := v.step(e)
	w.meter.recordStep(w, v, time.Since(started))
	return effects
}

// later schedules a callback of a process. It is dropped if the process ends
// before it is due.
func (w *recoverySim) later(v *modelVM, d time.Duration, do func()) {
	run := v.run
	w.schedule(d, func() {
		if v.run == run && !v.isDown {
			do()
		}
	})
}

// execute carries out an effect that the process reaches after the given
// processor time.
func (w *recoverySim) execute(v *modelVM, x node.Effect, used time.Duration) {
	if w.meter != nil {
		w.meter.record(w, v, x)
	}
	switch e := x.(type) {
	case node.SetTimer:
		v.timerAt = e.At
		w.later(v, max(e.At.Sub(w.now), 0), func() {
			if v.timerAt == e.At && !v.isActive {
				v.isActive = true
				w.work(v)
			}
		})
	case node.SendMessage:
		delay := used + networkLatency
		if w.meter != nil {
			delay += w.meter.delay(w, v, e)
		}
		w.schedule(delay, func() { w.deliver(v, e) })
	case node.Persist:
		w.later(v, used+modelSyncTime, func() { w.feed(v, node.Persisted{Token: e.Token}) })
	case node.OpenConn:
		if v.primaryConns == nil {
			v.primaryConns = map[catalog.ConnID]bool{}
		}
		v.primaryConns[e.Conn] = strings.HasSuffix(string(e.Instance), primarySuffix)
		w.later(v, connectTime, func() { w.feed(v, node.ConnOpened{Conn: e.Conn}) })
	case node.CloseConn:
		delete(v.primaryConns, e.Conn)
		w.later(v, networkLatency, func() { w.feed(v, node.ConnLost{Conn: e.Conn}) })
	case node.Survey:
		w.later(v, connectTime, func() {
			role := catalog.RoleReplica
			if w.meter != nil {
				role = roleOfInstance(e.Instance)
			}
			w.feed(v, node.SurveyDone{Survey: e.Survey, Instance: e.Instance, Evidence: wire.EvidenceAlive, Role: role})
		})
	}
}

func (w *recoverySim) deliver(from *modelVM, m node.SendMessage) {
	to := w.vms[m.To]
	if to == nil || to.isDown {
		return
	}
	if a := m.Message.Answer; a != nil && !a.Refused && a.Version != 0 {
		to.leasedAt = w.now
	}
	w.feed(to, node.MessageReceived{From: from.id, Message: m.Message})
}

// recordAnswer counts a message of control, and the leaders by the answers that
// they give.
func (w *recoverySim) recordAnswer(from *modelVM, m node.SendMessage) {
	if w.isOutage {
		w.result.Messages++
	}
	if a := m.Message.Answer; a != nil && !a.Refused && from.id != w.leader {
		w.leader = from.id
		if w.isOutage {
			w.result.Leaders++
		}
	}
}
