package daemon_test

import (
	"context"
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
