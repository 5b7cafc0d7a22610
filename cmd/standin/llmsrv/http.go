package llmsrv

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
	"chicoryhoist.example/hoist/wire"
)

// maxBodyBytes bounds a request body, in bytes.
const maxBodyBytes = 8 << 20

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.complete)
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("POST /cancel", e.cancelAttempt)
	m.HandleFunc("GET /load", e.reportLoad)
	m.HandleFunc("GET /cache/events", e.reportCacheEvents)
	m.HandleFunc("GET /state", e.reportState)
	m.HandleFunc("POST /orders", e.acceptOrder)
	m.HandleFunc("POST /kv/export", e.exportCache)
	m.HandleFunc("POST /kv/import", e.importCache)
	m.HandleFunc("POST /fault", e.injectFault)
	return m
}

// refuse sends an error response which says that the request was not started.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("X-Not-Started", "true")
	http.Error(w, reason, status)
}

// complete streams the response to a completion request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	req := &wire.CompletionRequest{}
	if err := pbjson.Unmarshal(body, req); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	s, now := e.state.Load(), e.clock.Now()
	prompt := Prompt(req)
	switch {
	case s.Faults.Leaving():
		w.Header().Set("X-Leaving", "true")
		refuse(w, http.StatusServiceUnavailable, "leaving")
	case s.Faults.Refuses(now) || s.full(e.settings.Queue):
		refuse(w, http.StatusTooManyRequests, "full")
	case !s.Orders.Advance(now).Loaded(req.GetModel()):
		refuse(w, http.StatusNotFound, "unknown model")
	case s.Faults.Crashes(prompt):
		e.host.Crash(s.Faults.CrashMs())
		<-r.Context().Done()
	default:
		e.stream(w, r, newCompletion(r, req, prompt))
	}
}

// completion describes the part of a response that one attempt produces.
type completion struct {
	attempt      string
	chat         bool
	model        string
	prompt       string
	priority     int32
	firstToken   int
	outputTokens int
}

// newCompletion returns the completion that the request and its headers ask for.
func newCompletion(r *http.Request, req *wire.CompletionRequest, prompt string) completion {
	number := func(name string) int {
		n, err := strconv.Atoi(r.Header.Get(name))
		if err != nil {
			return 0
		}
		return n
	}
	return completion{
		attempt:      r.Header.Get("X-Request-Id"),
		chat:         strings.HasSuffix(r.URL.Path, "/chat/completions"),
		model:        req.GetModel(),
		prompt:       prompt,
		priority:     clampInt32(number("X-Priority")),
		firstToken:   number("X-Resume-Tokens"),
		outputTokens: OutputTokens(prompt, req.GetMaxTokens()),
	}
}

// stream submits a job for the completion and writes a frame for each of its tokens.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, c completion) {
	ctx := r.Context()
	taken := make(chan responseFaults, 1)
	if !e.send(ctx, takeFaults{taken}) {
		return
	}
	faults := <-taken
	positions := make(chan int, max(1, c.outputTokens))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", c.attempt)
	control := http.NewResponseController(w)
	if c.firstToken < c.outputTokens {
		prefixes := PrefixHashes(c.prompt)
		job := NewJob(c.attempt, c.priority, PromptTokens(c.prompt), c.firstToken, c.outputTokens)
		if !e.send(ctx, submit{job, prefixes, positions}) {
			return
		}
		defer e.cancelJob(c.attempt)
	} else {
		close(positions)
	}
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	sent := 0
	for sent < c.outputTokens-c.firstToken {
		select {
		case <-ctx.Done():
			return
		case position, ok := <-positions:
			if !ok {
				return
			}
			if faults.truncateAfter == sent {
				panic(http.ErrAbortHandler)
			}
			if faults.mismatchedFrame && sent == 1 {
				_, _ = io.WriteString(w, c.mismatchedFrame(position))
			}
			_, _ = io.WriteString(w, c.frame(position))
			_ = control.Flush()
			sent++
		}
	}
	_, _ = fmt.Fprintf(w, "id: %s:END\ndata: [DONE]\n\n", c.attempt)
}

// cancelJob cancels a job; it has no effect on a finished job.
func (e *Engine) cancelJob(id string) {
	select {
	case e.commands <- cancel{id}:
	case <-e.clock.After(hoist.Second):
	}
}

// frame returns the server-sent event of one token.
func (c completion) frame(position int) string {
	return fmt.Sprintf("id: %s:%d\ndata: %s\n\n", c.attempt, position, c.chunk(c.requestID(), Token(c.prompt, position), position+1 == c.outputTokens))
}

// mismatchedFrame returns a frame with the identifier of another request.
func (c completion) mismatchedFrame(position int) string {
	return fmt.Sprintf("id: ffff-ffff-1:%d\ndata: %s\n\n", position, c.chunk("ffff-ffff", "FOREIGN ", false))
}

// requestID returns the attempt identifier without the attempt number, which is the same for all attempts of a request.
func (c completion) requestID() string {
	if i := strings.LastIndexByte(c.attempt, '-'); i > 0 {
		return c.attempt[:i]
	}
	return c.attempt
}

// chunk returns the JSON object of one token.
func (c completion) chunk(id, token string, last bool) string {
	object, content := "text_completion", `"text":`+strconv.Quote(token)
	if c.chat {
		object, content = "chat.completion.chunk", `"delta":{"content":`+strconv.Quote(token)+`}`
	}
	finish := "null"
	if last {
		finish = `"stop"`
	}
	return fmt.Sprintf(`{"id":%q,"object":%q,"model":%q,"choices":[{"index":0,%s,"finish_reason":%s}]}`,
		id, object, c.model, content, finish)
}

// cancelAttempt cancels the attempt that the query names.
func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	e.send(r.Context(), cancel{r.URL.Query().Get("id")})
	w.WriteHeader(http.StatusNoContent)
}

// reportLoad sends the delayed load report.
func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	s := e.reported()
	m := &wire.Load{}
	m.SetRunning(clampInt32(s.Batch.Running().Len()))
	m.SetWaiting(clampInt32(s.Batch.Waiting().Len()))
	m.SetSlots(clampInt32(s.Batch.Slots()))
	m.SetMeasuredMs(int64(s.At))
	pbjson.Write(w, m)
}

// reportCacheEvents sends the delayed cache events.
func (e *Engine) reportCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events, next := e.reported().Cache.Events(after)
	m := &wire.CacheEvents{}
	items := make([]*wire.CacheEvent, 0, events.Len())
	for x := range events.All() {
		items = append(items, wire.CacheEventWire(x))
	}
	m.SetEvents(items)
	m.SetNext(next)
	pbjson.Write(w, m)
}

// reportState sends the loaded weights, the role and the pending order of the engine.
func (e *Engine) reportState(w http.ResponseWriter, _ *http.Request) {
	pbjson.Write(w, wire.EngineStateWire(e.state.Load().Orders.Advance(e.clock.Now()).State()))
}

// acceptOrder accepts or refuses an order.
func (e *Engine) acceptOrder(w http.ResponseWriter, r *http.Request) {
	m := &wire.Order{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := make(chan error, 1)
	if !e.send(r.Context(), applyOrder{wire.OrderValue(m), result}) {
		return
	}
	switch err := <-result; {
	case errors.Is(err, ErrStaleFence), errors.Is(err, ErrOrderPending):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

// exportCache sends the prefix hashes in the engine's cache, which stand for the KV cache of a running attempt.
func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	s := e.state.Load()
	for j := range s.Batch.Running().All() {
		if j.ID() == id {
			m := &message.Cache{}
			for h := range s.Cache.prefixes.All() {
				m.SetPrefixes(append(m.GetPrefixes(), h))
			}
			pbjson.Write(w, m)
			return
		}
	}
	http.Error(w, "unknown attempt", http.StatusNotFound)
}

// importCache adds an exported KV cache to the cache of the engine.
func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	m := &message.Cache{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.send(r.Context(), importPrefixes{m.GetPrefixes()})
	w.WriteHeader(http.StatusNoContent)
}

// injectFault activates the fault in the request body.
func (e *Engine) injectFault(w http.ResponseWriter, r *http.Request) {
	m := &message.Fault{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if m.HasCrash() && m.GetCrash().GetText() == "" {
		e.host.Crash(hoist.Millis(m.GetCrash().GetMs()))
		return
	}
	e.send(r.Context(), applyFault{m})
	w.WriteHeader(http.StatusNoContent)
}
