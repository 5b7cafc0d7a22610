// Package metric defines the router's Prometheus metrics. The number of label values is
// bounded, except that each workspace with detailed metrics has its own; only the published configuration limits these.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

// otherWorkspaces is the label value that workspaces without detailed metrics share,
// because 16,000 workspaces must not create 16,000 series.
const otherWorkspaces = "other"

// Set holds the metrics of one router process.
type Set struct {
	// Registry collects every metric of the set.
	Registry   *prometheus.Registry
	firstToken *prometheus.HistogramVec
	interToken *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
	target     *prometheus.CounterVec
	requests   *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	refusals   *prometheus.CounterVec
}

// New returns the metrics, registered in a new registry.
func New() *Set {
	labels := []string{"class", "workspace"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "hoist", Name: name, Help: help, Buckets: buckets,
		}, labels)
	}
	counter := func(name, help string, extraLabels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: name, Help: help,
		}, append(extraLabels, labels...))
	}
	s := &Set{
		Registry: prometheus.NewRegistry(),
		firstToken: histogram("first_token_seconds", "Time from the caller's request to the first token.",
			[]float64{.01, .025, .05, .1, .2, .35, .5, .69, 1, 2, 5, 10, 30, 60}),
		interToken: histogram("inter_token_seconds", "Mean time between two tokens of a request.",
			[]float64{.005, .01, .02, .033, .05, .1, .25, 1}),
		duration: histogram("request_seconds", "Time from the caller's request to its end.",
			[]float64{.01, .05, .1, .5, 1, 2, 5, 10, 30, 60, 300}),
		target:   counter("first_token_target_total", "Requests by whether the first token met the class's target.", "met"),
		requests: counter("requests_total", "Requests by outcome and refusal reason.", "outcome", "reason"),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "hoist", Name: "refusals_total", Help: "Requests refused before they reached a dispatcher, by error code.",
		}, []string{"code"}),
		tokens: counter("tokens_total", "Token frames passed to callers."),
	}
	s.Registry.MustRegister(s.firstToken, s.interToken, s.duration, s.target, s.requests, s.tokens, s.refusals)
	for _, c := range invar.All() {
		s.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "hoist", Name: "invariant_violations_total", Help: "Violations of an invariant.",
			ConstLabels: prometheus.Labels{"check": c.String()},
		}, func() float64 { return float64(invar.Count(c)) }))
	}
	return s
}

// RegisterGauge registers a gauge whose value is read at each collection.
func (s *Set) RegisterGauge(name, help string, read func() float64) {
	s.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "hoist", Name: name, Help: help,
	}, read))
}

// RegisterCounter registers a counter whose value is read at each collection.
func (s *Set) RegisterCounter(name, help string, read func() float64) {
	s.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "hoist", Name: name, Help: help,
	}, read))
}

// Sample holds the measurements of one request.
type Sample struct {
	// Class of the request.
	Class config.Class
	// Workspace of the request.
	Workspace value.Workspace
	// Result of the request, with its outcome and reason.
	Result call.Result
	// FirstToken is the time from the request to the first token; zero if there was none.
	FirstToken hoist.Millis
	// Total is the time from the request to its end.
	Total hoist.Millis
}

// Observe records one finished request.
func (s *Set) Observe(x Sample) {
	workspace := otherWorkspaces
	if x.Workspace.Detailed() {
		workspace = x.Workspace.Name()
	}
	class := x.Class.Name()
	s.requests.WithLabelValues(call.OutcomeName(x.Result.Outcome), x.Result.Reason.String(), class, workspace).Inc()
	s.duration.WithLabelValues(class, workspace).Observe(seconds(x.Total))
	if x.Result.Emitted == 0 {
		return
	}
	s.tokens.WithLabelValues(class, workspace).Add(float64(x.Result.Emitted))
	s.firstToken.WithLabelValues(class, workspace).Observe(seconds(x.FirstToken))
	if x.Class.FirstTokenMs() > 0 {
		s.countTarget(x, class, workspace)
	}
	if x.Result.Emitted > 1 {
		mean := seconds(x.Total-x.FirstToken) / float64(x.Result.Emitted-1)
		s.interToken.WithLabelValues(class, workspace).Observe(mean)
	}
}

// countTarget counts whether the request met the first-token target of its class.
func (s *Set) countTarget(x Sample, class, workspace string) {
	met := "no"
	if x.FirstToken <= hoist.Millis(x.Class.FirstTokenMs()) {
		met = "yes"
	}
	s.target.WithLabelValues(met, class, workspace).Inc()
}

// CountRefusal counts a request that was rejected before it reached a dispatcher, by error code.
func (s *Set) CountRefusal(code string) { s.refusals.WithLabelValues(code).Inc() }

// seconds converts a duration to seconds, the base unit of Prometheus.
func seconds(m hoist.Millis) float64 { return float64(m) / float64(hoist.Second) }
