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

// soloControl is a control VM that is the only member of its quorum and leads
// immediately. Upstreams announce themselves to it.
type soloControl struct {
	control         *Control
	now             catalog.Instant
	sentMessages    []SendMessage
	replies         map[uint64]Reply
	upstreamEffects []Effect
	lastCommand     uint64
}

func newSoloControl(saved quorum.PersistentState) *soloControl {
	w := startSoloControl(saved)
	w.advance(time.Second)
	return w
}

// startSoloControl returns a control VM that does not lead yet.
func startSoloControl(saved quorum.PersistentState) *soloControl {
	if saved.Self.VM == "" {
		self := quorum.Member{VM: "c1", Incarnation: 1, Voter: true}
		saved = quorum.PersistentState{Self: self, Snapshot: quorum.Snapshot{Members: []quorum.Member{self}}}
	}
	w := &soloControl{now: catalog.Instant(time.Minute), replies: map[uint64]Reply{}}
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

func (w *soloControl) step(in Input) {
	w.execute(w.control.Step(Event{Now: w.now, Input: in}))
}

func (w *soloControl) execute(effects []Effect) {
	for _, e := range effects {
		switch v := e.(type) {
		case Persist:
			w.step(Persisted{Token: v.Token})
		case SendMessage:
			w.sentMessages = append(w.sentMessages, v)
		case AnswerCommand:
			w.replies[v.Number] = v.Reply
		case Survey, Promote:
			w.upstreamEffects = append(w.upstreamEffects, e)
		}
	}
}

func (w *soloControl) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(10 * time.Millisecond)
		w.step(TimerFired{})
	}
}

func (w *soloControl) runCommand(c Command) Reply {
	w.lastCommand++
	w.step(CommandReceived{Number: w.lastCommand, Command: c})
	return w.replies[w.lastCommand]
}

// lastAnswer returns the newest answer sent to an entry.
func (w *soloControl) lastAnswer(vm catalog.VMID) *wire.Answer {
	for n := len(w.sentMessages) - 1; n >= 0; n-- {
		if w.sentMessages[n].To == vm && w.sentMessages[n].Message.Answer != nil {
			return w.sentMessages[n].Message.Answer
		}
	}
	return nil
}

func adoptCommand(version catalog.Version, timeout time.Duration) Command {
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

func testAnnouncement(id catalog.InstanceID, role catalog.Role, sequence uint64) catalog.Announcement {
	return catalog.Announcement{Service: "orders", Instance: id, Address: "10.0.0.1:1", Role: role, Incarnation: 7, Sequence: sequence}
}

func TestNewLeaderGrantsAtOnce(t *testing.T) {
	Convey("a new leader grants connections before the leases of the previous leader have expired", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		w.control.graceEndsAt = w.now.Add(time.Second)
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

func TestHighestVersionIsInForce(t *testing.T) {
	Convey("the highest version is in force, and a resend is never rejected", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(5, time.Second)).Code, ShouldEqual, ReplyOK)
		So(w.runCommand(adoptCommand(3, 2*time.Second)).Code, ShouldEqual, ReplyOK)
		So(w.runCommand(adoptCommand(5, 3*time.Second)).Code, ShouldEqual, ReplyOK)
		reply := w.runCommand(Command{Settings: &SettingsQuery{}})
		So(reply.Document, ShouldResemble, []byte{5})
		So(w.control.state.Routes[0].Timeout, ShouldEqual, time.Second)
		So(w.runCommand(adoptCommand(9, 2*time.Second)).Version, ShouldEqual, catalog.Version(9))
		changed, removed := w.control.state.RoutesSince(5)
		So(changed, ShouldHaveLength, 1)
		So(removed, ShouldBeEmpty)
	})
}

// TestOrganisationsQuery guards against operators' replies that hold keys, their
// digests or the document that contains the keys.
func TestOrganisationsQuery(t *testing.T) {
	Convey("a question for the organisations is answered with the number of their keys alone", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		c := adoptCommand(1, time.Second)
		c.Adopt.Configuration.KeysRequired = true
		c.Adopt.Configuration.Organisations = []catalog.Organisation{{ID: "acme", Keys: []catalog.KeyDigest{catalog.DigestKey("k")}, Priority: 1, Rate: 2.5, Burst: 4}}
		So(w.runCommand(c).Code, ShouldEqual, ReplyOK)
		query := Command{Organisations: &OrganisationsQuery{}}
		So(query.IsQuery(), ShouldBeTrue)
		So(w.runCommand(query), ShouldResemble, Reply{
			Code: ReplyOK, Version: 1, Organisations: []OrganisationStatus{{ID: "acme", Keys: 1, Priority: 1, Rate: 2.5, Burst: 4}},
		})
	})
}

func TestRetirementSurvivesLeaderChange(t *testing.T) {
	Convey("an upstream whose retirement was acknowledged gets no new work from the next leader", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		a := testAnnouncement("a", catalog.RoleReplica, 1)
		w.runCommand(Command{Announce: &Announce{Announcement: a}})
		a.Leaving, a.Sequence = true, 2
		So(w.runCommand(Command{Announce: &Announce{Announcement: a}}).Code, ShouldEqual, ReplyOK)
		w.control.resetLeaderState()
		w.control.isLeader = true
		laterAnnouncement := testAnnouncement("a", catalog.RoleReplica, 3)
		w.runCommand(Command{Announce: &Announce{Announcement: laterAnnouncement}})
		So(w.control.upstreams["a"].announcement.Leaving, ShouldBeTrue)
		Convey("until it starts again", func() {
			laterAnnouncement.Incarnation, laterAnnouncement.Sequence = 8, 1
			w.runCommand(Command{Announce: &Announce{Announcement: laterAnnouncement}})
			So(w.control.upstreams["a"].announcement.Leaving, ShouldBeFalse)
		})
	})
}

func TestResumedPromotionUsesNewEpoch(t *testing.T) {
	Convey("a leader that resumes a promotion uses a new epoch", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.control.propose(registry.Change{Elect: &registry.ElectPrimary{Service: "orders", Epoch: 1, Instance: "a"}}, 0)
		w.execute(w.control.effects)
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RoleReplica, 1)}})
		w.advance(2 * time.Second)
		var epochs []catalog.Epoch
		for _, e := range w.upstreamEffects {
			if p, ok := e.(Promote); ok {
				epochs = append(epochs, p.Epoch)
			}
		}
		So(epochs, ShouldNotBeEmpty)
		So(epochs[0], ShouldEqual, catalog.Epoch(2))
	})
}

func TestEntryRestartWithEarlierClock(t *testing.T) {
	Convey("an entry that restarts with a lower incarnation is accepted once its previous incarnation no longer reports", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		report := func(incarnation, sequence uint64) *wire.Answer {
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Site: "s1", Incarnation: incarnation, Sequence: sequence}}})
			return w.lastAnswer("e1")
		}
		So(report(9, 100).Sequence, ShouldEqual, 100)
		Convey("but not while the previous incarnation still reports", func() {
			w.advance(100 * time.Millisecond)
			So(report(5, 7).Sequence, ShouldEqual, 100)
		})
		w.advance(evidenceReportIntervals * w.control.options.Timings.ReportInterval)
		So(report(5, 8).Sequence, ShouldEqual, 8)
		So(report(5, 9).Sequence, ShouldEqual, 9)
	})
}

func TestUpstreamsSurviveLeaderChange(t *testing.T) {
	Convey("the next leader sends entries the upstreams that have not announced themselves to it", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		w.control.resetLeaderState()
		w.advance(10 * time.Millisecond)
		w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Sequence: 1}}})
		a := w.lastAnswer("e1")
		So(a.Upstreams, ShouldHaveLength, 1)
		So(a.Upstreams[0].Address, ShouldEqual, "10.0.0.1:1")
	})
}

func TestOtherUpstreamsDoNotHideTimeout(t *testing.T) {
	Convey("an old observation of a primary is not refreshed because other upstreams respond", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		w.advance(5 * time.Second)
		report := func(vm catalog.VMID, site catalog.SiteID, sequence uint64, evidence wire.Evidence, alive time.Duration) {
			w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
				VM: vm, Site: site, Sequence: sequence, Services: []catalog.ServiceID{"orders"}, AliveWithin: 20 * time.Millisecond,
				Observations: []wire.Observation{{Service: "orders", Instance: "a", Evidence: evidence, AliveAge: alive}},
			}}})
		}
		report("e1", "s1", 1, wire.EvidenceTimeout, 2*time.Second)
		report("e2", "s2", 1, wire.EvidenceTimeout, 2*time.Second)
		report("e3", "s3", 1, wire.EvidenceAlive, 2*time.Second)
		So(w.control.isPrimaryDown(catalog.Primary{Service: "orders", Instance: "a"}), ShouldBeTrue)
		report("e3", "s3", 2, wire.EvidenceAlive, 10*time.Millisecond)
		So(w.control.isPrimaryDown(catalog.Primary{Service: "orders", Instance: "a"}), ShouldBeFalse)
	})
}

// TestGrantsAreSharedAfterRestart guards against starved entries after a
// restart: the first entries to report demand many connections, and the others
// must not wait until those grants expire.
func TestGrantsAreSharedAfterRestart(t *testing.T) {
	Convey("every entry has a connection to the primary within two reports", t, func() {
		const entries = 12
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		w.control.propose(registry.Change{Elect: &registry.ElectPrimary{Service: "orders", Epoch: 1, Instance: "a"}}, 0)
		w.execute(w.control.effects)
		held := map[catalog.VMID]int{}
		for round := range 3 {
			total := 0
			for n := range entries {
				vm := catalog.VMID(rune('a' + n))
				w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
					VM: vm, Site: "s1", Sequence: uint64(round + 1), Services: []catalog.ServiceID{"orders"},
					Demands: []wire.Demand{{Service: "orders", Instance: "a", Desired: 6, Held: held[vm]}},
				}}})
				for _, g := range w.lastAnswer(vm).Grants {
					held[vm] = g.Connections
				}
				total += held[vm]
			}
			w.now = w.now.Add(200 * time.Millisecond)
			if round > 0 {
				So(total, ShouldBeLessThanOrEqualTo, 18)
			}
		}
		for n := range entries {
			So(held[catalog.VMID(rune('a'+n))], ShouldBeGreaterThan, 0)
		}
	})
}

// TestIdleConnectionsAreReclaimed guards against starvation at an upstream that
// accepts fewer connections than there are entries. Idle connections of other
// entries must not block an entry whose requests need one.
func TestIdleConnectionsAreReclaimed(t *testing.T) {
	Convey("an entry whose request lacks a connection gets one that another entry keeps idle", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		report := func(n int, sequence uint64, idle bool, held int) int {
			vm := catalog.VMID(rune('a' + n))
			w.sentMessages = nil
			w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
				VM: vm, Site: "s1", Sequence: sequence, Services: []catalog.ServiceID{"orders"},
				Demands: []wire.Demand{{Service: "orders", Instance: "a", Desired: 1, Held: held, Idle: idle}},
			}}})
			for _, g := range w.lastAnswer(vm).Grants {
				return g.Connections
			}
			return -1
		}
		// 18 connections can be granted; 18 entries keep one idle connection
		// each.
		for n := range 18 {
			So(report(n, 1, true, 0), ShouldEqual, 1)
		}
		So(report(18, 1, true, 0), ShouldEqual, 0)
		So(report(19, 1, false, 0), ShouldEqual, 1)
		reclaimed := 0
		for _, m := range w.sentMessages {
			if a := m.Message.Answer; m.To != "t" && a != nil && len(a.Grants) == 1 && a.Grants[0].Connections == 0 {
				reclaimed++
			}
		}
		So(reclaimed, ShouldEqual, 1)
	})
}

func TestMissedGrantIsSentAgain(t *testing.T) {
	Convey("an entry that missed the answer with its grant gets the grant with the next answer", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		report := func(sequence uint64, unchanged bool) []wire.Grant {
			r := &wire.Report{VM: "e1", Sequence: sequence, Services: []catalog.ServiceID{"orders"}, DemandsUnchanged: unchanged}
			if !unchanged {
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

func TestUpstreamAnnouncedBeforeItsService(t *testing.T) {
	Convey("an upstream that announced itself before its service was configured is sent to entries", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		received := 0
		mark := wire.UpstreamsMark{}
		report := func(sequence uint64) {
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Sequence: sequence, UpstreamsMark: mark}}})
			a := w.lastAnswer("e1")
			received, mark = received+len(a.Upstreams), a.UpstreamsMark
		}
		report(1)
		w.runCommand(adoptCommand(1, time.Second))
		report(2)
		So(received, ShouldEqual, 1)
	})
}

func TestSynchronousWritesSurviveThePrimary(t *testing.T) {
	Convey("with one synchronous replica, a failed primary is not replaced by a replica that may lack its writes", t, func() {
		o := newControlHarness(t, catalog.AckPrimary)
		o.control.options.Services[0].SyncReplicas = 1
		// A service with synchronous replicas need not state its number of
		// instances.
		o.control.options.Services[0].Instances = 1
		o.setUpLeases()
		last := o.positions["b"]
		delete(o.positions, "a")
		delete(o.positions, "b")
		for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
			o.report(vm, refusedObservation(0, 50*ms))
			o.fence(vm)
		}
		for range 10 {
			o.advance(time.Second)
			o.announce()
		}
		So(o.primary().Instance, ShouldEqual, catalog.InstanceID("a"))

		Convey("until the replica that may hold these writes responds", func() {
			o.positions["b"] = last
			o.announce()
			o.advance(time.Second)
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("b"))
			So(o.primary().Ready, ShouldBeTrue)
		})

		Convey("or until that replica has not responded for long enough", func() {
			for range 6 {
				o.advance(time.Second)
				o.announce()
			}
			So(o.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
			So(o.primary().Ready, ShouldBeTrue)
		})
	})
}
