package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const (
	testInterval = 200 * time.Millisecond
	testLength   = 3 * time.Second
	testDrift    = 50 * time.Millisecond
	testStep     = 10 * time.Millisecond
	window       = 5 * time.Second
	testSites    = 3
)

// system is a played system of entries and a leader in virtual time. Operations
// of one organisation arrive at random at the entries, by their weights.
type system struct {
	random  *rand.Rand
	now     catalog.Instant
	entries []*testEntry
	leader  *Allocator
	// leaderFrom is when the leader begins to answer, and leaderSite its site.
	leaderFrom catalog.Instant
	leaderSite int
	heard      map[catalog.VMID]bool
	limit      Limit
	// load is the rate of operations as a multiple of the limit's rate.
	load float64
	// strictFrom is when the limit must hold again after it was lowered.
	strictFrom      catalog.Instant
	admittedAt      []catalog.Instant
	oldest          int
	asked, admitted int
	// worst is the highest number of operations in a window above the bound.
	worst      float64
	worstAt    catalog.Instant
	shareCount int
	// answers are the answers that have not arrived yet.
	answers []testAnswer
}

type testEntry struct {
	id        catalog.VMID
	site      int
	weight    float64
	admission *Admission
	nextAt    catalog.Instant
	isCut     bool
	downUntil catalog.Instant
	// isStarting is set until the entry has a configuration from the leader.
	isStarting bool
}

type testAnswer struct {
	at, sent catalog.Instant
	entry    *testEntry
	shares   []Share
}

func newSystem(seed uint64, entries int, limit Limit, load float64) *system {
	w := &system{random: rand.New(rand.NewPCG(seed, 1)), now: catalog.Instant(time.Hour), limit: limit, load: load}
	for n := range entries {
		e := &testEntry{id: catalog.VMID(fmt.Sprintf("e%03d", n)), site: n % testSites, nextAt: w.now.Add(time.Duration(w.random.Int64N(int64(testInterval))))}
		// A third of the entries has no callers, others up to five times the average.
		e.weight = max(0, w.random.ExpFloat64()-0.4)
		e.admission = NewAdmission(testInterval, w.now)
		e.admission.SetContact(w.now, entries)
		w.entries = append(w.entries, e)
	}
	w.electLeader(0, 0)
	return w
}

func (w *system) electLeader(site int, after time.Duration) {
	w.leaderSite, w.leaderFrom, w.heard = site, w.now.Add(after), map[catalog.VMID]bool{}
	w.leader = NewAllocator(Options{ReportInterval: testInterval, ShareLength: testLength}, w.leaderFrom)
	w.leader.SetPredecessor()
}

func (w *system) cutSite(site int, isCut bool) {
	for _, e := range w.entries {
		if e.site == site {
			e.isCut = isCut
		}
	}
}

func (w *system) restart(e *testEntry, down time.Duration) {
	w.leader.DropShares(e.id)
	e.downUntil, e.nextAt, e.isStarting = w.now.Add(down), w.now.Add(down), true
	e.admission = NewAdmission(testInterval, e.downUntil)
}

// bound returns the highest number of operations that the rule allows.
func (w *system) bound() float64 {
	return (w.limit.Rate*window.Seconds()+w.limit.Burst)*1.1 + 20
}

func (w *system) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(testStep)
		w.arrive()
		for _, e := range w.entries {
			if !e.nextAt.After(w.now) {
				e.nextAt = e.nextAt.Add(testInterval)
				w.report(e)
			}
		}
		w.deliver()
		w.check()
	}
}

func (w *system) arrive() {
	total := 0.0
	for _, e := range w.entries {
		total += e.weight
	}
	perStep := w.load * w.limit.Rate * testStep.Seconds() / total
	for _, e := range w.entries {
		for range w.poisson(perStep * e.weight) {
			if w.now.Before(e.downUntil) || e.isStarting {
				continue
			}
			w.asked++
			if ok, _ := e.admission.Admit(w.now, "o", w.limit, w.random.Float64()); ok {
				w.admitted++
				w.admittedAt = append(w.admittedAt, w.now)
			}
		}
	}
}

func (w *system) poisson(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := w.random.Float64(); p > limit; p *= w.random.Float64() {
		n++
	}
	return n
}

func (w *system) report(e *testEntry) {
	if e.isCut || w.now.Before(w.leaderFrom) || w.now.Before(e.downUntil) {
		return
	}
	w.heard[e.id] = true
	w.leader.SetEntryCount(len(w.entries), len(w.entries)-len(w.heard))
	w.leader.Report(w.now, e.id, e.admission.Usage(w.now), func(catalog.OrganisationID) Limit { return w.limit })
	shares := w.leader.Shares(w.now, e.id)
	w.shareCount += len(shares)
	delay := time.Duration(w.random.Int64N(int64(50 * time.Millisecond)))
	w.answers = append(w.answers, testAnswer{at: w.now.Add(delay), sent: w.now, entry: e, shares: shares})
}

func (w *system) deliver() {
	kept := w.answers[:0]
	for _, a := range w.answers {
		if a.at.After(w.now) {
			kept = append(kept, a)
			continue
		}
		if a.entry.isCut || w.now.Before(a.entry.downUntil) {
			continue
		}
		a.entry.isStarting = false
		a.entry.admission.SetContact(a.sent, len(w.entries))
		for _, s := range a.shares {
			a.entry.admission.SetShare(w.now, s, a.sent.Add(testLength-testDrift))
		}
	}
	w.answers = kept
}

// check compares the operations of the last window with the bound.
func (w *system) check() {
	for w.oldest < len(w.admittedAt) && !w.admittedAt[w.oldest].After(w.now.Add(-window)) {
		w.oldest++
	}
	if w.now.Before(w.strictFrom) {
		return
	}
	if excess := float64(len(w.admittedAt)-w.oldest) - w.bound(); w.worst == 0 || excess > w.worst {
		w.worst, w.worstAt = excess, w.now
	}
}

// lost returns the part of the operations that were refused since the last call.
func (w *system) lost() float64 {
	lost := 1 - float64(w.admitted)/float64(max(w.asked, 1))
	w.asked, w.admitted = 0, 0
	return lost
}
