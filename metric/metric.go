// Package metric holds the router's Prometheus metrics; the number of label values stays bounded.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

// otherWorkspaces is the label of all workspaces that have no series of their own,
// because 16,000 workspaces must not become 16,000 series.
const otherWorkspaces = "other"

// Set holds the metrics of one router process.
type Set struct {
	// Registry collects every metric of the set.
	Registry *prometheus.Registry
	first    *prometheus.HistogramVec
	between  *prometheus.HistogramVec
	whole    *prometheus.HistogramVec
	met      *prometheus.CounterVec
	results  *prometheus.CounterVec
	tokens   *prometheus.CounterVec
	refused  *prometheus.CounterVec
}

// New returns the metrics, registered in a registry of their own.
func New() *Set {
	labels := []string{"class", "workspace"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "hoist", Name: name, Help: help, Buckets: buckets,
		}, labels)
	}
	counter := func(name, help string, more ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: name, Help: help,
		}, append(more, labels...))
	}
	s := &Set{
		Registry: prometheus.NewRegistry(),
		first: histogram("first_token_seconds", "Time from the caller's request to the first token.",
			[]float64{.01, .025, .05, .1, .2, .35, .5, .69, 1, 2, 5, 10, 30, 60}),
		between: histogram("inter_token_seconds", "Mean time between two tokens of a request.",
			[]float64{.005, .01, .02, .033, .05, .1, .25, 1}),
		whole: histogram("request_seconds", "Time from the caller's request to its end.",
			[]float64{.01, .05, .1, .5, 1, 2, 5, 10, 30, 60, 300}),
		met:     counter("first_token_target_total", "Requests by whether the first token met the class's target.", "met"),
		results: counter("requests_total", "Requests by outcome and refusal reason.", "outcome", "reason"),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: "refusals_total", Help: "Requests refused before they reached a dispatcher, by error code.",
		}, []string{"code"}),
		tokens: counter("tokens_total", "Token frames passed to callers."),
	}
	s.Registry.MustRegister(s.first, s.between, s.whole, s.met, s.results, s.tokens, s.refused)
	for _, c := range invar.All() {
		s.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "hoist", Name: "invariant_violations_total", Help: "Violations of an invariant.",
			ConstLabels: prometheus.Labels{"check": c.String()},
		}, func() float64 { return float64(invar.Count(c)) }))
	}
	return s
}

// RegisterGauge registers a gauge that is read when metrics are collected.
func (s *Set) RegisterGauge(name, help string, read func() float64) {
	s.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "hoist", Name: name, Help: help,
	}, read))
}

// RegisterCounter registers a counter that is read when metrics are collected.
func (s *Set) RegisterCounter(name, help string, read func() float64) {
	s.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "hoist", Name: name, Help: help,
	}, read))
}

// Sample is what one request contributes to the metrics.
type Sample struct {
	// Class of the request.
	Class config.Class
	// Workspace of the request.
	Workspace value.Workspace
	// Result of the request.
	Result call.Result
	// FirstToken is the time to the first token; zero when there was none.
	FirstToken hoist.Millis
	// Total is the time to the end.
	Total hoist.Millis
}

// Observe adds one request.
func (s *Set) Observe(x Sample) {
	workspace := otherWorkspaces
	if x.Workspace.Detailed() {
		workspace = x.Workspace.Name()
	}
	class := x.Class.Name()
	s.results.WithLabelValues(call.OutcomeName(x.Result.Outcome), x.Result.Reason.String(), class, workspace).Inc()
	s.whole.WithLabelValues(class, workspace).Observe(seconds(x.Total))
	if x.Result.Emitted == 0 {
		return
	}
	s.tokens.WithLabelValues(class, workspace).Add(float64(x.Result.Emitted))
	s.first.WithLabelValues(class, workspace).Observe(seconds(x.FirstToken))
	if x.Class.FirstTokenMs() > 0 {
		s.judge(x, class, workspace)
	}
	if x.Result.Emitted > 1 {
		mean := seconds(x.Total-x.FirstToken) / float64(x.Result.Emitted-1)
		s.between.WithLabelValues(class, workspace).Observe(mean)
	}
}

// judge counts whether the first token met the class's target.
func (s *Set) judge(x Sample, class, workspace string) {
	met := "no"
	if x.FirstToken <= hoist.Millis(x.Class.FirstTokenMs()) {
		met = "yes"
	}
	s.met.WithLabelValues(met, class, workspace).Inc()
}

// CountRefusal counts a request that was refused before it reached a dispatcher, by its error code.
func (s *Set) CountRefusal(code string) { s.refused.WithLabelValues(code).Inc() }

// seconds converts a length of time for Prometheus.
func seconds(m hoist.Millis) float64 { return float64(m) / float64(hoist.Second) }
