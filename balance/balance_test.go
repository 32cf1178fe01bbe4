package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const ms = time.Millisecond

// TestShares guards against shares that exceed the capacity or a demand, and
// against capacity that stays unused while a claim is not met.
func TestShares(t *testing.T) {
	Convey("claims below their part are met, and the others share the rest by weight", t, func() {
		So(Shares(12, []Claim{{2, 1}, {20, 1}, {20, 1}}), ShouldResemble, []float64{2, 5, 5})
		So(Shares(18, []Claim{{20, 20}, {10, 10}, {10, 10}}), ShouldResemble, []float64{9, 4.5, 4.5})
		So(Shares(50, []Claim{{20, 1}, {10, 5}}), ShouldResemble, []float64{20, 10})
		So(Shares(5, []Claim{{20, 0}, {10, 1}}), ShouldResemble, []float64{0, 5})
		So(Shares(5, nil), ShouldBeEmpty)
	})
	Convey("random claims get no more than the capacity and their demand, and no unmet claim has less than another by weight", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			claims, total := make([]Claim, 1+random.IntN(6)), 0.0
			for n := range claims {
				claims[n] = Claim{Demand: random.Float64() * 10, Weight: 0.1 + random.Float64()}
				total += claims[n].Demand
			}
			capacity, sum := random.Float64()*30, 0.0
			shares := Shares(capacity, claims)
			for n, c := range claims {
				sum += shares[n]
				So(shares[n], ShouldBeLessThanOrEqualTo, c.Demand)
				for m, other := range claims {
					if shares[n] < c.Demand-1e-9 {
						So(shares[n]/c.Weight, ShouldBeGreaterThanOrEqualTo, shares[m]/other.Weight-1e-9)
					}
				}
			}
			So(sum, ShouldAlmostEqual, min(capacity, total), 1e-9)
		}
	})
}

// TestLoad guards against a measure of demand that is far behind when half of the
// callers move.
func TestLoad(t *testing.T) {
	Convey("the load is the rate times the work, and follows a step within two seconds", t, func() {
		var l Load
		now := catalog.Instant(time.Second)
		play := func(seconds, rate int) {
			for range seconds * rate {
				now = now.Add(time.Second / time.Duration(rate))
				l.Add(25*ms, now)
			}
		}
		play(10, 40)
		So(l.Statements(now), ShouldAlmostEqual, 1, 0.05)
		play(2, 80)
		So(l.Statements(now), ShouldAlmostEqual, 2, 0.15)
		So(l.Statements(now.Add(5*time.Second)), ShouldBeLessThan, 0.01)
	})
}

// TestSpread guards against entries that all move to the upstream that was the
// fastest last, and against an upstream that is never tried again.
func TestSpread(t *testing.T) {
	Convey("upstreams are selected in proportion to the inverse square of their times", t, func() {
		random, counts := rand.New(rand.NewPCG(1, 1)), [3]int{}
		for range 10000 {
			counts[Spread([]time.Duration{20 * ms, 20 * ms, 100 * ms}, random.Uint64())]++
		}
		So(counts[0], ShouldAlmostEqual, 4900, 200)
		So(counts[1], ShouldAlmostEqual, 4900, 200)
		So(counts[2], ShouldAlmostEqual, 200, 60)
		So(Spread(nil, 1), ShouldEqual, 0)
	})
}

// TestSpill guards against a fraction that rises without a benefit, that follows
// small changes, or that stays up when the other sites have no capacity.
func TestSpill(t *testing.T) {
	var s Spill
	now := catalog.Instant(time.Second)
	// hold shows the controller the same times for a while, at the rate of reads.
	hold := func(home, away, length time.Duration) float64 {
		for range length / (20 * ms) {
			now = now.Add(20 * ms)
			s.Update(View{Target: 100 * ms, AwayLimit: 100 * ms, Home: home, Away: away}, now)
		}
		return s.Fraction()
	}
	Convey("the fraction rises while the site is slow and another one is sooner, and falls again", t, func() {
		s = Spill{}
		So(hold(90*ms, 25*ms, 10*time.Second), ShouldEqual, 0)
		s = Spill{}
		So(hold(110*ms, 95*ms, 10*time.Second), ShouldEqual, 0)
		So(hold(400*ms, 25*ms, 2*time.Second), ShouldBeBetween, 0.5, 1.1)
		So(hold(400*ms, 25*ms, 10*time.Second), ShouldEqual, maxFraction)
		So(hold(85*ms, 25*ms, 10*time.Second), ShouldBeGreaterThan, 0.7)
		So(hold(25*ms, 25*ms, 10*time.Second), ShouldEqual, 0)
	})
	Convey("it drops to zero when the other sites are short of capacity, have none, or the target fails", t, func() {
		for _, end := range []func(){
			func() { hold(400*ms, 400*ms, 500*ms) },
			func() { hold(400*ms, 0, 100*ms) },
			func() { s.Drop(now) },
		} {
			s = Spill{}
			So(hold(400*ms, 25*ms, 5*time.Second), ShouldBeGreaterThan, 0.5)
			end()
			So(s.Fraction(), ShouldEqual, 0)
			So(s.Leaves(0), ShouldBeFalse)
		}
	})
	Convey("near the target it changes by less than a tenth in a second", t, func() {
		s = Spill{}
		for range 20 {
			before := s.Fraction()
			So(hold(120*ms, 25*ms, time.Second)-before, ShouldBeBetween, -0.1, 0.1)
		}
	})
}
