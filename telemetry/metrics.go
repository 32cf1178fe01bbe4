package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// namespace is the prefix of all metric names.
const namespace = "kingcupknot"

// reportInterval is how old a scraped value may be.
const reportInterval = time.Second

// Metrics holds the counters, gauges and histograms of a process. Their names
// are in kebab case; scrapes show them with underscores. All methods are safe
// for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
}

// NewMetrics returns an empty set of metrics. Failed is called, if not nil,
// with what goes wrong, such as one name used for two kinds of metric.
func NewMetrics(failed func(error)) *Metrics {
	if failed == nil {
		failed = func(error) {}
	}
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer:      r,
		Gatherer:        r,
		OnRegisterError: failed,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namespace,
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, registry: r}
}

// Scope returns the scope for callers that keep their own metrics.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// Count adds to a counter.
func (m *Metrics) Count(name string, delta int64) {
	m.scope.Counter(name).Inc(delta)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// Observe adds a length of time to a histogram.
func (m *Metrics) ObserveDuration(name string, d time.Duration) {
	m.scope.Histogram(name, durationBuckets).RecordDuration(d)
}

// durationBuckets reach from half a millisecond to about 16 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Handler answers scrapes in Prometheus' text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close reports what is outstanding. Scrapes still work afterwards.
func (m *Metrics) Close() error {
	return m.closer.Close()
}
