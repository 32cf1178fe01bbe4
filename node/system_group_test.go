package node_test

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

type (
	// record is one committed write: key and value, and who wrote it.
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
		// log is what it shows; received is what it has of the log, which a
		// promotion brings into force.
		log       []record
		received  []record
		following catalog.InstanceID
		// follows counts the cuts back to another's log.
		rewinds int
		// pull is the time between two pulls of the log, lag that until what
		// was pulled shows.
		pull, applyLag time.Duration
		dead           bool
		thawAt         catalog.Instant
		life           uint64
		sequence       uint64
		leaving        bool
		// quiet is set while it announces nothing.
		quiet bool
		// promotedAt is when it last became the primary.
		promotedAt   catalog.Instant
		openConns    int
		maxOpenConns int
	}
	connKey struct {
		vm   catalog.VMID
		life int
		id   catalog.ConnID
	}
	// conn is one connection of an entry to an upstream.
	conn struct {
		instance *instance
		life     uint64
		opened   bool
		closed   bool
		// request is what runs on it, zero if nothing.
		request catalog.RequestID
		// inside is set while a transaction is open, which did pending.
		inTransaction bool
		pendingWrites []record
	}
	// operation is what a caller asked for.
	operation struct {
		id        catalog.RequestID
		session   int
		key       string
		value     int
		isWrite   bool
		startedAt catalog.Instant
		entry     *process
		result    int
		// least is what a read must not be older than.
		minValue int
		ranAt    []catalog.InstanceID
		verdict  node.Verdict
		answered bool
		endedAt  catalog.Instant
		// second is set for reads over a second connection of the session.
		isSecondConn bool
		// step is the part of a transaction that it is, if it is one, and conn
		// the connection it ran on; then takes the answer.
		step     transactionStep
		conn     catalog.ConnID
		onAnswer func(node.Verdict)
	}
)

var operations = map[*simulation]map[catalog.RequestID]*operation{}

func (w *simulation) newGroup() {
	for n, id := range []catalog.InstanceID{"a", "b", "c"} {
		u := &instance{
			id: id, site: sites[n], role: catalog.RoleReplica, term: 1, following: "a", life: 1,
			pull: time.Duration(3+w.rng.IntN(40)) * ms, applyLag: time.Duration(w.rng.IntN(60)) * ms,
		}
		w.group[id] = u
		w.announce(u)
		w.replicate(u)
	}
	w.group["a"].role, w.group["a"].following = catalog.RolePrimary, ""
}

func (w *simulation) ids() []catalog.InstanceID { return []catalog.InstanceID{"a", "b", "c"} }

func (u *instance) position() catalog.Position {
	return catalog.Position{Term: u.term, Offset: catalog.Offset(len(u.log))}
}

// announce reaches the entry of the own site.
func (w *simulation) announce(u *instance) {
	w.schedule(250*ms, func() { w.announce(u) })
	if u.dead || u.quiet || w.now < u.thawAt {
		return
	}
	u.sequence++
	a := catalog.Announcement{
		Service: "ledger", Instance: u.id, Address: string(u.id), Site: u.site, Role: u.role,
		Position: u.position(), Leaving: u.leaving, Incarnation: u.life, Sequence: u.sequence,
	}
	for _, vm := range w.names('e') {
		if p := w.byName[vm]; !w.cut(p.site, u.site) {
			w.deliver(p, p.life, w.latency(p.site, u.site), node.AnnouncementReceived{Announcement: a})
		}
	}
}

// replicate copies what is missing from the upstream it follows, after its lag.
func (w *simulation) replicate(u *instance) {
	w.schedule(u.pull, func() { w.replicate(u) })
	from := w.group[u.following]
	if from == nil || u.dead || from.dead || w.now < from.thawAt || w.now < u.thawAt || w.cut(u.site, from.site) {
		return
	}
	if from.role != catalog.RolePrimary || from.term < u.term {
		return
	}
	// Logs are never changed in place.
	log, term, life, follows := from.log, from.term, u.life, u.rewinds
	if !isPrefix(u.log, log) {
		return
	}
	u.received, u.term = log, term
	w.schedule(u.applyLag, func() {
		if u.life == life && u.rewinds == follows && u.role != catalog.RolePrimary && w.now >= u.thawAt && isPrefix(u.log, log) {
			u.log = log
		}
	})
}

func isPrefix(a, b []record) bool {
	return len(a) <= len(b) && slices.Equal(a, b[:len(a)])
}

// has is how far it has received the log.
func (u *instance) receivedOffset() catalog.Offset {
	return catalog.Offset(max(len(u.log), len(u.received)))
}

// reach runs something at an upstream when a message arrives there, late if it
// is frozen. It reports false if the message can't leave.
func (w *simulation) sendToUpstream(site catalog.SiteID, u *instance, do func()) {
	w.schedule(w.latency(site, u.site), func() {
		if w.cut(site, u.site) {
			return
		}
		if w.now < u.thawAt {
			w.schedule(u.thawAt.Sub(w.now), do)
			return
		}
		do()
	})
}

// back returns an answer to a process, unless the sites are cut apart by then.
func (w *simulation) sendToProcess(p *process, life int, u *instance, in node.Input) {
	w.schedule(w.latency(p.site, u.site), func() {
		if !w.cut(p.site, u.site) {
			w.handle(p, life, in)
		}
	})
}

func (w *simulation) databaseEffect(p *process, e node.Effect) {
	switch v := e.(type) {
	case node.OpenConn:
		w.openConn(p, v)
	case node.CloseConn:
		w.loseConn(connKey{p.vm, p.life, v.Conn}, p, wire.EvidenceNone)
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
	k, u, life := connKey{p.vm, p.life, v.Conn}, w.group[v.Instance], p.life
	c := &conn{instance: u, life: u.life}
	w.conns[k] = c
	w.schedule(w.untilLocal(p, v.Deadline), func() {
		if !c.opened {
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
			c.opened, c.life = true, u.life
			u.openConns++
			w.notifyBegin(p, u, 0)
			u.maxOpenConns = max(u.maxOpenConns, u.openConns)
			w.sendToProcess(p, life, u, node.ConnOpened{Conn: v.Conn})
		}
	})
}

// lose ends a connection, and the request that runs on it first.
func (w *simulation) loseConn(k connKey, p *process, evidence wire.Evidence) {
	c := w.conns[k]
	if c == nil || c.closed {
		return
	}
	c.closed = true
	delete(w.conns, k)
	if c.opened && c.life == c.instance.life {
		c.instance.openConns--
	}
	if c.request != 0 {
		w.deliver(p, k.life, 0, node.RequestDone{Request: c.request, Conn: k.id, Outcome: node.OutcomeLost})
	}
	w.deliver(p, k.life, 0, node.ConnLost{Conn: k.id, Evidence: evidence})
}

func (w *simulation) probe(p *process, v node.Probe) {
	k, life, sent := connKey{p.vm, p.life, v.Conn}, p.life, w.localTime(p)
	c := w.conns[k]
	if c == nil {
		return
	}
	done := false
	w.schedule(w.untilLocal(p, v.Deadline), func() {
		if !done {
			done = true
			w.handle(p, life, node.ProbeDone{Conn: v.Conn, SentAt: sent, Evidence: wire.EvidenceTimeout})
		}
	})
	w.sendToUpstream(p.site, c.instance, func() {
		if c.closed || c.instance.dead || c.life != c.instance.life {
			return
		}
		answer := node.ProbeDone{Conn: v.Conn, SentAt: sent, Evidence: wire.EvidenceAlive, Role: c.instance.role, Position: c.instance.position(), Received: c.instance.receivedOffset()}
		w.schedule(w.latency(p.site, c.instance.site), func() {
			if !done && !c.closed && !w.cut(p.site, c.instance.site) {
				done = true
				w.handle(p, life, answer)
			}
		})
	})
}

func (w *simulation) runRequest(p *process, v node.RunRequest) {
	k, life := connKey{p.vm, p.life, v.Conn}, p.life
	c, asked := w.conns[k], w.localTime(p)
	if c == nil {
		w.deliver(p, life, 0, node.RequestDone{Request: v.Request, Conn: v.Conn, Outcome: node.OutcomeNotSent})
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
		if c.closed || c.instance.dead || c.life != c.instance.life {
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
			done.Position, done.PositionQueriedAt = u.position(), asked
		}
		w.schedule(time.Duration(w.rng.IntN(2000))*time.Microsecond+w.latency(p.site, u.site), func() {
			if c.closed || w.cut(p.site, u.site) {
				return
			}
			c.request, op.result = 0, result
			w.handle(p, life, done)
		})
	})
}

func (w *simulation) notifyBegin(p *process, u *instance, id catalog.RequestID) {
	if w.begun != nil {
		w.begun(p, u, id)
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
