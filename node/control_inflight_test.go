package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// TestLongConfigurationOnASlowLink guards against an entry that never gets its
// first configuration, as control repeats it, together with lists of upstreams,
// faster than the entry's link of 2 Mbit/s carries it.
func TestLongConfigurationOnASlowLink(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		linkRate = 250_000
		// A route and an announcement have about 100 bytes each. Other traffic
		// takes half of the link.
		itemBytes = 100
	)
	Convey("what waits for the link is bounded, and the entry gets the configuration", t, func() {
		w := newLargeControl()
		w.announceMany(3600)
		c := catalog.Configuration{Version: 2}
		for n := range largeFleetServices {
			c.Services = append(c.Services, catalog.Service{
				ID: largeServiceID(n), Ack: catalog.AckPrimary, Instances: 3,
				Limits: catalog.Limits{Connections: 64, Reserved: 2, Slots: 1},
			})
		}
		for n := range 3152 {
			c.Routes = append(c.Routes, catalog.Route{
				RouteKey: catalog.RouteKey{Database: fmt.Sprintf("d%04d", n)}, Service: largeServiceID(n % largeFleetServices), Timeout: time.Second,
			})
		}
		So(w.runCommand(Command{Adopt: &AdoptSettings{Configuration: c}}).Code, ShouldEqual, ReplyOK)
		free, longest, configurations := w.now, time.Duration(0), 0
		seen := len(w.sentMessages)
		for sequence := uint64(1); sequence <= 80; sequence++ {
			// The link is so slow that the entry confirms nothing meanwhile.
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
				VM: "e1", Site: "s1", Incarnation: 1, Sequence: sequence, EntriesMark: 1,
			}}})
			for _, m := range w.sentMessages[seen:] {
				if a := m.Message.Answer; a != nil && m.To == "e1" {
					items := len(a.Routes) + len(a.Upstreams)
					free = max(free, w.now).Add(2 * time.Duration(items) * itemBytes * time.Second / linkRate)
					if len(a.Routes) > 0 {
						configurations++
					}
				}
			}
			seen = len(w.sentMessages)
			longest = max(longest, free.Sub(w.now))
			w.advance(interval)
		}
		So(configurations, ShouldBeLessThanOrEqualTo, 3)
		So(longest, ShouldBeLessThan, 4*time.Second)
	})
}

// TestLongConfigurationComesWithAnAnswer guards against a long first configuration
// that the entry drops: it comes as a second answer to a report, after the entry has
// given its leader up since nothing came while the link was busy.
func TestLongConfigurationComesWithAnAnswer(t *testing.T) {
	for _, routes := range []int{20, 3152} {
		Convey(fmt.Sprintf("a first configuration of %d routes", routes), t, func() {
			w := newLargeControl()
			report := func(sequence uint64) {
				w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
					VM: "e1", Site: "s1", Incarnation: 1, Sequence: sequence, EntriesMark: 1,
				}}})
			}
			report(1)
			c := catalog.Configuration{Version: 2, Services: w.control.state.Services}
			for n := range routes {
				c.Routes = append(c.Routes, catalog.Route{
					RouteKey: catalog.RouteKey{Database: fmt.Sprintf("d%04d", n)}, Service: largeServiceID(n % largeFleetServices), Timeout: time.Second,
				})
			}
			So(w.runCommand(Command{Adopt: &AdoptSettings{Configuration: c}}).Code, ShouldEqual, ReplyOK)
			wasPushed := len(w.lastAnswer("e1").Routes) > 0
			So(wasPushed, ShouldEqual, routes == 20)
			w.advance(200 * time.Millisecond)
			report(2)
			So(w.lastAnswer("e1").Routes, ShouldHaveLength, routes)
		})
	}
}
