package node

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// TestPlacesOfOrganisations guards against a request that runs on a connection of
// another organisation, whatever is lost, cut off or reclaimed meanwhile, against
// more connections than granted, and against a request that is never answered.
func TestPlacesOfOrganisations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newPlaceWorld(rapid.IntRange(1, 5).Draw(t, "slots"), rapid.IntRange(1, 6).Draw(t, "granted"), 10*time.Millisecond)
		kinds := []RequestKind{KindRead, KindRead, KindWrite, KindBegin}
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			conns := w.openConns()
			switch rapid.IntRange(0, 12).Draw(t, "verb") {
			case 0:
				w.granted = rapid.IntRange(0, 6).Draw(t, "granted")
			case 1, 2:
				if len(conns) > 0 {
					w.cut(rapid.SampledFrom(conns).Draw(t, "conn"), rapid.SampledFrom([]wire.Evidence{wire.EvidenceNone, wire.EvidenceRefused}).Draw(t, "evidence"))
				}
			case 3:
				if len(conns) > 0 {
					c := rapid.SampledFrom(conns).Draw(t, "held")
					w.step(TransactionAbandoned{Conn: c})
					w.cut(c, wire.EvidenceNone)
				}
			case 4:
				w.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			default:
				organisation := catalog.OrganisationID(rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e"}).Draw(t, "organisation"))
				kind := rapid.SampledFrom(kinds).Draw(t, "kind")
				w.submit(RequestArrived{Kind: kind, Organisation: organisation}, 0, time.Second)
			}
			w.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * time.Millisecond)
		}
		w.granted = 6
		w.advance(3 * time.Second)
		for id := range w.requests {
			if _, ok := w.answers[id]; !ok {
				w.violations = append(w.violations, fmt.Sprintf("request %d was never answered", id))
			}
		}
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}

// TestPlacesWithAnnouncements guards against the same faults at an entry that learns
// of upstreams from their announcements and reserves connections for probes.
func TestPlacesWithAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomWorld(t, func(*Entry) {})
		for n := range rapid.IntRange(1, 20).Draw(t, "requests") {
			w.submit(RequestArrived{
				Request: catalog.RequestID(n + 1000), Service: "orders", Kind: rapid.SampledFrom([]RequestKind{KindRead, KindWrite}).Draw(t, "kind"),
				Organisation: catalog.OrganisationID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "organisation")), Deadline: w.now.Add(time.Second),
			})
			for range rapid.IntRange(0, 10).Draw(t, "wait") {
				w.advance(5 * time.Millisecond)
				for _, c := range w.entry.conns {
					if c.request != nil && c.organisation != c.request.Organisation {
						t.Fatalf("a request of %q runs on a connection of %q", c.request.Organisation, c.organisation)
					}
				}
			}
		}
		for _, id := range w.instanceIDs() {
			w.upstreams[id].held = false
			w.playDown(w.upstreams[id], true)
		}
		w.advance(3 * time.Second)
		for id := range w.requests {
			if _, ok := w.answers[id]; !ok {
				w.addViolation("request %d was never answered", id)
			}
		}
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}

// TestManyOrganisationsInFewPlaces guards against organisations that are not served
// because the places are taken by others, and against an owner that opens a
// connection for most requests, so that the upstream has no slots for statements.
func TestManyOrganisationsInFewPlaces(t *testing.T) {
	const (
		organisations = 73
		rate          = 40.0
		seconds       = 30
		objective     = 400 * time.Millisecond
	)
	Convey("73 organisations of Zipf sizes with 4 places at the primary are served within their objective", t, func() {
		w := newPlaceWorld(4, 4, 15*time.Millisecond)
		var sums []float64
		total := 0.0
		for n := range organisations {
			total += math.Pow(float64(n+1), -1.2)
			sums = append(sums, total)
		}
		arrived := map[catalog.RequestID]catalog.Instant{}
		due, opensBefore := 0.0, w.opens
		for range int(seconds * time.Second / placeStep) {
			for due += rate * placeStep.Seconds(); due >= 1; due-- {
				x, n := float64(w.entry.nextRandom()>>11)/(1<<53)*total, 0
				for sums[n] < x {
					n++
				}
				id := w.submit(RequestArrived{Kind: KindWrite, Organisation: catalog.OrganisationID(fmt.Sprint("o", n))}, objective, time.Second)
				arrived[id] = w.now
			}
			w.advance(placeStep)
		}
		w.advance(time.Second)
		late := map[catalog.OrganisationID]int{}
		for id, at := range arrived {
			if started, ok := w.startedAt[id]; !ok || started.Sub(at) > objective/2 {
				late[w.requests[id].Organisation]++
			}
		}
		opens := float64(w.opens-opensBefore) / seconds
		t.Logf("%.1f opens per second, %d of %d late", opens, len(late), len(arrived))
		So(w.violations, ShouldBeEmpty)
		So(late, ShouldBeEmpty)
		So(opens, ShouldBeLessThan, rate)
	})
}

// TestPlaceIsTakenFromBusyOrganisation guards against a request that waits until its
// deadline because the only connection is idle only for moments, between requests of
// another organisation.
func TestPlaceIsTakenFromBusyOrganisation(t *testing.T) {
	Convey("a request gets the only place although another organisation has requests waiting all the time", t, func() {
		w := newPlaceWorld(4, 1, 10*time.Millisecond)
		for range 100 {
			w.submit(RequestArrived{Kind: KindWrite, Organisation: "busy"}, 0, 2*time.Second)
		}
		id := w.submit(RequestArrived{Kind: KindWrite, Organisation: "other"}, 0, 3*time.Second)
		w.advance(100 * time.Millisecond)
		for range 100 {
			w.submit(RequestArrived{Kind: KindWrite, Organisation: "busy"}, 0, 3*time.Second)
			w.advance(10 * time.Millisecond)
		}
		w.advance(3 * time.Second)
		So(w.startedAt, ShouldContainKey, id)
		// The hundred requests ahead take 1.2 s, and all requests 2.4 s.
		So(w.startedAt[id].Sub(w.requests[id].Deadline)+3*time.Second, ShouldBeLessThan, 1600*time.Millisecond)
		So(w.violations, ShouldBeEmpty)
	})
}

// TestReadsUseOpenConnections guards against reads that open a connection at one
// replica while another one of the site has an idle connection, and against a read
// for which connections are opened at all replicas.
func TestReadsUseOpenConnections(t *testing.T) {
	Convey("the reads of an organisation stay at the replica that has its connection", t, func() {
		w := newPlaceWorld(4, 6, 10*time.Millisecond)
		before := w.opens
		for n := range 100 {
			w.submit(RequestArrived{Kind: KindRead, Organisation: catalog.OrganisationID(fmt.Sprint("o", n%3))}, 200*time.Millisecond, time.Second)
			w.advance(40 * time.Millisecond)
		}
		So(w.opens-before, ShouldBeLessThanOrEqualTo, 3)
		So(w.violations, ShouldBeEmpty)
	})
}

// TestIdleConnectionsOfOrganisations guards against connections of organisations
// that have stopped sending, which would keep places for ever, and against an often
// used connection that is closed after a pause.
func TestIdleConnectionsOfOrganisations(t *testing.T) {
	Convey("an owner keeps the connections that are used often, and later closes all but one", t, func() {
		w := newPlaceWorld(4, 6, 10*time.Millisecond)
		for n := range 50 {
			w.submit(RequestArrived{Kind: KindWrite, Organisation: catalog.OrganisationID(fmt.Sprint("o", n%4))}, 0, time.Second)
			w.advance(50 * time.Millisecond)
		}
		i := w.entry.services["orders"].instance("a")
		So(i.openCount(), ShouldBeGreaterThanOrEqualTo, 4)
		So(w.entry.desiredConns(i), ShouldBeGreaterThanOrEqualTo, 4)
		w.advance(connIdleTimeout + time.Second)
		So(i.openCount(), ShouldBeGreaterThanOrEqualTo, 4)
		w.advance(8 * connIdleTimeout)
		So(i.openCount(), ShouldEqual, 1)
		So(w.entry.desiredConns(i), ShouldEqual, 1)
	})
}
