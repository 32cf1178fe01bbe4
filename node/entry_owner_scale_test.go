package node

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestOwnersOfManyServices guards against an entry that ranks the entries of its
// site again for all services whenever it learns of one more service. With 1,200
// services and 72 entries that takes an entry with a tenth of a core longer than
// the time between two reports, so that control takes it for lost.
func TestOwnersOfManyServices(t *testing.T) {
	Convey("one more service leaves the ranks of the others, and the ranks are those of the hashes", t, func() {
		e := NewEntry(EntryOptions{VM: "e1", UpstreamsFromControl: true})
		e.owners.entries, e.owners.sites, e.owners.mark = []catalog.VMID{"e1", "e2", "e3"}, 1, 7
		add := func(n int) *entryService { return e.service(catalog.ServiceID(fmt.Sprint("s", n))) }
		for n := range maxBalancedServices {
			e.ownersOf(add(n))
		}
		s := add(maxBalancedServices)
		e.ownersOf(s)
		first := &s.owners[0]
		e.ownersOf(add(maxBalancedServices + 1))
		e.ownersOf(s)
		So(&s.owners[0], ShouldEqual, first)
		So(rendezvousWeight(s.owners[0], s.id), ShouldBeGreaterThan, rendezvousWeight(s.owners[1], s.id))
		So(rendezvousWeight(s.owners[1], s.id), ShouldBeGreaterThan, rendezvousWeight(s.owners[2], s.id))
		balanced := e.services["s0"]
		e.ownersOf(balanced)
		So(balanced.owners, ShouldResemble, rankByHash(e.owners.entries, balanced.id))
		Convey("until the entries of the site change", func() {
			e.owners.entries, e.owners.mark = []catalog.VMID{"e1", "e2"}, 8
			e.ownersOf(s)
			So(s.owners, ShouldHaveLength, 2)
		})
	})
}
