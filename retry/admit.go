package retry

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Admit decides whether a request with the contents may be sent to a server.
//
// Content whose quarantine has ended is sent once, as a trial, and the verdict on other requests with it is Delay until the
// trial has ended, at most until trialEnd. Quarantined content has a trial at once if the request lacks one of its rivals,
// because a quarantine in error would otherwise stand: requests with the true cause are refused along with it.
func (x Suspects) Admit(contents []value.Content, trialEnd, now hoist.Millis) (Suspects, Verdict) {
	var trials []uint64
	present := map[uint64]bool{}
	for _, c := range contents {
		present[c.Fingerprint()] = true
	}
	for _, c := range contents {
		f := c.Fingerprint()
		switch s := x.Status(f, now).(type) {
		case Quarantined:
			if !x.causes[f].lackedBy(present) {
				return x, Deny{Reason: value.RefusalReasonQuarantined, After: s.Until - now}
			}
			if s.TrialUntil > now {
				return x, Delay{min(trialRecheckDelay, s.TrialUntil-now, s.Until-now)}
			}
			trials = append(trials, f)
		case Suspected:
			if s.Released && s.TrialUntil > 0 {
				return x, Delay{min(trialRecheckDelay, s.TrialUntil-now)}
			}
			if s.Released {
				trials = append(trials, f)
			}
		case Clean:
		}
	}
	return x.TrialStarted(min(trialEnd, now+trialTimeout), trials...), Allow{}
}
