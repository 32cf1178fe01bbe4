package node

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// replicaSites are three sites with six entries and a replica each. The primary
// takes no reads.
func replicaSites(load, slow func(int, time.Duration) float64) *sitePlay {
	return &sitePlay{entriesPerSite: []int{6, 6, 6}, upstreams: []int{0, 0, 1, 2}, withoutPrimary: true, load: load, slow: slow}
}

func waveSites(mean float64) func(int, time.Duration) float64 {
	return func(site int, at time.Duration) float64 {
		return mean * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+float64(site)/3)))
	}
}

// slowUpstream makes one upstream five times as slow.
func slowUpstream(slow int) func(int, time.Duration) float64 {
	return func(upstream int, _ time.Duration) float64 {
		if upstream == slow {
			return 5
		}
		return 1
	}
}

// playBoth plays a load without and with BalanceSites.
func playBoth(t *testing.T, name string, length time.Duration, newPlay func() *sitePlay) (before, now *sitePlay) {
	t.Helper()
	before, now = newPlay(), newPlay()
	now.balanced = true
	before.play(length)
	before.log(t, name+", without")
	now.play(length)
	now.log(t, name+", with")
	return before, now
}

// chances returns the lowest and the highest chance of a site's requests to be
// served in time.
func (p *sitePlay) chances() (least, most float64) {
	least = 1
	for site, offered := range p.offered {
		chance := float64(p.inTime[site]) / float64(offered)
		least, most = min(least, chance), max(most, chance)
	}
	return least, most
}

// TestSitesShareThePrimaryByDemand guards against a saturated primary of which
// every site gets the same although one asks for twice as much, so that its callers
// have half the chance of others.
func TestSitesShareThePrimaryByDemand(t *testing.T) {
	for name, newPlay := range map[string]func() *sitePlay{
		"one site at twice the demand": func() *sitePlay {
			return &sitePlay{entriesPerSite: []int{6, 6, 6}, upstreams: []int{0, 1, 2}, writes: 1, load: constantSites(0.9, 0.45, 0.45)}
		},
		"waves of 13 s by 55%": func() *sitePlay {
			return &sitePlay{entriesPerSite: []int{6, 6, 6}, upstreams: []int{0, 1, 2}, writes: 1, load: waveSites(0.6)}
		},
		"half of the callers move to one site for 6.5 s": func() *sitePlay {
			hasMoved := func(at time.Duration) bool { return at >= 10*time.Second && at < 16500*time.Millisecond }
			return &sitePlay{entriesPerSite: []int{6, 6, 6}, upstreams: []int{0, 1, 2}, writes: 1, isCounted: hasMoved, load: func(site int, at time.Duration) float64 {
				switch {
				case !hasMoved(at):
					return 0.6
				case site == 0:
					return 1.2
				}
				return 0.3
			}}
		},
		"sites with 3, 9 and 4 entries": func() *sitePlay {
			return &sitePlay{entriesPerSite: []int{3, 9, 4}, upstreams: []int{0, 1, 2}, writes: 1, load: constantSites(0.6, 1.2, 0.6)}
		},
	} {
		Convey(name+": the chances of sites at a saturated primary differ by at most 20%", t, func() {
			before, now := playBoth(t, name, 30*time.Second, newPlay)
			least, most := now.chances()
			So(most, ShouldBeLessThan, 1.2*least)
			So(sumOf(now.inTime), ShouldBeGreaterThan, sumOf(before.inTime)*95/100)
		})
	}
}

// TestReadsLeaveABusySite guards against reads that stay in a site whose replica
// can't run them while others have capacity, against traffic that gains nothing,
// and against a fraction that oscillates.
func TestReadsLeaveABusySite(t *testing.T) {
	loads := map[string]struct {
		load func(int, time.Duration) float64
		slow func(int, time.Duration) float64
		// served is the least part of the best split to be served in time.
		served, best float64
		// needsTraffic is set if reads have to leave to keep their objective.
		needsTraffic bool
	}{
		"ordinary load": {constantSites(0.4, 0.4, 0.4), nil, 1, 1, false},
		"sites at 70, 100 and 160% of their replicas": {constantSites(0.7, 1, 1.6), nil, 0.95, 3 / 3.3, false},
		"one site at 130% of its replica":             {constantSites(0.5, 0.5, 1.3), nil, 0.99, 1, false},
		"waves of 13 s by 55%":                        {waveSites(0.8), nil, 0.99, 1, false},
		"an upstream five times as slow":              {constantSites(0.4, 0.4, 0.4), slowUpstream(3), 0.99, 1, true},
	}
	for name, x := range loads {
		Convey(name+": reads are served as in the best split, with no more traffic between sites than they need", t, func() {
			before, now := playBoth(t, name, 40*time.Second, func() *sitePlay { return replicaSites(x.load, x.slow) })
			So(float64(sumOf(now.inTime))/float64(sumOf(now.offered)), ShouldBeGreaterThanOrEqualTo, x.served*x.best)
			if !x.needsTraffic {
				So(sumOf(now.away), ShouldBeLessThanOrEqualTo, sumOf(before.away))
			}
			So(sumOf(now.lost), ShouldEqual, 0)
			So(now.fastest(10*time.Second), ShouldBeLessThan, 0.1)
		})
	}
	Convey("a site whose only upstream is the primary sends no more reads away than before", t, func() {
		before, now := playBoth(t, "primary at home", 40*time.Second, func() *sitePlay {
			return &sitePlay{entriesPerSite: []int{6, 6, 6}, upstreams: []int{0, 1, 2}, load: constantSites(0.4, 0.4, 0.4)}
		})
		So(sumOf(now.away), ShouldBeLessThanOrEqualTo, sumOf(before.away))
		So(now.remotePrimaryReads, ShouldEqual, 0)
	})
	Convey("a site without an upstream is served by the others", t, func() {
		p := &sitePlay{entriesPerSite: []int{6, 6, 6, 6}, upstreams: []int{0, 0, 1, 2}, load: constantSites(0.5, 0.5, 0.5, 0.5), balanced: true}
		p.play(20 * time.Second)
		p.log(t, "site without an upstream")
		So(sumOf(p.inTime), ShouldBeGreaterThan, sumOf(p.offered)*99/100)
		So(p.remotePrimaryReads, ShouldEqual, 0)
	})
}

// TestReadsReturnWhenTheTargetFails guards against reads that go on leaving a site
// whose target has failed, and against requests whose outcome is lost by it.
func TestReadsReturnWhenTheTargetFails(t *testing.T) {
	Convey("most reads leave an upstream five times as slow, none after the target is cut, and no request is lost", t, func() {
		const cutAt = 20 * time.Second
		p := &sitePlay{entriesPerSite: []int{6, 6}, upstreams: []int{0, 0, 1}, load: constantSites(0.4, 0.15), writes: 0.1, balanced: true}
		p.slow = slowUpstream(2)
		p.isDown = func(upstream int, at time.Duration) bool { return upstream == 1 && at >= cutAt }
		p.beforeTick = func(at time.Duration) {
			if at == cutAt {
				p.cut(1)
			}
		}
		p.play(30 * time.Second)
		p.log(t, "slow, cut")
		atCut := int(cutAt / (100 * time.Millisecond))
		So(p.fractions[1][atCut-1], ShouldBeGreaterThan, 0.5)
		// Entries without a connection to the target learn of its failure when a
		// read asks for one; that read runs at home.
		So(p.fractions[1][atCut+2], ShouldBeLessThan, 0.2)
		for _, f := range p.fractions[1][atCut+15:] {
			So(f, ShouldEqual, 0)
		}
		So(sumOf(p.lost), ShouldEqual, 0)
		So(len(p.logs), ShouldBeLessThan, 60)
	})
}

// TestSiteShareExpires guards against a share that outlives the leader that
// assigned it, and against shares that take effect without the option.
func TestSiteShareExpires(t *testing.T) {
	Convey("a share divides the statements among the owners until it expires", t, func() {
		w := newListedEntry()
		w.answer.Entries, w.answer.SiteCount = []catalog.VMID{"e1", "e2"}, 1
		w.answer.SiteShares = []wire.SiteShare{{Service: "orders", Statements: 7, Length: time.Second}}
		w.advance(time.Second)
		primary := w.entry.services["orders"].instance("a")
		even := w.entry.concurrencyLimit(primary)
		So(even, ShouldEqual, siteConcurrencyFactor*primary.slots()/2)
		w.entry.options.BalanceSites = true
		w.advance(time.Second)
		sum := 0
		for range sharePhases {
			w.advance(sharePhaseLength)
			sum += w.entry.concurrencyLimit(primary)
		}
		So(float64(sum)/sharePhases, ShouldAlmostEqual, 3.5)
		So(w.entry.concurrencyLimit(w.entry.services["orders"].instance("b")), ShouldEqual, even)
		w.controlAnswers = false
		w.advance(2 * time.Second)
		So(w.entry.concurrencyLimit(primary), ShouldEqual, even)
	})
}

// TestLeaderDividesByReportedWork guards against shares from outdated reports or
// from a leader that has not heard of all entries, and against shares that are sent
// without need or without the option.
func TestLeaderDividesByReportedWork(t *testing.T) {
	Convey("the leader sends shares while the work exceeds what the sites may run, by the last reports", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		a := testAnnouncement("a", catalog.RolePrimary, 1)
		a.Slots = 5
		w.runCommand(Command{Announce: &Announce{Announcement: a}})
		sequence := uint64(0)
		// report reports the work of entries of two sites and returns the share of
		// the first site.
		report := func(asked ...float32) float32 {
			var answer *wire.Answer
			for range 2 {
				w.advance(150 * time.Millisecond)
				sequence++
				for n, x := range asked {
					r := wire.Report{VM: catalog.VMID([]string{"e1", "e2"}[n]), Site: playSite(n), Sequence: sequence, Services: []catalog.ServiceID{"orders"}}
					if x > 0 {
						r.Work = []wire.ServiceWork{{Service: "orders", Asked: x}}
					}
					w.step(MessageReceived{From: r.VM, Message: wire.Message{Report: &r}})
				}
				answer = w.lastAnswer("e1")
			}
			if len(answer.SiteShares) == 0 {
				return 0
			}
			return answer.SiteShares[0].Statements
		}
		So(report(30, 10), ShouldEqual, 0)
		w.control.options.BalanceSites = true
		So(report(30, 10), ShouldEqual, 15)
		So(report(10, 9), ShouldEqual, 0)
		So(report(21, 20), ShouldEqual, 0)
		So(report(30, 0), ShouldAlmostEqual, 18.46, 0.01)
		w.advance(10 * time.Second)
		So(report(30), ShouldEqual, 0)
	})
}

// TestReadsDoNotWaitForReplicasBehind guards against reads that wait for a slot at a
// replica of their site which the last read found too old, while the primary is free.
func TestReadsDoNotWaitForReplicasBehind(t *testing.T) {
	Convey("a read runs at the primary at once if all replicas are behind and busy", t, func() {
		w := newListedEntry()
		w.entry.options.BalanceSites = true
		for _, i := range w.entry.services["orders"].instances {
			if i.id != "a" {
				i.positionKnown, i.behindCount, i.running = true, 1, 100
			}
		}
		run, ok := w.run(RequestArrived{Request: 1, Kind: KindRead, Objective: 400 * time.Millisecond, Floor: catalog.Position{Term: 1, Offset: 9}})
		So(ok, ShouldBeTrue)
		So(w.conns[run.Conn], ShouldEqual, catalog.InstanceID("a"))
	})
}
