package capacity

import (
	"testing"
	"time"
)

func scarceLoad(entriesPerSite []int, load float64) ScarcityLoad {
	return ScarcityLoad{
		EntriesPerSite: entriesPerSite, Slots: 3, Load: load, Length: 20 * time.Second, Seed: 1,
		Kinds: []ScarcityKind{
			{Database: "short", Work: 24 * time.Millisecond, Objective: 400 * time.Millisecond, Share: 0.75},
			{Database: "long", Work: 40 * time.Millisecond, Objective: 600 * time.Millisecond, Share: 0.25},
		},
	}
}

// TestScarcity guards against a saturated primary that is shared by entry and not
// by caller, against long reads that displace short ones, and against refusals that
// come late.
func TestScarcity(t *testing.T) {
	for _, entries := range [][]int{{3, 2, 1}, {60, 60, 60, 60, 60}} {
		for _, load := range []float64{1.7, 2.5} {
			s := PlayScarcity(scarceLoad(entries, load))
			least, most := 1.0, 0.0
			for site := range entries {
				row := s.Site(site)
				share := float64(row.InTime) / float64(row.Offered)
				least, most = min(least, share), max(most, share)
			}
			total, short, long := s.Total(), s.Kind("short"), s.Kind("long")
			t.Logf("%v, %.1f: %+v, short %+v, long %+v, best %d, shares of sites %.2f to %.2f", entries, load, total, short, long, s.BestInTime, least, most)
			if most > 1.2*least {
				t.Errorf("%v, %.1f: the callers of one site have %.2f of the chance of another's", entries, load, least/most)
			}
			if float64(short.InTime)/float64(short.Offered) <= float64(long.InTime)/float64(long.Offered) || long.InTime == 0 {
				t.Errorf("%v, %.1f: short reads are not preferred, or long ones starve", entries, load)
			}
			if refused := total.Offered - total.InTime; total.RefusedSoon < refused*8/10 {
				t.Errorf("%v, %.1f: %d of %d refusals come at once", entries, load, total.RefusedSoon, refused)
			}
		}
	}
}

// TestScarcityWithLostAnswers guards against places at a scarce primary that are
// held for answers which never come.
func TestScarcityWithLostAnswers(t *testing.T) {
	l := scarceLoad([]int{3, 2, 1}, 1.7)
	all := PlayScarcity(l).Total()
	l.LostPercent = 3
	lossy := PlayScarcity(l).Total()
	t.Logf("%+v without, %+v with lost answers", all, lossy)
	if float64(lossy.InTime) < 0.9*float64(all.InTime) {
		t.Errorf("%d of %d reads are served with 3%% of the answers lost", lossy.InTime, all.InTime)
	}
}
