package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const (
	usualLoad = 1 / 1.6
	testSeeds = 10
)

var testLimits = []Limit{{Rate: 1.7, Burst: 2}, {Rate: 10, Burst: 5}, {Rate: 40, Burst: 20}, {Rate: 250, Burst: 25}, {Rate: 250, Burst: 500}}

// systemCases play what may push an organisation above its limit.
var systemCases = []struct {
	name string
	play func(w *system)
}{
	{"surge", func(w *system) {
		w.load = 4.7
		w.run(15 * time.Second)
	}},
	{"surge at other entries", func(w *system) {
		w.load = 4.7
		for n, e := range w.entries {
			e.weight = float64(n % 5)
		}
		w.run(15 * time.Second)
	}},
	{"restarts under surge", func(w *system) {
		w.load = 4.7
		for n := range 30 {
			w.restart(w.entries[(n*7)%len(w.entries)], time.Second)
			w.run(300 * time.Millisecond)
		}
	}},
	{"all entries restart under surge", func(w *system) {
		w.load = 4.7
		w.run(4 * time.Second)
		for _, e := range w.entries {
			w.restart(e, 500*time.Millisecond)
		}
		w.run(8 * time.Second)
	}},
	{"leader changes under surge", func(w *system) {
		w.load = 4.7
		for n := range 6 {
			w.run(3 * time.Second)
			w.electLeader(n%testSites, time.Second)
		}
		w.run(6 * time.Second)
	}},
	{"surge while there is no leader", func(w *system) {
		w.electLeader(0, 8*time.Second)
		w.load = 4.7
		w.run(16 * time.Second)
	}},
	{"surge with a new leader", func(w *system) {
		w.electLeader(0, 700*time.Millisecond)
		w.load = 4.7
		w.run(16 * time.Second)
	}},
	{"site cut off before a surge", func(w *system) {
		w.cutSite(1, true)
		w.run(3 * time.Second)
		w.load = 4.7
		w.run(15 * time.Second)
	}},
	{"site cut off within a surge", func(w *system) {
		w.load = 4.7
		w.run(5 * time.Second)
		w.cutSite(1, true)
		w.run(12 * time.Second)
		w.cutSite(1, false)
		w.run(8 * time.Second)
	}},
	{"leader changes while a site is cut off", func(w *system) {
		w.load = 4.7
		w.run(5 * time.Second)
		w.cutSite(0, true)
		w.electLeader(1, 700*time.Millisecond)
		w.run(12 * time.Second)
		w.cutSite(0, false)
		w.run(8 * time.Second)
	}},
	{"lowered limit", func(w *system) {
		w.limit.Rate, w.limit.Burst, w.load = w.limit.Rate/5, w.limit.Burst/5, 5*usualLoad
		w.strictFrom = w.now.Add(4*time.Second + window)
		w.run(20 * time.Second)
	}},
}

// TestSystemStaysWithinLimit guards against more operations in any 5 s than the
// rule allows, over all entries.
func TestSystemStaysWithinLimit(t *testing.T) {
	for _, c := range systemCases {
		for _, limit := range testLimits {
			t.Run(fmt.Sprintf("%s/%v", c.name, limit), func(t *testing.T) {
				worst, over := math.Inf(-1), 0.0
				for seed := range uint64(testSeeds) {
					w := newSystem(seed, 59, limit, usualLoad)
					w.run(20 * time.Second)
					w.lost()
					c.play(w)
					if w.worst > 0 {
						t.Errorf("seed %d: %.1f above the bound of %.1f at %v", seed, w.worst, w.bound(), w.now.Sub(w.worstAt))
					}
					worst = max(worst, w.worst)
					over += w.lost()
				}
				t.Logf("worst %.1f above the bound, %.3f refused", worst, over/testSeeds)
			})
		}
	}
}

// usualCases play what an organisation within its limit must not notice, with the
// part of the operations that may be lost.
var usualCases = []struct {
	name string
	most float64
	play func(w *system, n int)
}{
	{"waves", 0.01, func(*system, int) {}},
	{"callers move", 0.01, func(w *system, n int) {
		for _, e := range w.entries {
			e.weight *= []float64{0.5, 0.5, 2}[(e.site+n)%testSites]
		}
	}},
	{"restarts", 0.05, func(w *system, n int) {
		for i := range 6 {
			w.restart(w.entries[(n*6+i)%len(w.entries)], time.Second)
		}
	}},
	{"leader changes", 0.04, func(w *system, n int) {
		w.electLeader(n%testSites, 600*time.Millisecond)
	}},
	{"site cut off and back", 0.2, func(w *system, n int) {
		w.cutSite(1, n%2 == 0)
	}},
}

// TestSystemAdmitsUsualLoad guards against refusals below the limit: of usual
// load in waves, with callers unevenly spread, and after they have moved.
func TestSystemAdmitsUsualLoad(t *testing.T) {
	for _, c := range usualCases {
		for _, limit := range testLimits {
			t.Run(fmt.Sprintf("%s/%v", c.name, limit), func(t *testing.T) {
				w := newSystem(3, 59, limit, usualLoad)
				w.run(20 * time.Second)
				w.lost()
				for n := range 900 {
					w.load = usualLoad * (1 + 0.27*math.Sin(float64(n)/10))
					if n%65 == 0 {
						c.play(w, n/65)
					}
					w.run(100 * time.Millisecond)
				}
				asked := w.asked
				lost := w.lost()
				t.Logf("%.4f of %d were refused, %d shares", lost, asked, w.shareCount)
				// A few refusals of the smallest organisation are within chance.
				if lost*float64(asked) > c.most*float64(asked)+3 {
					t.Error("too many were refused")
				}
			})
		}
	}
}
