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

func options(t *testing.T, m SessionMode) Options {
	t.Helper()
	s, err := standin.Start(standin.Options{Service: "shop", Instance: "a", Listen: "127.0.0.1:0", Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return Options{
		Entries: []string{s.Address, s.Address}, Services: []string{"shop"},
		Duration: 300 * time.Millisecond, Rate: 600, Callers: 8, Browse: 0.3,
		MaxAge: 100 * time.Millisecond, Move: true, Mode: m, Seed: 3, User: "caller",
	}
}

func TestRunAgainstPrimary(t *testing.T) {
	for _, m := range []SessionMode{SessionToken, SessionID, SessionConnection} {
		Convey("a run against a primary violates nothing, mode "+string(m), t, func() {
			r, err := Run(context.Background(), options(t, m))
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

// A replica without a proxy before it shows that a run catches what it should.
func TestRunFindsStaleReads(t *testing.T) {
	o := options(t, SessionToken)
	b, err := standin.Start(standin.Options{
		Service: "shop", Instance: "b", Listen: "127.0.0.1:0", Follow: o.Entries[0], Lag: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Stop)
	o.Entries[1], o.MaxAge, o.Duration = b.Address, 20*time.Millisecond, time.Second
	Convey("reads from a lagging replica are found stale and too old, and nothing else", t, func() {
		r, err := Run(context.Background(), o)
		So(err, ShouldBeNil)
		So(r.Verdict.Stale, ShouldBeGreaterThan, 0)
		So(r.Verdict.TooOld, ShouldBeGreaterThan, 0)
		So(r.Verdict, ShouldResemble, history.Verdict{Stale: r.Verdict.Stale, TooOld: r.Verdict.TooOld})
	})
}

func TestJudge(t *testing.T) {
	c := newCaller(&run{options: Options{Entries: []string{"127.0.0.1:1"}, Services: []string{"shop"}}}, 0)
	Convey("what an error says of a request", t, func() {
		for _, x := range []struct {
			code, message string
			want          history.Outcome
		}{
			{"57P03", "not run: no primary", history.OutcomeRefused},
			{"57P03", "the database system is starting up", history.OutcomeUnknown},
			{"08007", "outcome unknown", history.OutcomeUnknown},
			{"23505", "duplicate key", history.OutcomeFailed},
		} {
			So(c.judge(&pgconn.PgError{Code: x.code, Message: x.message}), ShouldEqual, x.want)
		}
		So(c.judge(context.DeadlineExceeded), ShouldEqual, history.OutcomeUnknown)
	})
}
