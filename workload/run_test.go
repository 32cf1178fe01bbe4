package workload

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/history"
	"github.com/kingcupknot/kingcupknot/standin"
)

func startPrimary(t *testing.T, m SessionMode) Options {
	t.Helper()
	s, err := standin.Start(standin.Options{Service: "shop", Instance: "a", Listen: "127.0.0.1:0", Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return Options{
		Entries: []string{s.Address, s.Address}, Services: []string{"shop"},
		Duration: 300 * time.Millisecond, Rate: 600, Callers: 8, BrowseShare: 0.3,
		MaxAge: 100 * time.Millisecond, SwitchEntries: true, Mode: m, Seed: 3, User: "caller",
	}
}

// TestRunAgainstPrimary guards against a run that reports violations or errors
// where there are none.
func TestRunAgainstPrimary(t *testing.T) {
	for _, m := range []SessionMode{SessionToken, SessionID, SessionConnection} {
		Convey("a run against a primary has no violations, mode "+string(m), t, func() {
			r, err := Run(context.Background(), startPrimary(t, m))
			So(err, ShouldBeNil)
			So(r.Verdict, ShouldResemble, history.Verdict{})
			s := r.Summary()
			So(s.Acknowledged, ShouldBeGreaterThan, 100)
			So(s.Refused+s.Unknown+s.Failed, ShouldEqual, 0)
			var out strings.Builder
			So(r.WriteReport(&out, false), ShouldBeNil)
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			So(lines[len(lines)-1], ShouldStartWith, `{"acknowledged":`)
		})
	}
}

// TestRunFindsStaleReads guards against a run that misses violations: it reads
// from a lagging replica without a proxy, so reads must come out stale.
func TestRunFindsStaleReads(t *testing.T) {
	o := startPrimary(t, SessionToken)
	b, err := standin.Start(standin.Options{
		Service: "shop", Instance: "b", Listen: "127.0.0.1:0", FollowAddress: o.Entries[0], Lag: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Stop)
	o.Entries[1], o.MaxAge, o.Duration = b.Address, 20*time.Millisecond, time.Second
	Convey("reads from a lagging replica count as stale and too old, and nothing else is counted", t, func() {
		r, err := Run(context.Background(), o)
		So(err, ShouldBeNil)
		So(r.Verdict.StaleReads, ShouldBeGreaterThan, 0)
		So(r.Verdict.MaxAgeViolations, ShouldBeGreaterThan, 0)
		So(r.Verdict, ShouldResemble, history.Verdict{StaleReads: r.Verdict.StaleReads, MaxAgeViolations: r.Verdict.MaxAgeViolations})
	})
}

// TestClassifyError guards against an error of unknown outcome that counts as a
// refusal, which would report an applied write as a violation.
func TestClassifyError(t *testing.T) {
	c := newCaller(&run{options: Options{Entries: []string{"127.0.0.1:1"}, Services: []string{"shop"}}}, 0)
	Convey("the outcome of a request follows from its error", t, func() {
		for _, test := range []struct {
			code, message string
			want          history.Outcome
		}{
			{"57P03", "not run: no primary", history.OutcomeRefused},
			{"57P03", "the database system is starting up", history.OutcomeUnknown},
			{"08007", "outcome unknown", history.OutcomeUnknown},
			{"23505", "duplicate key", history.OutcomeFailed},
		} {
			So(c.classifyError(&pgconn.PgError{Code: test.code, Message: test.message}), ShouldEqual, test.want)
		}
		So(c.classifyError(context.DeadlineExceeded), ShouldEqual, history.OutcomeUnknown)
	})
}
