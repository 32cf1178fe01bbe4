package node

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// fakePeer is another entry of the same site, with a configuration of its own.
type fakePeer struct {
	entry  *Entry
	silent bool
	asked  int
}

// playPeer makes up a neighbour, such as "entry-2 version=5 ack=primary".
func (w *fakeWorld) playPeer(args []string) {
	vm := catalog.VMID(args[0])
	p := w.peers[vm]
	if p == nil {
		o := testOptions()
		o.VM, o.SitePeers = vm, []catalog.VMID{"entry-1"}
		o.Settings, o.Version = nil, 0
		p = &fakePeer{entry: NewEntry(o)}
		w.peers[vm] = p
	}
	for _, a := range args[1:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "version":
			p.entry.takeSettings(wire.Answer{
				Version: catalog.Version(number(v)), Full: true,
				Services: []catalog.Service{testService(catalog.AckPrimary)},
			})
		case "empty":
			p.entry.takeSettings(wire.Answer{Version: catalog.Version(number(v)), Full: true})
		case "primary":
			p.entry.takeLease(wire.Lease{Primary: w.primary}, w.now)
		case "silent":
			p.silent = v == "yes"
		}
	}
}

// askPeer has a neighbour answer a question for the configuration.
func (w *fakeWorld) askPeer(v SendMessage) {
	p := w.peers[v.To]
	if p == nil || p.silent {
		return
	}
	p.asked++
	w.after(time.Millisecond, func() Input {
		for _, x := range p.entry.Step(Event{Now: w.now, Input: MessageReceived{From: "entry-1", Message: v.Message}}) {
			if s, ok := x.(SendMessage); ok && s.To == "entry-1" && s.Message.Report == nil {
				w.after(time.Millisecond, func() Input { return MessageReceived{From: v.To, Message: s.Message} })
			}
		}
		return nil
	})
}

// restart begins a new life of the entry, with what its disk held.
func (w *fakeWorld) restart(args []string) {
	o := testOptions()
	o.Incarnation, o.SitePeers = 2, nil
	o.Settings, o.Version = nil, 0
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "saved":
			o.Settings, o.Version = []catalog.Service{testService(catalog.AckPrimary)}, catalog.Version(number(v))
		case "near":
			for _, vm := range strings.Split(v, ",") {
				o.SitePeers = append(o.SitePeers, catalog.VMID(vm))
			}
		}
	}
	w.entry = NewEntry(o)
	w.conns = map[catalog.ConnID]*fakeConn{}
	w.step(TimerFired{})
}

func TestEntryAsksOneNeighbourFirst(t *testing.T) {
	Convey("an entry without a configuration", t, func() {
		o := testOptions()
		o.Settings, o.Version = nil, 0
		o.SitePeers, o.Peers = []catalog.VMID{"entry-2", "entry-3"}, []catalog.VMID{"entry-2", "entry-3", "far"}
		e := NewEntry(o)
		asked := func(at time.Duration, in Input) (out []catalog.VMID) {
			for _, x := range e.Step(Event{Now: catalog.Instant(time.Second + at), Input: in}) {
				if p, ok := x.(SendMessage); ok && p.Message.SettingsAsk != nil {
					out = append(out, p.To)
				}
			}
			return out
		}
		answer := func(from catalog.VMID, v catalog.Version) Input {
			m := &wire.Settings{Version: v, Full: v > e.version, Services: []catalog.Service{testService(catalog.AckPrimary)}}
			return MessageReceived{From: from, Message: wire.Message{Settings: m}}
		}
		So(asked(0, TimerFired{}), ShouldResemble, []catalog.VMID{"entry-2"})
		So(asked(50*time.Millisecond, TimerFired{}), ShouldBeEmpty)
		So(asked(100*time.Millisecond, TimerFired{}), ShouldResemble, []catalog.VMID{"entry-3"})
		So(asked(200*time.Millisecond, TimerFired{}), ShouldResemble, []catalog.VMID{"far"})
		Convey("asks the other neighbours once it has one, before it serves", func() {
			So(asked(210*time.Millisecond, answer("entry-2", 4)), ShouldResemble, []catalog.VMID{"entry-3"})
			So(e.catchUp.inForce, ShouldBeFalse)
			asked(220*time.Millisecond, answer("entry-3", 6))
			So(e.version, ShouldEqual, 6)
			So(e.catchUp.inForce, ShouldBeTrue)
			Convey("and never goes back", func() {
				m := &wire.Settings{Version: 5, Full: true}
				asked(230*time.Millisecond, MessageReceived{From: "entry-2", Message: wire.Message{Settings: m}})
				So(e.version, ShouldEqual, 6)
				So(e.services["orders"].accepted, ShouldBeTrue)
			})
		})
		Convey("does not believe a VM that is no entry", func() {
			asked(210*time.Millisecond, answer("stranger", 9))
			So(e.version, ShouldEqual, 0)
		})
		Convey("asks back whoever has more", func() {
			ask := MessageReceived{From: "entry-3", Message: wire.Message{SettingsAsk: &wire.SettingsAsk{Have: 3}}}
			So(asked(210*time.Millisecond, ask), ShouldResemble, []catalog.VMID{"entry-3"})
		})
	})
}
