package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// reportUsage sends reports of two entries over the given number of intervals and
// returns the last answer to each.
func reportUsage(w *soloControl, intervals int, rate float32) (answers [2]*wire.Answer) {
	for range intervals {
		for n, vm := range []catalog.VMID{"e1", "e2"} {
			// The entries ask for three quarters and one quarter of the rate.
			part := rate * []float32{0.75, 0.25}[n]
			w.lastCommand++
			w.step(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
				VM: vm, Site: "s1", Incarnation: 1, Sequence: w.lastCommand, SettingsVersion: 2,
				Usage: []wire.OrganisationUsage{{Organisation: "acme", Rate: part}},
			}}})
			answers[n] = w.lastAnswer(vm)
		}
		w.advance(w.control.options.Timings.ReportInterval)
	}
	return answers
}

// TestControlAssignsShares guards against shares that exceed the limit, and
// against answers with shares or counts that no entry needs.
func TestControlAssignsShares(t *testing.T) {
	Convey("control divides the limit of an organisation that asks for too much", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		command := adoptCommand(2, time.Second)
		So(w.runCommand(command).Code, ShouldEqual, ReplyOK)
		Convey("but adds nothing without organisations", func() {
			a := reportUsage(w, 20, 1000)
			So(a[0].Limits, ShouldBeEmpty)
			So(a[0].EntryCount, ShouldEqual, 0)
			So(w.control.limits.allocator.IsLimited("acme"), ShouldBeFalse)
		})
		Convey("by the demand of the entries", func() {
			command.Adopt.Configuration.Version = 3
			command.Adopt.Configuration.KeysRequired = true
			command.Adopt.Configuration.Organisations = []catalog.Organisation{{ID: "acme", Rate: 100, Burst: 10}}
			So(w.runCommand(command).Code, ShouldEqual, ReplyOK)
			a := reportUsage(w, 40, 60)
			So(a[0].Limits, ShouldBeEmpty)
			So(a[0].EntryCount, ShouldEqual, 2)
			a = reportUsage(w, 2, 400)
			So(a[0].Limits, ShouldHaveLength, 1)
			So(a[1].Limits, ShouldHaveLength, 1)
			So(a[0].Limits[0].Rate+a[1].Limits[0].Rate, ShouldBeBetween, 1, 101)
			So(w.runCommand(Command{Organisations: &OrganisationsQuery{}}).Organisations[0].Limited, ShouldBeTrue)
			So(a[0].Limits[0].Length, ShouldEqual, shareIntervals*w.control.options.Timings.ReportInterval)
			reportUsage(w, 100, 10)
			So(w.control.limits.allocator.IsLimited("acme"), ShouldBeFalse)
			So(w.runCommand(Command{Organisations: &OrganisationsQuery{}}).Organisations[0].Limited, ShouldBeFalse)
		})
	})
}
