package node

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

func testOptions() EntryOptions {
	return EntryOptions{
		VM: "entry-1", Site: "x", Incarnation: 1, Seed: 7, Timings: catalog.DefaultTimings(),
		Control: []catalog.VMID{"control"}, Peers: []catalog.VMID{"entry-2"}, QueueLimit: 4, Version: 1,
		Settings: []catalog.Service{testService(catalog.AckPrimary)},
	}
}

func testService(ack catalog.AckMode) catalog.Service {
	return catalog.Service{
		ID: "orders", Ack: ack, Instances: 3,
		Limits: catalog.Limits{Connections: 20, Slots: 3, LocalShare: 2},
	}
}

// TestEntryScripts runs the scripts in testdata/entry, whose expect lines state
// what the entry must do. Each script runs twice, to guard against an entry that
// is not deterministic: both runs must have the same effects.
func TestEntryScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/entry/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			first, second := playFile(t, f), playFile(t, f)
			if strings.Join(first.trace, "\n") != strings.Join(second.trace, "\n") {
				t.Error("two runs differ")
			}
		})
	}
}

func playFile(t *testing.T, name string) *fakeWorld {
	t.Helper()
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	w := newFakeWorld(testOptions())
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(strings.SplitN(lines.Text(), "#", 2)[0])
		if len(words) == 0 {
			continue
		}
		if err := w.play(words); err != nil {
			t.Fatalf("%s:%d: %v\n%s", name, n, err, strings.Join(w.trace[max(0, len(w.trace)-40):], "\n"))
		}
		if len(w.violations) > 0 {
			t.Fatalf("%s:%d: %s", name, n, strings.Join(w.violations, "; "))
		}
	}
	return w
}

func (w *fakeWorld) play(words []string) error {
	verb, args := words[0], words[1:]
	switch verb {
	case "run":
		w.advance(length(args[0]))
	case "upstream":
		w.playUpstream(args)
	case "control":
		w.playControl(args)
	case "read", "write", "begin", "begin-read", "inside":
		w.playRequest(verb, args)
	case "withdraw":
		w.step(RequestCanceled{Request: request(args[0])})
	case "done":
		return w.playDone(args)
	case "revoke":
		v := &wire.Revoke{Service: "orders", Epoch: catalog.Epoch(number(args[0])), Drain: len(args) > 1}
		w.step(MessageReceived{From: "control", Message: wire.Message{Revoke: v}})
	case "peer":
		w.playPeer(args)
	case "restart":
		w.restart(args)
	case "drain":
		w.step(DrainRequested{})
	case "expect":
		return w.expect(args)
	default:
		return fmt.Errorf("unknown verb %s", verb)
	}
	return nil
}

func (w *fakeWorld) playUpstream(args []string) {
	id := catalog.InstanceID(args[0])
	u := w.upstreams[id]
	isNew := u == nil
	if isNew {
		u = &fakeUpstream{Announcement: catalog.Announcement{
			Service: "orders", Instance: id, Address: "127.0.0.1:1", Incarnation: 1, Site: "x",
		}}
		w.upstreams[id] = u
	}
	for _, a := range args[1:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "role":
			u.Role = map[string]catalog.Role{"primary": catalog.RolePrimary, "replica": catalog.RoleReplica}[v]
		case "at":
			u.Position = position(v)
		case "site":
			u.Site = catalog.SiteID(v)
		case "grant":
			u.grant = int(number(v))
		case "pause":
			u.pause = length(v)
		case "held":
			u.held = v == "yes"
		case "frozen":
			u.frozen = v == "yes"
		case "silent":
			u.silent = v == "yes"
		case "leaving":
			u.Leaving = v == "yes"
		case "life":
			u.Incarnation, u.Sequence = number(v), 0
			w.step(AnnouncementReceived{Announcement: u.Announcement})
		case "down":
			w.playDown(u, v == "yes")
		}
	}
	if isNew {
		w.step(AnnouncementReceived{Announcement: u.Announcement})
		w.announce(u)
	}
}

func (w *fakeWorld) playDown(u *fakeUpstream, down bool) {
	u.down = down
	for id := catalog.ConnID(1); down && id <= w.entry.nextConn; id++ {
		if c := w.conns[id]; c != nil && c.at == u {
			if in := w.loseConn(id, wire.EvidenceRefused); in != nil {
				w.step(in)
			}
		}
	}
}

func (w *fakeWorld) playControl(args []string) {
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "primary":
			w.primary.Service, w.primary.Instance = "orders", catalog.InstanceID(v)
		case "epoch":
			w.primary.Epoch = catalog.Epoch(number(v))
		case "term":
			w.primary.Term = catalog.Term(number(v))
		case "ready":
			w.primary.Ready = v == "yes"
		case "fork":
			p := position(v)
			w.primary.Forks = w.primary.Forks.With(catalog.Fork{Term: p.Term, At: p.Offset})
		case "lease":
			w.lease = v == "yes"
		case "deaf":
			w.controlSilent = v == "yes"
		case "version":
			w.settings.Version = catalog.Version(number(v))
			w.settings.Services = []catalog.Service{testService(catalog.AckPrimary)}
		case "ack":
			w.settings.Services = []catalog.Service{testService(catalog.AckMode(v))}
		case "removed":
			w.settings.Services, w.settings.Full = nil, true
		}
	}
}

func (w *fakeWorld) playRequest(verb string, args []string) {
	q := RequestArrived{
		Request: request(args[0]), Service: "orders", Class: ClassNormal,
		Deadline: w.now.Add(time.Second),
		Kind: map[string]RequestKind{
			"read": KindRead, "write": KindWrite, "begin": KindBegin,
			"begin-read": KindBeginRead, "inside": KindInTransaction,
		}[verb],
	}
	for _, a := range args[1:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "floor":
			q.Floor, q.FloorUnknown = position(v), v == "unknown"
		case "age":
			q.MaxAge = length(v)
		case "within":
			q.Deadline = w.now.Add(length(v))
		case "held":
			q.HeldConn = catalog.ConnID(number(v))
		case "class":
			q.Class = map[string]Class{"booking": ClassBooking, "browse": ClassBrowse}[v]
		}
	}
	w.submit(q)
}

func number(s string) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func request(s string) catalog.RequestID { return catalog.RequestID(number(s)) }

func length(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}

func position(s string) catalog.Position {
	term, offset, found := strings.Cut(s, ":")
	if !found {
		return catalog.Position{}
	}
	return catalog.Position{Term: catalog.Term(number(term)), Offset: catalog.Offset(number(offset))}
}
