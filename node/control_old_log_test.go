package node

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// A log or a snapshot of an earlier build holds values that are refused today. They
// must neither stop control nor reach an entry, and the others must stay in use.
func TestLogOfAnEarlierBuild(t *testing.T) {
	sound := testAnnouncement("a", catalog.RoleUnknown, 1)
	injected, long, unreadable, large := sound, sound, sound, sound
	large.Instance, large.Slots = "d", 1<<62
	injected.Service, injected.Instance = "orders x\r\nQUERY 1 WRITE 1 x", "b"
	long.Instance = catalog.InstanceID(strings.Repeat("c", 900_000))
	unreadable.Instance = "\xff\xfe"
	zero := catalog.Route{RouteKey: catalog.RouteKey{Database: "shop"}, Service: "orders", Reads: catalog.ReadsBounded, Timeout: time.Second}
	adopt := registry.AdoptConfiguration{Version: 7, Services: adoptCommand(7, time.Second).Adopt.Configuration.Services, Routes: []catalog.Route{zero}, Document: []byte("x")}
	self := quorum.Member{VM: "c1", Incarnation: 1, Voter: true}
	saved := quorum.PersistentState{Self: self, Snapshot: quorum.Snapshot{Members: []quorum.Member{self}}}
	for _, change := range []registry.Change{
		{Adopt: &adopt}, {Register: &unreadable}, {Register: &injected}, {Register: &long}, {Register: &large}, {Register: &sound},
	} {
		// registry.Encode of an earlier build did not check the change.
		data, err := cbor.Marshal(change)
		if err != nil {
			t.Fatal(err)
		}
		saved.Records = append(saved.Records, quorum.Record{Index: quorum.Index(len(saved.Records) + 1), Data: data})
	}
	isSound := func(w *soloControl) {
		w.step(MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Sequence: 1, Services: []catalog.ServiceID{"orders"}}}})
		a := w.lastAnswer("e1")
		So(a.Upstreams, ShouldHaveLength, 1)
		So(a.Upstreams[0].Instance, ShouldEqual, catalog.InstanceID("a"))
		So(a.Version, ShouldEqual, catalog.Version(7))
		So(NewRequest(a.Routes[0], KindRead, catalog.Position{}, 1).PrimaryOnly, ShouldBeTrue)
		So(w.runCommand(adoptCommand(8, time.Second)).Code, ShouldEqual, ReplyOK)
	}
	Convey("control leads with such records in its log", t, func() {
		isSound(newSoloControl(saved))
	})
	Convey("control leads with such values in its snapshot", t, func() {
		first := newSoloControl(saved)
		data, err := first.control.state.Snapshot()
		So(err, ShouldBeNil)
		isSound(newSoloControl(quorum.PersistentState{Self: self, Snapshot: quorum.Snapshot{
			Index: first.control.appliedIndex, Members: []quorum.Member{self}, Data: data,
		}}))
	})
}
