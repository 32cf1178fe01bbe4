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

// grantWorld is a leader of control and the entries that hold connections to one
// upstream, of which 18 can be granted.
type grantWorld struct {
	*soloControl
	sequence uint64
	// granted is the newest grant of each entry.
	granted map[catalog.VMID]int
}

func newGrantWorld() *grantWorld {
	w := &grantWorld{soloControl: newSoloControl(quorum.PersistentState{}), granted: map[catalog.VMID]int{}}
	w.runCommand(adoptCommand(1, time.Second))
	w.runCommand(Command{Announce: &Announce{Announcement: testAnnouncement("a", catalog.RolePrimary, 1)}})
	return w
}

// report delivers an entry's demand for needed connections and for others that are
// worth keeping. Entries hold what they were granted and need.
func (w *grantWorld) report(vm catalog.VMID, needed, kept int) {
	w.sequence++
	w.sentMessages = nil
	w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
		VM: vm, Site: "s1", Sequence: w.sequence, Services: []catalog.ServiceID{"orders"},
		Demands: []wire.Demand{{
			Service: "orders", Instance: "a", Held: min(w.granted[vm], needed+kept), Desired: needed + kept, Kept: kept, Idle: needed == 0,
		}},
	}}})
	for _, m := range w.sentMessages {
		if m.Message.Answer != nil {
			for _, g := range m.Message.Answer.Grants {
				w.granted[m.To] = g.Connections
			}
		}
	}
}

func (w *grantWorld) total() (n int) {
	for _, g := range w.granted {
		n += g
	}
	return n
}

// TestKeptConnections guards against entries that lose all idle connections of
// their organisations as soon as another entry needs one, and against an entry with
// many small organisations that gets none or takes those that others need.
func TestKeptConnections(t *testing.T) {
	Convey("18 connections are divided among entries with organisations", t, func() {
		w := newGrantWorld()
		for range 3 {
			for n := range 6 {
				w.report(catalog.VMID(fmt.Sprint("e", n)), 0, 3)
			}
		}
		// Half of the connections, rounded up for each entry, are kept.
		So(w.total(), ShouldEqual, 12)
		Convey("one that an entry needs comes from those that nobody keeps", func() {
			w.report("e6", 1, 0)
			So(w.granted["e6"], ShouldEqual, 1)
			So(w.total(), ShouldEqual, 13)
			for n := range 6 {
				So(w.granted[catalog.VMID(fmt.Sprint("e", n))], ShouldEqual, 2)
			}
		})
		Convey("once none is free, one that an entry needs is taken from another, which keeps the rest", func() {
			w.report("e6", 6, 0)
			w.report("e7", 1, 0)
			So(w.granted["e7"], ShouldEqual, 1)
			So(w.total(), ShouldBeLessThanOrEqualTo, 18)
			for n := range 6 {
				So(w.granted[catalog.VMID(fmt.Sprint("e", n))], ShouldBeGreaterThanOrEqualTo, 1)
			}
		})
		Convey("an entry with many small organisations gets an equal part of what no request needs", func() {
			for range 3 {
				w.report("e6", 0, 20)
				for n := range 6 {
					w.report(catalog.VMID(fmt.Sprint("e", n)), 0, 3)
				}
			}
			So(w.granted["e6"], ShouldEqual, 2)
			So(w.total(), ShouldBeLessThanOrEqualTo, 18)
		})
		Convey("entries whose needs change with every report hold as many connections as before", func() {
			before, changed := map[catalog.VMID]int{}, 0
			for round := range 50 {
				for n := range 6 {
					vm := catalog.VMID(fmt.Sprint("e", n))
					w.report(vm, (round+n)%2, 3-(round+n)%2)
				}
				for vm, g := range w.granted {
					if before[vm] != 0 && before[vm] != g {
						changed++
					}
					before[vm] = g
				}
				So(w.total(), ShouldBeLessThanOrEqualTo, 18)
			}
			So(changed, ShouldEqual, 0)
		})
	})
}
