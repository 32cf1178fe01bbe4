package node

import (
	"fmt"
	"strings"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// playDone ends a running request that its upstream holds back. The arguments
// are the request and how it ends, such as "1 lost".
func (w *fakeWorld) playDone(args []string) error {
	id := request(args[0])
	for n := catalog.ConnID(1); n <= w.entry.nextConn; n++ {
		c := w.conns[n]
		if c == nil || c.running != id {
			continue
		}
		d := RequestDone{Reusable: true, Position: c.at.Position, PositionQueriedAt: w.now}
		for _, a := range args[1:] {
			switch a {
			case "lost":
				d = RequestDone{Outcome: OutcomeLost, AnswerStarted: d.AnswerStarted}
			case "saw":
				d.AnswerStarted = true
			case "read-only":
				d.Outcome, w.ran[id] = OutcomeReadOnly, "refused"
			case "not-sent":
				d.Outcome, w.ran[id] = OutcomeNotSent, "refused"
			case "not-ready":
				d.Outcome, w.ran[id] = OutcomeNotReady, "refused"
			}
		}
		w.step(w.requestDone(c, n, id, d))
		return nil
	}
	return fmt.Errorf("request %d does not run", id)
}

// expect compares one fact of the world with the expected value, the last word
// of the line.
func (w *fakeWorld) expect(args []string) error {
	var got string
	switch args[0] {
	case "answer":
		got, args = w.verdict(request(args[1])), args[1:]
	case "ran":
		got, args = w.ran[request(args[1])], args[1:]
	case "sent":
		got, args = "no", args[1:]
		for _, s := range w.sent {
			if s == args[0] {
				got = "yes"
			}
		}
	case "open":
		got = fmt.Sprint(w.heldConns(catalog.InstanceID(args[1])))
		args = args[1:]
	case "probes":
		id := catalog.InstanceID(args[1])
		got, args = fmt.Sprint(w.probes[id]), args[1:]
		w.probes[id] = 0
	case "verified":
		got, args = fmt.Sprint(w.verified[request(args[1])]), args[1:]
	case "reason":
		got, args = strings.ReplaceAll(w.answers[request(args[1])].Reason, " ", "-"), args[1:]
	case "version":
		got = fmt.Sprint(w.entry.version)
	case "spent":
		got = fmt.Sprint(w.spentEpoch)
	case "stopped":
		got = map[bool]string{true: "yes", false: "no"}[w.stopped]
	default:
		return fmt.Errorf("unknown fact %s", args[0])
	}
	want := args[len(args)-1]
	if len(args) < 2 {
		want = ""
	}
	if got != want {
		return fmt.Errorf("expected %v, got %q", args, got)
	}
	return nil
}

func (w *fakeWorld) verdict(id catalog.RequestID) string {
	a, ok := w.answers[id]
	switch {
	case !ok:
		return "waits"
	case a.Verdict == VerdictNotRun && a.RetryAfter == 0:
		return "no-hint"
	case a.Verdict == VerdictNotRun:
		return "not-run"
	case a.Verdict == VerdictUnknown:
		return "unknown"
	case a.FromReplica:
		return "replica"
	default:
		return "done"
	}
}
