package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// answer checks that a request is answered once and that no write is
// acknowledged without a lease of the epoch in which it ran.
func (w *fakeWorld) answer(v AnswerRequest) {
	if _, twice := w.answers[v.Request]; twice {
		w.addViolation("request %d was answered twice", v.Request)
	}
	w.answers[v.Request] = v
	q, known := w.requests[v.Request]
	if !known {
		w.addViolation("request %d was answered but never submitted", v.Request)
	}
	if v.Verdict == VerdictNotRun && w.ran[v.Request] != "" && q.Kind == KindWrite && !w.isProvenNotRun(v.Request) {
		w.addViolation("write %d ran and was refused as not run", v.Request)
	}
	if v.Verdict != VerdictDone || q.Kind != KindWrite {
		return
	}
	epoch := w.began[v.Request]
	if epoch <= w.fenced || !w.now.Before(w.leases[epoch]) {
		w.addViolation("write %d was acknowledged without a lease of epoch %d", v.Request, epoch)
	}
}

func (w *fakeWorld) isProvenNotRun(r catalog.RequestID) bool {
	return w.ran[r] == "refused"
}

// send simulates the receivers: control and the other entries.
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
	case m.SettingsRequest != nil:
		w.answerAsPeer(v)
	}
}

func (w *fakeWorld) report(m wire.Report) {
	sent := w.now
	w.spentEpoch = 0
	for _, x := range m.SpentEpochs {
		w.spentEpoch = x.Epoch
	}
	for _, x := range m.Demands {
		if x.Held > w.heldConns(x.Instance) {
			w.addViolation("%s: reported %d held, %d are open", x.Instance, x.Held, w.heldConns(x.Instance))
		}
	}
	if w.controlSilent {
		return
	}
	w.after(time.Millisecond, func() Input {
		a := w.settings
		a.Leader, a.Sequence = "control", m.Sequence
		w.grantLease(&a, m, sent)
		for _, id := range w.instanceIDs() {
			u := w.upstreams[id]
			a.Grants = append(a.Grants, wire.Grant{
				Service: u.Service, Instance: id, Connections: u.grant, Length: w.timings.LeaseLength,
			})
			w.grants[id] = append(w.grants[id], fakeGrant{u.grant, sent.Add(w.timings.LeaseLength - w.timings.MaxDrift)})
		}
		w.after(time.Millisecond, func() Input {
			return MessageReceived{From: "control", Message: wire.Message{Answer: &a}}
		})
		return nil
	})
}

func (w *fakeWorld) grantLease(a *wire.Answer, m wire.Report, sent catalog.Instant) {
	if w.primary.Epoch == 0 {
		return
	}
	l := wire.Lease{Primary: w.primary}
	if w.lease && !m.Leaving && w.primary.Ready {
		l.Length = w.timings.LeaseLength
		w.leases[w.primary.Epoch] = sent.Add(w.timings.LeaseLength - w.timings.MaxDrift)
	}
	a.Leases = []wire.Lease{l}
}

func (w *fakeWorld) instanceIDs() []catalog.InstanceID {
	var out []catalog.InstanceID
	for _, n := range []catalog.InstanceID{"a", "b", "c"} {
		if w.upstreams[n] != nil {
			out = append(out, n)
		}
	}
	return out
}

func (w *fakeWorld) heldConns(id catalog.InstanceID) int {
	n := 0
	for _, c := range w.conns {
		if c.at.Instance == id {
			n++
		}
	}
	return n
}

// checkConns compares the connections that are open and not being closed with
// the largest grant that control still counts, plus the local share.
func (w *fakeWorld) checkConns() {
	for _, id := range w.instanceIDs() {
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
		if n := s.instance(id); n != nil && n.openCount() > most {
			w.addViolation("%s: %d connections are open, %d allowed", id, n.openCount(), most)
		}
	}
}

// announce makes the upstream announce itself every half second.
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

func (w *fakeWorld) submit(q RequestArrived) {
	w.requests[q.Request] = q
	w.step(q)
}

func (w *fakeWorld) loseConn(id catalog.ConnID, evidence wire.Evidence) Input {
	c := w.conns[id]
	if c == nil {
		return nil
	}
	delete(w.conns, id)
	if c.running != 0 {
		w.after(0, func() Input { return w.requestDone(c, id, c.running, RequestDone{Outcome: OutcomeLost}) })
	}
	return ConnLost{Conn: id, Evidence: evidence}
}

func (w *fakeWorld) requestDone(c *fakeConn, id catalog.ConnID, r catalog.RequestID, d RequestDone) Input {
	c.running = 0
	d.Request, d.Conn = r, id
	q := w.requests[r]
	if d.Outcome == OutcomeCompleted && (q.Kind == KindBegin || q.Kind == KindBeginRead) {
		d.InTransaction, d.Reusable = true, false
	}
	return d
}
