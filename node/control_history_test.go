package node

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestLogOffTheHistoryIsNotElected guards against commits of a former primary that return, and commits of the term since that are lost, because the former primary is elected before it has followed.
func TestLogOffTheHistoryIsNotElected(t *testing.T) {
	Convey("after b has begun term 2 at offset 90 without a", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		former := o.positions["a"]
		delete(o.positions, "a")
		o.loseLeases()
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
		So(o.primary().Forks, ShouldResemble, catalog.Forks{{Term: 2, At: 90}})
		delete(o.positions, "b")
		Convey("a returns as a replica that holds offset 100 of term 1, and b is lost", func() {
			o.positions["a"], o.roles["a"] = former, catalog.RoleReplica
			Convey("then the replica that is on the history is elected, though it holds less", func() {
				o.loseLeases()
				So(o.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
				So(o.primary().Ready, ShouldBeTrue)
			})
			Convey("then nothing is elected without that replica, until a has followed term 2", func() {
				replica := o.positions["c"]
				delete(o.positions, "c")
				o.loseLeases()
				So(o.primary().Epoch, ShouldEqual, catalog.Epoch(2))
				o.positions["a"] = catalog.Position{Term: 2, Offset: 95}
				o.advance(300 * ms)
				So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
				o.positions["c"] = replica
			})
		})
	})
}

// TestLogOffTheHistoryHoldsNoSynchronousWrites guards against an election that never ends because it waits for the writes of a replica that can't hold any of the present term.
func TestLogOffTheHistoryHoldsNoSynchronousWrites(t *testing.T) {
	Convey("a replica off the history does not count among those that may hold synchronous writes", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		s, _ := o.control.state.Service("ledger")
		s.SyncReplicas = 1
		o.control.state.Services = []catalog.Service{s}
		former := o.positions["a"]
		delete(o.positions, "a")
		o.loseLeases()
		o.advance(unresponsiveReplicaWait)
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
		delete(o.positions, "b")
		o.positions["a"], o.roles["a"] = former, catalog.RoleReplica
		o.announce()
		o.loseLeases()
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
	})
}

// loseLeases makes all entries report that the primary refuses connections, and give
// up their leases.
func (o *controlHarness) loseLeases() {
	p := o.primary()
	for range 3 {
		for vm := range harnessEntries {
			x := refusedObservation(0, 50*ms)
			x.Instance = p.Instance
			o.report(vm, x)
		}
		for vm := range harnessEntries {
			o.fence(vm)
		}
		o.advance(400 * ms)
	}
}
