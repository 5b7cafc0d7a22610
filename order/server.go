package order

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// readInterval is the interval between reads of an engine that carries out an order or has not responded.
	readInterval = hoist.Second
	// verifyInterval is the interval between reads of an engine in the desired state, which may lose its weights in a restart.
	verifyInterval = 30 * hoist.Second
	// maxReadAge is the age up to which a state read is recent enough to send an order; waiting for the weight store may take far longer.
	maxReadAge = 5 * hoist.Second
	// maxBackoffDoublings limits the backoff before an order without effect is repeated to 8 order delays.
	maxBackoffDoublings = 3
)

// phase is the phase of the current order to a server.
type phase int

const (
	// phaseUnread is a server whose state must be read before the next order.
	phaseUnread phase = iota
	// phaseIdle is a server whose state was read after the last order ended.
	phaseIdle
	// phaseSent is a server with an order that has no response yet.
	phaseSent
	// phaseBusy is a server that accepted an order and has not been read as having carried it out.
	phaseBusy
	// phaseFenced is a server that refused the published fencing number.
	phaseFenced
)

// sentOrder is an order with the time at which it was sent.
type sentOrder struct {
	order  value.Order
	sentAt hoist.Millis
}

// server is the planner's view of one engine.
type server struct {
	name         string
	phase        phase
	observed     value.EngineState
	readPending  bool
	lastReadAt   hoist.Millis
	lastOrder    sentOrder
	takenOut     bool
	recentOrders value.List[sentOrder]
	nextRead     hoist.Millis
	failures     int
	retryAt      hoist.Millis
}

// outOfService reports whether the server is out of service for an order of this owner or of an earlier one.
func (s server) outOfService() bool {
	return s.takenOut || s.phase == phaseIdle && s.observed.Pending() != ""
}

// withReadState returns the server after the response to a read.
//
// The response to a read from before the last order is ignored. An order that is neither pending nor carried out
// had no effect; it is repeated with exponential backoff, because a load that keeps failing would otherwise keep
// the server out of service.
func (s server) withReadState(e value.EngineState, delay, now hoist.Millis) server {
	if !s.readPending {
		return s
	}
	s.observed, s.readPending, s.lastReadAt = e, false, now
	switch s.phase {
	case phaseSent:
		// An order without a response may still reach the engine.
		if now < s.lastOrder.sentAt+delay {
			return s
		}
	case phaseBusy:
		if e.Pending() != "" {
			return s
		}
	case phaseFenced:
		return s
	case phaseUnread, phaseIdle:
	}
	if s.phase == phaseSent || s.phase == phaseBusy {
		if carriedOut(s.lastOrder.order, e) {
			s.failures = 0
		} else {
			s.retryAt = now + delay<<min(s.failures, maxBackoffDoublings)
			s.failures++
		}
	}
	s.phase, s.takenOut = phaseIdle, false
	return s
}

// carriedOut reports whether the engine's state shows that the order was carried out.
func carriedOut(o value.Order, e value.EngineState) bool {
	l := value.Loaded{}.WithKind(o.Target()).WithName(o.Name()).WithVersion(o.Version())
	switch o.Kind() {
	case "role":
		return e.Role() == o.Name()
	case "load":
		return hasLoaded(e, l)
	default:
		return !hasLoaded(e, l)
	}
}

// withOrder returns the server after the order was sent.
func (s server) withOrder(x step, delay, now hoist.Millis) server {
	s.phase, s.takenOut, s.readPending = phaseSent, x.takesOut, false
	s.lastOrder = sentOrder{x.order, now}
	s.nextRead = now + readInterval
	var recent []sentOrder
	for r := range s.recentOrders.All() {
		if now < r.sentAt+delay {
			recent = append(recent, r)
		}
	}
	s.recentOrders = value.ListOf(append(recent, s.lastOrder)...)
	return s
}

// withSentAt returns the server with the time at which its order left the process, which may be later than the decision.
func (s server) withSentAt(id string, now hoist.Millis) server {
	if s.phase != phaseSent || s.lastOrder.order.Id() != id || s.recentOrders.Len() == 0 {
		return s
	}
	s.lastOrder.sentAt = now
	s.recentOrders = s.recentOrders.With(s.recentOrders.Len()-1, s.lastOrder)
	return s
}

// withResponse returns the server after the engine's response to its order.
func (s server) withResponse(id string, a Answer) server {
	if s.phase != phaseSent || s.lastOrder.order.Id() != id {
		return s
	}
	s.readPending = false
	switch a {
	case AnswerAccepted:
		s.phase = phaseBusy
	case AnswerFenced:
		s.phase, s.takenOut = phaseFenced, false
	case AnswerUnknown:
	}
	return s
}

// earliestSend returns the time from which the order may be sent, which is after the backoff and one order delay after every opposite order.
func (s server) earliestSend(o value.Order, delay hoist.Millis) hoist.Millis {
	earliest := s.retryAt
	for r := range s.recentOrders.All() {
		if opposite(r.order, o) {
			earliest = max(earliest, r.sentAt+delay)
		}
	}
	return earliest
}
