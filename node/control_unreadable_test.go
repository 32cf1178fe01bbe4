package node

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// A control VM of an earlier build sends an upstream's id that is not UTF-8 with each
// list of upstreams. The entry must use the others and confirm the list.
func TestListWithUnusableUpstream(t *testing.T) {
	Convey("an entry skips the unusable upstream, logs one line and confirms the list", t, func() {
		w := newListedEntry()
		unusable := catalog.Announcement{Service: "orders", Instance: "\xff\xfe", Address: "10.0.0.9:9", Role: catalog.RoleReplica, Sequence: 1}
		large := catalog.Announcement{Service: "orders", Instance: "large", Address: "10.0.0.9:9", Role: catalog.RoleReplica, Sequence: 1, Slots: 1 << 62}
		leaving := w.answer.Upstreams[1]
		leaving.Leaving, leaving.Sequence = true, 2
		w.controlAnswers = false
		w.advance(100 * time.Millisecond)
		mark := wire.UpstreamsMark{Leader: "c1", Revision: 2}
		effects := w.entry.Step(Event{Now: w.now, Input: MessageReceived{From: "c1", Message: wire.Message{Answer: &wire.Answer{
			Leader: "c1", Sequence: w.entry.report.sequence, Version: 1,
			Upstreams: []catalog.Announcement{unusable, large, unusable, leaving}, UpstreamsMark: mark,
		}}}})
		lines := 0
		for _, x := range effects {
			if v, ok := x.(Log); ok && v.Text == "An announcement was refused." {
				lines++
			}
		}
		So(lines, ShouldEqual, 1)
		So(w.entry.upstreamsMark, ShouldResemble, mark)
		s := w.entry.services["orders"]
		So(s.instances, ShouldHaveLength, 3)
		So(s.instance(leaving.Instance).isLeaving, ShouldBeTrue)
	})
}

// A change that members can't decode, or that the log can't hold, was answered as if
// this VM led no more, or not at all: operators then send it again for ever.
func TestChangesThatTheLogCannotHold(t *testing.T) {
	Convey("a change with text that is not UTF-8 is refused as invalid and not recorded", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		c := adoptCommand(1, time.Second)
		c.Adopt.Configuration.Routes[0].Database = "\xff"
		before := w.control.appliedIndex
		So(w.runCommand(c).Code, ShouldEqual, ReplyInvalid)
		So(w.control.appliedIndex, ShouldEqual, before)
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
	})
	Convey("a change over the limit of a record is refused as invalid", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		c := adoptCommand(1, time.Second)
		c.Adopt.Configuration.Document = []byte(strings.Repeat("a", quorum.MaxDataBytes))
		reply := w.runCommand(c)
		So(reply.Code, ShouldEqual, ReplyInvalid)
		So(reply.Text, ShouldContainSubstring, "the limit is")
	})
	// It was acknowledged and lost, since version zero stands for no configuration.
	Convey("a first configuration of version 0 is refused, a later one is out of date", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		So(w.runCommand(adoptCommand(0, time.Second)).Code, ShouldEqual, ReplyInvalid)
		So(w.runCommand(adoptCommand(1, time.Second)).Code, ShouldEqual, ReplyOK)
		So(w.runCommand(adoptCommand(0, time.Second)).Code, ShouldEqual, ReplyOK)
		So(w.control.state.Version, ShouldEqual, catalog.Version(1))
	})
	Convey("a record that can't be decoded is skipped, its command answered, and later records apply", t, func() {
		w := newSoloControl(quorum.PersistentState{})
		w.runCommand(adoptCommand(1, time.Second))
		w.control.proposals[w.control.appliedIndex+1] = 99
		w.control.applyRecord(quorum.Record{Index: w.control.appliedIndex + 1, Data: []byte{0xa1, 0x0b, 0xa1, 0x02, 0x61, 0xff}})
		w.execute(w.control.effects)
		So(w.replies[99].Code, ShouldEqual, ReplyInvalid)
		change := registry.Change{Register: &catalog.Announcement{Service: "orders", Instance: "a"}}
		data, err := registry.Encode(change)
		So(err, ShouldBeNil)
		w.control.applyRecord(quorum.Record{Index: w.control.appliedIndex + 1, Data: data})
		So(w.control.state.Upstreams, ShouldHaveLength, 1)
	})
}
