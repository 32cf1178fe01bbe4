package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// reportSpent sends an entry's report that it accepts no leases of an epoch.
func (o *controlHarness) reportSpent(vm catalog.VMID, epoch catalog.Epoch) {
	o.reportSequences[vm]++
	o.feed(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
		VM: vm, Site: harnessEntries[vm], Incarnation: 1, Sequence: o.reportSequences[vm],
		Services: []catalog.ServiceID{"ledger"}, SpentEpochs: []wire.ServiceEpoch{{Service: "ledger", Epoch: epoch}},
	}}})
}

// TestGivenUpChangeKeepsThePrimary guards against a planned change that is given up and then elects a replica that lacks writes, because the answer of the healthy primary comes last.
func TestGivenUpChangeKeepsThePrimary(t *testing.T) {
	Convey("a primary whose answer is late stays when no replica has caught up in time", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		o.feed(CommandReceived{Number: 7, Command: Command{Switch: &SwitchPrimary{Service: "ledger"}}})
		for vm := range harnessEntries {
			o.fence(vm)
		}
		o.advance(catchUpTimeout - 100*ms)
		position := o.positions["a"]
		delete(o.positions, "a")
		o.advance(300 * ms)
		o.positions["a"] = position
		o.advance(300 * ms)
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
		So(o.primary().Epoch, ShouldEqual, catalog.Epoch(2))
		So(o.primary().Ready, ShouldBeTrue)
	})
}

// TestSpentEpochIsRenewed guards against an epoch that entries gave up to a leader
// which ended before the election: later leaders must begin a new one.
func TestSpentEpochIsRenewed(t *testing.T) {
	Convey("an entry that has given up the epoch of a ready primary", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		o.reportSpent("e1", 1)
		Convey("gets no new epoch while another entry may write in the old one", func() {
			o.fence("e1")
			o.fence("e2")
			So(countEffects[Survey](o), ShouldEqual, 0)
			So(o.primary().Epoch, ShouldEqual, catalog.Epoch(1))
			o.fence("e3")
			So(o.primary().Epoch, ShouldEqual, catalog.Epoch(2))
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
			So(o.primary().Ready, ShouldBeTrue)
			So(o.lastAnswer("e1").Leases[0].Primary.Epoch, ShouldEqual, catalog.Epoch(2))
			Convey("and a late report of the old epoch changes nothing", func() {
				o.effects = nil
				o.reportSpent("e2", 1)
				o.advance(2 * time.Second)
				So(o.primary().Epoch, ShouldEqual, catalog.Epoch(2))
				So(countEffects[Promote](o), ShouldEqual, 0)
			})
		})
		Convey("keeps the primary, whose answer comes after those of the replicas", func() {
			position := o.positions["a"]
			delete(o.positions, "a")
			for vm := range harnessEntries {
				o.fence(vm)
			}
			o.advance(300 * ms)
			So(o.primary().Epoch, ShouldEqual, catalog.Epoch(1))
			o.positions["a"] = position
			o.advance(300 * ms)
			So(o.primary().Epoch, ShouldEqual, catalog.Epoch(2))
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
		})
		Convey("gets a replica if the primary does not answer", func() {
			delete(o.positions, "a")
			for vm := range harnessEntries {
				o.fence(vm)
			}
			o.advance(time.Second)
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
			So(o.primary().Ready, ShouldBeTrue)
		})
	})
}
