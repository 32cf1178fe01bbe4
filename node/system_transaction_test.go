package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// step is one request of a transaction.
type step uint8

const (
	stepNone step = iota
	stepBegin
	stepFirst
	stepSecond
	stepEnd
)

// transaction is two writes that take place together or not at all.
type transaction struct {
	id int
	// at and life are the entry it runs at.
	at    *process
	life  int
	conn  catalog.ConnID
	asked bool
	acked bool
	over  bool
}

// executeStep runs a request of a transaction at an upstream.
func (w *world) executeStep(op *operation, c *conn) {
	op.ran = append(op.ran, c.at.id)
	if op.step == stepBegin {
		if c.inside {
			w.fail("request %d began within the transaction of another caller", op.id)
		}
		c.inside, c.pending = true, nil
		return
	}
	if !c.inside {
		w.fail("request %d ran outside of its transaction", op.id)
	}
	if op.step != stepEnd {
		c.pending = append(c.pending, record{key: op.key, value: op.value, term: c.at.term})
	}
	if op.step == stepEnd || w.spoilSteps {
		c.at.log = append(append([]record{}, c.at.log...), c.pending...)
		c.pending = nil
	}
	c.inside = op.step != stepEnd
}

// dealers run transactions beside the callers of single requests.
type dealers struct {
	c   *callers
	all []*transaction
}

func newDealers(c *callers, count int) *dealers {
	d := &dealers{c: c}
	for n := range count {
		c.w.after(time.Duration(n)*ms, d.begin)
	}
	return d
}

func (d *dealers) begin() {
	w := d.c.w
	if w.now > d.c.until {
		return
	}
	entries := w.names('e')
	p := w.byName[entries[w.rng.IntN(len(entries))]]
	if p.dead || p.draining {
		w.after(20*ms, d.begin)
		return
	}
	t := &transaction{id: len(d.all) + 1, at: p, life: p.life}
	d.all = append(d.all, t)
	d.ask(t, stepBegin)
}

// ask sends the next request of a transaction.
func (d *dealers) ask(t *transaction, s step) {
	w := d.c.w
	op := &operation{
		id: catalog.RequestID(len(d.c.byID) + 1000000), key: t.key(s), value: t.id, isWrite: true, start: w.now, at: t.at, step: s,
	}
	op.then = func(v node.Verdict) { d.answered(t, op, v) }
	d.c.byID[op.id] = op
	in := node.RequestArrived{
		Request: op.id, Service: "ledger", Kind: node.KindBegin, Deadline: w.local(t.at).Add(opDeadline),
	}
	if s != stepBegin {
		in.Kind, in.HeldConn = node.KindInTransaction, t.conn
	}
	t.asked = t.asked || s == stepEnd
	w.give(t.at, t.life, 0, in)
	w.after(opDeadline+time.Second, func() {
		if !op.answered {
			op.answered = true
			d.leave(t)
		}
	})
}

func (t *transaction) key(s step) string {
	return fmt.Sprintf("transaction-%d-%d", t.id, s)
}

func (d *dealers) answered(t *transaction, op *operation, v node.Verdict) {
	w := d.c.w
	if op.answered {
		return
	}
	op.answered, op.verdict = true, v
	switch {
	case v != node.VerdictDone:
		d.leave(t)
	case op.step == stepEnd:
		t.acked, t.over = true, true
		d.c.checkAck(op)
		w.after(time.Duration(1+w.rng.IntN(20))*ms, d.begin)
	case w.rng.IntN(10) == 0:
		w.caused["caller dies"]++
		t.conn = op.conn
		d.leave(t)
	default:
		t.conn = op.conn
		w.after(time.Duration(w.rng.IntN(30))*ms, func() { d.ask(t, op.step+1) })
	}
}

// leave ends a transaction as the shell does for a caller that is gone.
func (d *dealers) leave(t *transaction) {
	w := d.c.w
	if t.over {
		return
	}
	t.over = true
	if t.conn != 0 && t.at.life == t.life {
		w.give(t.at, t.life, 0, node.TransactionAbandoned{Conn: t.conn})
		w.after(0, func() { w.lose(connKey{t.at.vm, t.life, t.conn}, t.at, 0) })
	}
	w.after(time.Duration(1+w.rng.IntN(20))*ms, d.begin)
}

// check wants all or nothing of each transaction.
func (d *dealers) check() {
	w := d.c.w
	kept := map[string]int{}
	for _, r := range w.newest().log {
		kept[r.key]++
	}
	done := 0
	for _, t := range d.all {
		first, second := kept[t.key(stepFirst)], kept[t.key(stepSecond)]
		switch {
		case first != second:
			w.fail("half of transaction %d took place", t.id)
		case first > 1:
			w.fail("transaction %d took place %d times", t.id, first)
		case first > 0 && !t.asked:
			w.fail("transaction %d took place and was never ended", t.id)
		case first == 0 && t.acked:
			w.fail("transaction %d was acknowledged and lost", t.id)
		}
		if t.acked {
			done++
		}
	}
	w.caused["committed"] += done
}

func playTransactions(seed uint64, spoil func(*world)) *world {
	w := newWorld(seed, catalog.AckReplicated, spoil)
	w.answer = func(*process, node.AnswerRequest) {}
	w.run(2 * time.Second)
	c := newCallers(w)
	d := newDealers(c, 4)
	c.storm()
	c.check()
	d.check()
	delete(operations, w)
	return w
}

func TestSystemTransactions(t *testing.T) {
	causes := []string{"kill primary", "kill e", "cut", "freeze upstream", "promotion", "caller dies", "committed"}
	prove(t, *seeds, causes, func(seed uint64) *world { return playTransactions(seed, nil) })
}

func TestSystemTransactionsFailFirst(t *testing.T) {
	t.Run("steps on their own", func(t *testing.T) {
		wantBroken(t, "half of transaction", func(seed uint64) *world {
			return playTransactions(seed, func(w *world) { w.spoilSteps = true })
		})
	})
	t.Run("lease", func(t *testing.T) {
		wantBroken(t, "was acknowledged after", func(seed uint64) *world {
			return playTransactions(seed, func(w *world) { longLease(w); w.spoilEntry = (*node.Entry).SpoilLease })
		})
	})
	t.Run("survey", func(t *testing.T) {
		wantBroken(t, "acknowledged and lost", func(seed uint64) *world {
			return playTransactions(seed, func(w *world) { longLease(w); w.spoilControl = (*node.Control).SpoilSurvey })
		})
	})
}
