// Package intake accounts for the memory that callers make a process hold. A State decides, as an immutable value, who may
// hold more and who has to give way; an Account publishes the current one.
package intake

import (
	"github.com/benbjohnson/immutable"

	"chicoryhoist.example/hoist"
)

// stallTime is the time without a byte after which an arriving body counts as making no progress; it exceeds a few
// retransmissions on a lossy link.
const stallTime = hoist.Second

// Reason is the reason of a refusal.
type Reason int

// Reasons of refusals.
const (
	// Full means that the account is full and nothing has to give way to the body.
	Full Reason = iota
	// AddressFull means that the remote address holds its share of the account.
	AddressFull
	// Displaced means that the body had to give way to another one.
	Displaced
)

// Verdict is the decision about one charge.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Granted means that the charge was made.
type Granted struct{}

// Waiting means that the charge must be asked for again once another holding has been released. The holdings in Displaced have
// to give way; they count until they are released, because their memory is in use until then.
type Waiting struct{ Displaced []uint64 }

// Refused means that the charge was not made. The holdings in Displaced have to give way nonetheless.
type Refused struct {
	Reason    Reason
	Displaced []uint64
}

func (Granted) verdict() {}
func (Waiting) verdict() {}
func (Refused) verdict() {}

// holding is what one request makes the process hold.
type holding struct {
	address string
	bytes   int64
	// progress is the time at which the last byte was charged.
	progress hoist.Millis
	// arriving is set until the body is complete; only arriving bodies give way.
	arriving bool
	// leaving is set once the body has to give way.
	leaving bool
}

// sum is the number of bytes of several holdings; leaving is the part that has to give way.
type sum struct{ bytes, leaving int64 }

// plus returns the sum with the holding added sign times.
func (s sum) plus(h holding, sign int64) sum {
	s.bytes += sign * h.bytes
	if h.leaving {
		s.leaving += sign * h.bytes
	}
	return s
}

// State is the content of the account. Values are immutable.
type State struct {
	limit, share int64
	total        sum
	holdings     *immutable.Map[uint64, holding]
	addresses    *immutable.Map[string, sum]
}

// NewState returns an empty account of limit bytes, of which one remote address gets at most share.
func NewState(limit, share int64) State {
	return State{limit: limit, share: share, holdings: immutable.NewMap[uint64, holding](nil), addresses: immutable.NewMap[string, sum](nil)}
}

// Used returns the number of bytes that are held.
func (s State) Used() int64 { return s.total.bytes }

// Holdings returns the number of holdings.
func (s State) Holdings() int { return s.holdings.Len() }

// Leaving reports whether the holding has to give way or has ended.
func (s State) Leaving(id uint64) bool {
	h, ok := s.holdings.Get(id)
	return !ok || h.leaving
}

// WithHolding returns the state with an empty holding of the address.
func (s State) WithHolding(id uint64, address string, now hoist.Millis) State {
	s.holdings = s.holdings.Set(id, holding{address: address, progress: now, arriving: true})
	return s
}

// WithComplete returns the state in which the holding does not give way any more.
func (s State) WithComplete(id uint64) State {
	if h, ok := s.holdings.Get(id); ok {
		h.arriving = false
		s.holdings = s.holdings.Set(id, h)
	}
	return s
}

// WithProgress returns the state in which the holding has received a byte that needs no charge.
func (s State) WithProgress(id uint64, now hoist.Millis) State {
	if h, ok := s.holdings.Get(id); ok {
		h.progress = now
		s.holdings = s.holdings.Set(id, h)
	}
	return s
}

// Without returns the state without the holding.
func (s State) Without(id uint64) State {
	h, ok := s.holdings.Get(id)
	if !ok {
		return s
	}
	s.holdings = s.holdings.Delete(id)
	return s.withSum(h, -1)
}

// with returns the state in which the holding is replaced.
func (s State) with(id uint64, h holding) State {
	if old, ok := s.holdings.Get(id); ok {
		s = s.withSum(old, -1)
	}
	s.holdings = s.holdings.Set(id, h)
	return s.withSum(h, 1)
}

// withSum returns the state in which the holding is added to the sums sign times.
func (s State) withSum(h holding, sign int64) State {
	s.total = s.total.plus(h, sign)
	held, _ := s.addresses.Get(h.address)
	if held = held.plus(h, sign); held.bytes == 0 {
		s.addresses = s.addresses.Delete(h.address)
	} else {
		s.addresses = s.addresses.Set(h.address, held)
	}
	return s
}

// Charge decides whether the holding may grow by n bytes. If the account is full, arriving bodies without progress give way
// first, then the largest; the holding itself is refused if it is the largest.
func (s State) Charge(id uint64, n int64, now hoist.Millis) (State, Verdict) {
	h, ok := s.holdings.Get(id)
	if !ok || h.leaving {
		return s, Refused{Reason: Displaced}
	}
	var displaced []uint64
	for {
		held, _ := s.addresses.Get(h.address)
		reason, address := Full, ""
		switch {
		case held.bytes-held.leaving+n > s.share:
			reason, address = AddressFull, h.address
		case s.total.bytes-s.total.leaving+n > s.limit:
		case held.bytes+n > s.share, s.total.bytes+n > s.limit:
			return s, Waiting{Displaced: displaced}
		default:
			h.bytes, h.progress = h.bytes+n, now
			return s.with(id, h), Granted{}
		}
		victim := s.victim(id, address, h.bytes+n, now)
		if victim == id {
			return s, Refused{Reason: reason, Displaced: displaced}
		}
		v, _ := s.holdings.Get(victim)
		v.leaving = true
		s = s.with(victim, v)
		displaced = append(displaced, victim)
	}
}

// victim returns the arriving holding that gives way to the holding id, which would have size bytes, or id if none does. An
// address restricts the choice to its holdings.
func (s State) victim(id uint64, address string, size int64, now hoist.Millis) uint64 {
	best, bestBytes, bestStalled := id, size, false
	for i := s.holdings.Iterator(); !i.Done(); {
		k, h, _ := i.Next()
		if k == id || !h.arriving || h.leaving || h.bytes == 0 || address != "" && h.address != address {
			continue
		}
		stalled := now-h.progress >= stallTime
		switch {
		case stalled != bestStalled:
			if !stalled {
				continue
			}
		case h.bytes < bestBytes, h.bytes == bestBytes && (best == id || k > best):
			continue
		}
		best, bestBytes, bestStalled = k, h.bytes, stalled
	}
	return best
}
