package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

func countEffects[T Effect](o *controlHarness) int {
	n := 0
	for _, e := range o.effects {
		if _, ok := e.(T); ok {
			n++
		}
	}
	return n
}

// lastAnswer returns the newest answer sent to an entry.
func (o *controlHarness) lastAnswer(vm catalog.VMID) *wire.Answer {
	for i := len(o.effects) - 1; i >= 0; i-- {
		if s, ok := o.effects[i].(SendMessage); ok && s.To == vm && s.Message.Answer != nil {
			return s.Message.Answer
		}
	}
	o.t.Fatalf("no answer to %s", vm)
	return nil
}

func TestFailoverAfterRefusals(t *testing.T) {
	Convey("a primary that two sites observe as down is replaced by the most advanced replica", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		delete(o.positions, "a")
		o.report("e1", refusedObservation(0, 50*ms))
		So(countEffects[Survey](o), ShouldEqual, 0)
		o.report("e2", refusedObservation(0, 50*ms))
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))

		Convey("but not before the last lease is returned", func() {
			o.fence("e1")
			o.fence("e2")
			So(countEffects[Survey](o), ShouldEqual, 0)
			o.fence("e3")
			So(countEffects[Survey](o), ShouldBeGreaterThan, 0)
			p := o.primary()
			So(p.Ready, ShouldBeTrue)
			So(p.Instance, ShouldEqual, catalog.InstanceID("b"))
			So(p.Forks, ShouldResemble, catalog.Forks{{Term: 2, At: 90}})
			So(o.lastAnswer("e3").Leases[0].Primary.Epoch, ShouldEqual, p.Epoch)
			So(o.lastAnswer("e3").Leases[0].Length, ShouldBeGreaterThan, 0)
		})

		Convey("or has expired", func() {
			o.advance(catalog.DefaultTimings().LeaseLength - 10*ms)
			So(countEffects[Survey](o), ShouldEqual, 0)
			o.advance(50 * ms)
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
		})
	})
}

func TestFailoverWithTwoUpstreamsDown(t *testing.T) {
	Convey("a primary is replaced by the only remaining replica, although the timeouts of the others are reported before the survey ends", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		delete(o.positions, "a")
		delete(o.positions, "b")
		for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
			o.report(vm, refusedObservation(0, 50*ms))
			o.fence(vm)
		}
		for range 200 {
			o.advance(5 * ms)
			for _, e := range o.effects {
				if v, ok := e.(Survey); ok && o.positions[v.Instance].IsZero() && v.Deadline.Sub(o.now) == 5*ms {
					o.feed(SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceTimeout})
				}
			}
		}
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
		So(o.primary().Ready, ShouldBeTrue)
	})
}

// TestDisabledFenceIsDetected verifies that TestFailoverAfterRefusals depends on
// the fence: with the fence disabled, the primary is replaced while entries still
// hold leases.
func TestDisabledFenceIsDetected(t *testing.T) {
	o := newControlHarness(t, catalog.AckPrimary)
	o.setUpLeases()
	o.control.isLeaseHeld = func(_, _ catalog.Instant) bool { return false }
	delete(o.positions, "a")
	o.report("e1", refusedObservation(0, 50*ms))
	o.report("e2", refusedObservation(0, 50*ms))
	if o.primary().Instance == "a" {
		t.Fatal("the disabled fence made no difference, so TestFailoverAfterRefusals does not test it")
	}
}

func TestOneSiteCannotTriggerFailover(t *testing.T) {
	Convey("a primary that another site reaches is not replaced", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		for range 30 {
			o.advance(50 * ms)
			o.report("e1", timeoutObservation(2*time.Second))
			o.report("e2", aliveObservation(0))
			o.report("e3", timeoutObservation(2*time.Second))
		}
		So(o.primary().Epoch, ShouldEqual, catalog.Epoch(1))
		So(countEffects[Survey](o), ShouldEqual, 0)
	})
	Convey("a pause under 400 ms does not start a failover", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		for age := 50 * ms; age < 400*ms; age += 50 * ms {
			o.advance(50 * ms)
			for vm := range harnessEntries {
				o.report(vm, timeoutObservation(age))
			}
		}
		So(countEffects[Survey](o), ShouldEqual, 0)
	})
}

func TestReplicatedWritesSurviveThePrimary(t *testing.T) {
	Convey("with AckReplicated, no replica is elected while another replica does not respond", t, func() {
		o := newControlHarness(t, catalog.AckReplicated)
		o.setUpLeases()
		delete(o.positions, "a")
		delete(o.positions, "b")
		o.report("e1", refusedObservation(0, 50*ms))
		o.report("e2", refusedObservation(0, 50*ms))
		o.advance(2 * time.Second)
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
		Convey("until that replica responds and proves to be more advanced", func() {
			o.positions["b"] = catalog.Position{Term: 1, Offset: 90}
			o.advance(time.Second)
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
		})
	})
}

func TestPlannedSwitch(t *testing.T) {
	Convey("a planned change waits for the replica to catch up", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		o.feed(CommandReceived{Number: 7, Command: Command{Switch: &SwitchPrimary{Service: "ledger", Instance: "c"}}})
		for vm := range harnessEntries {
			o.fence(vm)
		}
		o.advance(100 * ms)
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
		o.positions["c"] = o.positions["a"]
		o.advance(200 * ms)
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
		So(countEffects[AnswerCommand](o), ShouldEqual, 1)
	})
	Convey("a planned change is given up if the replica does not catch up", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		o.feed(CommandReceived{Number: 7, Command: Command{Switch: &SwitchPrimary{Service: "ledger"}}})
		o.advance(4 * time.Second)
		p := o.primary()
		So(p.Instance, ShouldEqual, catalog.InstanceID("a"))
		So(p.Epoch, ShouldEqual, catalog.Epoch(2))
		So(p.Ready, ShouldBeTrue)
	})
}

func TestGrantsStayWithinTheLimit(t *testing.T) {
	Convey("entries that all demand every connection share the grantable ones", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.setUpLeases()
		o.advance(time.Second)
		for range 20 {
			o.advance(50 * ms)
			sum := 0
			for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
				o.report(vm, aliveObservation(0))
			}
			for _, l := range o.control.allocations["a"] {
				sum += l.outstanding(o.now)
			}
			So(sum, ShouldBeLessThanOrEqualTo, 18)
		}
		for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
			So(o.lastAnswer(vm).Grants[0].Connections, ShouldBeGreaterThanOrEqualTo, 4)
		}
	})
}

func TestFairShare(t *testing.T) {
	Convey("entries of a small demand get all of it, and the others share the rest, rounded up", t, func() {
		So(fairShare(15, []int{4, 4, 4, 4, 4, 4, 4, 4}), ShouldEqual, 2)
		So(fairShare(15, []int{1, 1, 20}), ShouldEqual, 13)
		So(fairShare(15, []int{5, 5, 5}), ShouldEqual, 5)
		So(fairShare(3, []int{1, 1, 1, 1}), ShouldEqual, 1)
	})
}

func TestChangesAreIdempotent(t *testing.T) {
	o := newControlHarness(t, catalog.AckPrimary)
	o.setUpLeases()
	create := func(number uint64, id catalog.ChangeID, version catalog.Version, service catalog.ServiceID) Reply {
		s := ledger(catalog.AckPrimary)
		s.ID = service
		o.feed(CommandReceived{Number: number, Command: Command{Change: id, IfVersion: version, Create: &CreateService{Service: s}}})
		for _, e := range o.effects {
			if a, ok := e.(AnswerCommand); ok && a.Number == number {
				return a.Reply
			}
		}
		t.Fatal("the command was not answered")
		return Reply{}
	}
	Convey("the second of two changes for one version is answered with the first", t, func() {
		first := create(1, "one", 1, "x")
		second := create(2, "two", 1, "y")
		So(first.Code, ShouldEqual, ReplyOK)
		So(second.Code, ShouldEqual, ReplyConflict)
		So(second.Winner, ShouldEqual, catalog.ChangeID("one"))
		So(create(3, "one", 1, "x"), ShouldResemble, first)
		So(create(4, "two", 1, "y"), ShouldResemble, second)
		So(create(5, "one", 1, "z").Code, ShouldEqual, ReplyInvalid)
	})
}

// TestResumedPromotionWaits guards against two leaders that call for the same
// service in turn: the earlier leader may still be calling when the next one
// resumes its promotion.
func TestResumedPromotionWaits(t *testing.T) {
	Convey("a new leader resumes a promotion only after the leases of the earlier leader have expired", t, func() {
		self := quorum.Member{VM: "c1", Incarnation: 1, Voter: true}
		state := registry.New()
		state.Version, state.Services = 1, []catalog.Service{{ID: "orders", Instances: 1}}
		state.Primaries = []catalog.Primary{{Service: "orders", Epoch: 4, Instance: "a"}}
		state.Upstreams = []catalog.Announcement{testAnnouncement("a", catalog.RoleReplica, 1)}
		data, err := state.Snapshot()
		So(err, ShouldBeNil)
		w := startSoloControl(quorum.PersistentState{Self: self, Snapshot: quorum.Snapshot{Index: 1, Ballot: 1, Members: []quorum.Member{self}, Data: data}})
		for !w.control.isLeader {
			w.advance(10 * time.Millisecond)
		}
		promotions := func() (out []Promote) {
			for _, e := range w.upstreamEffects {
				if p, ok := e.(Promote); ok {
					out = append(out, p)
				}
			}
			return out
		}
		t := catalog.DefaultTimings()
		w.advance(t.LeaseLength)
		So(promotions(), ShouldBeEmpty)
		w.advance(t.MaxDrift + 100*time.Millisecond)
		So(promotions(), ShouldHaveLength, 1)
		So(promotions()[0].Epoch, ShouldEqual, 5)
	})
}
