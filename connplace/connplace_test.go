package connplace

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestEvictionByUse guards against an order of eviction that is no better than
// the least recently used connection first, which lets organisations with rare
// requests displace those with many.
func TestEvictionByUse(t *testing.T) {
	const (
		organisations, places = 73, 12
		requests              = 40000
		interval              = 100 * time.Millisecond
	)
	play := func(byUse bool) (opens int) {
		random := rand.New(rand.NewSource(1))
		var sums []float64
		total := 0.0
		for n := range organisations {
			total += math.Pow(float64(n+1), -1.2)
			sums = append(sums, total)
		}
		var u Uses
		var open []Candidate
		now := catalog.Instant(time.Second)
		for n := range requests {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(interval)))
			x := random.Float64() * total
			id := catalog.OrganisationID(fmt.Sprint(slices.IndexFunc(sums, func(s float64) bool { return s >= x })))
			k := slices.IndexFunc(open, func(c Candidate) bool { return c.Organisation == id })
			if k < 0 {
				opens++
				if len(open) == places {
					if byUse {
						u.SortByUse(open, interval/4, now)
					} else {
						slices.SortFunc(open, func(a, b Candidate) int { return int(a.IdleSince - b.IdleSince) })
					}
					open = open[1:]
				}
				open = append(open, Candidate{Conn: catalog.ConnID(n + 1), Organisation: id, Nth: 1})
				k = len(open) - 1
			}
			open[k].IdleSince = now
			u.Record(id, now)
		}
		return opens
	}
	Convey("closing the connection with the lowest expected use needs fewer openings than closing the least recently used one", t, func() {
		byUse, byAge := play(true), play(false)
		t.Logf("%d openings by use, %d by age, of %d requests", byUse, byAge, requests)
		So(byUse, ShouldBeLessThan, byAge*9/10)
	})
}

// TestUses guards against rates that are off by a factor, against a second
// connection that seems as useful as the first, and against memory that grows with
// the number of organisations ever seen.
func TestUses(t *testing.T) {
	Convey("the rate follows the uses", t, func() {
		var u Uses
		now := catalog.Instant(time.Second)
		for range 300 {
			now = now.Add(200 * time.Millisecond)
			u.Record("a", now)
		}
		So(u.Rate("a", now), ShouldAlmostEqual, 5, 0.3)
		So(u.Rate("a", now.Add(HalfLife)), ShouldAlmostEqual, 2.5, 0.2)
		So(u.ExpectedUse("a", 1, 20*time.Millisecond, now), ShouldAlmostEqual, 5, 0.3)
		So(u.ExpectedUse("a", 2, 20*time.Millisecond, now), ShouldAlmostEqual, 5*(1-math.Exp(-0.1)), 0.1)
		So(u.Wanted(nil, 10, 20*time.Millisecond, now), ShouldEqual, 2)
		So(u.Wanted(map[catalog.OrganisationID]int{"a": 1, "b": 2}, 10, 20*time.Millisecond, now), ShouldEqual, 4)
		So(u.Wanted(nil, 10, 20*time.Millisecond, now.Add(20*HalfLife)), ShouldEqual, 0)
		So(u.counts, ShouldBeEmpty)
	})
	Convey("the number of organisations is bounded, and those with many uses are kept", t, func() {
		var u Uses
		now := catalog.Instant(time.Second)
		for n := range 3 * maxOrganisations {
			now = now.Add(time.Millisecond)
			u.Record("often", now)
			u.Record(catalog.OrganisationID(fmt.Sprint(n)), now)
		}
		So(len(u.counts), ShouldBeLessThanOrEqualTo, maxOrganisations)
		So(u.Rate("often", now), ShouldBeGreaterThan, 30)
	})
}

// TestNeededConnections guards against a connection that is closed although requests
// wait for it and others are idle, and against one of an organisation behind its share
// that is closed before that of one ahead of it.
func TestNeededConnections(t *testing.T) {
	Convey("connections without waiting requests come first, then those with the highest tag", t, func() {
		var u Uses
		now := catalog.Instant(time.Second)
		for range 50 {
			u.Record("idle", now)
		}
		list := []Candidate{
			{Conn: 1, Organisation: "reserved", Reserved: true},
			{Conn: 2, Organisation: "behind", IsNeeded: true, Tag: 1},
			{Conn: 3, Organisation: "ahead", IsNeeded: true, Tag: 2},
			{Conn: 4, Organisation: "idle"},
		}
		u.SortByUse(list, time.Millisecond, now)
		var order []catalog.ConnID
		for _, c := range list {
			order = append(order, c.Conn)
		}
		So(order, ShouldResemble, []catalog.ConnID{4, 3, 2, 1})
	})
}
