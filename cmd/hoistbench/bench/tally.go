package bench

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/value"
)

// maxLatency bounds the histograms, in milliseconds.
const maxLatency = 1_000_000

// request is one request in an experiment.
type request struct {
	arrival
	state    call.State
	attempts []*attempt
	server   int
	first    sim.Micros
	last     sim.Micros
	ended    sim.Micros
	done     bool
	ran      bool
	// inWindow counts the tokens that reached the router within the window.
	inWindow int
}

// newRequest returns a request with its number.
func newRequest(number uint64, a arrival) *request {
	id := value.Attempt{}.WithIncarnation(uint64(a.router) + 1).WithRequest(number)
	ask := value.Ask{}.WithAttempt(id).WithShard("shard").WithClass(a.class.Name).WithWorkspace("north").
		WithModel(model).WithPromptTokens(int32(a.class.Prompt)).WithRepeatable(true).WithFingerprint(number)
	return &request{arrival: a, state: call.New(ask)}
}

// attempt returns the attempt with the identity, or nil.
func (r *request) attempt(id value.Attempt) *attempt {
	for _, a := range r.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// firstToken returns the time from the send by the client to the first token at the client, or false.
func (r *request) firstToken(s sim.Site) (hoist.Millis, bool) {
	if r.first == 0 {
		return 0, false
	}
	return (r.first + s.ClientLatency - r.at).Millis(), true
}

// tally counts what a scenario's window saw.
type tally struct {
	scene Scenario
	// made, wasted are tokens produced, and tokens of preempted, hedged and lost attempts.
	made, wasted int
	// gaps are the times between two tokens of the top class, in milliseconds.
	gaps *hdrhistogram.Histogram
	// late counts attempts that were started on a leaving server more than 3 s after its stop began.
	late int
	// preempted counts preempted attempts.
	preempted int
	// hedged counts hedge asks.
	hedged int
}

// departureLimit is the time after which a leaving server receives no new work.
const departureLimit = 3 * sim.Second

// newTally returns an empty tally.
func newTally(s Scenario) tally { return tally{scene: s, gaps: hdrhistogram.New(1, maxLatency, 3)} }

// within reports whether the time lies in the scenario's window.
func (t *tally) within(at sim.Micros) bool { return at >= t.scene.From && at < t.scene.To }

// started counts an attempt.
func (t *tally) started(w *world, a *attempt) {
	if a.server == t.scene.StoppedServer && w.loop.Now() > t.scene.StopAt+departureLimit {
		t.late++
	}
}

// sent counts the tokens of an attempt that ends without being finished.
func (t *tally) sent(w *world, r *request, body value.GatewayMessageBody) {
	if !t.within(w.loop.Now()) {
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
		t.wasted += int(a.frames)
	case value.Ask:
		if b.Hedge() {
			t.hedged++
		}
	default:
	}
}

// produced counts a token at a server.
func (t *tally) produced(w *world) {
	if t.within(w.loop.Now()) {
		t.made++
	}
}

// lost counts tokens that reach no caller.
func (t *tally) lost(w *world, n int) {
	if t.within(w.loop.Now()) {
		t.wasted += n
	}
}

// token counts a token at the router.
func (t *tally) token(w *world, r *request, at sim.Micros) {
	if r.first == 0 {
		r.first = at
	} else if r.class.Rank == 1 && t.within(at) {
		_ = t.gaps.RecordValue(int64((at - r.last).Millis()))
	}
	r.last = at
	if t.within(at) {
		r.inWindow++
	}
}

// finished counts the end of a request.
func (t *tally) finished(w *world, r *request, x call.Result) {
	r.done, r.ran, r.ended = true, x.Outcome == value.OutcomeRan, w.loop.Now()
}
