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

// TestUpstreamsInParts guards against answers with thousands of upstreams, which
// delay the leases behind them on an entry's link, and against an upstream that
// is lost between two parts since it changes while they are sent.
func TestUpstreamsInParts(t *testing.T) {
	const upstreams = 2000
	Convey("an entry gets a long list in parts, together with what changes meanwhile", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
		announce := func(n int, sequence uint64, address string) {
			a := testAnnouncement(catalog.InstanceID(fmt.Sprint("i", n)), catalog.RoleReplica, sequence)
			a.Address = address
			w.step(AnnouncementReceived{Announcement: a})
		}
		for n := range upstreams {
			announce(n, 1, "10.0.0.1:1")
		}
		known, mark, sequence := map[catalog.InstanceID]string{}, wire.UpstreamsMark{}, uint64(0)
		report := func() int {
			sequence++
			w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{
				VM: "e1", Site: "s1", Incarnation: 1, Sequence: sequence, SettingsVersion: 1, UpstreamsMark: mark, EntriesMark: 1,
			}}})
			a := w.lastAnswer("e1")
			for _, u := range a.Upstreams {
				known[u.Instance] = u.Address
			}
			mark = a.UpstreamsMark
			return len(a.Upstreams)
		}
		So(report(), ShouldBeBetweenOrEqual, 1, maxUpstreamsPerAnswer)
		So(report(), ShouldBeBetweenOrEqual, 1, maxUpstreamsPerAnswer)
		announce(3, 2, "10.0.0.2:1")
		announce(upstreams-1, 2, "10.0.0.2:1")
		for n := 0; n < 2*upstreams/maxUpstreamsPerAnswer && mark.Revision != w.control.revision; n++ {
			So(report(), ShouldBeLessThanOrEqualTo, maxUpstreamsPerAnswer)
		}
		So(mark.Revision, ShouldEqual, w.control.revision)
		So(known, ShouldHaveLength, upstreams)
		So(known["i3"], ShouldEqual, "10.0.0.2:1")
		So(known[catalog.InstanceID(fmt.Sprint("i", upstreams-1))], ShouldEqual, "10.0.0.2:1")
		So(report(), ShouldEqual, 0)
	})
}
