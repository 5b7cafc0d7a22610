package intake

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
)

// Errors of a charge that is refused.
var (
	ErrFull        = eris.New("memory for callers is exhausted")
	ErrAddressFull = eris.New("memory for the remote address is exhausted")
	ErrDisplaced   = eris.New("body had to give way to another one")
)

// Account publishes the state of the account. Its methods are safe for concurrent use.
type Account struct {
	clock hoist.Clock
	state atomic.Pointer[State]
	last  atomic.Uint64
	// changed is closed and replaced whenever a holding is released or has to give way.
	changed atomic.Pointer[chan struct{}]
	// tickets holds the open tickets by the ID of their holding.
	tickets sync.Map
	// Full, AddressFull and Displaced count the refusals by their reason.
	Full, AddressFull, Displaced atomic.Int64
}

// NewAccount returns an empty account of limit bytes, of which one remote address gets at most share.
func NewAccount(clock hoist.Clock, limit, share int64) *Account {
	a := &Account{clock: clock}
	s := NewState(limit, share)
	a.state.Store(&s)
	changed := make(chan struct{})
	a.changed.Store(&changed)
	return a
}

// State returns the current state.
func (a *Account) State() State { return *a.state.Load() }

// Ticket is the holding of one request.
type Ticket struct {
	account   *Account
	id        uint64
	interrupt func()
	displaced atomic.Bool
}

// Open returns a ticket for what a caller at the address sends. The function interrupt ends a pending read of the caller's
// bytes; it is called at most once, from another goroutine, when the holding has to give way.
func (a *Account) Open(address string, interrupt func()) *Ticket {
	t := &Ticket{account: a, id: a.last.Add(1), interrupt: interrupt}
	a.tickets.Store(t.id, t)
	now := a.clock.Now()
	hoist.Update(&a.state, func(s State) State { return s.WithHolding(t.id, address, now) })
	return t
}

// Grow charges n bytes before they are allocated. It waits for holdings that have to give way.
func (t *Ticket) Grow(n int64) error {
	a := t.account
	for {
		changed, now := *a.changed.Load(), a.clock.Now()
		var v Verdict
		hoist.Update(&a.state, func(s State) State {
			s, v = s.Charge(t.id, n, now)
			return s
		})
		switch v := v.(type) {
		case Granted:
			return nil
		case Waiting:
			a.displace(v.Displaced)
			<-changed
		case Refused:
			a.displace(v.Displaced)
			return a.refuse(v.Reason)
		}
	}
}

// notify wakes the tickets that wait.
func (a *Account) notify() {
	next := make(chan struct{})
	close(*a.changed.Swap(&next))
}

// displace interrupts the holdings that have to give way.
func (a *Account) displace(ids []uint64) {
	for _, id := range ids {
		if x, ok := a.tickets.Load(id); ok {
			x.(*Ticket).displace()
		}
	}
	if len(ids) > 0 {
		a.notify()
	}
}

// refuse counts a refusal and returns its error.
func (a *Account) refuse(r Reason) error {
	switch r {
	case AddressFull:
		a.AddressFull.Add(1)
		return ErrAddressFull
	case Displaced:
		return ErrDisplaced
	default:
		a.Full.Add(1)
		return ErrFull
	}
}

// displace ends the reading of the body that the ticket stands for.
func (t *Ticket) displace() {
	t.account.Displaced.Add(1)
	t.displaced.Store(true)
	t.interrupt()
}

// Displaced reports whether the holding had to give way.
func (t *Ticket) Displaced() bool { return t.displaced.Load() }

// Leaving reports whether the holding has to give way or has ended, also before it was interrupted.
func (t *Ticket) Leaving() bool { return t.account.State().Leaving(t.id) }

// Progress records that bytes have arrived that are charged already.
func (t *Ticket) Progress() {
	now := t.account.clock.Now()
	hoist.Update(&t.account.state, func(s State) State { return s.WithProgress(t.id, now) })
}

// Complete records that the body has arrived, so that it does not give way any more. It returns an error if it had to give
// way already.
func (t *Ticket) Complete() error {
	s := hoist.Update(&t.account.state, func(s State) State { return s.WithComplete(t.id) })
	if s.Leaving(t.id) {
		return ErrDisplaced
	}
	return nil
}

// Release ends the holding.
func (t *Ticket) Release() {
	t.account.tickets.Delete(t.id)
	hoist.Update(&t.account.state, func(s State) State { return s.Without(t.id) })
	t.account.notify()
}
