package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// answer checks that a request is answered once and that no write is
// acknowledged without a lease of the epoch it ran in.
func (w *fakeWorld) answer(v AnswerRequest) {
	if _, twice := w.answers[v.Request]; twice {
		w.fault("request %d was answered twice", v.Request)
	}
	w.answers[v.Request] = v
	q, known := w.requests[v.Request]
	if !known {
		w.fault("request %d is unknown", v.Request)
	}
	if v.Verdict == VerdictNotRun && w.ran[v.Request] != "" && q.Kind == KindWrite && !w.provedNotRun(v.Request) {
		w.fault("write %d ran and was refused as not run", v.Request)
	}
	if v.Verdict != VerdictDone || q.Kind != KindWrite {
		return
	}
	epoch := w.began[v.Request]
	if epoch <= w.fenced || !w.now.Before(w.leases[epoch]) {
		w.fault("write %d was acknowledged without a lease of epoch %d", v.Request, epoch)
	}
}

func (w *fakeWorld) provedNotRun(r catalog.RequestID) bool {
	return w.ran[r] == "refused"
}

// send plays control and the other entries.
func (w *fakeWorld) send(v SendMessage) {
	m := v.Message
	switch {
	case m.FenceAck != nil:
		w.sent = append(w.sent, "fenced")
		w.fenced = max(w.fenced, m.FenceAck.Epoch)
	case m.Announcement != nil:
		w.sent = append(w.sent, "announcement")
	case m.Report != nil:
		w.report(*m.Report)
	case m.SettingsAsk != nil:
		w.askPeer(v)
	}
}

func (w *fakeWorld) report(m wire.Report) {
	sent := w.now
	for _, x := range m.Demands {
		if x.Held > w.held(x.Instance) {
			w.fault("%s: reported %d held, %d are open", x.Instance, x.Held, w.held(x.Instance))
		}
	}
	if w.deaf {
		return
	}
	w.after(time.Millisecond, func() Input {
		a := w.settings
		a.Leader, a.Sequence = "control", m.Sequence
		w.giveLease(&a, m, sent)
		for _, id := range w.names() {
			u := w.upstreams[id]
			a.Grants = append(a.Grants, wire.Grant{
				Service: u.Service, Instance: id, Connections: u.grant, Length: w.timings.LeaseLength,
			})
			w.grants[id] = append(w.grants[id], fakeGrant{u.grant, sent.Add(w.timings.LeaseLength - w.timings.Drift)})
		}
		w.after(time.Millisecond, func() Input {
			return MessageReceived{From: "control", Message: wire.Message{Answer: &a}}
		})
		return nil
	})
}

func (w *fakeWorld) giveLease(a *wire.Answer, m wire.Report, sent catalog.Instant) {
	if w.primary.Epoch == 0 {
		return
	}
	l := wire.Lease{Primary: w.primary}
	if w.lease && !m.Leaving && w.primary.Ready {
		l.Length = w.timings.LeaseLength
		w.leases[w.primary.Epoch] = sent.Add(w.timings.LeaseLength - w.timings.Drift)
	}
	a.Leases = []wire.Lease{l}
}

func (w *fakeWorld) names() []catalog.InstanceID {
	var out []catalog.InstanceID
	for _, n := range []catalog.InstanceID{"a", "b", "c"} {
		if w.upstreams[n] != nil {
			out = append(out, n)
		}
	}
	return out
}

func (w *fakeWorld) held(id catalog.InstanceID) int {
	n := 0
	for _, c := range w.conns {
		if c.at.Instance == id {
			n++
		}
	}
	return n
}

// checkConns compares what is open and was not told to close with the highest
// grant that control still counts, plus the standing share.
func (w *fakeWorld) checkConns() {
	for _, id := range w.names() {
		most := 0
		for _, g := range w.grants[id] {
			if w.now.Before(g.until) {
				most = max(most, g.connections)
			}
		}
		s := w.entry.services["orders"]
		if s == nil {
			continue
		}
		if w.upstreams[id].Site == "x" {
			most += s.settings.Limits.LocalShare
		}
		if n := s.instance(id); n != nil && n.open() > most {
			w.fault("%s: %d connections are open, %d allowed", id, n.open(), most)
		}
	}
}

// announce lets the upstreams announce themselves every half second.
func (w *fakeWorld) announce(u *fakeUpstream) {
	w.after(500*time.Millisecond, func() Input {
		w.announce(u)
		if u.silent {
			return nil
		}
		u.Sequence++
		return AnnouncementReceived{Announcement: u.Announcement}
	})
}

func (w *fakeWorld) arrive(q RequestArrived) {
	w.requests[q.Request] = q
	w.step(q)
}

func (w *fakeWorld) lose(id catalog.ConnID, evidence wire.Evidence) Input {
	c := w.conns[id]
	if c == nil {
		return nil
	}
	delete(w.conns, id)
	if c.running != 0 {
		w.after(0, func() Input { return w.done(c, id, c.running, RequestDone{Outcome: OutcomeLost}) })
	}
	return ConnLost{Conn: id, Evidence: evidence}
}

func (w *fakeWorld) done(c *fakeConn, id catalog.ConnID, r catalog.RequestID, d RequestDone) Input {
	c.running = 0
	d.Request, d.Conn = r, id
	q := w.requests[r]
	if d.Outcome == OutcomeCompleted && (q.Kind == KindBegin || q.Kind == KindBeginRead) {
		d.InTransaction, d.Reusable = true, false
	}
	return d
}
