package daemon_test

import (
	"context"
	"slices"
	"testing"

	"github.com/kingcupknot/kingcupknot/daemon"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// An agreement message that arrives behind hundreds of reports must be handled
// before them: the leader would otherwise take its followers for silent.
func TestUrgentInputsOvertake(t *testing.T) {
	const reports = 500
	ctx, cancel := context.WithCancel(t.Context())
	var handled []bool
	l := daemon.NewLoop(daemon.NewClock(), func(e node.Event) []node.Effect {
		if m, ok := e.Input.(node.MessageReceived); ok {
			handled = append(handled, m.Message.Quorum != nil)
		}
		if len(handled) > reports {
			cancel()
		}
		return nil
	})
	for range reports {
		l.Feed(node.MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1"}}})
	}
	l.Feed(node.MessageReceived{From: "k2", Message: wire.Message{Quorum: &wire.Quorum{}}})
	l.Run(ctx, func(node.Effect) {})
	if len(handled) <= reports || !handled[0] {
		t.Fatal("a report was handled before the agreement message")
	}
}

// TestNewestReportIsHandled guards against a leader that is late and answers reports
// which newer ones have replaced: it never catches up, as entries that get no answer
// in time send more. Everything that is not such a report must still be handled.
func TestNewestReportIsHandled(t *testing.T) {
	const reports = 3 * 8192
	ctx, cancel := context.WithCancel(t.Context())
	var handled []uint64
	l := daemon.NewLoop(daemon.NewClock(), func(e node.Event) []node.Effect {
		switch v := e.Input.(type) {
		case node.MessageReceived:
			handled = append(handled, v.Message.Report.Sequence)
		case node.DrainRequested:
			cancel()
		}
		return nil
	})
	for n := range reports {
		l.Feed(node.MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Sequence: uint64(n + 1)}}})
	}
	l.Feed(node.MessageReceived{From: "e1", Message: wire.Message{Report: &wire.Report{VM: "e1", Sequence: 3}}})
	l.Feed(node.MessageReceived{From: "e2", Message: wire.Message{Report: &wire.Report{VM: "e2", Sequence: 7}}})
	l.Feed(node.DrainRequested{})
	l.Run(ctx, func(node.Effect) {})
	if !slices.Equal(handled, []uint64{reports, 7}) {
		t.Fatalf("the reports %v were handled", handled)
	}
}
