package assign

import "chicoryhoist.example/hoist/value"

// retryBudgetParts divides the retry slack of the fleet: one part is for the owners of the shards of a service, one for
// a second set of owners while the instances do not agree on them, and one for the instances that reach no owner.
const retryBudgetParts = 3

// initialRetries is the number of retries that a new state grants before requests have earned any, within its limits.
const initialRetries = 1

// RetryLimits are the retries that the state of one shard at one instance grants.
type RetryLimits struct {
	// Burst is the largest number of retries at once.
	Burst int64
	// Permille is the number of retries earned by a thousand requests.
	Permille int64
}

// OwnerRetryLimits returns the limits of the owner of one of the shards of a service; slack is the number of retries
// that the whole fleet may make for the service in addition to the share.
func OwnerRetryLimits(slack float64, permille int64, shards int) RetryLimits {
	return RetryLimits{Burst: int64(slack) / int64(retryBudgetParts*shards), Permille: permille}
}

// LocalRetryLimits returns the limits of an instance that does not own the shard, for the time in which it reaches no
// owner. Where the part of the slack is less than one retry for each instance, it grants none.
func LocalRetryLimits(slack float64, permille int64, shards, instances int) RetryLimits {
	return RetryLimits{Burst: int64(slack) / int64(retryBudgetParts*shards*max(instances, 1)), Permille: permille}
}

// withRetryLimits returns a copy with the limits in force. The budget itself is kept, so that a new owner grants only
// retries that its own requests have earned.
func (s State) withRetryLimits(l RetryLimits) State {
	s.retryLimits = l
	s.retryBudget = s.retryBudget.WithCapacity(l.Burst)
	return s
}

// charged returns a copy after the request was charged to the retry budget or has filled it, or false if the budget
// does not cover the retry.
func (s State) charged(w value.Work) (State, bool) {
	if w.Retry() {
		var ok bool
		s.retryBudget, ok = s.retryBudget.Taken(1)
		return s, ok
	}
	// A request that avoids a server has filled the budget before its first attempt.
	if w.Avoid().Len() == 0 {
		s.retryBudget = s.retryBudget.Filled(1, s.retryLimits.Permille)
	}
	return s, true
}
