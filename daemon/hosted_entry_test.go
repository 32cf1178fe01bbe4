package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/session"
	"github.com/kingcupknot/kingcupknot/telemetry"
)

// TestUnknownKeyCounter guards against refusals of unknown keys that no counter
// shows, and against other decisions that it counts.
func TestUnknownKeyCounter(t *testing.T) {
	Convey("decisions on unknown keys are counted", t, func() {
		h := &hosted{log: logr.Discard(), metrics: telemetry.NewMetrics(nil)}
		h.logDecision(session.Decision{Verdict: session.VerdictUnknownKey})
		h.logDecision(session.Decision{Verdict: "no-database"})
		So(h.metrics.Close(), ShouldBeNil)
		w := httptest.NewRecorder()
		h.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		So(w.Body.String(), ShouldContainSubstring, "organisation_unknown_key 1\n")
	})
}
