package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// transactionStep is one request of a transaction.
type transactionStep uint8

const (
	stepNone transactionStep = iota
	stepBegin
	stepFirst
	stepSecond
	stepEnd
)

// transaction is a pair of writes of which both or neither must take effect.
type transaction struct {
	id int
	// entry is the entry that runs the transaction, and life is its life at
	// that time.
	entry       *process
	incarnation int
	conn        catalog.ConnID
	endSent     bool
	acked       bool
	ended       bool
}

// executeStep runs one request of a transaction at an upstream.
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
	if op.step == stepEnd || w.autocommitSteps {
		c.instance.log = append(append([]record{}, c.instance.log...), c.pendingWrites...)
		c.pendingWrites = nil
	}
	c.inTransaction = op.step != stepEnd
}

// transactionCallers runs transactions concurrently with the callers of single
// requests.
type transactionCallers struct {
	callers *callers
	all     []*transaction
}

func newTransactionCallers(c *callers, count int) *transactionCallers {
	d := &transactionCallers{callers: c}
	for n := range count {
		c.w.schedule(time.Duration(n)*ms, d.begin)
	}
	return d
}

func (d *transactionCallers) begin() {
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
	t := &transaction{id: len(d.all) + 1, entry: p, incarnation: p.incarnation}
	d.all = append(d.all, t)
	d.sendStep(t, stepBegin)
}

// sendStep sends the next request of a transaction.
func (d *transactionCallers) sendStep(t *transaction, s transactionStep) {
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
	w.deliver(t.entry, t.incarnation, 0, in)
	w.schedule(opDeadline+time.Second, func() {
		if !op.answered {
			op.answered = true
			d.abandon(t)
		}
	})
}

func (t *transaction) key(s transactionStep) string {
	return fmt.Sprintf("transaction-%d-%d", t.id, s)
}

func (d *transactionCallers) handleAnswer(t *transaction, op *operation, v node.Verdict) {
	w := d.callers.w
	if op.answered {
		return
	}
	op.answered, op.verdict = true, v
	switch {
	case v != node.VerdictDone:
		d.abandon(t)
	case op.step == stepEnd:
		t.acked, t.ended = true, true
		d.callers.checkAck(op)
		w.schedule(time.Duration(1+w.rng.IntN(20))*ms, d.begin)
	case w.rng.IntN(10) == 0:
		w.counts["caller dies"]++
		t.conn = op.conn
		d.abandon(t)
	default:
		t.conn = op.conn
		w.schedule(time.Duration(w.rng.IntN(30))*ms, func() { d.sendStep(t, op.step+1) })
	}
}

// abandon ends a transaction as the shell does when its caller disconnects.
func (d *transactionCallers) abandon(t *transaction) {
	w := d.callers.w
	if t.ended {
		return
	}
	t.ended = true
	if t.conn != 0 && t.entry.incarnation == t.incarnation {
		w.deliver(t.entry, t.incarnation, 0, node.TransactionAbandoned{Conn: t.conn})
		w.schedule(0, func() { w.loseConn(connKey{t.entry.vm, t.incarnation, t.conn}, t.entry, 0) })
	}
	w.schedule(time.Duration(1+w.rng.IntN(20))*ms, d.begin)
}

// check verifies that of each transaction both writes took effect or neither.
func (d *transactionCallers) check() {
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
	w.counts["committed"] += done
}

func simulateTransactions(seed uint64, mutate func(*simulation)) *simulation {
	w := newSimulation(seed, catalog.AckReplicated, mutate)
	w.onAnswer = func(*process, node.AnswerRequest) {}
	w.run(2 * time.Second)
	c := newCallers(w)
	d := newTransactionCallers(c, 4)
	c.runWithFaults()
	c.check()
	d.check()
	delete(operations, w)
	return w
}

func TestSystemTransactions(t *testing.T) {
	causes := []string{"kill primary", "kill e", "cut", "freeze upstream", "promotion", "caller dies", "committed"}
	checkSeeds(t, *seeds, causes, func(seed uint64) *simulation { return simulateTransactions(seed, nil) })
}

func TestSystemTransactionsDetectsViolations(t *testing.T) {
	t.Run("steps committed one by one", func(t *testing.T) {
		requireViolation(t, "half of transaction", func(seed uint64) *simulation {
			return simulateTransactions(seed, func(w *simulation) { w.autocommitSteps = true })
		})
	})
	t.Run("lease", func(t *testing.T) {
		requireViolation(t, "was acknowledged after", func(seed uint64) *simulation {
			return simulateTransactions(seed, func(w *simulation) { setLongLease(w); w.breakEntry = (*node.Entry).DisableLeaseCheck })
		})
	})
	t.Run("survey", func(t *testing.T) {
		requireViolation(t, "acknowledged and lost", func(seed uint64) *simulation {
			return simulateTransactions(seed, func(w *simulation) { setLongLease(w); w.breakControl = (*node.Control).DisableSurveyQuorum })
		})
	})
}
