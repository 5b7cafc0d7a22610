package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
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
	refused   *prometheus.CounterVec
	rate      *prometheus.GaugeVec
	factor    *prometheus.GaugeVec
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
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: "forward_refused_early_total", Help: "Requests that this instance refused early as the owner of a shard, by rank and reason.",
		}, []string{"rank", "reason"}),
		rate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "hoist", Name: "engine_prompt_rate", Help: "Learned rate of an owned shard, in prompt tokens per millisecond and engine.",
		}, []string{"shard"}),
		factor: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "hoist", Name: "engine_factor", Help: "Learned time of an engine of an owned shard relative to the mean.",
		}, []string{"shard", "server"}),
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: "forward_shard_choices_total", Help: "Choices of a shard by load, by whether the request left its first shard.",
		}, []string{"moved"}),
		loadAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "hoist", Name: "forward_load_age_seconds", Help: "Age of the older of the two loads behind the choice of a shard.", Buckets: buckets,
		}),
	}
	m.Registry.MustRegister(m.firstByte, m.duration, m.results, m.refused, m.rate, m.factor, m.choices, m.loadAge)
	return m
}

// Value registers a gauge whose value is read at collection time.
func (m *Metrics) Value(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "hoist", Name: name, Help: help}, read))
}

// setModels sets the metrics of the learned models of a shard; engines that are gone are removed.
func (m *Metrics) setModels(shard string, rate float64, models []assign.EngineModel) {
	m.rate.WithLabelValues(shard).Set(rate)
	m.factor.DeletePartialMatch(prometheus.Labels{"shard": shard})
	for _, x := range models {
		m.factor.WithLabelValues(shard, x.Server).Set(x.Factor)
	}
}

// forgetModels removes the metrics of the learned models of a shard.
func (m *Metrics) forgetModels(shard string) {
	m.rate.DeleteLabelValues(shard)
	m.factor.DeletePartialMatch(prometheus.Labels{"shard": shard})
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
