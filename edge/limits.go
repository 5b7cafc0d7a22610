package edge

import (
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/intake"
	"chicoryhoist.example/hoist/value"
)

const (
	// bodyShare is the part of the memory of the process that request bodies may take by default, and addressShare the part of
	// that for one remote address.
	bodyShare    = 4
	addressShare = 2
	bytesPerMib  = 1 << 20
	// minAddressMib is the least part for one remote address in a small account, so that one body of the usual limit fits.
	minAddressMib = 5
	// maxMib and maxConnections bound what settings say to what an integer holds on every machine.
	maxMib         = 1 << 40
	maxConnections = 1 << 20
	// fileDescriptors is the number of descriptors that are reserved for files, and serverShare divides the rest between
	// callers and the connections to backend servers, other instances and the store.
	fileDescriptors = 200
	serverShare     = 2
	// minConnections is the smallest number of connections of callers.
	minConnections = 16
	// headerTimeoutFactor is the factor by which the header timeout exceeds that of the configuration, so that no caller that
	// keeps to it is closed.
	headerTimeoutFactor = 2
	// refusedRetryAfter is the delay after which the caller of a refused body should try again.
	refusedRetryAfter = hoist.Second
	// limitedLogInterval is the least time between two log lines about refused bodies.
	limitedLogInterval = hoist.Second
)

// Limits bounds what callers make the process hold.
type Limits struct {
	// Account is the memory for bodies and long headers of callers.
	Account *intake.Account
	rate    accept.Rate
	// Connections is the number of connections of callers.
	Connections int64
	unread      hoist.Millis
	// Slow counts the bodies below the lowest rate, TooLarge those above the limit of the configuration, Broken those that
	// ended early.
	Slow, TooLarge, Broken atomic.Int64
	// logged is the time of the last log line.
	logged atomic.Int64
}

// NewLimits returns the limits of the settings, whose absent values follow from the resources of the process.
func NewLimits(clock hoist.Clock, s value.ForwardSettings) *Limits {
	c, r := s.Clients(), s.Resources()
	body := c.BodyMib()
	if body <= 0 {
		body = r.MemoryMib() / bodyShare
	}
	body = min(body, maxMib)
	address := c.AddressMib()
	if address <= 0 {
		address = max(body/addressShare, min(body, minAddressMib))
	}
	connections := c.Connections()
	if connections <= 0 {
		connections = max((r.Descriptors()-fileDescriptors)/serverShare, minConnections)
	}
	return &Limits{
		Account: intake.NewAccount(clock, int64(body*bytesPerMib), int64(min(address, body)*bytesPerMib)),
		rate:    accept.Rate{BytesPerSecond: c.BodyRate(), Grace: hoist.MillisOfFloat(c.BodyGraceMs())}, Connections: int64(min(connections, maxConnections)),
		unread: hoist.MillisOfFloat(c.UnreadMs()),
	}
}

// HeaderLimits returns the limits of the configuration for the header of a request; both are zero if it has none.
func (s *Server) HeaderLimits() accept.HeaderLimits {
	t := s.relay.Follower.View().Table
	if t == nil {
		return accept.HeaderLimits{}
	}
	return accept.HeaderLimits{Bytes: t.HeaderBytes(), Timeout: headerTimeoutFactor * hoist.Millis(t.HeaderTimeoutMs())}
}

// rejectBody responds to a request whose body is refused or incomplete. The request has not run.
func (s *Server) rejectBody(c *responseWriter, r *http.Request, err error) {
	status, l := http.StatusServiceUnavailable, s.limits
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
		l.TooLarge.Add(1)
	case errors.Is(err, accept.ErrSlow):
		l.Slow.Add(1)
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrAddressFull), errors.Is(err, intake.ErrDisplaced):
	default:
		status = http.StatusBadRequest
		l.Broken.Add(1)
	}
	now := s.clock.Now()
	if last := l.logged.Load(); int64(now)-last >= int64(limitedLogInterval) && l.logged.CompareAndSwap(last, int64(now)) {
		s.log.Write(event.CallerLimited, logrus.Fields{
			"request": r.Header.Get(s.dialect.RequestId()), "caller": r.RemoteAddr, "status": status, "error": err.Error(),
			"held_bytes": l.Account.State().Used(),
		})
	}
	// The rest of the body is not read, so that no further request can follow on the connection.
	c.writer.Header().Set("Connection", "close")
	c.sendError(status, "body", refusedRetryAfter)
}
