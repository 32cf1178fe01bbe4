package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// opened returns the organisations of the connections that the effects open.
func (w *listedEntry) organisationOf(conn catalog.ConnID) catalog.OrganisationID {
	return w.entry.conns[conn].organisation
}

// TestPlaceOfAnotherOrganisation guards against a request that waits although all
// connections are idle, because they belong to other organisations, and against a
// request that runs on one of these.
func TestPlaceOfAnotherOrganisation(t *testing.T) {
	Convey("a request without a connection gets the place of an idle connection of another organisation", t, func() {
		w := newListedEntry()
		for n := range 40 {
			id := catalog.RequestID(n + 1)
			organisation := catalog.OrganisationID(fmt.Sprint("o", n%13))
			run, ok := w.run(RequestArrived{Request: id, Kind: KindWrite, Organisation: organisation})
			for range 5 {
				if !ok {
					w.advance(10 * time.Millisecond)
					run, ok = w.running(id)
				}
			}
			So(ok, ShouldBeTrue)
			So(w.organisationOf(run.Conn), ShouldEqual, organisation)
			So(len(w.entry.services["orders"].instance("a").conns), ShouldBeLessThanOrEqualTo, w.granted)
			w.step(RequestDone{Request: id, Conn: run.Conn, Outcome: OutcomeCompleted, Position: catalog.Position{Term: 1, Offset: 6}, PositionQueriedAt: w.now, Reusable: true})
		}
	})
}
