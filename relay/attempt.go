package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/value"
)

const (
	// wholeBytes is the size up to which an answer is read whole before it is passed on, so that a broken one can be repeated.
	wholeBytes = 256 << 10
	// mostUrgency is the lowest urgency that servers know.
	mostUrgency = 9
	// lastEvent is the header with which a stream is resumed.
	lastEvent = "Last-Event-Id"
)

var (
	errUnsealed = errors.New("answer does not carry the server's seal")
	errEncoded  = errors.New("answer has a content encoding that was not asked for")
	errOrder    = errors.New("event is out of order")
	errStatus   = errors.New("answer promises that the request has not run without saying so")
)

// attempt sends the request to the server and passes the answer on.
func (j *job) attempt(ctx context.Context, id uint64, s value.BackendServer) Outcome {
	a, err := j.Client.Do(ctx, s.Address(), j.outgoing(s))
	if err != nil {
		o := j.broken(ctx, err)
		j.settle(id, s, o, err)
		if _, lost := o.(ResponseLost); lost {
			go j.blame(s)
		}
		return o
	}
	o, err := j.receive(ctx, id, a)
	if _, whole := o.(Completed); whole {
		a.Release()
	} else if _, failed := o.(ServerError); failed && err == nil {
		a.Release()
	} else if _, notRun := o.(NotRun); notRun && err == nil {
		a.Release()
	} else {
		a.Discard()
	}
	j.settle(id, s, o, err)
	if _, cut := o.(Interrupted); cut && !errors.Is(err, errOrder) {
		go j.blame(s)
	}
	return o
}

// outgoing returns the request as the server gets it.
func (j *job) outgoing(s value.BackendServer) http1.Request {
	d := j.Dialect
	h := maps.Clone(j.request.Header)
	h.Set(d.Deadline(), strconv.FormatInt(max(int64(j.progress.Deadline-j.Clock.Now()), 1), 10))
	h.Set(d.ExpectServer(), s.Id())
	h.Set(d.Urgency(), strconv.Itoa(int(min(max(j.rank, 0), mostUrgency))))
	if j.holder.Name() != "" {
		h.Set(d.Workspace(), j.holder.Name())
	}
	if j.numbered {
		h.Set(lastEvent, strconv.FormatInt(j.last, 10))
	}
	return http1.Request{
		Method: j.request.Method, Target: j.request.Target, Host: j.request.Host, Header: h, Body: j.request.Body,
		IDHeader: d.RequestId(), ID: j.request.ID,
	}
}

// broken returns the outcome of an exchange that failed before its answer began.
func (j *job) broken(ctx context.Context, err error) Outcome {
	switch {
	case errors.Is(err, http1.ErrUnsent) && (ctx.Err() == nil || expired(ctx)):
		return Unsent{}
	case expired(ctx):
		return Expired{}
	case ctx.Err() != nil:
		return CallerDisconnected{}
	default:
		return ResponseLost{}
	}
}

// expired reports whether the time of the request is over.
func expired(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errExpired) }

// settle reports the end of an attempt to the desk and logs a failed one.
func (j *job) settle(id uint64, s value.BackendServer, o Outcome, err error) {
	result := assign.ResultOK
	switch o.(type) {
	case Completed:
		j.reason = "done"
	case CallerDisconnected:
		result, j.reason = assign.ResultCancelled, "caller left"
	case Expired:
		result = assign.ResultCancelled
	case Unsent:
		result = assign.ResultUnreachable
	case NotRun:
		result = assign.ResultQueueFull
	case ResponseLost, ServerError, Interrupted:
		result = assign.ResultError
	}
	j.desk.finished(id, result)
	if result == assign.ResultOK || result == assign.ResultCancelled {
		return
	}
	fields := logrus.Fields{"request": j.request.ID, "server": s.Id(), "address": s.Address(), "sends": j.progress.Sends + 1, "outcome": outcomeName(o)}
	if err != nil {
		fields["error"] = err.Error()
	}
	j.Log.Write(event.AttemptFailed, fields)
}

// outcomeName returns the name of an outcome in logs.
func outcomeName(o Outcome) string {
	switch o.(type) {
	case Unsent:
		return "unsent"
	case NotRun:
		return "not run"
	case ResponseLost:
		return "lost"
	case ServerError:
		return "failed"
	case Interrupted:
		return "cut"
	case Completed:
		return "whole"
	case CallerDisconnected:
		return "caller left"
	case Expired:
		return "expired"
	default:
		return "unknown"
	}
}

// receive judges the header of the answer and passes the body on.
func (j *job) receive(ctx context.Context, id uint64, a *http1.Response) (Outcome, error) {
	d := j.Dialect
	if a.Header.Get(d.NotRun()) != "" || a.Status == int(d.MovedStatus()) {
		_, err := io.Copy(io.Discard, io.LimitReader(a, wholeBytes))
		return NotRun{}, err
	}
	if a.Header.Get(d.Seal()) == "" {
		return j.lost(ctx, errUnsealed)
	}
	if a.Header.Get("Content-Encoding") != "" {
		return j.lost(ctx, errEncoded)
	}
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return j.lost(ctx, errStatus)
	}
	load, loaded := parseLoad(a.Header.Get(d.Load()))
	j.load = load
	if a.Status/100 == 2 && j.route.Kind() == value.RouteKindStream {
		return j.stream(ctx, a, func() { j.desk.began(id, load, loaded) })
	}
	j.desk.began(id, load, loaded)
	return j.whole(ctx, a)
}

// lost returns the outcome of an answer that cannot be used, unless the time or the caller ended it.
func (j *job) lost(ctx context.Context, err error) (Outcome, error) {
	o := j.broken(ctx, err)
	if _, lost := o.(ResponseLost); lost && j.progress.Started {
		return Interrupted{}, err
	}
	return o, err
}

// whole passes on an answer that is read whole first, or in pieces when it is long.
func (j *job) whole(ctx context.Context, a *http1.Response) (Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(a, wholeBytes))
	if err != nil {
		return j.lost(ctx, err)
	}
	if a.Status/100 == 5 && len(body) < wholeBytes {
		j.failed = &answer{a.Status, WithoutHopByHop(a.Header), body}
		return ServerError{}, nil
	}
	length := a.Length
	if len(body) < wholeBytes {
		length = int64(len(body))
	}
	j.begin(a.Status, a.Header, length)
	err = j.caller.Write(body)
	if err == nil && len(body) == wholeBytes {
		_, err = io.Copy(writer{j.caller}, a)
	}
	if err != nil {
		return j.lost(ctx, err)
	}
	return Completed{}, nil
}

// writer passes pieces of a body on.
type writer struct{ caller ResponseWriter }

// Write sends a piece to the caller.
func (w writer) Write(b []byte) (int, error) {
	if err := w.caller.Write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// begin sends the header of the answer; only the first server of a resumed stream does.
func (j *job) begin(status int, header http.Header, length int64) {
	if j.progress.Started {
		return
	}
	j.progress.Started = true
	j.first = j.Clock.Now() - j.request.Arrived
	j.caller.Start(status, WithoutHopByHop(header), length)
}

// stream passes whole events on as they arrive.
func (j *job) stream(ctx context.Context, a *http1.Response, began func()) (Outcome, error) {
	events := http1.NewEventReader(a)
	for first := true; ; first = false {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && !first {
			return Completed{}, nil
		}
		if err == nil {
			err = j.ordered(e)
		}
		if err != nil {
			return j.lost(ctx, err)
		}
		if first {
			began()
		}
		j.begin(a.Status, a.Header, -1)
		if err := j.caller.Write(e.Data); err != nil {
			return CallerDisconnected{}, err
		}
		j.mark()
		if e.Numbered {
			j.last, j.numbered = e.ID, true
		}
	}
}

// mark notes the time of an event.
func (j *job) mark() {
	now := j.Clock.Now()
	if j.event > 0 {
		j.longest = max(j.longest, now-j.event)
	}
	j.event = now
}

// ordered returns an error for an event that doesn't follow the last one.
func (j *job) ordered(e http1.Event) error {
	if e.Numbered && j.numbered && e.ID != j.last+1 {
		return errOrder
	}
	return nil
}

// connectionFields are the header fields that concern one connection only.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Expect",
}

// WithoutHopByHop returns a copy of the header without the fields that concern one connection only.
func WithoutHopByHop(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, f := range h["Connection"] {
		for name := range strings.SplitSeq(f, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		delete(out, name)
	}
	return out
}

// loadFields is the number of figures of a load report that every server gives.
const loadFields = 3

// parseLoad reads the load report of a server.
func parseLoad(text string) (value.ServerLoad, bool) {
	fields := strings.Split(text, ",")
	if len(fields) < loadFields {
		return value.ServerLoad{}, false
	}
	var n [4]int32
	for i, f := range fields[:min(len(fields), len(n))] {
		v, err := strconv.ParseInt(strings.TrimSpace(f), 10, 32)
		if err != nil {
			return value.ServerLoad{}, false
		}
		n[i] = int32(v)
	}
	return value.ServerLoad{}.WithRunning(n[0]).WithWaiting(n[1]).WithSlots(n[2]).WithSlowness(n[3]), true
}
