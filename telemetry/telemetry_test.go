package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLogger(t *testing.T) {
	Convey("a line names its part", t, func() {
		var out bytes.Buffer
		l := NewLoggerTo(&out, "info")
		LogLine(l, false, "lease", "Lease renewed.", []string{"service", "orders", "odd"})
		var line map[string]any
		So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
		So(line["part"], ShouldEqual, "lease")
		So(line["text"], ShouldEqual, "Lease renewed.")
		So(line["service"], ShouldEqual, "orders")
		So(line["level"], ShouldEqual, "info")
	})
	Convey("level error drops the rest", t, func() {
		var out bytes.Buffer
		l := NewLoggerTo(&out, "error")
		LogLine(l, false, "lease", "Lease renewed.", nil)
		So(out.Len(), ShouldEqual, 0)
		LogLine(l, true, "lease", "Lease lost.", nil)
		So(out.String(), ShouldContainSubstring, "Lease lost.")
	})
}

func TestMetrics(t *testing.T) {
	Convey("a scrape shows what was recorded", t, func() {
		m := NewMetrics(nil)
		m.Count("reads-at-replica", 2)
		m.Count("reads-at-replica", 1)
		m.Gauge("connections-held", 4)
		m.Observe("wait", 3*time.Millisecond)
		So(m.Close(), ShouldBeNil)
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		text := w.Body.String()
		So(text, ShouldContainSubstring, "kingcupknot_reads_at_replica 3\n")
		So(text, ShouldContainSubstring, "kingcupknot_connections_held 4\n")
		So(text, ShouldContainSubstring, `kingcupknot_wait_bucket{le="0.004"} 1`)
		So(text, ShouldContainSubstring, "process_cpu_seconds_total")
	})
	Convey("a name used twice is reported and does not panic", t, func() {
		failures := 0
		m := NewMetrics(func(error) { failures++ })
		m.Count("same", 1)
		m.Gauge("same", 1)
		So(failures, ShouldEqual, 1)
		So(m.Close(), ShouldBeNil)
	})
}

func TestTracer(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	Convey("a span goes to the file under its parent", t, func() {
		file := filepath.Join(t.TempDir(), "spans")
		tr, err := Tracer(file, "muscat-1-entry-1")
		So(err, ShouldBeNil)
		So(tr.On(), ShouldBeTrue)
		start := time.Unix(1000, 0)
		ctx := tr.Record(Parent(context.Background(), parent), "queue", start, start.Add(time.Millisecond), "service", "orders")
		So(Traceparent(ctx), ShouldStartWith, "00-0af7651916cd43dd8448eb211c80319c-")
		So(Traceparent(ctx), ShouldNotEqual, parent)
		So(tr.Close(context.Background()), ShouldBeNil)
		text, err := os.ReadFile(file)
		So(err, ShouldBeNil)
		var span struct {
			Name               string
			StartTime, EndTime time.Time
			Parent             struct{ SpanID string }
		}
		So(json.Unmarshal(text, &span), ShouldBeNil)
		So(span.Name, ShouldEqual, "queue")
		So(span.Parent.SpanID, ShouldEqual, "b7ad6b7169203331")
		So(span.EndTime.Sub(span.StartTime), ShouldEqual, time.Millisecond)
	})
	Convey("without a file nothing is written", t, func() {
		tr, err := Tracer("", "muscat-1-entry-1")
		So(err, ShouldBeNil)
		So(tr.On(), ShouldBeFalse)
		ctx := tr.Record(Parent(context.Background(), "nonsense"), "queue", time.Unix(1, 0), time.Unix(2, 0))
		So(Traceparent(ctx), ShouldBeEmpty)
		So(tr.Close(context.Background()), ShouldBeNil)
	})
}
