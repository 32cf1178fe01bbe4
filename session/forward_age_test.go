package session

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// A maximum age of zero, or one that is rounded to zero milliseconds, arrived at the
// other entry as no bound, also from and at an earlier build.
func TestForwardedAge(t *testing.T) {
	Convey("a read that accepts no age, or less than a millisecond, is forwarded to the primary", t, func() {
		g := newHarness(t)
		for age, primaryOnly := range map[time.Duration]bool{
			0: true, 300 * time.Microsecond: true, time.Millisecond: false, catalog.UnboundedAge: false,
		} {
			route := catalog.Route{Reads: catalog.ReadsBounded, MaxAge: age, Timeout: time.Second}
			f := g.session.newForwardedRequest(readSeven, route, node.KindRead, 2)
			So(f.PrimaryOnly, ShouldEqual, primaryOnly)
			var arrived ForwardedRequest
			encodeAndDecode(f, &arrived)
			So(arrived.route().NeedsPrimary(), ShouldEqual, primaryOnly)
		}
	})
	Convey("a request of an earlier build without an age is taken for one that accepts none", t, func() {
		f := ForwardedRequest{ID: "r1", Verb: VerbRead, Service: "orders"}
		So(f.route().NeedsPrimary(), ShouldBeTrue)
	})
}
