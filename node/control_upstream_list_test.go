package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// reportUpstreams sends a report of e1 and returns the answer.
func (w *soloControl) reportUpstreams(sequence uint64, mark wire.UpstreamsMark, services ...catalog.ServiceID) *wire.Answer {
	w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
		VM: "e1", Site: "s1", Incarnation: 1, Sequence: sequence, SettingsVersion: 1, UpstreamsMark: mark, EntriesMark: 1, Services: services,
	}}})
	return w.lastAnswer("e1")
}

func (w *soloControl) announceMany(count int) {
	for n := range count {
		a := testAnnouncement(catalog.InstanceID(fmt.Sprintf("i%04d", n)), catalog.RoleReplica, 1)
		a.Service = largeServiceID(n / 3)
		w.step(AnnouncementReceived{Announcement: a})
	}
}

// TestServedUpstreamsComeFirst guards against an entry that waits for seconds for
// the upstreams of the services that it owns, while it is sent thousands of others.
func TestServedUpstreamsComeFirst(t *testing.T) {
	Convey("the first part of a long list holds the upstreams of the entry's services, and the list gets complete", t, func() {
		w := newLargeControl()
		const upstreams = 1200
		w.announceMany(upstreams)
		own := largeServiceID(upstreams/3 - 1)
		known, mark := map[catalog.InstanceID]bool{}, wire.UpstreamsMark{}
		for sequence := uint64(1); mark.Revision != w.control.revision && sequence < 20; sequence++ {
			a := w.reportUpstreams(sequence, mark, own)
			So(len(a.Upstreams), ShouldBeLessThanOrEqualTo, maxUpstreamsPerAnswer)
			if sequence == 1 {
				So(a.Upstreams[0].Service, ShouldEqual, own)
			}
			for _, u := range a.Upstreams {
				known[u.Instance] = true
			}
			mark = a.UpstreamsMark
		}
		So(known, ShouldHaveLength, upstreams)
	})
}

// TestChangesOfUpstreamsAreBounded guards against a list of changes that grows with
// each change of an upstream, and against one that loses an upstream.
func TestChangesOfUpstreamsAreBounded(t *testing.T) {
	Convey("an upstream that changed many times is listed once, and the others stay listed", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
		w.announceMany(3)
		before := w.control.revision
		for n := range 1000 {
			a := testAnnouncement("i0000", catalog.RoleReplica, uint64(n+2))
			a.Service, a.Address = largeServiceID(0), fmt.Sprintf("10.0.0.1:%d", n+1)
			w.step(AnnouncementReceived{Announcement: a})
		}
		So(len(w.control.changes), ShouldBeLessThanOrEqualTo, 2*3+minChanges+1)
		all, revision := w.control.upstreamsSince(0, maxUpstreamsPerAnswer)
		So(all, ShouldHaveLength, 3)
		So(revision, ShouldEqual, w.control.revision)
		changed, _ := w.control.upstreamsSince(before, maxUpstreamsPerAnswer)
		So(changed, ShouldHaveLength, 1)
		So(changed[0].Address, ShouldEqual, "10.0.0.1:1000")
	})
}

// TestListIsKnownToTheNextLeader guards against a new leader that sends every entry
// thousands of upstreams that the entry has from the earlier leader, over links that
// this fills for seconds, and against one that holds back an upstream.
func TestListIsKnownToTheNextLeader(t *testing.T) {
	Convey("the next leader sends only what changed since the earlier leader's list", t, func() {
		w := newLargeControl()
		w.announceMany(900)
		w.advance(100 * time.Millisecond)
		mark := wire.UpstreamsMark{}
		for sequence := uint64(1); mark.Revision != w.control.revision && sequence < 10; sequence++ {
			mark = w.reportUpstreams(sequence, mark).UpstreamsMark
		}
		partial := wire.UpstreamsMark{Leader: "c0", Revision: mark.Revision}
		leaderless := mark
		_, digest := splitListName(mark.Leader)
		leaderless.Leader, leaderless.Revision = listName("c0", digest), 5
		w.control.resetLeaderState()
		w.advance(10 * time.Millisecond)
		So(w.control.upstreams, ShouldHaveLength, 900)
		Convey("which is nothing if nothing changed", func() {
			So(w.reportUpstreams(100, leaderless).Upstreams, ShouldBeEmpty)
		})
		Convey("which is a changed upstream", func() {
			a := testAnnouncement("i0007", catalog.RoleReplica, 2)
			a.Service, a.Address = largeServiceID(2), "10.9.9.9:1"
			w.step(AnnouncementReceived{Announcement: a})
			So(w.reportUpstreams(100, leaderless).Upstreams, ShouldHaveLength, 1)
		})
		Convey("and all of an incomplete list, or of a list of an earlier build", func() {
			So(w.reportUpstreams(100, partial).Upstreams, ShouldHaveLength, maxUpstreamsPerAnswer)
		})
		Convey("and all if the list was another one", func() {
			leaderless.Leader = listName("c0", digest+1)
			So(w.reportUpstreams(100, leaderless).Upstreams, ShouldHaveLength, maxUpstreamsPerAnswer)
		})
	})
}

// TestListBeforeAnUpstreamIsNotTheListAfterIt guards against an entry that is not told that an upstream leaves.
func TestListBeforeAnUpstreamIsNotTheListAfterIt(t *testing.T) {
	Convey("an entry with the earlier list is told of an upstream that is leaving", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
		w.announceMany(3)
		mark := w.reportUpstreams(1, wire.UpstreamsMark{}).UpstreamsMark
		w.advance(time.Second)
		a := testAnnouncement("late", catalog.RoleReplica, 1)
		Convey("which said so at first", func() {
			a.Leaving = true
			w.step(AnnouncementReceived{Announcement: a})
		})
		Convey("which came and left since", func() {
			w.step(AnnouncementReceived{Announcement: a})
			a.Leaving, a.Sequence = true, 2
			w.step(AnnouncementReceived{Announcement: a})
		})
		told := w.reportUpstreams(2, mark).Upstreams
		So(told, ShouldHaveLength, 1)
		So(told[0].Leaving, ShouldBeTrue)
	})
}

// TestLeavingUpstreamDoesNotWaitForALongList guards against one told after thousands of others.
func TestLeavingUpstreamDoesNotWaitForALongList(t *testing.T) {
	Convey("each part of a long list begins with the upstreams that began to leave", t, func() {
		w := newLargeControl()
		w.announceMany(1200)
		mark := w.reportUpstreams(1, wire.UpstreamsMark{}).UpstreamsMark
		a := testAnnouncement("i0900", catalog.RoleReplica, 2)
		a.Service, a.Leaving = largeServiceID(300), true
		w.step(AnnouncementReceived{Announcement: a})
		w.advance(time.Second)
		told := w.reportUpstreams(2, mark).Upstreams
		So(told[0].Instance, ShouldEqual, a.Instance)
		So(told[0].Leaving, ShouldBeTrue)
	})
	Convey("so does a list of the next leader", t, func() {
		w := newLargeControl()
		w.announceMany(1200)
		w.advance(time.Second)
		So(w.runCommand(Command{Retire: &RetireUpstream{Instance: "i0900"}}).Code, ShouldEqual, ReplyOK)
		w.control.resetLeaderState()
		w.advance(10 * time.Millisecond)
		told := w.reportUpstreams(1, wire.UpstreamsMark{}).Upstreams
		So(told[0].Instance, ShouldEqual, catalog.InstanceID("i0900"))
		So(told[0].Leaving, ShouldBeTrue)
	})
}

// TestLeavingUpstreamDoesNotWaitForSettings guards against one told after a long configuration.
func TestLeavingUpstreamDoesNotWaitForSettings(t *testing.T) {
	Convey("an upstream that began to leave is sent while a long configuration is on its way", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		c := adoptCommand(1, time.Second)
		for n := range 3000 {
			c.Adopt.Configuration.Routes = append(c.Adopt.Configuration.Routes, catalog.Route{
				RouteKey: catalog.RouteKey{Database: fmt.Sprintf("base%d", n)}, Service: "orders", Timeout: time.Second,
			})
		}
		So(w.runCommand(c).Code, ShouldEqual, ReplyOK)
		w.announceMany(3)
		report := func(sequence uint64) *wire.Answer {
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Site: "s1", Incarnation: 1, Sequence: sequence}}})
			return w.lastAnswer("e1")
		}
		So(report(1).Routes, ShouldNotBeEmpty)
		a := testAnnouncement("i0001", catalog.RoleReplica, 2)
		a.Service, a.Leaving = largeServiceID(0), true
		w.step(AnnouncementReceived{Announcement: a})
		w.advance(100 * time.Millisecond)
		answer := report(2)
		So(answer.Routes, ShouldBeEmpty)
		So(answer.Upstreams, ShouldHaveLength, 1)
		So(answer.Upstreams[0].Leaving, ShouldBeTrue)
		So(answer.UpstreamsMark, ShouldResemble, wire.UpstreamsMark{})
	})
	Convey("an entry takes it and keeps its mark", t, func() {
		w := newListedEntry()
		w.controlAnswers = false
		w.advance(100 * time.Millisecond)
		mark := w.entry.upstreamsMark
		So(mark.Leader, ShouldNotBeEmpty)
		leaving := w.answer.Upstreams[1]
		leaving.Leaving = true
		w.entry.Step(Event{Now: w.now, Input: MessageReceived{From: "c1", Message: wire.Message{Answer: &wire.Answer{
			Leader: "c1", Sequence: w.entry.report.sequence, Version: 1, Upstreams: []catalog.Announcement{leaving},
		}}}})
		So(w.entry.upstreamsMark, ShouldResemble, mark)
		So(w.entry.services["orders"].instance(leaving.Instance).isLeaving, ShouldBeTrue)
	})
}

// TestRetirementOfAnUnknownUpstreamIsRecorded guards against an acknowledged retirement that is forgotten.
func TestRetirementOfAnUnknownUpstreamIsRecorded(t *testing.T) {
	Convey("an upstream that announces itself after its retirement gets no new work, a later incarnation does", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
		a := testAnnouncement("late", catalog.RoleReplica, 1)
		So(w.runCommand(Command{Retire: &RetireUpstream{Instance: "late", Incarnation: a.Incarnation}}).Code, ShouldEqual, ReplyOK)
		w.step(AnnouncementReceived{Announcement: a})
		So(w.control.upstreams["late"].announcement.Leaving, ShouldBeTrue)
		a.Incarnation++
		w.step(AnnouncementReceived{Announcement: a})
		So(w.control.upstreams["late"].announcement.Leaving, ShouldBeFalse)
	})
}
