package node_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

var (
	seeds    = flag.Int("seeds", 20, "number of seeds that the system tests run")
	seedBase = flag.Uint64("seed-base", 1, "the first seed")
)

const (
	sessions     = 6
	loadTime     = 8 * time.Second
	opDeadline   = 3 * time.Second
	recoveryTime = 6 * time.Second
)

// callers sends one operation after another for each session, each to a random
// entry, so that the sessions move between entries.
type callers struct {
	w    *simulation
	ops  []*operation
	byID map[catalog.RequestID]*operation
	// floors holds the sessions' tokens. A session with an odd number has no
	// token and is identified by its id alone.
	floors [sessions]catalog.Position
	values [sessions]int
	until  catalog.Instant
}

func newCallers(w *simulation) *callers {
	c := &callers{w: w, byID: map[catalog.RequestID]*operation{}, until: w.now.Add(loadTime)}
	operations[w] = c.byID
	w.onAnswer = c.handleAnswer
	for n := range sessions {
		w.schedule(time.Duration(n)*ms, func() { c.sendNext(n, false) })
		if n%2 == 1 {
			w.schedule(time.Duration(n)*ms, func() { c.sendNext(n, true) })
		}
	}
	return c
}

// sendNext sends the next operation of a session. A session may have a second
// connection that only reads. There are no reads if upstreams are listed by control,
// because package session then determines their floors.
func (c *callers) sendNext(session int, second bool) {
	w := c.w
	if w.now > c.until {
		return
	}
	entries := w.names('e')
	p := w.byName[entries[w.rng.IntN(len(entries))]]
	if p.dead || p.draining {
		w.schedule(20*ms, func() { c.sendNext(session, second) })
		return
	}
	op := &operation{
		id: catalog.RequestID(len(c.ops) + 1), session: session, key: fmt.Sprint("k", session),
		isWrite: w.isListed || !second && w.rng.IntN(2) == 0, startedAt: w.now, entry: p, result: -1, isSecondConn: second,
	}
	op.minValue = c.lastOwnWrite(session, math.MaxInt)
	c.ops = append(c.ops, op)
	c.byID[op.id] = op
	kind := node.KindRead
	if op.isWrite {
		kind = node.KindWrite
		c.values[session]++
		op.value = c.values[session]
	}
	incarnation := p.incarnation
	arrived := node.RequestArrived{
		Request: op.id, Service: "ledger", Kind: kind, Floor: c.floors[session],
		FloorUnknown: session%2 == 1, Deadline: w.localTime(p).Add(opDeadline),
	}
	if w.dropFloors {
		arrived.Floor, arrived.FloorUnknown = catalog.Position{}, false
	}
	w.deliver(p, p.incarnation, 0, arrived)
	w.schedule(opDeadline+time.Second, func() {
		if !op.answered {
			if p.incarnation == incarnation && !p.dead && w.now > p.frozenUntil.Add(time.Second) {
				w.fail("request %d got no answer", op.id)
			}
			c.finish(op, node.VerdictUnknown)
		}
	})
}

func (c *callers) handleAnswer(_ *process, a node.AnswerRequest) {
	op := c.byID[a.Request]
	if op.onAnswer != nil {
		op.onAnswer(a.Verdict)
		return
	}
	if op.answered {
		if op.verdict != node.VerdictUnknown {
			c.w.fail("request %d was answered twice", op.id)
		}
		return
	}
	if a.Verdict == node.VerdictDone {
		if session := op.session; session%2 == 0 {
			c.floors[session] = a.Floor
		}
		c.checkAck(op)
		if least := c.lastOwnWrite(op.session, op.minValue); !op.isWrite && op.result < least {
			c.w.fail("read %d of session %d saw %d after it wrote %d%s", op.id, op.session, op.result, least, secondConnText(op))
		}
	}
	c.finish(op, a.Verdict)
}

func secondConnText(op *operation) string {
	if op.isSecondConn {
		return ", over its second connection"
	}
	return ""
}

// checkAck fails if a write was acknowledged after the primary that ran it was
// replaced.
func (c *callers) checkAck(op *operation) {
	if !op.isWrite || len(op.ranAt) == 0 {
		return
	}
	ran := c.w.group[op.ranAt[len(op.ranAt)-1]]
	for _, id := range c.w.ids() {
		if u := c.w.group[id]; u != ran && u.promotedAt > ran.promotedAt {
			c.w.fail("write %d ran at %s and was acknowledged after %s was promoted", op.id, ran.id, id)
		}
	}
}

func (c *callers) finish(op *operation, v node.Verdict) {
	op.answered, op.verdict, op.endedAt = true, v, c.w.now
	c.w.schedule(time.Duration(1+c.w.rng.IntN(20))*ms, func() { c.sendNext(op.session, op.isSecondConn) })
}

// check verifies the whole history.
func (c *callers) check() {
	w := c.w
	kept := map[record]int{}
	for _, r := range w.lastPromoted().log {
		kept[record{key: r.key, value: r.value}]++
	}
	for _, op := range c.ops {
		if !op.isWrite {
			continue
		}
		n := kept[record{key: op.key, value: op.value}]
		switch {
		case len(op.ranAt) > 1 || n > 1:
			w.fail("write %d ran %d times", op.id, len(op.ranAt))
		case op.verdict == node.VerdictNotRun && len(op.ranAt) > 0:
			w.fail("write %d was refused as not run, and ran", op.id)
		case op.verdict == node.VerdictDone && len(op.ranAt) == 0:
			w.fail("write %d was acknowledged and did not run", op.id)
		case op.verdict == node.VerdictDone && n == 0 && w.ack == catalog.AckReplicated:
			w.fail("write %d was acknowledged and lost", op.id)
		}
	}
	if w.ack == catalog.AckReplicated {
		c.checkRegisters()
	}
	for _, id := range w.ids() {
		if u := w.group[id]; u.maxOpenConns > w.limits.Connections-w.limits.Reserved {
			w.fail("%s held %d connections", id, u.maxOpenConns)
		}
	}
}

// sendWrite sends a write that belongs to no session.
func (c *callers) sendWrite(p *process) *operation {
	w := c.w
	op := &operation{
		id: catalog.RequestID(len(c.ops) + 1), session: sessions, isWrite: true, value: 1,
		startedAt: w.now, entry: p, result: -1, verdict: node.VerdictUnknown,
	}
	op.key = fmt.Sprint("single ", op.id)
	op.onAnswer = func(v node.Verdict) { op.answered, op.verdict = true, v }
	c.ops, c.byID[op.id] = append(c.ops, op), op
	w.deliver(p, p.incarnation, 0, node.RequestArrived{Request: op.id, Service: "ledger", Kind: node.KindWrite, Deadline: w.localTime(p).Add(opDeadline)})
	return op
}

// sendWrites sends a write to each entry once a second until an instant. Entries
// without requests do not notice that a primary is lost.
func (c *callers) sendWrites(until catalog.Instant) {
	if c.w.now > until {
		return
	}
	for _, vm := range c.w.names('e') {
		if p := c.w.byName[vm]; !p.dead {
			c.sendWrite(p)
		}
	}
	c.w.schedule(time.Second, func() { c.sendWrites(until) })
}

// checkServed fails unless each entry that is not cut off completes a write.
func (c *callers) checkServed() {
	w := c.w
	for _, vm := range w.names('e') {
		p := w.byName[vm]
		if w.isolated[p.site] {
			continue
		}
		op := c.sendWrite(p)
		w.run(opDeadline + 100*ms)
		if op.verdict != node.VerdictDone {
			w.fail("%s serves no writes (leader %s)", vm, w.leader().vm)
		}
	}
}

// lastOwnWrite returns the session's last acknowledged write of at most the
// given value that the log of the newest primary contains. With AckPrimary a
// failover may lose a write, and reads need not return a lost write.
func (c *callers) lastOwnWrite(session, maxValue int) int {
	log := c.w.lastPromoted().log
	for n := len(c.ops) - 1; n >= 0; n-- {
		op := c.ops[n]
		if op.session == session && op.isWrite && op.value <= maxValue && op.answered && op.verdict == node.VerdictDone && containsWrite(log, op) {
			return op.value
		}
	}
	return 0
}

func containsWrite(log []record, op *operation) bool {
	for n := len(log) - 1; n >= 0; n-- {
		if log[n].key == op.key && log[n].value == op.value {
			return true
		}
	}
	return false
}

// lastPromoted returns the upstream that was promoted last.
func (w *simulation) lastPromoted() *instance {
	best := w.group["a"]
	for _, id := range w.ids() {
		if u := w.group[id]; u.promotedAt > best.promotedAt {
			best = u
		}
	}
	return best
}

// simulate runs the simulation of one seed, which collects the violations
// found.
func simulate(seed uint64, ack catalog.AckMode, mutate func(*simulation)) (*simulation, *callers) {
	w := newSimulation(seed, ack, mutate)
	w.onAnswer = func(*process, node.AnswerRequest) {}
	w.run(2 * time.Second)
	c := newCallers(w)
	c.runWithFaults()
	c.check()
	delete(operations, w)
	return w, c
}

// runWithFaults injects faults while the callers run, then waits until the
// system has recovered.
func (c *callers) runWithFaults() {
	w := c.w
	w.loss = 0.01
	for w.now < c.until {
		w.run(time.Duration(300+w.rng.IntN(1500)) * ms)
		w.injectFault()
	}
	w.loss = 0
	w.run(recoveryTime)
}

func checkHistories(t *testing.T, ack catalog.AckMode) {
	caused := map[string]int{}
	done, refused, unknown, failed := 0, 0, 0, 0
	for n := range *seeds {
		seed := *seedBase + uint64(n)
		w, c := simulate(seed, ack, nil)
		for k, v := range w.counts {
			caused[k] += v
		}
		for _, op := range c.ops {
			switch op.verdict {
			case node.VerdictDone:
				done++
			case node.VerdictNotRun:
				refused++
			default:
				unknown++
			}
		}
		if len(w.violations) > 0 {
			failed++
			t.Errorf("seed %d (%s; replay: go test ./node -run '^%s$' -seeds 1 -seed-base %d):\n%s",
				seed, ack, t.Name(), seed, strings.Join(w.violations[:min(5, len(w.violations))], "\n"))
		}
	}
	var kinds []string
	for k, v := range caused {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, v))
	}
	slices.Sort(kinds)
	t.Logf("%d seeds, %d violated; %d done, %d refused, %d unknown; faults: %s", *seeds, failed, done, refused, unknown, strings.Join(kinds, ", "))
	for _, k := range []string{"kill primary", "kill e", "kill k", "cut", "freeze upstream", "freeze e", "freeze k", "promotion"} {
		if *seeds >= 10 && caused[k] == 0 {
			t.Errorf("the fault %q never occurred", k)
		}
	}
}

// TestSystemHistoriesReplicated guards against lost acknowledged writes, writes
// that run twice, and stale reads with AckReplicated. Processes and upstreams
// crash, freeze or are cut off under load.
func TestSystemHistoriesReplicated(t *testing.T) { checkHistories(t, catalog.AckReplicated) }

// TestSystemHistoriesPrimary guards against writes that run twice or are
// acknowledged after their primary was replaced, and against stale reads, with
// AckPrimary. A failover may lose acknowledged writes in this mode.
func TestSystemHistoriesPrimary(t *testing.T) { checkHistories(t, catalog.AckPrimary) }

// setLongLease makes a lease last much longer than the time after which a
// primary is suspected. An entry that is cut off would then continue to
// acknowledge writes if no other mechanism stopped it.
func setLongLease(w *simulation) {
	w.timings.LeaseLength = 3 * time.Second
}

// TestSystemDetectsBrokenMechanisms disables one mechanism at a time and
// verifies that the checks detect it within a few seeds.
func TestSystemDetectsBrokenMechanisms(t *testing.T) {
	cases := []struct {
		name, want string
		ack        catalog.AckMode
		mutate     func(*simulation)
	}{
		{"fence", "was acknowledged after", catalog.AckPrimary, func(w *simulation) { w.breakControl = (*node.Control).DisableFence }},
		{"lease", "was acknowledged after", catalog.AckPrimary, func(w *simulation) { w.breakEntry = (*node.Entry).DisableLeaseCheck }},
		{"survey", "acknowledged and lost", catalog.AckReplicated, func(w *simulation) { w.breakControl = (*node.Control).DisableSurveyQuorum }},
		{"floor", "after it wrote", catalog.AckReplicated, func(w *simulation) { w.dropFloors = true }},
		{"two connections", "over its second connection", catalog.AckReplicated, func(w *simulation) { w.dropFloors = true }},
		{"register", "not linearizable", catalog.AckReplicated, func(w *simulation) { w.dropFloors = true }},
	}
	const maxSeeds = 60
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				w, _ := simulate(seed, c.ack, func(w *simulation) { setLongLease(w); c.mutate(w) })
				if !strings.Contains(strings.Join(w.violations, "\n"), c.want) {
					continue
				}
				t.Logf("detected at seed %d", seed)
				if w, _ := simulate(seed, c.ack, setLongLease); len(w.violations) > 0 {
					t.Fatalf("with the mechanism enabled, seed %d violates the checks too:\n%s", seed, strings.Join(w.violations, "\n"))
				}
				return
			}
			t.Fatalf("%d seeds without the mechanism showed no violation", maxSeeds)
		})
	}
}
