package node

import (
	"strings"
	"testing"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestEntryPolicy checks the effect of ReadFromPrimary and EqualShares, and
// that neither is on by default.
func TestEntryPolicy(t *testing.T) {
	for _, plain := range []bool{false, true} {
		o := testOptions()
		o.ReadFromPrimary, o.EqualShares = plain, plain
		w := newFakeWorld(o)
		for _, line := range []string{
			"upstream a role=primary at=1:100 grant=6", "upstream b role=replica at=1:100 grant=6",
			"upstream c role=replica at=1:100 grant=6", "control primary=a epoch=1 term=1 ready=yes", "run 300ms",
		} {
			if err := w.play(strings.Fields(line)); err != nil {
				t.Fatal(err)
			}
		}
		at := catalog.InstanceID("")
		read := RequestArrived{Request: 900, Service: "orders", FloorUnknown: true, Deadline: w.now.Add(serviceIdleTimeout)}
		for _, x := range w.entry.Step(Event{Now: w.now, Input: read}) {
			if run, ok := x.(RunRequest); ok {
				at = w.entry.conns[run.Conn].instance.id
			}
		}
		if plain && at != "a" {
			t.Errorf("a read with ReadFromPrimary ran at %q", at)
		}
		if !plain && at != "" {
			t.Errorf("a read with an unknown floor ran at %q before the primary's position was known", at)
		}
		a := w.entry.services["orders"].instance("a")
		if got := w.entry.desiredConns(a); plain != (got == 10) {
			t.Errorf("with EqualShares=%v, %d connections are requested", plain, got)
		}
	}
}
