package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestOverdueReads guards against reads that wait for an answer that was lost
// until their deadline, while another upstream could serve them in time.
func TestOverdueReads(t *testing.T) {
	const objective = 400 * time.Millisecond
	start := func(kind RequestKind) (*listedEntry, RunRequest) {
		w := newListedEntry()
		run, ok := w.run(RequestArrived{Request: 1, Kind: kind, Objective: objective})
		for !ok {
			w.advance(10 * time.Millisecond)
			run, ok = w.running(1)
		}
		w.effects = nil
		return w, run
	}
	isClosed := func(w *listedEntry, id catalog.ConnID) bool {
		for _, x := range w.effects {
			if v, ok := x.(CloseConn); ok && v.Conn == id {
				return true
			}
		}
		return false
	}
	lose := func(w *listedEntry, run RunRequest) {
		w.step(RequestDone{Request: 1, Conn: run.Conn, Outcome: OutcomeLost, PositionQueriedAt: w.now})
		w.advance(20 * time.Millisecond)
	}
	Convey("a read whose answer is overdue runs at another upstream within its objective", t, func() {
		w, run := start(KindRead)
		w.advance(objective/overdueObjectiveDivisor - 30*time.Millisecond)
		So(isClosed(w, run.Conn), ShouldBeFalse)
		w.advance(50 * time.Millisecond)
		So(isClosed(w, run.Conn), ShouldBeTrue)
		lose(w, run)
		again, ok := w.running(1)
		So(ok, ShouldBeTrue)
		So(w.conns[again.Conn], ShouldNotEqual, w.conns[run.Conn])
	})
	Convey("a write and a statement of a transaction that may write run once", t, func() {
		for _, kind := range []RequestKind{KindWrite, KindBegin} {
			w, run := start(kind)
			w.advance(2 * objective)
			So(isClosed(w, run.Conn), ShouldBeFalse)
		}
	})
	Convey("without a retry budget a read waits for its answer", t, func() {
		w, run := start(KindRead)
		w.entry.services["orders"].retryTokens = 0
		w.advance(2 * objective)
		So(isClosed(w, run.Conn), ShouldBeFalse)
	})
	Convey("a read at an upstream that is slow for all reads waits for its answer", t, func() {
		w, run := start(KindRead)
		i := w.entry.services["orders"].instance(w.conns[run.Conn])
		i.latency, i.latencyAt = objective, w.now
		w.advance(objective/overdueObjectiveDivisor + 50*time.Millisecond)
		So(isClosed(w, run.Conn), ShouldBeFalse)
	})
}
