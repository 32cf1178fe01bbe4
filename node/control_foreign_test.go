package node

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
)

// surveysOf returns the surveys of an instance so far.
func (w *soloControl) surveysOf(id catalog.InstanceID) (list []Survey) {
	for _, x := range w.upstreamEffects {
		if v, ok := x.(Survey); ok && v.Instance == id {
			list = append(list, v)
		}
	}
	return list
}

// Control connected to whatever address an announcement gave, also if no
// configuration had its service. The first message ran a statement there.
func TestUpstreamOfUnknownServiceIsNotQueried(t *testing.T) {
	Convey("an upstream is queried once its service is configured, not before", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		early := testAnnouncement("a", catalog.RolePrimary, 1)
		foreign := testAnnouncement("x", catalog.RoleReplica, 1)
		foreign.Service = "elsewhere"
		So(w.runCommand(Command{Announce: &Announce{Announcement: early}}).Code, ShouldEqual, ReplyOK)
		So(w.runCommand(Command{Announce: &Announce{Announcement: foreign}}).Code, ShouldEqual, ReplyOK)
		w.advance(3 * time.Second)
		So(w.surveysOf("a"), ShouldBeEmpty)
		w.runCommand(adoptCommand(1, time.Second))
		early.Sequence++
		w.runCommand(Command{Announce: &Announce{Announcement: early}})
		w.advance(time.Second)
		So(w.surveysOf("a"), ShouldNotBeEmpty)
		So(w.surveysOf("x"), ShouldBeEmpty)
	})
	Convey("an upstream of a configured service takes its id back from one of an unknown service", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		foreign := testAnnouncement("a", catalog.RoleReplica, 9)
		foreign.Service = "elsewhere"
		w.runCommand(Command{Announce: &Announce{Announcement: foreign}})
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		So(w.control.upstreams["a"].announcement.Service, ShouldEqual, catalog.ServiceID("orders"))
		So(w.control.instancesOf("elsewhere"), ShouldBeEmpty)
		So(w.surveysOf("a"), ShouldNotBeEmpty)
		digest := w.control.listDigest
		w.control.updateListDigest(w.control.upstreams["a"])
		So(w.control.listDigest, ShouldEqual, digest)
	})
}

// An announcement that names another service made the upstream of that id leave.
func TestAnnouncementOfAnotherServiceRetiresNothing(t *testing.T) {
	Convey("an upstream stays when its id is announced as leaving for another service", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
		foreign := testAnnouncement("a", catalog.RoleReplica, 9)
		foreign.Service, foreign.Leaving = "elsewhere", true
		So(w.runCommand(Command{Announce: &Announce{Announcement: foreign}}).Code, ShouldEqual, ReplyInvalid)
		So(w.control.state.Retired, ShouldBeEmpty)
		So(w.control.upstreams["a"].announcement.Leaving, ShouldBeFalse)
	})
}

// Control VMs of an earlier build relay and record announcements unchecked. This one
// must refuse those with unusable values, from a peer and from the log.
func TestUnusableAnnouncementsAreRefused(t *testing.T) {
	unusable := map[string]func(*catalog.Announcement){
		"service with a statement": func(a *catalog.Announcement) { a.Service = "orders a\r\nQUERY 1 WRITE 1 x" },
		"id with a blank":          func(a *catalog.Announcement) { a.Instance = "a b" },
		"id that is not UTF-8":     func(a *catalog.Announcement) { a.Instance = "\xff\xfe" },
		"long id":                  func(a *catalog.Announcement) { a.Instance = catalog.InstanceID(strings.Repeat("a", 900_000)) },
		"site that is not UTF-8":   func(a *catalog.Announcement) { a.Site = "\xff" },
		"address with a NUL":       func(a *catalog.Announcement) { a.Address = "10.0.0.1:1\x00" },
		"unknown role":             func(a *catalog.Announcement) { a.Role = 9 },
		"slots that overflow sums": func(a *catalog.Announcement) { a.Slots = 1 << 62 },
		"negative slots":           func(a *catalog.Announcement) { a.Slots = -1 },
	}
	for name, change := range unusable {
		Convey(name, t, func() {
			a := testAnnouncement("b", catalog.RoleReplica, 1)
			change(&a)
			w := newSoloControl(quorum.PersistentState{})
			w.runCommand(adoptCommand(1, time.Second))
			So(w.runCommand(Command{Announce: &Announce{Announcement: a}}).Code, ShouldEqual, ReplyInvalid)
			w.step(AnnouncementReceived{Announcement: a})
			So(w.control.upstreams, ShouldBeEmpty)
			So(w.control.state.Upstreams, ShouldBeEmpty)
			w.control.state.Upstreams = []catalog.Announcement{a, testAnnouncement("c", catalog.RoleReplica, 1)}
			w.control.restoreUpstreams()
			So(w.control.upstreams, ShouldHaveLength, 1)
		})
	}
}
