package retry

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Admit decides whether a request with the contents may be sent to a server. Content whose quarantine has ended is sent
// once, as a trial, and the verdict on other requests with it is Delay until the trial has ended.
func (x Suspects) Admit(contents []value.Content, now hoist.Millis) (Suspects, Verdict) {
	var trials []uint64
	for _, c := range contents {
		switch s := x.Status(c.Fingerprint(), now).(type) {
		case Quarantined:
			return x, Deny{Reason: value.RefusalReasonQuarantined, After: s.Until - now}
		case Suspected:
			if s.Released && s.TrialUntil > 0 {
				return x, Delay{s.TrialUntil - now}
			}
			if s.Released {
				trials = append(trials, c.Fingerprint())
			}
		case Clean:
		}
	}
	for _, f := range trials {
		x = x.TrialStarted(f, now)
	}
	return x, Allow{}
}
