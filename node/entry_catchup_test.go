package node

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// fakePeer is another entry of the same site with its own configuration.
type fakePeer struct {
	entry  *Entry
	silent bool
	asked  int
}

// playPeer creates or changes another entry of the site. Its arguments are the
// name and the changes, such as "entry-2 version=4 primary=yes".
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
			p.entry.applySettings(wire.Answer{
				Version: catalog.Version(number(v)), Full: true,
				Services: []catalog.Service{testService(catalog.AckPrimary)},
			})
		case "empty":
			p.entry.applySettings(wire.Answer{Version: catalog.Version(number(v)), Full: true})
		case "primary":
			p.entry.applyLease(wire.Lease{Primary: w.primary}, w.now)
		case "silent":
			p.silent = v == "yes"
		}
	}
}

// answerAsPeer lets another entry answer a request for its settings.
func (w *fakeWorld) answerAsPeer(v SendMessage) {
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

// restart replaces the entry by a new incarnation. The arguments set the saved
// configuration version and the other entries of the site, such as "saved=3
// near=entry-2".
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

// TestEntryAsksSitePeersInTurn guards against an entry that starts with an
// outdated configuration while control does not answer. It must ask the entries
// of its site one after another, and serve only once each of them has answered
// that it has no higher version.
func TestEntryAsksSitePeersInTurn(t *testing.T) {
	Convey("an entry without a configuration", t, func() {
		o := testOptions()
		o.Settings, o.Version = nil, 0
		o.SitePeers, o.Peers = []catalog.VMID{"entry-2", "entry-3"}, []catalog.VMID{"entry-2", "entry-3", "far"}
		e := NewEntry(o)
		asked := func(at time.Duration, in Input) (out []catalog.VMID) {
			for _, x := range e.Step(Event{Now: catalog.Instant(time.Second + at), Input: in}) {
				if p, ok := x.(SendMessage); ok && p.Message.SettingsRequest != nil {
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
		Convey("asks the other entries of its site once it has one, before it serves requests", func() {
			So(asked(210*time.Millisecond, answer("entry-2", 4)), ShouldResemble, []catalog.VMID{"entry-3"})
			So(e.catchUp.inForce, ShouldBeFalse)
			asked(220*time.Millisecond, answer("entry-3", 6))
			So(e.version, ShouldEqual, 6)
			So(e.catchUp.inForce, ShouldBeTrue)
			Convey("and ignores an older version", func() {
				m := &wire.Settings{Version: 5, Full: true}
				asked(230*time.Millisecond, MessageReceived{From: "entry-2", Message: wire.Message{Settings: m}})
				So(e.version, ShouldEqual, 6)
				So(e.services["orders"].accepted, ShouldBeTrue)
			})
		})
		Convey("ignores a configuration from a VM that is not an entry", func() {
			asked(210*time.Millisecond, answer("stranger", 9))
			So(e.version, ShouldEqual, 0)
		})
		Convey("requests the configuration of an entry that has a higher version", func() {
			ask := MessageReceived{From: "entry-3", Message: wire.Message{SettingsRequest: &wire.SettingsRequest{Version: 3}}}
			So(asked(210*time.Millisecond, ask), ShouldResemble, []catalog.VMID{"entry-3"})
		})
	})
}
