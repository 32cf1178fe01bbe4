package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

func count[T Effect](o *bench) int {
	n := 0
	for _, e := range o.all {
		if _, ok := e.(T); ok {
			n++
		}
	}
	return n
}

// lastAnswer is the newest answer sent to an entry.
func (o *bench) lastAnswer(vm catalog.VMID) *wire.Answer {
	for i := len(o.all) - 1; i >= 0; i-- {
		if s, ok := o.all[i].(SendMessage); ok && s.To == vm && s.Message.Answer != nil {
			return s.Message.Answer
		}
	}
	o.t.Fatalf("no answer to %s", vm)
	return nil
}

func TestFailoverAfterRefusals(t *testing.T) {
	Convey("a primary that two sites find gone is replaced by the one furthest on", t, func() {
		o := newBench(t, catalog.AckPrimary)
		o.lead()
		delete(o.positions, "a")
		o.report("e1", refused(0, 50*ms))
		So(count[Survey](o), ShouldEqual, 0)
		o.report("e2", refused(0, 50*ms))
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))

		Convey("but not before the last lease is given up", func() {
			o.fence("e1")
			o.fence("e2")
			So(count[Survey](o), ShouldEqual, 0)
			o.fence("e3")
			So(count[Survey](o), ShouldBeGreaterThan, 0)
			p := o.primary()
			So(p.Ready, ShouldBeTrue)
			So(p.Instance, ShouldEqual, catalog.InstanceID("b"))
			So(p.Forks, ShouldResemble, catalog.Forks{{Term: 2, At: 90}})
			So(o.lastAnswer("e3").Leases[0].Primary.Epoch, ShouldEqual, p.Epoch)
			So(o.lastAnswer("e3").Leases[0].Length, ShouldBeGreaterThan, 0)
		})

		Convey("or has run out", func() {
			o.advance(catalog.DefaultTimings().LeaseLength - 10*ms)
			So(count[Survey](o), ShouldEqual, 0)
			o.advance(50 * ms)
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
		})
	})
}

func TestFailoverWithTwoUpstreamsGone(t *testing.T) {
	Convey("a primary is replaced by the only one left, though the others' silence is told before the survey ends", t, func() {
		o := newBench(t, catalog.AckPrimary)
		o.lead()
		delete(o.positions, "a")
		delete(o.positions, "b")
		for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
			o.report(vm, refused(0, 50*ms))
			o.fence(vm)
		}
		for range 200 {
			o.advance(5 * ms)
			for _, e := range o.all {
				if v, ok := e.(Survey); ok && o.positions[v.Instance].Zero() && v.Deadline.Sub(o.now) == 5*ms {
					o.feed(SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceSilent})
				}
			}
		}
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
		So(o.primary().Ready, ShouldBeTrue)
	})
}

func TestFenceCheckIsSeenToFail(t *testing.T) {
	o := newBench(t, catalog.AckPrimary)
	o.lead()
	o.control.leaseHeld = func(_, _ catalog.Instant) bool { return false }
	delete(o.positions, "a")
	o.report("e1", refused(0, 50*ms))
	o.report("e2", refused(0, 50*ms))
	if o.primary().Instance == "a" {
		t.Fatal("the broken fence made no difference, so the proof above shows nothing")
	}
}

func TestOneSiteIsNotBelieved(t *testing.T) {
	Convey("while another site reaches the primary", t, func() {
		o := newBench(t, catalog.AckPrimary)
		o.lead()
		for range 30 {
			o.advance(50 * ms)
			o.report("e1", silent(2*time.Second))
			o.report("e2", alive(0))
			o.report("e3", silent(2*time.Second))
		}
		So(o.primary().Epoch, ShouldEqual, catalog.Epoch(1))
		So(count[Survey](o), ShouldEqual, 0)
	})
	Convey("a pause under 400 ms promotes nobody", t, func() {
		o := newBench(t, catalog.AckPrimary)
		o.lead()
		for age := 50 * ms; age < 400*ms; age += 50 * ms {
			o.advance(50 * ms)
			for vm := range benchEntries {
				o.report(vm, silent(age))
			}
		}
		So(count[Survey](o), ShouldEqual, 0)
	})
}

func TestReplicatedWritesSurviveThePrimary(t *testing.T) {
	Convey("with one replica unheard, nobody is elected under replicated", t, func() {
		o := newBench(t, catalog.AckReplicated)
		o.lead()
		delete(o.positions, "a")
		delete(o.positions, "b")
		o.report("e1", refused(0, 50*ms))
		o.report("e2", refused(0, 50*ms))
		o.advance(2 * time.Second)
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
		Convey("until it answers and is seen to be further on", func() {
			o.positions["b"] = catalog.Position{Term: 1, Offset: 90}
			o.advance(time.Second)
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
		})
	})
}

func TestPlannedSwitch(t *testing.T) {
	Convey("a planned change waits for the replica to catch up", t, func() {
		o := newBench(t, catalog.AckPrimary)
		o.lead()
		o.feed(CommandReceived{Number: 7, Command: Command{Switch: &SwitchPrimary{Service: "ledger", Instance: "c"}}})
		for vm := range benchEntries {
			o.fence(vm)
		}
		o.advance(100 * ms)
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
		o.positions["c"] = o.positions["a"]
		o.advance(200 * ms)
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
		So(count[AnswerCommand](o), ShouldEqual, 1)
	})
	Convey("and is given up if it does not", t, func() {
		o := newBench(t, catalog.AckPrimary)
		o.lead()
		o.feed(CommandReceived{Number: 7, Command: Command{Switch: &SwitchPrimary{Service: "ledger"}}})
		o.advance(4 * time.Second)
		p := o.primary()
		So(p.Instance, ShouldEqual, catalog.InstanceID("a"))
		So(p.Epoch, ShouldEqual, catalog.Epoch(2))
		So(p.Ready, ShouldBeTrue)
	})
}

func TestGrantsStayWithinTheLimit(t *testing.T) {
	Convey("entries that all want everything share what can be granted", t, func() {
		o := newBench(t, catalog.AckPrimary)
		o.lead()
		o.advance(time.Second)
		for range 20 {
			o.advance(50 * ms)
			sum := 0
			for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
				o.report(vm, alive(0))
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
	Convey("who wants little has it, the others share the rest, rounded up", t, func() {
		So(fairShare(15, []int{4, 4, 4, 4, 4, 4, 4, 4}), ShouldEqual, 2)
		So(fairShare(15, []int{1, 1, 20}), ShouldEqual, 13)
		So(fairShare(15, []int{5, 5, 5}), ShouldEqual, 5)
		So(fairShare(3, []int{1, 1, 1, 1}), ShouldEqual, 1)
	})
}

func TestChangesAreIdempotent(t *testing.T) {
	o := newBench(t, catalog.AckPrimary)
	o.lead()
	ask := func(number uint64, id catalog.ChangeID, version catalog.Version, service catalog.ServiceID) Reply {
		s := ledger(catalog.AckPrimary)
		s.ID = service
		o.feed(CommandReceived{Number: number, Command: Command{Change: id, IfVersion: version, Create: &CreateService{Service: s}}})
		for _, e := range o.all {
			if a, ok := e.(AnswerCommand); ok && a.Number == number {
				return a.Reply
			}
		}
		t.Fatal("no answer")
		return Reply{}
	}
	Convey("of two changes for one version the second learns of the first", t, func() {
		first := ask(1, "one", 1, "x")
		second := ask(2, "two", 1, "y")
		So(first.Code, ShouldEqual, ReplyOK)
		So(second.Code, ShouldEqual, ReplyConflict)
		So(second.Winner, ShouldEqual, catalog.ChangeID("one"))
		So(ask(3, "one", 1, "x"), ShouldResemble, first)
		So(ask(4, "two", 1, "y"), ShouldResemble, second)
		So(ask(5, "one", 1, "z").Code, ShouldEqual, ReplyInvalid)
	})
}
