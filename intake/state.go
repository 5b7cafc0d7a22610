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

// Granted means that the charge was made. The holdings in Displaced have been removed to make room for it.
type Granted struct{ Displaced []uint64 }

// Refused means that the charge was not made. The holdings in Displaced have been removed nonetheless.
type Refused struct {
	Reason    Reason
	Displaced []uint64
}

func (Granted) verdict() {}
func (Refused) verdict() {}

// holding is what one request makes the process hold.
type holding struct {
	address string
	bytes   int64
	// progress is the time at which the last byte was charged.
	progress hoist.Millis
	// arriving is set until the body is complete; only arriving bodies give way.
	arriving bool
}

// State is the content of the account. Values are immutable.
type State struct {
	limit, share, used int64
	holdings           *immutable.Map[uint64, holding]
	addresses          *immutable.Map[string, int64]
}

// NewState returns an empty account of limit bytes, of which one remote address gets at most share.
func NewState(limit, share int64) State {
	return State{limit: limit, share: share, holdings: immutable.NewMap[uint64, holding](nil), addresses: immutable.NewMap[string, int64](nil)}
}

// Used returns the number of bytes that are held.
func (s State) Used() int64 { return s.used }

// Holdings returns the number of holdings.
func (s State) Holdings() int { return s.holdings.Len() }

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
	return s.withBytes(h.address, -h.bytes)
}

// withBytes returns the state in which the address holds n bytes more.
func (s State) withBytes(address string, n int64) State {
	held, _ := s.addresses.Get(address)
	if held += n; held == 0 {
		s.addresses = s.addresses.Delete(address)
	} else {
		s.addresses = s.addresses.Set(address, held)
	}
	s.used += n
	return s
}

// Charge decides whether the holding may grow by n bytes. If the account is full, arriving bodies without progress give way
// first, then the largest; the holding itself is refused if it is the largest.
func (s State) Charge(id uint64, n int64, now hoist.Millis) (State, Verdict) {
	h, ok := s.holdings.Get(id)
	if !ok {
		return s, Refused{Reason: Displaced}
	}
	var displaced []uint64
	for {
		held, _ := s.addresses.Get(h.address)
		reason, address := Full, ""
		switch {
		case held+n > s.share:
			reason, address = AddressFull, h.address
		case s.used+n <= s.limit:
			h.bytes, h.progress = h.bytes+n, now
			s.holdings = s.holdings.Set(id, h)
			return s.withBytes(h.address, n), Granted{Displaced: displaced}
		}
		victim := s.victim(id, address, h.bytes+n, now)
		if victim == id {
			return s, Refused{Reason: reason, Displaced: displaced}
		}
		s = s.Without(victim)
		displaced = append(displaced, victim)
	}
}

// victim returns the arriving holding that gives way to the holding id, which would have size bytes, or id if none does. An
// address restricts the choice to its holdings.
func (s State) victim(id uint64, address string, size int64, now hoist.Millis) uint64 {
	best, bestBytes, bestStalled := id, size, false
	for i := s.holdings.Iterator(); !i.Done(); {
		k, h, _ := i.Next()
		if k == id || !h.arriving || h.bytes == 0 || address != "" && h.address != address {
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
