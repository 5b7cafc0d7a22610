package assign

import "chicoryhoist.example/hoist"

const (
	// errorRateDecay is the weight that the error rate of a server keeps at each result; about 16 results count.
	errorRateDecay = 15.0 / 16
	// errorRateExcess and errorRateMargin say when the error rate of a server is its own: above this multiple of the mean of
	// the others plus the margin. A healthy server beside others at 14% stays below, and one that only fails passes both
	// within six requests.
	errorRateExcess = 2
	errorRateMargin = 0.1
)

// withErrorRate returns a copy whose error rate reflects the result of a request.
func (s server) withErrorRate(r Result) server {
	switch r {
	case ResultOK:
		s.errorRate *= errorRateDecay
	case ResultError:
		s.errorRate = s.errorRate*errorRateDecay + 1 - errorRateDecay
	default:
	}
	return s
}

// withFinished returns a copy in which the request has ended at its server.
//
// With the rules for plain services, an error rate that the other servers share does not back the server off: it is caused
// by the requests or by something behind the servers, and avoiding one of them would only load the others.
func (s State) withFinished(e Finished, now hoist.Millis) State {
	return s.withServerOf(e.ID, func(x server) server {
		x = x.withoutRun(e.ID).withErrorRate(e.Result)
		if s.rules.Plain && e.Result == ResultError && s.sharesErrorRate(x) {
			x.failures++
			return x
		}
		return x.withResult(e.Result, now)
	})
}

// sharesErrorRate reports whether the other servers have an error rate like that of the server.
func (s State) sharesErrorRate(x server) bool {
	sum, n := 0.0, 0
	for o := range s.servers.All() {
		if o.entry.Id() != x.entry.Id() && !o.entry.Leaving() {
			sum += o.errorRate
			n++
		}
	}
	return n > 0 && x.errorRate <= errorRateExcess*sum/float64(n)+errorRateMargin
}
