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

// listedControl is a control VM that is alone in its system and leads at once,
// where upstreams announce themselves to control.
type listedControl struct {
	control *Control
	now     catalog.Instant
	sent    []SendMessage
	replies map[uint64]Reply
	asked   []Effect
	number  uint64
}

func newListedControl(saved quorum.PersistentState) *listedControl {
	w := startListedControl(saved)
	w.pass(time.Second)
	return w
}

// startListedControl returns one that does not lead yet.
func startListedControl(saved quorum.PersistentState) *listedControl {
	if saved.Self.VM == "" {
		self := quorum.Member{VM: "c1", Incarnation: 1, Voter: true}
		saved = quorum.PersistentState{Self: self, Snapshot: quorum.Snapshot{Members: []quorum.Member{self}}}
	}
	w := &listedControl{now: catalog.Instant(time.Second), replies: map[uint64]Reply{}}
	timings := catalog.DefaultTimings()
	timings.GrantLength = 10 * time.Second
	c, err := NewControl(ControlOptions{
		VM: "c1", Timings: timings, Members: []catalog.VMID{"c1"}, DistributesUpstreams: true, Voters: 3, PromoteAttempts: 1, Saved: saved,
	}, w.now)
	if err != nil {
		panic(err)
	}
	w.control = c
	return w
}

func (w *listedControl) step(in Input) {
	w.carryOut(w.control.Step(Event{Now: w.now, Input: in}))
}

func (w *listedControl) carryOut(effects []Effect) {
	for _, e := range effects {
		switch v := e.(type) {
		case Persist:
			w.step(Persisted{Token: v.Token})
		case SendMessage:
			w.sent = append(w.sent, v)
		case AnswerCommand:
			w.replies[v.Number] = v.Reply
		case Survey, Promote:
			w.asked = append(w.asked, e)
		}
	}
}

func (w *listedControl) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(10 * time.Millisecond)
		w.step(TimerFired{})
	}
}

func (w *listedControl) ask(c Command) Reply {
	w.number++
	w.step(CommandReceived{Number: w.number, Command: c})
	return w.replies[w.number]
}

// lastAnswer is the newest answer to an entry.
func (w *listedControl) lastAnswer(vm catalog.VMID) *wire.Answer {
	for n := len(w.sent) - 1; n >= 0; n-- {
		if w.sent[n].To == vm && w.sent[n].Message.Answer != nil {
			return w.sent[n].Message.Answer
		}
	}
	return nil
}

func listedConfiguration(version catalog.Version, timeout time.Duration) Command {
	return Command{Adopt: &AdoptSettings{Configuration: catalog.Configuration{
		Version: version,
		Services: []catalog.Service{{
			ID: "orders", Ack: catalog.AckPrimary, Instances: 1,
			Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 1},
		}},
		Routes:   []catalog.Route{{RouteKey: catalog.RouteKey{Database: "shop"}, Service: "orders", Timeout: timeout}},
		Document: []byte{byte(version)},
	}}}
}

func said(id catalog.InstanceID, role catalog.Role, sequence uint64) catalog.Announcement {
	return catalog.Announcement{Service: "orders", Instance: id, Address: "10.0.0.1:1", Role: role, Incarnation: 7, Sequence: sequence}
}

func TestListedGrantsAtOnce(t *testing.T) {
	Convey("a new leader grants connections before the leases of the one before have ended", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		w.control.graceEnds = w.now.Add(time.Second)
		w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
			VM: "e1", Sequence: 1, Services: []catalog.ServiceID{"orders"},
			Demands: []wire.Demand{{Service: "orders", Instance: "a", Desired: 3}},
		}}})
		a := w.lastAnswer("e1")
		So(a, ShouldNotBeNil)
		So(a.Grants, ShouldHaveLength, 1)
		So(a.Grants[0].Connections, ShouldEqual, 3)
	})
}

func TestListedVersions(t *testing.T) {
	Convey("the highest version is in force, and a resend is never refused", t, func() {
		w := newListedControl(quorum.PersistentState{})
		So(w.ask(listedConfiguration(5, time.Second)).Code, ShouldEqual, ReplyOK)
		So(w.ask(listedConfiguration(3, 2*time.Second)).Code, ShouldEqual, ReplyOK)
		So(w.ask(listedConfiguration(5, 3*time.Second)).Code, ShouldEqual, ReplyOK)
		reply := w.ask(Command{Settings: &SettingsQuery{}})
		So(reply.Document, ShouldResemble, []byte{5})
		So(w.control.state.Routes[0].Timeout, ShouldEqual, time.Second)
		So(w.ask(listedConfiguration(9, 2*time.Second)).Version, ShouldEqual, catalog.Version(9))
		changed, removed := w.control.state.RoutesSince(5)
		So(changed, ShouldHaveLength, 1)
		So(removed, ShouldBeEmpty)
	})
}

func TestListedRetirementOutlivesTheLeader(t *testing.T) {
	Convey("an upstream that was told it may leave gets no new work under the next leader", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		a := said("a", catalog.RoleReplica, 1)
		w.ask(Command{Announce: &Announce{Announcement: a}})
		a.Leaving, a.Sequence = true, 2
		So(w.ask(Command{Announce: &Announce{Announcement: a}}).Code, ShouldEqual, ReplyOK)
		w.control.resetLeadership()
		w.control.leading = true
		late := said("a", catalog.RoleReplica, 3)
		w.ask(Command{Announce: &Announce{Announcement: late}})
		So(w.control.upstreams["a"].said.Leaving, ShouldBeTrue)
		Convey("until it begins another life", func() {
			late.Incarnation, late.Sequence = 8, 1
			w.ask(Command{Announce: &Announce{Announcement: late}})
			So(w.control.upstreams["a"].said.Leaving, ShouldBeFalse)
		})
	})
}

func TestResumedPromotionHasItsOwnEpoch(t *testing.T) {
	Convey("a leader that goes on with a promotion uses an epoch that no other has used", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		w.control.propose(registry.Change{Elect: &registry.ElectPrimary{Service: "orders", Epoch: 1, Instance: "a"}}, 0)
		w.carryOut(w.control.effects)
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RoleReplica, 1)}})
		w.pass(2 * time.Second)
		var epochs []catalog.Epoch
		for _, e := range w.asked {
			if p, ok := e.(Promote); ok {
				epochs = append(epochs, p.Epoch)
			}
		}
		So(epochs, ShouldNotBeEmpty)
		So(epochs[0], ShouldEqual, catalog.Epoch(2))
	})
}

func TestEntryWhoseClockWentBack(t *testing.T) {
	Convey("an entry that starts again with a lower number is heard once its last life is silent", t, func() {
		w := newListedControl(quorum.PersistentState{})
		report := func(life, sequence uint64) *wire.Answer {
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Site: "s1", Incarnation: life, Sequence: sequence}}})
			return w.lastAnswer("e1")
		}
		So(report(9, 100).Sequence, ShouldEqual, 100)
		Convey("and not while that still reports", func() {
			w.pass(100 * time.Millisecond)
			So(report(5, 7).Sequence, ShouldEqual, 100)
		})
		w.pass(evidenceReports * w.control.options.Timings.ReportInterval)
		So(report(5, 8).Sequence, ShouldEqual, 8)
		So(report(5, 9).Sequence, ShouldEqual, 9)
	})
}

func TestListedUpstreamsOutliveTheLeader(t *testing.T) {
	Convey("the next leader tells entries of upstreams that have not announced themselves to it", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		w.control.resetLeadership()
		w.pass(10 * time.Millisecond)
		w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Sequence: 1}}})
		a := w.lastAnswer("e1")
		So(a.Upstreams, ShouldHaveLength, 1)
		So(a.Upstreams[0].Address, ShouldEqual, "10.0.0.1:1")
	})
}

func TestListedSilenceIsNotHiddenByOthers(t *testing.T) {
	Convey("an old sight of a primary is not taken for a new one because other upstreams answer", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		w.pass(5 * time.Second)
		report := func(vm catalog.VMID, site catalog.SiteID, sequence uint64, evidence wire.Evidence, alive time.Duration) {
			w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
				VM: vm, Site: site, Sequence: sequence, Services: []catalog.ServiceID{"orders"}, AliveWithin: 20 * time.Millisecond,
				Observations: []wire.Observation{{Service: "orders", Instance: "a", Evidence: evidence, AliveAge: alive}},
			}}})
		}
		report("e1", "s1", 1, wire.EvidenceSilent, 2*time.Second)
		report("e2", "s2", 1, wire.EvidenceSilent, 2*time.Second)
		report("e3", "s3", 1, wire.EvidenceAlive, 2*time.Second)
		So(w.control.primaryGone(catalog.Primary{Service: "orders", Instance: "a"}), ShouldBeTrue)
		report("e3", "s3", 2, wire.EvidenceAlive, 10*time.Millisecond)
		So(w.control.primaryGone(catalog.Primary{Service: "orders", Instance: "a"}), ShouldBeFalse)
	})
}

// TestListedGrantsAreShared plays the moment after a restart: the first entries
// to report want much, and the others must not wait until those grants run out.
func TestListedGrantsAreShared(t *testing.T) {
	Convey("every entry has a connection to the primary within two reports", t, func() {
		const entries = 12
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		w.control.propose(registry.Change{Elect: &registry.ElectPrimary{Service: "orders", Epoch: 1, Instance: "a"}}, 0)
		w.carryOut(w.control.effects)
		has := map[catalog.VMID]int{}
		for round := range 3 {
			total := 0
			for n := range entries {
				vm := catalog.VMID(rune('a' + n))
				w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
					VM: vm, Site: "s1", Sequence: uint64(round + 1), Services: []catalog.ServiceID{"orders"},
					Demands: []wire.Demand{{Service: "orders", Instance: "a", Desired: 6, Held: has[vm]}},
				}}})
				for _, g := range w.lastAnswer(vm).Grants {
					has[vm] = g.Connections
				}
				total += has[vm]
			}
			w.now = w.now.Add(200 * time.Millisecond)
			if round > 0 {
				So(total, ShouldBeLessThanOrEqualTo, 18)
			}
		}
		for n := range entries {
			So(has[catalog.VMID(rune('a'+n))], ShouldBeGreaterThan, 0)
		}
	})
}

// TestListedIdleIsTakenBack plays an upstream that admits fewer connections than
// there are entries.
func TestListedIdleIsTakenBack(t *testing.T) {
	Convey("an entry whose request lacks a connection gets one that another keeps idle", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		report := func(n int, sequence uint64, idle bool, held int) int {
			vm := catalog.VMID(rune('a' + n))
			w.sent = nil
			w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
				VM: vm, Site: "s1", Sequence: sequence, Services: []catalog.ServiceID{"orders"},
				Demands: []wire.Demand{{Service: "orders", Instance: "a", Desired: 1, Held: held, Idle: idle}},
			}}})
			for _, g := range w.lastAnswer(vm).Grants {
				return g.Connections
			}
			return -1
		}
		// 18 connections can be granted; 18 entries keep one idle each.
		for n := range 18 {
			So(report(n, 1, true, 0), ShouldEqual, 1)
		}
		So(report(18, 1, true, 0), ShouldEqual, 0)
		So(report(19, 1, false, 0), ShouldEqual, 1)
		taken := 0
		for _, m := range w.sent {
			if a := m.Message.Answer; m.To != "t" && a != nil && len(a.Grants) == 1 && a.Grants[0].Connections == 0 {
				taken++
			}
		}
		So(taken, ShouldEqual, 1)
	})
}

func TestListedGrantIsToldAgain(t *testing.T) {
	Convey("an entry that missed the answer with its grant gets it with the next one", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(listedConfiguration(1, time.Second))
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		report := func(sequence uint64, kept bool) []wire.Grant {
			r := &wire.Report{VM: "e1", Sequence: sequence, Services: []catalog.ServiceID{"orders"}, WantsKept: kept}
			if !kept {
				r.Demands = []wire.Demand{{Service: "orders", Instance: "a", Desired: 2}}
			}
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: r}})
			return w.lastAnswer("e1").Grants
		}
		So(report(1, false), ShouldHaveLength, 1)
		So(report(2, false), ShouldHaveLength, 1)
		So(report(3, true), ShouldBeEmpty)
	})
}

func TestListedUpstreamsBeforeTheirService(t *testing.T) {
	Convey("an upstream that announced itself before its service was configured is not forgotten", t, func() {
		w := newListedControl(quorum.PersistentState{})
		w.ask(Command{Announce: &Announce{Announcement: said("a", catalog.RolePrimary, 1)}})
		told := 0
		mark := wire.UpstreamsMark{}
		report := func(sequence uint64) {
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Sequence: sequence, Upstreams: mark}}})
			a := w.lastAnswer("e1")
			told, mark = told+len(a.Upstreams), a.UpstreamsAt
		}
		report(1)
		w.ask(listedConfiguration(1, time.Second))
		report(2)
		So(told, ShouldEqual, 1)
	})
}

func TestSynchronousWritesSurviveThePrimary(t *testing.T) {
	Convey("with one synchronous replica a lost primary is not replaced by a replica that may lack its writes", t, func() {
		o := newBench(t, catalog.AckPrimary)
		o.control.options.Services[0].SyncReplicas = 1
		// Such a service does not say how many upstreams it has.
		o.control.options.Services[0].Instances = 1
		o.lead()
		last := o.positions["b"]
		delete(o.positions, "a")
		delete(o.positions, "b")
		for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
			o.report(vm, refused(0, 50*ms))
			o.fence(vm)
		}
		for range 10 {
			o.advance(time.Second)
			o.announce()
		}
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))

		Convey("until the replica that may hold them answers", func() {
			o.positions["b"] = last
			o.announce()
			o.advance(time.Second)
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
			So(o.primary().Ready, ShouldBeTrue)
		})

		Convey("or has been silent for long", func() {
			for range 6 {
				o.advance(time.Second)
				o.announce()
			}
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
			So(o.primary().Ready, ShouldBeTrue)
		})
	})
}
