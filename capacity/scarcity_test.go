package capacity

import (
	"testing"
	"time"
)

// scarcePlays plays sites with three, two and one entries, and a large fleet, at 170
// and 250% of the primary.
func scarcePlays(t *testing.T, check func(t *testing.T, l ScarcityLoad, s Scarcity)) {
	t.Helper()
	for _, entries := range [][]int{{3, 2, 1}, {60, 60, 60, 60, 60}} {
		for _, load := range []float64{1.7, 2.5} {
			l := ScarcityLoad{EntriesPerSite: entries, Slots: 3, Load: load, Kinds: DefaultScarcityKinds(), Length: 20 * time.Second, Seed: 1}
			s := PlayScarcity(l)
			t.Logf("%v, %.1f: short %+v, long %+v, best %d", entries, load, s.Kind("short"), s.Kind("long"), s.BestInTime)
			check(t, l, s)
		}
	}
}

func (r ScarcityRow) share() float64 { return float64(r.InTime) / float64(r.Offered) }

// TestScarcityIsSharedBySites guards against a saturated primary that is shared by
// entry and not by caller: the same kind of read has the same chance at each site
// within 20%.
func TestScarcityIsSharedBySites(t *testing.T) {
	scarcePlays(t, func(t *testing.T, l ScarcityLoad, s Scarcity) {
		least, most := 1.0, 0.0
		for site := range l.EntriesPerSite {
			least, most = min(least, s.Site(site).share()), max(most, s.Site(site).share())
		}
		if most > 1.2*least {
			t.Errorf("%v, %.1f: the chances of sites are %.2f to %.2f", l.EntriesPerSite, l.Load, least, most)
		}
	})
}

// TestScarcityPrefersShortReads guards against long reads that displace a larger
// number of short ones, and against long reads that starve.
func TestScarcityPrefersShortReads(t *testing.T) {
	scarcePlays(t, func(t *testing.T, l ScarcityLoad, s Scarcity) {
		short, long := s.Kind("short"), s.Kind("long")
		if short.share() <= long.share() || long.InTime == 0 {
			t.Errorf("%v, %.1f: short reads have a chance of %.2f, long ones of %.2f", l.EntriesPerSite, l.Load, short.share(), long.share())
		}
	})
}

// TestScarcityRefusesAtOnce guards against reads that wait although they can't be
// served: 80% of the refusals come within a quarter of the objective.
func TestScarcityRefusesAtOnce(t *testing.T) {
	scarcePlays(t, func(t *testing.T, l ScarcityLoad, s Scarcity) {
		total := s.Total()
		if refused := total.Offered - total.InTime; total.RefusedSoon < refused*8/10 {
			t.Errorf("%v, %.1f: %d of %d refusals come at once", l.EntriesPerSite, l.Load, total.RefusedSoon, refused)
		}
	})
}

// TestScarcityWithLostAnswers guards against places at a scarce primary that are
// held for answers which never come.
func TestScarcityWithLostAnswers(t *testing.T) {
	l := ScarcityLoad{EntriesPerSite: []int{3, 2, 1}, Slots: 3, Load: 1.7, Kinds: DefaultScarcityKinds(), Length: 20 * time.Second, Seed: 1}
	all := PlayScarcity(l).Total()
	l.LostPercent = 3
	lossy := PlayScarcity(l).Total()
	t.Logf("%+v without, %+v with lost answers", all, lossy)
	if float64(lossy.InTime) < 0.9*float64(all.InTime) {
		t.Errorf("%d of %d reads are served with 3%% of the answers lost", lossy.InTime, all.InTime)
	}
}
