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

// metricPrefix is the prefix of all metric names.
const metricPrefix = "kingcupknot"

// reportInterval is the time between two updates of the values that scrapes show.
const reportInterval = time.Second

// Metrics holds the counters, gauges and histograms of a process. Their names
// are in kebab case; scrapes show them with underscores. All methods are safe
// for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
}

// NewMetrics returns an empty set of metrics. If onError is not nil, it is called
// with each registration error, such as one name used for two kinds of metric.
func NewMetrics(onError func(error)) *Metrics {
	if onError == nil {
		onError = func(error) {}
	}
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer:      r,
		Gatherer:        r,
		OnRegisterError: onError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, registry: r}
}

// Scope returns the scope for packages that define their own metrics.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// Count adds delta to the counter of the given name.
func (m *Metrics) Count(name string, delta int64) {
	m.scope.Counter(name).Inc(delta)
}

// SetGauge sets the gauge of the given name to value.
func (m *Metrics) SetGauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// ObserveDuration records d in the histogram of the given name.
func (m *Metrics) ObserveDuration(name string, d time.Duration) {
	m.scope.Histogram(name, durationBuckets).RecordDuration(d)
}

// durationBuckets are histogram buckets from 0.5 ms to about 16 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Handler returns an HTTP handler that answers scrapes in Prometheus' text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close updates the values that scrapes show for the last time. The handler still
// answers scrapes afterwards.
func (m *Metrics) Close() error {
	return m.closer.Close()
}
