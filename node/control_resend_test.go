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

// TestRoutesInFlightAreNotResent guards against a full link: control once sent
// a large configuration again with each answer to a report, while the first
// copy was still in flight. The answers must fit the entry's link of 2 Mbit/s.
func TestRoutesInFlightAreNotResent(t *testing.T) {
	Convey("an entry that reports while a large configuration is in flight does not get it again with each report", t, func() {
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
		// The entry has not received the first answer yet, so its reports still
		// state that it has no configuration.
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
