package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"chicoryhoist.example/hoist"
)

// otherWorkspacesLabel is the label used for all workspaces if there are more than maxWorkspaceLabels, which bounds
// the number of time series.
const (
	otherWorkspacesLabel = "other"
	maxWorkspaceLabels   = 64
)

// Metrics are the metrics of forwarded requests.
type Metrics struct {
	// Registry collects every metric.
	Registry  *prometheus.Registry
	firstByte *prometheus.HistogramVec
	duration  *prometheus.HistogramVec
	results   *prometheus.CounterVec
	choices   *prometheus.CounterVec
	loadAge   prometheus.Histogram
}

// NewMetrics returns the metrics, registered in a new registry.
func NewMetrics() *Metrics {
	buckets := []float64{.01, .025, .05, .1, .15, .25, .4, .8, 1.2, 2, 5, 15}
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "hoist", Name: "forward_first_seconds", Help: "Time from the request to the first byte of its answer.", Buckets: buckets,
		}, []string{"rank", "workspace"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "hoist", Name: "forward_seconds", Help: "Time from the request to its end.", Buckets: buckets,
		}, []string{"rank"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: "forward_total", Help: "Forwarded requests by rank and result.",
		}, []string{"rank", "result"}),
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: "forward_shard_choices_total", Help: "Choices of a shard by load, by whether the request left its first shard.",
		}, []string{"moved"}),
		loadAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "hoist", Name: "forward_load_age_seconds", Help: "Age of the older of the two loads behind the choice of a shard.", Buckets: buckets,
		}),
	}
	m.Registry.MustRegister(m.firstByte, m.duration, m.results, m.choices, m.loadAge)
	return m
}

// Value registers a gauge whose value is read at collection time.
func (m *Metrics) Value(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "hoist", Name: name, Help: help}, read))
}

// observe records one request.
func (m *Metrics) observe(j *job, duration hoist.Millis) {
	rank := rankLabel(j.rank)
	m.results.WithLabelValues(rank, j.result).Inc()
	m.duration.WithLabelValues(rank).Observe(duration.Duration().Seconds())
	if j.choice != nil {
		m.choices.WithLabelValues(map[bool]string{true: "yes", false: "no"}[j.choice.Moved]).Inc()
		if j.choice.Reported {
			m.loadAge.Observe(j.choice.Age.Duration().Seconds())
		}
	}
	if j.firstByteTime > 0 {
		m.firstByte.WithLabelValues(rank, workspaceLabel(j)).Observe(j.firstByteTime.Duration().Seconds())
	}
}

// rankLabel returns the label of a rank.
func rankLabel(rank int32) string { return string('0' + min(max(rank, 0), lowestUrgency)) }

// workspaceLabel returns the label of the request's workspace.
func workspaceLabel(j *job) string {
	if j.view.Table == nil || j.view.Table.WorkspaceCount() > maxWorkspaceLabels || j.workspace.Name() == "" {
		return otherWorkspacesLabel
	}
	return j.workspace.Name()
}
