package assign

import "chicoryhoist.example/hoist/value"

// remoteTargetDivisor divides the target of a request to the cost of a server in another data centre: work stays at home
// while the wait there is short compared with its target.
const remoteTargetDivisor = 10

// remoteCost returns the cost of running the request in another data centre, in milliseconds.
func (s State) remoteCost(w value.Work) float64 {
	if !s.rules.Speeds {
		return remoteCostMs
	}
	return max(float64(w.TargetMs())/remoteTargetDivisor, remoteCostMs)
}
