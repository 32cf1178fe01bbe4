package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// freshWorld is a fakeWorld that records the positions that the primary had
// reached, with their times.
type freshWorld struct {
	*fakeWorld
	history []positionSample
	arrived map[catalog.RequestID]catalog.Position
}

func newFreshWorld(change func(*Entry)) *freshWorld {
	w := &freshWorld{fakeWorld: newFakeWorld(testOptions()), arrived: map[catalog.RequestID]catalog.Position{}}
	change(w.entry)
	w.onRead = w.check
	return w
}

func (w *freshWorld) primaryPosition() catalog.Position { return w.upstreams["a"].Position }

// check compares the position of a completed read with the position that the
// read requires.
func (w *freshWorld) check(q RequestArrived, have catalog.Position) {
	if have.Less(q.Floor) {
		w.addViolation("read %d ran at %v before its floor %v", q.Request, have, q.Floor)
	}
	if q.FloorUnknown && have.Less(w.arrived[q.Request]) {
		w.addViolation("read %d ran at %v, the primary had %v when the read arrived", q.Request, have, w.arrived[q.Request])
	}
	if q.MaxAge == 0 {
		return
	}
	var want catalog.Position
	for _, x := range w.history {
		if !x.sentAt.After(w.now.Add(-q.MaxAge)) {
			want = x.position
		}
	}
	if have.Less(want) {
		w.addViolation("read %d ran at %v, %v was written %v ago", q.Request, have, want, q.MaxAge)
	}
}

func (w *freshWorld) randomLine(t *rapid.T, n int) string {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	small := rapid.IntRange(0, 9).Draw(t, "small")
	switch rapid.IntRange(0, 7).Draw(t, "verb") {
	case 0, 1:
		return fmt.Sprintf("run %dms", rapid.SampledFrom([]int{1, 3, 30, 300}).Draw(t, "length"))
	case 2:
		return fmt.Sprintf("write %d", n)
	case 3, 4:
		at := w.upstreams[catalog.InstanceID(name)].Position
		if name == "a" {
			return fmt.Sprintf("upstream a at=1:%d", at.Offset+10)
		}
		return fmt.Sprintf("upstream %s at=1:%d", name, min(at.Offset+catalog.Offset(10*small), w.primaryPosition().Offset))
	case 5:
		return fmt.Sprintf("upstream %s down=%s pause=%dms", name, yesNo(small == 0), small)
	case 6:
		return fmt.Sprintf("control deaf=%s", yesNo(small == 0))
	default:
		floor := rapid.SampledFrom([]string{"unknown", "0:0", fmt.Sprintf("1:%d", w.primaryPosition().Offset)}).Draw(t, "floor")
		return fmt.Sprintf("read %d floor=%s age=%dms", n, floor, rapid.SampledFrom([]int{0, 50, 500}).Draw(t, "age"))
	}
}

func (w *freshWorld) play(t *rapid.T) {
	lines := []string{
		"upstream a role=primary at=1:100 grant=4", "upstream b role=replica at=1:100 grant=4",
		"upstream c role=replica at=1:90 grant=4", "control primary=a epoch=1 term=1 ready=yes", "run 200ms",
	}
	events := rapid.IntRange(5, 60).Draw(t, "events")
	for n := range len(lines) + events {
		line := ""
		if n < len(lines) {
			line = lines[n]
		} else {
			line = w.randomLine(t, n)
		}
		w.history = append(w.history, positionSample{sentAt: w.now, position: w.last()})
		if strings.HasPrefix(line, "read") {
			w.arrived[catalog.RequestID(n)] = w.primaryPosition()
		}
		if err := w.fakeWorld.play(strings.Fields(line)); err != nil {
			t.Fatal(err)
		}
	}
	w.advance(2 * time.Second)
}

func (w *freshWorld) last() catalog.Position {
	if w.upstreams["a"] == nil {
		return catalog.Position{}
	}
	return w.primaryPosition()
}

// TestEntryFreshness checks with random events that no read returns data older
// than its floor or its maximum age.
func TestEntryFreshness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFreshWorld(func(*Entry) {})
		w.play(t)
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}
