package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// randomLine draws one line of a script.
func (w *fakeWorld) randomLine(t *rapid.T, n int) string {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	small := rapid.IntRange(0, 9).Draw(t, "small")
	switch rapid.IntRange(0, 15).Draw(t, "verb") {
	case 0, 1, 2:
		return fmt.Sprintf("run %dms", rapid.IntRange(1, 400).Draw(t, "length"))
	case 3, 4:
		kind := rapid.SampledFrom([]string{"write", "begin"}).Draw(t, "kind")
		return fmt.Sprintf("%s %d class=booking within=%d00ms", kind, n, small+1)
	case 5, 6, 7:
		kind := rapid.SampledFrom([]string{"read", "read", "begin-read"}).Draw(t, "kind")
		class := rapid.SampledFrom([]string{"normal", "browse"}).Draw(t, "class")
		floor := rapid.SampledFrom([]string{"unknown", "1:100", "1:150", "2:160"}).Draw(t, "floor")
		return fmt.Sprintf("%s %d class=%s floor=%s age=%d00ms within=%d00ms", kind, n, class, floor, small, small+1)
	case 8:
		return fmt.Sprintf("upstream %s grant=%d", name, small)
	case 9:
		held := rapid.SampledFrom([]string{"held=yes", "held=no", "pause=300ms", "pause=0s"}).Draw(t, "held")
		return fmt.Sprintf("upstream %s %s", name, held)
	case 10:
		return fmt.Sprintf("upstream %s at=%d:%d down=%s", name, 1+small/8, 100+10*small, yesNo(small == 7))
	case 11:
		return fmt.Sprintf("control deaf=%s lease=%s", yesNo(small == 1), yesNo(small != 2))
	case 12:
		w.primary.Epoch++
		return fmt.Sprintf("control primary=%s ready=%s", name, yesNo(small > 3))
	case 13:
		drain := rapid.SampledFrom([]string{"", " drain"}).Draw(t, "drain")
		return fmt.Sprintf("revoke %d%s", w.primary.Epoch, drain)
	case 14:
		return fmt.Sprintf("inside %d held=%d", n, rapid.IntRange(1, int(w.entry.nextConn)+1).Draw(t, "conn"))
	default:
		return fmt.Sprintf("upstream %s role=%s", name, rapid.SampledFrom([]string{"primary", "replica"}).Draw(t, "role"))
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// endOneRequest ends one request that an upstream holds back.
func (w *fakeWorld) endOneRequest(t *rapid.T) {
	for id := catalog.ConnID(1); id <= w.entry.nextConn; id++ {
		c := w.conns[id]
		if c == nil || c.running == 0 || !c.at.held {
			continue
		}
		how := rapid.SampledFrom([]string{"", "lost", "saw", "read-only", "not-sent", "not-ready"}).Draw(t, "how")
		if err := w.playDone([]string{fmt.Sprint(c.running), how}); err != nil {
			w.addViolation("%v", err)
		}
		return
	}
}

func randomWorld(t *rapid.T, change func(*Entry)) *fakeWorld {
	w := newFakeWorld(testOptions())
	change(w.entry)
	lines := []string{
		"upstream a role=primary at=1:100 grant=4", "upstream b role=replica at=1:100 grant=4",
		"upstream c role=replica at=1:100 grant=4", "control primary=a epoch=1 term=1 ready=yes", "run 200ms",
	}
	events := rapid.IntRange(5, 60).Draw(t, "events")
	for range events {
		lines = append(lines, "")
	}
	for n, line := range lines {
		if line == "" {
			line = w.randomLine(t, n)
		}
		if err := w.play(strings.Fields(line)); err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "end") {
			w.endOneRequest(t)
		}
	}
	return w
}

// TestEntryInvariants checks with random events that every request is answered
// exactly once, that connections stay within the grants, that a connection runs
// one request at a time, and that no write is acknowledged without a lease.
func TestEntryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomWorld(t, func(*Entry) {})
		for _, id := range w.instanceIDs() {
			w.upstreams[id].held = false
			w.playDown(w.upstreams[id], true)
		}
		w.advance(3 * time.Second)
		for id := range w.requests {
			if _, ok := w.answers[id]; !ok {
				w.addViolation("request %d was never answered", id)
			}
		}
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}
