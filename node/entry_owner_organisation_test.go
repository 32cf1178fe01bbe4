package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/organisation"
)

// organisationSite returns the entries of a site with four owners, which all have
// the given organisations.
func organisationSite(organisations []catalog.Organisation) map[catalog.VMID]*listedEntry {
	vms := []catalog.VMID{"e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	out := map[catalog.VMID]*listedEntry{}
	for _, vm := range vms {
		w := newListedEntry()
		w.entry.options.VM = vm
		w.entry.organisations = organisation.New(organisations)
		w.answer.Entries, w.answer.SiteCount = vms, 2
		w.advance(time.Second)
		out[vm] = w
	}
	return out
}

// TestOrganisationsMeetAtOneOwner guards against an organisation whose requests run
// at several owners, each with connections of its own, against owners that run
// requests of other owners' organisations for their own callers, and against a large
// organisation that exceeds the network link of one owner.
func TestOrganisationsMeetAtOneOwner(t *testing.T) {
	Convey("the entries of a site send the requests of an organisation to the same owner", t, func() {
		site := organisationSite([]catalog.Organisation{{ID: "large", Rate: 150}, {ID: "small", Rate: 10}})
		next := catalog.RequestID(0)
		targets := func(id catalog.OrganisationID) map[catalog.VMID]bool {
			out := map[catalog.VMID]bool{}
			for vm, w := range site {
				next++
				w.run(RequestArrived{Request: next, Kind: KindWrite, Organisation: id})
				to, ok := w.forwarded(next)
				if !ok {
					to = vm
				}
				out[to] = true
			}
			return out
		}
		all := map[catalog.VMID]bool{}
		for n := range 40 {
			to := targets(catalog.OrganisationID(fmt.Sprint("o", n)))
			So(to, ShouldHaveLength, 1)
			for vm := range to {
				all[vm] = true
			}
		}
		So(all, ShouldHaveLength, 4)
		So(targets("small"), ShouldHaveLength, 1)
		So(len(targets("large")), ShouldBeBetweenOrEqual, 2, 3)
		Convey("and to another owner if that one declines", func() {
			for vm, w := range site {
				next++
				w.run(RequestArrived{Request: next, Kind: KindWrite, Organisation: "small"})
				first, ok := w.forwarded(next)
				if !ok {
					continue
				}
				w.effects = nil
				w.step(ForwardDone{Request: next, Outcome: ForwardDeclined})
				second, ok := w.forwarded(next)
				if !ok {
					second = vm
				}
				So(second, ShouldNotEqual, first)
			}
		})
	})
}

// TestOwnerOfALargeOrganisation guards against an owner of a large organisation that
// leaves slots of an upstream free, because it may only run an even part of the
// site's statements, and against owners that together run twice as many.
func TestOwnerOfALargeOrganisation(t *testing.T) {
	Convey("an owner runs as many statements as its organisations are expected to need", t, func() {
		organisations := []catalog.Organisation{{ID: "large", Rate: 30}}
		for n := range 35 {
			organisations = append(organisations, catalog.Organisation{ID: catalog.OrganisationID(fmt.Sprint("o", n)), Rate: 2})
		}
		site := organisationSite(organisations)
		sum, most := 0, 0
		for _, w := range site {
			s := w.entry.services["orders"]
			for n := range s.instances {
				s.instances[n].announcement.Slots = 5
			}
		}
		for _, w := range site {
			s := w.entry.services["orders"]
			if !w.entry.isOwner(s) {
				continue
			}
			n := w.entry.concurrencyLimit(s.instances[0])
			sum, most = sum+n, max(most, n)
		}
		So(most, ShouldBeGreaterThan, 1)
		So(sum, ShouldBeBetweenOrEqual, 5, 2*5)
	})
}
