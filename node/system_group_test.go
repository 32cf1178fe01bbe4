package node_test

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

type (
	// record is one committed write with the term of the primary that ran it.
	record struct {
		key   string
		value int
		term  catalog.Term
	}
	// instance is one upstream of the group.
	instance struct {
		id   catalog.InstanceID
		site catalog.SiteID
		role catalog.Role
		term catalog.Term
		// log is what reads see. received is what a promotion applies.
		log       []record
		received  []record
		following catalog.InstanceID
		// rewinds counts the truncations of the log by follow.
		rewinds int
		// pullInterval is the time between two fetches of the log, applyLag the
		// delay until fetched records are visible.
		pullInterval, applyLag time.Duration
		dead                   bool
		frozenUntil            catalog.Instant
		incarnation            uint64
		sequence               uint64
		leaving                bool
		// isSilent is set while the instance sends no announcements.
		isSilent bool
		// isDeaf is set while the instance receives nothing from the primary.
		isDeaf bool
		// address is where the instance accepts connections. Another instance may
		// take it over.
		address string
		// promotedAt is when the instance last became the primary.
		promotedAt   catalog.Instant
		openConns    int
		maxOpenConns int
	}
	connKey struct {
		vm          catalog.VMID
		incarnation int
		id          catalog.ConnID
	}
	// conn is a connection of an entry to an upstream.
	conn struct {
		instance    *instance
		incarnation uint64
		opened      bool
		// established is set once the entry knows that the connection is open.
		established bool
		closed      bool
		// request is the request that runs on the connection, zero if none.
		request catalog.RequestID
		// inTransaction is set while a transaction with pendingWrites is open.
		inTransaction bool
		pendingWrites []record
	}
	// operation is a request of a caller.
	operation struct {
		id        catalog.RequestID
		session   int
		key       string
		value     int
		isWrite   bool
		startedAt catalog.Instant
		entry     *process
		result    int
		// minValue is the oldest value that a read may return.
		minValue int
		ranAt    []catalog.InstanceID
		verdict  node.Verdict
		answered bool
		endedAt  catalog.Instant
		// isSecondConn is set for reads over a second connection of the
		// session.
		isSecondConn bool
		// step is the part in a transaction, stepNone outside of one. conn is
		// the connection that it ran on, onAnswer handles the answer.
		step     transactionStep
		conn     catalog.ConnID
		onAnswer func(node.Verdict)
	}
)

var operations = map[*simulation]map[catalog.RequestID]*operation{}

func (w *simulation) newGroup() {
	for n, id := range w.instances {
		u := &instance{
			id: id, site: sites[n%len(sites)], address: string(id) + ":1", role: catalog.RoleReplica, term: 1, following: "a", incarnation: 1,
			pullInterval: time.Duration(3+w.rng.IntN(40)) * ms, applyLag: time.Duration(w.rng.IntN(60)) * ms,
		}
		w.group[id] = u
		if !w.isListed {
			w.announce(u)
		}
		w.replicate(u)
	}
	w.group["a"].role, w.group["a"].following = catalog.RolePrimary, ""
}

func (w *simulation) ids() []catalog.InstanceID { return w.instances }

func (u *instance) position() catalog.Position {
	return catalog.Position{Term: u.term, Offset: catalog.Offset(len(u.log))}
}

// announce sends announcements to the entries that the upstream can reach.
func (w *simulation) announce(u *instance) {
	w.schedule(250*ms, func() { w.announce(u) })
	if u.dead || u.isSilent || w.now < u.frozenUntil {
		return
	}
	u.sequence++
	a := catalog.Announcement{
		Service: "ledger", Instance: u.id, Address: string(u.id), Site: u.site, Role: u.role,
		Position: u.position(), Leaving: u.leaving, Incarnation: u.incarnation, Sequence: u.sequence,
	}
	for _, vm := range w.names('e') {
		if p := w.byName[vm]; !w.isCut(p.site, u.site) {
			w.deliver(p, p.incarnation, w.latency(p.site, u.site), node.AnnouncementReceived{Announcement: a})
		}
	}
}

// replicate fetches the missing records and applies them after applyLag.
func (w *simulation) replicate(u *instance) {
	w.schedule(u.pullInterval, func() { w.replicate(u) })
	if w.isListed {
		w.followNewest(u)
	}
	from := w.group[u.following]
	if from == nil || u.dead || u.isDeaf || from.dead || w.now < from.frozenUntil || w.now < u.frozenUntil || w.isCut(u.site, from.site) {
		return
	}
	if from.role != catalog.RolePrimary || from.term < u.term {
		return
	}
	// A log slice is never modified in place.
	log, term, incarnation, rewinds := from.log, from.term, u.incarnation, u.rewinds
	if !isPrefix(u.log, log) {
		return
	}
	u.received, u.term = log, term
	w.schedule(u.applyLag, func() {
		if u.incarnation == incarnation && u.rewinds == rewinds && u.role != catalog.RolePrimary && w.now >= u.frozenUntil && isPrefix(u.log, log) {
			u.log = log
		}
	})
}

func isPrefix(a, b []record) bool {
	return len(a) <= len(b) && slices.Equal(a, b[:len(a)])
}

// receivedOffset returns how much of the log the upstream has received.
func (u *instance) receivedOffset() catalog.Offset {
	return catalog.Offset(max(len(u.log), len(u.received)))
}

// sendToUpstream runs a function when a message arrives at an upstream, or when
// a frozen upstream resumes. A message between sites that are cut off is lost.
func (w *simulation) sendToUpstream(site catalog.SiteID, u *instance, do func()) {
	w.schedule(w.latency(site, u.site), func() {
		if w.isCut(site, u.site) {
			return
		}
		if w.now < u.frozenUntil {
			w.schedule(u.frozenUntil.Sub(w.now), do)
			return
		}
		do()
	})
}

// sendToProcess delivers an upstream's answer unless the sites are cut off.
func (w *simulation) sendToProcess(p *process, incarnation int, u *instance, in node.Input) {
	w.schedule(w.latency(p.site, u.site), func() {
		if !w.isCut(p.site, u.site) {
			w.handle(p, incarnation, in)
		}
	})
}

func (w *simulation) handleUpstreamEffect(p *process, e node.Effect) {
	switch v := e.(type) {
	case node.OpenConn:
		w.openConn(p, v)
	case node.CloseConn:
		w.loseConn(connKey{p.vm, p.incarnation, v.Conn}, p, wire.EvidenceNone)
	case node.Probe:
		w.probe(p, v)
	case node.RunRequest:
		w.runRequest(p, v)
	case node.Survey:
		w.survey(p, v)
	case node.Promote:
		w.promote(p, v)
	case node.Follow:
		w.follow(p, v)
	}
}

func (w *simulation) openConn(p *process, v node.OpenConn) {
	k, u, incarnation := connKey{p.vm, p.incarnation, v.Conn}, w.group[v.Instance], p.incarnation
	c := &conn{instance: u, incarnation: u.incarnation}
	w.conns[k] = c
	w.schedule(w.untilLocal(p, v.Deadline), func() {
		if !c.established {
			w.loseConn(k, p, wire.EvidenceTimeout)
		}
	})
	w.sendToUpstream(p.site, u, func() {
		switch {
		case c.closed:
		case u.dead:
			w.loseConn(k, p, wire.EvidenceRefused)
		case u.openConns >= w.limits.Connections-w.limits.Reserved:
			w.refusedConns++
			w.loseConn(k, p, wire.EvidenceNone)
		default:
			c.opened, c.incarnation = true, u.incarnation
			u.openConns++
			w.notifyBegin(p, u, 0)
			u.maxOpenConns = max(u.maxOpenConns, u.openConns)
			w.schedule(w.latency(p.site, u.site), func() {
				if !w.isCut(p.site, u.site) && !c.closed {
					c.established = true
					w.handle(p, incarnation, node.ConnOpened{Conn: v.Conn})
				}
			})
		}
	})
}

// loseConn closes a connection after ending the request that runs on it.
func (w *simulation) loseConn(k connKey, p *process, evidence wire.Evidence) {
	c := w.conns[k]
	if c == nil || c.closed {
		return
	}
	c.closed = true
	delete(w.conns, k)
	if c.opened && c.incarnation == c.instance.incarnation {
		c.instance.openConns--
	}
	if c.request != 0 {
		w.deliver(p, k.incarnation, 0, node.RequestDone{Request: c.request, Conn: k.id, Outcome: node.OutcomeLost})
	}
	w.deliver(p, k.incarnation, 0, node.ConnLost{Conn: k.id, Evidence: evidence})
}

func (w *simulation) probe(p *process, v node.Probe) {
	k, incarnation, sentAt := connKey{p.vm, p.incarnation, v.Conn}, p.incarnation, w.localTime(p)
	c := w.conns[k]
	if c == nil {
		return
	}
	done := false
	w.schedule(w.untilLocal(p, v.Deadline), func() {
		if !done {
			done = true
			w.handle(p, incarnation, node.ProbeDone{Conn: v.Conn, SentAt: sentAt, Evidence: wire.EvidenceTimeout})
		}
	})
	w.sendToUpstream(p.site, c.instance, func() {
		if c.closed || c.instance.dead || c.incarnation != c.instance.incarnation {
			return
		}
		answer := node.ProbeDone{Conn: v.Conn, SentAt: sentAt, Evidence: wire.EvidenceAlive, Role: c.instance.role, Position: c.instance.position(), Received: c.instance.receivedOffset()}
		w.schedule(w.latency(p.site, c.instance.site), func() {
			if !done && !c.closed && !w.isCut(p.site, c.instance.site) {
				done = true
				w.handle(p, incarnation, answer)
			}
		})
	})
}

func (w *simulation) runRequest(p *process, v node.RunRequest) {
	k, incarnation := connKey{p.vm, p.incarnation, v.Conn}, p.incarnation
	c, sentAt := w.conns[k], w.localTime(p)
	if c == nil {
		w.deliver(p, incarnation, 0, node.RequestDone{Request: v.Request, Conn: v.Conn, Outcome: node.OutcomeNotSent})
		return
	}
	c.request = v.Request
	op := operations[w][v.Request]
	op.conn = v.Conn
	w.schedule(op.startedAt.Add(opDeadline).Sub(w.now), func() {
		if c.request == v.Request {
			w.loseConn(k, p, wire.EvidenceTimeout)
		}
	})
	w.sendToUpstream(p.site, c.instance, func() {
		if c.closed || c.instance.dead || c.incarnation != c.instance.incarnation {
			return
		}
		done := node.RequestDone{Request: v.Request, Conn: v.Conn, Reusable: true}
		u := c.instance
		w.notifyBegin(p, u, v.Request)
		switch {
		case op.isWrite && u.role != catalog.RolePrimary:
			done.Outcome = node.OutcomeReadOnly
		case v.Verify && !v.Forks.Covers(u.position(), v.Floor):
			done.Outcome = node.OutcomeBehind
		default:
			w.execute(op, c)
			done.InTransaction = c.inTransaction
		}
		result := op.result
		if v.QueryPosition {
			done.Position, done.PositionQueriedAt = u.position(), sentAt
		}
		answer := func() {
			w.schedule(time.Duration(w.rng.IntN(2000))*time.Microsecond+w.latency(p.site, u.site), func() {
				if c.closed || w.isCut(p.site, u.site) {
					return
				}
				c.request, op.result = 0, result
				w.handle(p, incarnation, done)
			})
		}
		if op.isWrite && done.Outcome == node.OutcomeCompleted && w.syncReplicas > 0 {
			w.awaitReceived(u, u.log, answer)
			return
		}
		answer()
	})
}

// awaitReceived calls a function when enough replicas have received the log of a
// primary, unless the primary ends or is replaced before that.
func (w *simulation) awaitReceived(u *instance, log []record, then func()) {
	incarnation, received := u.incarnation, 0
	for _, id := range w.ids() {
		if x := w.group[id]; x != u && !x.dead && x.hasReceived(log) {
			received++
		}
	}
	if received >= w.syncReplicas {
		then()
		return
	}
	w.schedule(ms, func() {
		if !u.dead && u.incarnation == incarnation && u.role == catalog.RolePrimary {
			w.awaitReceived(u, log, then)
		}
	})
}

// hasReceived reports whether the upstream has received a whole log. The term of a
// record and its place determine all records before it.
func (u *instance) hasReceived(log []record) bool {
	received := u.receivedLog()
	return len(log) == 0 || len(received) >= len(log) && received[len(log)-1] == log[len(log)-1]
}

// receivedLog returns all that the upstream has received.
func (u *instance) receivedLog() []record {
	if len(u.received) > len(u.log) {
		return u.received
	}
	return u.log
}

func (w *simulation) notifyBegin(p *process, u *instance, id catalog.RequestID) {
	if w.onBegin != nil {
		w.onBegin(p, u, id)
	}
}

func (w *simulation) execute(op *operation, c *conn) {
	u := c.instance
	if op.step != stepNone {
		w.executeStep(op, c)
		return
	}
	if c.inTransaction {
		w.fail("request %d ran within the transaction of another caller", op.id)
	}
	op.ranAt = append(op.ranAt, u.id)
	if op.isWrite {
		u.log = append(slices.Clone(u.log), record{key: op.key, value: op.value, term: u.term})
		return
	}
	op.result = u.read(op.key)
}

func (u *instance) read(key string) int {
	for n := len(u.log) - 1; n >= 0; n-- {
		if u.log[n].key == key {
			return u.log[n].value
		}
	}
	return 0
}
