package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"chicoryhoist.example/hoist"
)

// otherWorkspaces is the label of the workspaces beyond workspaceMost, which bounds the number of series.
const (
	otherWorkspaces = "other"
	workspaceMost   = 64
)

// Metrics are the metrics of forwarded requests.
type Metrics struct {
	// Registry collects every metric.
	Registry *prometheus.Registry
	first    *prometheus.HistogramVec
	whole    *prometheus.HistogramVec
	results  *prometheus.CounterVec
}

// NewMetrics returns the metrics, registered in a registry of their own.
func NewMetrics() *Metrics {
	buckets := []float64{.01, .025, .05, .1, .15, .25, .4, .8, 1.2, 2, 5, 15}
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "hoist", Name: "forward_first_seconds", Help: "Time from the request to the first byte of its answer.", Buckets: buckets,
		}, []string{"rank", "workspace"}),
		whole: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "hoist", Name: "forward_seconds", Help: "Time from the request to its end.", Buckets: buckets,
		}, []string{"rank"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: "forward_total", Help: "Forwarded requests by rank and result.",
		}, []string{"rank", "result"}),
	}
	m.Registry.MustRegister(m.first, m.whole, m.results)
	return m
}

// Value registers a gauge that is read when metrics are collected.
func (m *Metrics) Value(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "hoist", Name: name, Help: help}, read))
}

// ended counts one request.
func (m *Metrics) ended(j *job, whole hoist.Millis) {
	rank := rankLabel(j.rank)
	m.results.WithLabelValues(rank, j.reason).Inc()
	m.whole.WithLabelValues(rank).Observe(whole.Duration().Seconds())
	if j.first > 0 {
		m.first.WithLabelValues(rank, workspaceLabel(j)).Observe(j.first.Duration().Seconds())
	}
}

// rankLabel returns the label of a rank.
func rankLabel(rank int32) string { return string('0' + min(max(rank, 0), mostUrgency)) }

// workspaceLabel returns the label of the request's workspace.
func workspaceLabel(j *job) string {
	if j.view.Table == nil || j.view.Table.WorkspaceCount() > workspaceMost || j.holder.Name() == "" {
		return otherWorkspaces
	}
	return j.holder.Name()
}
