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
		log      []record
		received []record
		from     catalog.InstanceID
		// follows counts the cuts back to another's log.
		follows int
		// pull is the time between two pulls of the log, lag that until what
		// was pulled shows.
		pull, lag time.Duration
		dead      bool
		thawAt    catalog.Instant
		life      uint64
		sequence  uint64
		leaving   bool
		// quiet is set while it announces nothing.
		quiet bool
		// promotedAt is when it last became the primary.
		promotedAt catalog.Instant
		open       int
		highest    int
	}
	connKey struct {
		vm   catalog.VMID
		life int
		id   catalog.ConnID
	}
	// conn is one connection of an entry to an upstream.
	conn struct {
		at     *instance
		life   uint64
		opened bool
		gone   bool
		// request is what runs on it, zero if nothing.
		request catalog.RequestID
		// inside is set while a transaction is open, which did pending.
		inside  bool
		pending []record
	}
	// operation is what a caller asked for.
	operation struct {
		id      catalog.RequestID
		session int
		key     string
		value   int
		isWrite bool
		start   catalog.Instant
		at      *process
		result  int
		// least is what a read must not be older than.
		least    int
		ran      []catalog.InstanceID
		verdict  node.Verdict
		answered bool
		end      catalog.Instant
		// second is set for reads over a second connection of the session.
		second bool
		// step is the part of a transaction that it is, if it is one, and conn
		// the connection it ran on; then takes the answer.
		step step
		conn catalog.ConnID
		then func(node.Verdict)
	}
)

var operations = map[*world]map[catalog.RequestID]*operation{}

func (w *world) newGroup() {
	for n, id := range []catalog.InstanceID{"a", "b", "c"} {
		u := &instance{
			id: id, site: sites[n], role: catalog.RoleReplica, term: 1, from: "a", life: 1,
			pull: time.Duration(3+w.rng.IntN(40)) * ms, lag: time.Duration(w.rng.IntN(60)) * ms,
		}
		w.group[id] = u
		w.announce(u)
		w.replicate(u)
	}
	w.group["a"].role, w.group["a"].from = catalog.RolePrimary, ""
}

func (w *world) ids() []catalog.InstanceID { return []catalog.InstanceID{"a", "b", "c"} }

func (u *instance) position() catalog.Position {
	return catalog.Position{Term: u.term, Offset: catalog.Offset(len(u.log))}
}

// announce reaches the entry of the own site.
func (w *world) announce(u *instance) {
	w.after(250*ms, func() { w.announce(u) })
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
			w.give(p, p.life, w.way(p.site, u.site), node.AnnouncementReceived{Announcement: a})
		}
	}
}

// replicate copies what is missing from the upstream it follows, after its lag.
func (w *world) replicate(u *instance) {
	w.after(u.pull, func() { w.replicate(u) })
	from := w.group[u.from]
	if from == nil || u.dead || from.dead || w.now < from.thawAt || w.now < u.thawAt || w.cut(u.site, from.site) {
		return
	}
	if from.role != catalog.RolePrimary || from.term < u.term {
		return
	}
	// Logs are never changed in place.
	log, term, life, follows := from.log, from.term, u.life, u.follows
	if !isPrefix(u.log, log) {
		return
	}
	u.received, u.term = log, term
	w.after(u.lag, func() {
		if u.life == life && u.follows == follows && u.role != catalog.RolePrimary && w.now >= u.thawAt && isPrefix(u.log, log) {
			u.log = log
		}
	})
}

func isPrefix(a, b []record) bool {
	return len(a) <= len(b) && slices.Equal(a, b[:len(a)])
}

// has is how far it has received the log.
func (u *instance) has() catalog.Offset {
	return catalog.Offset(max(len(u.log), len(u.received)))
}

// reach runs something at an upstream when a message arrives there, late if it
// is frozen. It reports false if the message can't leave.
func (w *world) reach(site catalog.SiteID, u *instance, do func()) {
	w.after(w.way(site, u.site), func() {
		if w.cut(site, u.site) {
			return
		}
		if w.now < u.thawAt {
			w.after(u.thawAt.Sub(w.now), do)
			return
		}
		do()
	})
}

// back returns an answer to a process, unless the sites are cut apart by then.
func (w *world) back(p *process, life int, u *instance, in node.Input) {
	w.after(w.way(p.site, u.site), func() {
		if !w.cut(p.site, u.site) {
			w.handle(p, life, in)
		}
	})
}

func (w *world) databaseEffect(p *process, e node.Effect) {
	switch v := e.(type) {
	case node.OpenConn:
		w.open(p, v)
	case node.CloseConn:
		w.lose(connKey{p.vm, p.life, v.Conn}, p, wire.EvidenceNone)
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

func (w *world) open(p *process, v node.OpenConn) {
	k, u, life := connKey{p.vm, p.life, v.Conn}, w.group[v.Instance], p.life
	c := &conn{at: u, life: u.life}
	w.conns[k] = c
	w.after(w.until(p, v.Deadline), func() {
		if !c.opened {
			w.lose(k, p, wire.EvidenceSilent)
		}
	})
	w.reach(p.site, u, func() {
		switch {
		case c.gone:
		case u.dead:
			w.lose(k, p, wire.EvidenceRefused)
		case u.open >= w.limits.Connections-w.limits.Reserved:
			w.refuse++
			w.lose(k, p, wire.EvidenceNone)
		default:
			c.opened, c.life = true, u.life
			u.open++
			w.begin(p, u, 0)
			u.highest = max(u.highest, u.open)
			w.back(p, life, u, node.ConnOpened{Conn: v.Conn})
		}
	})
}

// lose ends a connection, and the request that runs on it first.
func (w *world) lose(k connKey, p *process, evidence wire.Evidence) {
	c := w.conns[k]
	if c == nil || c.gone {
		return
	}
	c.gone = true
	delete(w.conns, k)
	if c.opened && c.life == c.at.life {
		c.at.open--
	}
	if c.request != 0 {
		w.give(p, k.life, 0, node.RequestDone{Request: c.request, Conn: k.id, Outcome: node.OutcomeLost})
	}
	w.give(p, k.life, 0, node.ConnLost{Conn: k.id, Evidence: evidence})
}

func (w *world) probe(p *process, v node.Probe) {
	k, life, sent := connKey{p.vm, p.life, v.Conn}, p.life, w.local(p)
	c := w.conns[k]
	if c == nil {
		return
	}
	done := false
	w.after(w.until(p, v.Deadline), func() {
		if !done {
			done = true
			w.handle(p, life, node.ProbeDone{Conn: v.Conn, SentAt: sent, Evidence: wire.EvidenceSilent})
		}
	})
	w.reach(p.site, c.at, func() {
		if c.gone || c.at.dead || c.life != c.at.life {
			return
		}
		answer := node.ProbeDone{Conn: v.Conn, SentAt: sent, Evidence: wire.EvidenceAlive, Role: c.at.role, Position: c.at.position(), Received: c.at.has()}
		w.after(w.way(p.site, c.at.site), func() {
			if !done && !c.gone && !w.cut(p.site, c.at.site) {
				done = true
				w.handle(p, life, answer)
			}
		})
	})
}

func (w *world) runRequest(p *process, v node.RunRequest) {
	k, life := connKey{p.vm, p.life, v.Conn}, p.life
	c, asked := w.conns[k], w.local(p)
	if c == nil {
		w.give(p, life, 0, node.RequestDone{Request: v.Request, Conn: v.Conn, Outcome: node.OutcomeNotSent})
		return
	}
	c.request = v.Request
	op := operations[w][v.Request]
	op.conn = v.Conn
	w.after(op.start.Add(opDeadline).Sub(w.now), func() {
		if c.request == v.Request {
			w.lose(k, p, wire.EvidenceSilent)
		}
	})
	w.reach(p.site, c.at, func() {
		if c.gone || c.at.dead || c.life != c.at.life {
			return
		}
		done := node.RequestDone{Request: v.Request, Conn: v.Conn, Reusable: true}
		u := c.at
		w.begin(p, u, v.Request)
		switch {
		case op.isWrite && u.role != catalog.RolePrimary:
			done.Outcome = node.OutcomeReadOnly
		case v.Verify && !v.Forks.Covers(u.position(), v.Floor):
			done.Outcome = node.OutcomeBehind
		default:
			w.execute(op, c)
			done.InTransaction = c.inside
		}
		result := op.result
		if v.QueryPosition {
			done.Position, done.PositionQueriedAt = u.position(), asked
		}
		w.after(time.Duration(w.rng.IntN(2000))*time.Microsecond+w.way(p.site, u.site), func() {
			if c.gone || w.cut(p.site, u.site) {
				return
			}
			c.request, op.result = 0, result
			w.handle(p, life, done)
		})
	})
}

func (w *world) begin(p *process, u *instance, id catalog.RequestID) {
	if w.begun != nil {
		w.begun(p, u, id)
	}
}

func (w *world) execute(op *operation, c *conn) {
	u := c.at
	if op.step != stepNone {
		w.executeStep(op, c)
		return
	}
	if c.inside {
		w.fail("request %d ran within the transaction of another caller", op.id)
	}
	op.ran = append(op.ran, u.id)
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
