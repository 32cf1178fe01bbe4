package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// step is one request of a transaction.
type transactionStep uint8

const (
	stepNone transactionStep = iota
	stepBegin
	stepFirst
	stepSecond
	stepEnd
)

// transaction is two writes that take place together or not at all.
type transaction struct {
	id int
	// at and life are the entry it runs at.
	entry   *process
	life    int
	conn    catalog.ConnID
	endSent bool
	acked   bool
	ended   bool
}

// executeStep runs a request of a transaction at an upstream.
func (w *simulation) executeStep(op *operation, c *conn) {
	op.ranAt = append(op.ranAt, c.instance.id)
	if op.step == stepBegin {
		if c.inTransaction {
			w.fail("request %d began within the transaction of another caller", op.id)
		}
		c.inTransaction, c.pendingWrites = true, nil
		return
	}
	if !c.inTransaction {
		w.fail("request %d ran outside of its transaction", op.id)
	}
	if op.step != stepEnd {
		c.pendingWrites = append(c.pendingWrites, record{key: op.key, value: op.value, term: c.instance.term})
	}
	if op.step == stepEnd || w.spoilSteps {
		c.instance.log = append(append([]record{}, c.instance.log...), c.pendingWrites...)
		c.pendingWrites = nil
	}
	c.inTransaction = op.step != stepEnd
}

// dealers run transactions beside the callers of single requests.
type dealers struct {
	callers *callers
	all     []*transaction
}

func newDealers(c *callers, count int) *dealers {
	d := &dealers{callers: c}
	for n := range count {
		c.w.schedule(time.Duration(n)*ms, d.begin)
	}
	return d
}

func (d *dealers) begin() {
	w := d.callers.w
	if w.now > d.callers.until {
		return
	}
	entries := w.names('e')
	p := w.byName[entries[w.rng.IntN(len(entries))]]
	if p.dead || p.draining {
		w.schedule(20*ms, d.begin)
		return
	}
	t := &transaction{id: len(d.all) + 1, entry: p, life: p.life}
	d.all = append(d.all, t)
	d.sendStep(t, stepBegin)
}

// ask sends the next request of a transaction.
func (d *dealers) sendStep(t *transaction, s transactionStep) {
	w := d.callers.w
	op := &operation{
		id: catalog.RequestID(len(d.callers.byID) + 1000000), key: t.key(s), value: t.id, isWrite: true, startedAt: w.now, entry: t.entry, step: s,
	}
	op.onAnswer = func(v node.Verdict) { d.handleAnswer(t, op, v) }
	d.callers.byID[op.id] = op
	in := node.RequestArrived{
		Request: op.id, Service: "ledger", Kind: node.KindBegin, Deadline: w.localTime(t.entry).Add(opDeadline),
	}
	if s != stepBegin {
		in.Kind, in.HeldConn = node.KindInTransaction, t.conn
	}
	t.endSent = t.endSent || s == stepEnd
	w.deliver(t.entry, t.life, 0, in)
	w.schedule(opDeadline+time.Second, func() {
		if !op.answered {
			op.answered = true
			d.leave(t)
		}
	})
}

func (t *transaction) key(s transactionStep) string {
	return fmt.Sprintf("transaction-%d-%d", t.id, s)
}

func (d *dealers) handleAnswer(t *transaction, op *operation, v node.Verdict) {
	w := d.callers.w
	if op.answered {
		return
	}
	op.answered, op.verdict = true, v
	switch {
	case v != node.VerdictDone:
		d.leave(t)
	case op.step == stepEnd:
		t.acked, t.ended = true, true
		d.callers.checkAck(op)
		w.schedule(time.Duration(1+w.rng.IntN(20))*ms, d.begin)
	case w.rng.IntN(10) == 0:
		w.caused["caller dies"]++
		t.conn = op.conn
		d.leave(t)
	default:
		t.conn = op.conn
		w.schedule(time.Duration(w.rng.IntN(30))*ms, func() { d.sendStep(t, op.step+1) })
	}
}

// leave ends a transaction as the shell does for a caller that is gone.
func (d *dealers) leave(t *transaction) {
	w := d.callers.w
	if t.ended {
		return
	}
	t.ended = true
	if t.conn != 0 && t.entry.life == t.life {
		w.deliver(t.entry, t.life, 0, node.TransactionAbandoned{Conn: t.conn})
		w.schedule(0, func() { w.loseConn(connKey{t.entry.vm, t.life, t.conn}, t.entry, 0) })
	}
	w.schedule(time.Duration(1+w.rng.IntN(20))*ms, d.begin)
}

// check wants all or nothing of each transaction.
func (d *dealers) check() {
	w := d.callers.w
	kept := map[string]int{}
	for _, r := range w.lastPromoted().log {
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
		case first > 0 && !t.endSent:
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

func playTransactions(seed uint64, spoil func(*simulation)) *simulation {
	w := newWorld(seed, catalog.AckReplicated, spoil)
	w.onAnswer = func(*process, node.AnswerRequest) {}
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
	checkSeeds(t, *seeds, causes, func(seed uint64) *simulation { return playTransactions(seed, nil) })
}

func TestSystemTransactionsFailFirst(t *testing.T) {
	t.Run("steps on their own", func(t *testing.T) {
		wantBroken(t, "half of transaction", func(seed uint64) *simulation {
			return playTransactions(seed, func(w *simulation) { w.spoilSteps = true })
		})
	})
	t.Run("lease", func(t *testing.T) {
		wantBroken(t, "was acknowledged after", func(seed uint64) *simulation {
			return playTransactions(seed, func(w *simulation) { longLease(w); w.spoilEntry = (*node.Entry).SpoilLease })
		})
	})
	t.Run("survey", func(t *testing.T) {
		wantBroken(t, "acknowledged and lost", func(seed uint64) *simulation {
			return playTransactions(seed, func(w *simulation) { longLease(w); w.spoilControl = (*node.Control).SpoilSurvey })
		})
	})
}
