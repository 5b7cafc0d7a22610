package bench

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/value"
)

// maxLatencyMs is the largest value of the histograms.
const maxLatencyMs = 1_000_000

// request is one request in an experiment.
type request struct {
	arrival
	state    call.State
	attempts []*attempt
	// server is the number of the server that a baseline scheme has chosen.
	server       int
	firstTokenAt sim.Micros
	lastTokenAt  sim.Micros
	endedAt      sim.Micros
	done         bool
	ran          bool
	// windowTokens counts the tokens that reached the router within the window.
	windowTokens int
}

// newRequest returns the state of a drawn request; its number is the index in world.requests plus 1.
func newRequest(number uint64, a arrival) *request {
	id := value.Attempt{}.WithIncarnation(uint64(a.router) + 1).WithRequest(number)
	ask := value.Ask{}.WithAttempt(id).WithShard("shard").WithClass(a.class.Name).WithWorkspace("north").
		WithModel(modelName).WithPromptTokens(int32(a.class.PromptTokens)).WithRepeatable(true).WithFingerprint(number)
	return &request{arrival: a, state: call.New(ask)}
}

// attempt returns the attempt with the identifier, or nil.
func (r *request) attempt(id value.Attempt) *attempt {
	for _, a := range r.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// firstTokenLatency returns the time from sending to receiving the first token, both at the client, or false if there is none.
func (r *request) firstTokenLatency(s sim.Site) (hoist.Millis, bool) {
	if r.firstTokenAt == 0 {
		return 0, false
	}
	return (r.firstTokenAt + s.ClientLatency - r.sentAt).Millis(), true
}

// tally counts tokens and attempts; token, preemption and hedge counts cover the scenario's window only.
type tally struct {
	scenario Scenario
	// producedTokens counts all tokens of the servers, wastedTokens those of preempted, hedged and lost attempts.
	producedTokens, wastedTokens int
	// tokenIntervals are the times between consecutive tokens of the class with rank 1, in milliseconds.
	tokenIntervals *hdrhistogram.Histogram
	// lateStarts counts attempts that were started on the leaving server more than departureLimit after its stop began.
	lateStarts int
	// preempted counts preempted attempts.
	preempted int
	// hedged counts placement requests for hedges.
	hedged int
}

// departureLimit is the time after the begin of a planned stop from which the server must receive no new attempts.
const departureLimit = 3 * sim.Second

// newTally returns a tally without counts.
func newTally(s Scenario) tally {
	return tally{scenario: s, tokenIntervals: hdrhistogram.New(1, maxLatencyMs, 3)}
}

// inWindow reports whether the time lies in the scenario's window.
func (t *tally) inWindow(time sim.Micros) bool {
	return time >= t.scenario.From && time < t.scenario.To
}

// attemptStarted counts the attempt if it starts too late on the leaving server.
func (t *tally) attemptStarted(w *world, a *attempt) {
	if a.server == t.scenario.StoppedServer && w.queue.Now() > t.scenario.StopAt+departureLimit {
		t.lateStarts++
	}
}

// messageSent counts hedges, preemptions and the tokens of attempts that end without a complete response.
func (t *tally) messageSent(w *world, r *request, body value.GatewayMessageBody) {
	if !t.inWindow(w.queue.Now()) {
		return
	}
	switch b := body.(type) {
	case value.End:
		a := r.attempt(b.Attempt())
		if a == nil || b.Kind() == value.EndKindFinished {
			return
		}
		if b.Kind() == value.EndKindPreempted {
			t.preempted++
		}
		t.wastedTokens += int(a.frames)
	case value.Ask:
		if b.Hedge() {
			t.hedged++
		}
	default:
	}
}

// tokenProduced counts a token that a server has produced.
func (t *tally) tokenProduced(w *world) {
	if t.inWindow(w.queue.Now()) {
		t.producedTokens++
	}
}

// tokensLost counts n tokens that reach no caller as wasted.
func (t *tally) tokensLost(w *world, n int) {
	if t.inWindow(w.queue.Now()) {
		t.wastedTokens += n
	}
}

// tokenReceived counts a token that reaches the request's router.
func (t *tally) tokenReceived(w *world, r *request, receivedAt sim.Micros) {
	if r.firstTokenAt == 0 {
		r.firstTokenAt = receivedAt
	} else if r.class.Rank == 1 && t.inWindow(receivedAt) {
		_ = t.tokenIntervals.RecordValue(int64((receivedAt - r.lastTokenAt).Millis()))
	}
	r.lastTokenAt = receivedAt
	if t.inWindow(receivedAt) {
		r.windowTokens++
	}
}

// requestFinished records the time and the outcome of a request.
func (t *tally) requestFinished(w *world, r *request, result call.Result) {
	r.done, r.ran, r.endedAt = true, result.Outcome == value.OutcomeRan, w.queue.Now()
}
