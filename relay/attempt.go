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
	"golang.org/x/sys/unix"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered completely before it is forwarded, so that the
	// request can be retried if the response is interrupted.
	maxBufferedBytes = 256 << 10
	// minBufferedBytes is the size of the first buffer of a response body, and growth the factor by which it grows.
	minBufferedBytes = 4 << 10
	growth           = 4
	// maxPause bounds the time for which a server can refuse requests in advance, so that an enormous number does not exclude it
	// until its end.
	maxPause = 10 * hoist.Minute
	// lowestUrgency is the highest rank number that servers accept as an urgency; 0 is the most urgent.
	lowestUrgency = 9
	// lastEventHeader is the request header that resumes a stream.
	lastEventHeader = "Last-Event-Id"
)

var (
	errNoSeal          = errors.New("response lacks the seal header of the server")
	errContentEncoding = errors.New("response has a content encoding that was not requested")
	errEventOrder      = errors.New("event ID is out of order")
	errResumeRefused   = errors.New("response to the request to resume a stream is not a stream")
	errStatus          = errors.New("response status implies that the request has not run, but the not-run header is missing")
)

// attempt sends the request to the server and forwards the response to the caller.
func (j *job) attempt(ctx context.Context, id uint64, s value.BackendServer) Outcome {
	j.began = false
	o, err := j.exchange(ctx, id, s)
	j.reportAttempt(id, s, o, err)
	if suggestsCrash(o) {
		j.probeCrash(s)
	}
	return o
}

// exchange sends the request, forwards the response and releases the connection.
func (j *job) exchange(ctx context.Context, id uint64, s value.BackendServer) (Outcome, error) {
	resp, err := j.Client.Do(ctx, s.Address(), j.serverRequest(s))
	if err != nil {
		if errors.Is(err, unix.ECONNREFUSED) {
			j.dispatcher.down(s)
		}
		return j.failureOutcome(ctx, err), err
	}
	j.readNotices(s, resp)
	o, err := j.handleResponse(ctx, id, resp)
	if wasReadCompletely(o) && err == nil {
		resp.Release()
	} else {
		resp.Discard()
	}
	return o, err
}

// readNotices records what the response says about the server itself. A response of another server at the same address says
// nothing about it.
func (j *job) readNotices(s value.BackendServer, resp *http1.Response) {
	if resp.Status == int(j.Dialect.MovedStatus()) {
		return
	}
	j.readCold(s, resp)
	if text := resp.Header.Get(j.Dialect.Leaving()); text != "" && text != "0" {
		j.dispatcher.leaving(s)
	}
	if resp.Status != http.StatusServiceUnavailable {
		return
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		j.dispatcher.paused(s, hoist.MillisOfSeconds(min(seconds, maxPause.Duration().Seconds())))
	}
}

// wasReadCompletely reports whether the response behind the outcome was read to its end.
func wasReadCompletely(o Outcome) bool {
	switch o.(type) {
	case Completed, ServerError, NotRun:
		return true
	case Unsent, ResponseLost, Interrupted, CallerDisconnected, Expired:
	}
	return false
}

// serverRequest returns the request that is sent to the server.
func (j *job) serverRequest(s value.BackendServer) http1.Request {
	d := j.Dialect
	h := maps.Clone(j.request.Header)
	h.Set(d.Deadline(), strconv.FormatInt(max(int64(j.progress.Deadline-j.Clock.Now()), 1), 10))
	h.Set(d.ExpectServer(), s.Id())
	h.Set(d.Urgency(), strconv.Itoa(int(min(max(j.rank, 0), lowestUrgency))))
	if j.workspace.Name() != "" {
		h.Set(d.Workspace(), j.workspace.Name())
	}
	if j.numbering.known {
		h.Set(lastEventHeader, strconv.FormatInt(j.numbering.last, 10))
	}
	return http1.Request{
		Method: j.request.Method, Target: j.request.Target, Host: j.request.Host, Header: h, Body: j.request.Body,
		IDHeader: d.RequestId(), ID: j.request.ID,
	}
}

// failureOutcome returns the outcome of an attempt that failed before a usable response was received.
func (j *job) failureOutcome(ctx context.Context, err error) Outcome {
	switch {
	case errors.Is(err, http1.ErrUnsent) && (ctx.Err() == nil || deadlineExpired(ctx)):
		return Unsent{}
	case deadlineExpired(ctx):
		return Expired{}
	case ctx.Err() != nil:
		return CallerDisconnected{}
	default:
		return ResponseLost{}
	}
}

// deadlineExpired reports whether ctx ended because the deadline of the request has passed.
func deadlineExpired(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errDeadline) }

// reportAttempt reports the end of an attempt to the dispatcher and logs it if it failed.
func (j *job) reportAttempt(id uint64, s value.BackendServer, o Outcome, err error) {
	result := assign.ResultOK
	switch o.(type) {
	case Completed:
		j.result = "done"
		j.response.End()
	case CallerDisconnected:
		result, j.result = assign.ResultCancelled, "caller left"
	case Expired:
		result = assign.ResultCancelled
	case Unsent:
		result = assign.ResultUnreachable
	case NotRun:
		result = assign.ResultQueueFull
	case ResponseLost, ServerError, Interrupted:
		result = assign.ResultError
	}
	j.dispatcher.finished(id, result)
	if result == assign.ResultOK || result == assign.ResultCancelled {
		return
	}
	fields := logrus.Fields{
		"request": j.request.ID, "server": s.Id(), "address": s.Address(), "sends": j.progress.Sends + 1, "outcome": outcomeName(o),
		"content": contentName(j.fingerprint), "parts": partNames(j.work(id)), "began": j.began,
	}
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

// handleResponse checks the response header and forwards the body.
func (j *job) handleResponse(ctx context.Context, id uint64, resp *http1.Response) (Outcome, error) {
	d := j.Dialect
	if resp.Header.Get(d.NotRun()) != "" || resp.Status == int(d.MovedStatus()) {
		_, err := io.Copy(io.Discard, io.LimitReader(resp, maxBufferedBytes))
		return NotRun{}, err
	}
	if resp.Header.Get(d.Seal()) == "" {
		return j.unusableOutcome(ctx, errNoSeal)
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return j.unusableOutcome(ctx, errContentEncoding)
	}
	switch resp.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return j.unusableOutcome(ctx, errStatus)
	}
	if j.progress.Started && resp.Status/100 != 2 {
		// The caller has received a part of a stream, which must not go on with an error response.
		return ServerError{}, errResumeRefused
	}
	load, loaded := parseLoad(resp.Header.Get(d.Load()))
	j.serverLoad = load
	began := func() {
		j.began = true
		j.dispatcher.responded(id, load, loaded)
	}
	if resp.Status/100 == 2 && j.route.Kind() == value.RouteKindStream {
		return j.forwardStream(ctx, resp, began)
	}
	return j.forwardBody(ctx, resp, began)
}

// unusableOutcome returns the outcome of an attempt whose response cannot be used. If the deadline passed or the
// caller disconnected, the outcome says so instead.
func (j *job) unusableOutcome(ctx context.Context, err error) (Outcome, error) {
	o := j.failureOutcome(ctx, err)
	if _, lost := o.(ResponseLost); lost && j.progress.Started {
		return Interrupted{}, err
	}
	return o, err
}

// forwardBody forwards a response that is not a stream. It buffers the body up to maxBufferedBytes and forwards the
// rest of a longer one as it arrives.
func (j *job) forwardBody(ctx context.Context, resp *http1.Response, began func()) (Outcome, error) {
	body, whole, err := j.bufferBody(resp)
	if err != nil {
		return j.unusableOutcome(ctx, err)
	}
	began()
	if resp.Status/100 == 5 && whole {
		j.errorResponse = &serverResponse{resp.Status, WithoutHopByHop(resp.Header), body}
		return ServerError{}, nil
	}
	length := resp.Length
	if whole {
		length = int64(len(body))
	}
	// Another server would send the body from its first byte.
	j.progress.Repeatable = false
	j.writeHeader(resp.Status, resp.Header, length)
	err = j.response.Write(body)
	if err == nil && !whole {
		_, err = io.Copy(bodyWriter{j.response}, resp)
	}
	if err != nil {
		return j.unusableOutcome(ctx, err)
	}
	return Completed{}, nil
}

// bufferBody reads a response body up to maxBufferedBytes, or up to what may be held. It reports whether that is the whole
// body.
func (j *job) bufferBody(resp io.Reader) (body []byte, whole bool, err error) {
	for len(body) < maxBufferedBytes {
		if len(body) == cap(body) {
			size := min(max(growth*cap(body), minBufferedBytes), maxBufferedBytes)
			if j.request.Hold != nil && j.request.Hold(int64(size-cap(body))) != nil {
				break
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, len(body) < maxBufferedBytes, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// bodyWriter adapts a ResponseWriter to io.Writer.
type bodyWriter struct{ caller ResponseWriter }

// Write forwards a chunk of the body to the caller.
func (w bodyWriter) Write(b []byte) (int, error) {
	if err := w.caller.Write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// writeHeader sends the response header to the caller, unless an earlier attempt of a resumed stream has sent it.
func (j *job) writeHeader(status int, header http.Header, length int64) {
	if j.progress.Started {
		return
	}
	j.progress.Started = true
	j.firstByteTime = j.Clock.Now() - j.request.Arrived
	j.response.Start(status, WithoutHopByHop(header), length)
}

// forwardStream forwards complete events as they arrive.
func (j *job) forwardStream(ctx context.Context, resp *http1.Response, began func()) (Outcome, error) {
	events := http1.NewEventReader(resp)
	for first := true; ; first = false {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && !first {
			return Completed{}, nil
		}
		if err == nil {
			err = j.numbering.check(e, first)
		}
		if err != nil {
			return j.unusableOutcome(ctx, err)
		}
		if first {
			began()
		}
		j.writeHeader(resp.Status, resp.Header, -1)
		if err := j.response.Write(e.Data); err != nil {
			return CallerDisconnected{}, err
		}
		j.recordEventTime()
		if e.Numbered {
			j.numbering = j.numbering.with(e.ID)
		} else if !j.numbering.known {
			// Without an ID to go on after, another server would send the beginning again.
			j.progress.Repeatable = false
		}
	}
}

// recordEventTime updates the longest gap between two events.
func (j *job) recordEventTime() {
	now := j.Clock.Now()
	if j.lastEventAt > 0 {
		j.maxEventGap = max(j.maxEventGap, now-j.lastEventAt)
	}
	j.lastEventAt = now
}

// numbering is what the events of a stream that were forwarded say about its event IDs.
type numbering struct {
	// last is the last event ID; known is set if there is one.
	last  int64
	known bool
	// consecutive is set while there were several event IDs, each the next number, and gap once one was not.
	consecutive, gap bool
}

// with returns the numbering after an event with the ID.
func (n numbering) with(id int64) numbering {
	if n.known {
		n.gap = n.gap || id != n.last+1
		n.consecutive = !n.gap
	}
	n.last, n.known = id, true
	return n
}

// check returns an error if the event does not follow the forwarded ones. IDs increase, but may leave numbers out. The first
// event after a resumption must have an ID, because it may be an error that the server sends instead of the stream; it must
// be the next number if all others were, because it may come after one that the server left out.
func (n numbering) check(e http1.Event, first bool) error {
	switch {
	case !n.known:
		return nil
	case !e.Numbered && first, e.Numbered && e.ID <= n.last, e.Numbered && first && n.consecutive && e.ID != n.last+1:
		return errEventOrder
	default:
		return nil
	}
}

// hopByHopFields are the header fields that apply to a single connection.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Expect",
}

// WithoutHopByHop returns a copy of the header without hop-by-hop fields, including those that the Connection field
// names.
func WithoutHopByHop(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, f := range h["Connection"] {
		for name := range strings.SplitSeq(f, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(out, name)
	}
	return out
}

// minLoadFields is the number of fields that every load report has.
const minLoadFields = 3

// parseLoad parses the load report of a server.
func parseLoad(text string) (value.ServerLoad, bool) {
	fields := strings.Split(text, ",")
	if len(fields) < minLoadFields {
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
