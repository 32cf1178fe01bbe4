package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// TestRoutesAreNotSentAgainWhileOnTheirWay holds control to what the link of an
// entry carries: 2 Mbit/s, of which the configuration may not take more than all.
func TestRoutesAreNotSentAgainWhileOnTheirWay(t *testing.T) {
	Convey("an entry that reports while a large configuration is on its way to it does not get it with each report", t, func() {
		const (
			routes      = 3000
			linkBytes   = 2_000_000 / 8
			reportEvery = 200 * time.Millisecond
		)
		w := newSoloControl(quorum.PersistentState{})
		c := adoptCommand(1, time.Second)
		for n := range routes {
			c.Adopt.Configuration.Routes = append(c.Adopt.Configuration.Routes, catalog.Route{
				RouteKey: catalog.RouteKey{Database: fmt.Sprintf("base%d", n)}, Service: "orders", Timeout: time.Second,
			})
		}
		w.runCommand(c)
		w.sentMessages = nil
		// The entry has not got the first answer yet, so that its reports still
		// say that it has no configuration.
		for n := range int(time.Second / reportEvery) {
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Site: "s1", Sequence: uint64(n + 1)}}})
			w.advance(reportEvery)
		}
		sent := 0
		for _, s := range w.sentMessages {
			if s.To == "e1" {
				data, err := link.Encode(s.Message)
				So(err, ShouldBeNil)
				sent += len(data)
			}
		}
		So(sent, ShouldBeLessThanOrEqualTo, linkBytes)
	})
}
