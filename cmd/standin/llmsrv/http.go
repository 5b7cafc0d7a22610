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

// maxRequest bounds a request body, in bytes.
const maxRequest = 8 << 20

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.complete)
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("POST /cancel", e.cancelAttempt)
	m.HandleFunc("GET /load", e.load)
	m.HandleFunc("GET /cache/events", e.cacheEvents)
	m.HandleFunc("GET /state", e.readState)
	m.HandleFunc("POST /orders", e.order)
	m.HandleFunc("POST /kv/export", e.export)
	m.HandleFunc("POST /kv/import", e.importCache)
	m.HandleFunc("POST /fault", e.fault)
	return m
}

// refuse answers that the request has not been started.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("X-Not-Started", "true")
	http.Error(w, reason, status)
}

// complete streams the answer to a completion request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
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
		e.stream(w, r, newAnswer(r, req, prompt))
	}
}

// answer is one attempt's part of an answer.
type answer struct {
	attempt  string
	chat     bool
	model    string
	prompt   string
	priority int32
	from     int
	length   int
}

// newAnswer reads the attempt's headers.
func newAnswer(r *http.Request, req *wire.CompletionRequest, prompt string) answer {
	number := func(name string) int {
		n, err := strconv.Atoi(r.Header.Get(name))
		if err != nil {
			return 0
		}
		return n
	}
	return answer{
		attempt:  r.Header.Get("X-Request-Id"),
		chat:     strings.HasSuffix(r.URL.Path, "/chat/completions"),
		model:    req.GetModel(),
		prompt:   prompt,
		priority: clamp(number("X-Priority")),
		from:     number("X-Resume-Tokens"),
		length:   OutputTokens(prompt, req.GetMaxTokens()),
	}
}

// stream submits the job and writes a frame for each of its tokens.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a answer) {
	ctx := r.Context()
	result := make(chan taken, 1)
	if !e.send(ctx, take{result}) {
		return
	}
	t := <-result
	out := make(chan int, max(1, a.length))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", a.attempt)
	flush := http.NewResponseController(w)
	if a.from < a.length {
		prefixes := PrefixHashes(a.prompt)
		job := NewJob(a.attempt, a.priority, PromptTokens(a.prompt), a.from, a.length)
		if !e.send(ctx, submit{job, prefixes, out}) {
			return
		}
		defer e.drop(a.attempt)
	} else {
		close(out)
	}
	w.WriteHeader(http.StatusOK)
	_ = flush.Flush()
	sent := 0
	for sent < a.length-a.from {
		select {
		case <-ctx.Done():
			return
		case at, ok := <-out:
			if !ok {
				return
			}
			if t.cut == sent {
				panic(http.ErrAbortHandler)
			}
			if t.stray && sent == 1 {
				_, _ = io.WriteString(w, a.foreign(at))
			}
			_, _ = io.WriteString(w, a.frame(at))
			_ = flush.Flush()
			sent++
		}
	}
	_, _ = fmt.Fprintf(w, "id: %s:END\ndata: [DONE]\n\n", a.attempt)
}

// drop cancels a job; it has no effect on a finished one.
func (e *Engine) drop(id string) {
	select {
	case e.commands <- cancel{id}:
	case <-e.clock.After(hoist.Second):
	}
}

// frame returns the server-sent event of one token.
func (a answer) frame(at int) string {
	return fmt.Sprintf("id: %s:%d\ndata: %s\n\n", a.attempt, at, a.chunk(a.request(), Token(a.prompt, at), at+1 == a.length))
}

// foreign returns a frame that belongs to another request.
func (a answer) foreign(at int) string {
	return fmt.Sprintf("id: ffff-ffff-1:%d\ndata: %s\n\n", at, a.chunk("ffff-ffff", "FOREIGN ", false))
}

// request returns the attempt identity without the attempt number, so that it stays the same over all attempts.
func (a answer) request() string {
	if i := strings.LastIndexByte(a.attempt, '-'); i > 0 {
		return a.attempt[:i]
	}
	return a.attempt
}

// chunk returns the JSON of one token.
func (a answer) chunk(id, token string, last bool) string {
	object, content := "text_completion", `"text":`+strconv.Quote(token)
	if a.chat {
		object, content = "chat.completion.chunk", `"delta":{"content":`+strconv.Quote(token)+`}`
	}
	finish := "null"
	if last {
		finish = `"stop"`
	}
	return fmt.Sprintf(`{"id":%q,"object":%q,"model":%q,"choices":[{"index":0,%s,"finish_reason":%s}]}`,
		id, object, a.model, content, finish)
}

// cancelAttempt cancels the attempt that the query names.
func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	e.send(r.Context(), cancel{r.URL.Query().Get("id")})
	w.WriteHeader(http.StatusNoContent)
}

// load answers with a late load report.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	s := e.reported()
	m := &wire.Load{}
	m.SetRunning(clamp(s.Batch.Running().Len()))
	m.SetWaiting(clamp(s.Batch.Waiting().Len()))
	m.SetSlots(clamp(s.Batch.Slots()))
	m.SetMeasuredMs(int64(s.At))
	pbjson.Write(w, m)
}

// cacheEvents answers with late cache events.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
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

// readState answers with what the engine carries.
func (e *Engine) readState(w http.ResponseWriter, _ *http.Request) {
	pbjson.Write(w, wire.EngineStateWire(e.state.Load().Orders.Advance(e.clock.Now()).State()))
}

// order accepts or refuses an order.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	m := &wire.Order{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := make(chan error, 1)
	if !e.send(r.Context(), instruct{wire.OrderValue(m), result}) {
		return
	}
	switch err := <-result; {
	case errors.Is(err, ErrStaleFence), errors.Is(err, ErrOrderPending):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

// export answers with the KV cache of the engine as opaque bytes.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	s := e.state.Load()
	for j := range s.Batch.Running().All() {
		if j.ID() == id {
			m := &message.Cache{}
			for h := range s.Cache.held.All() {
				m.SetPrefixes(append(m.GetPrefixes(), h))
			}
			pbjson.Write(w, m)
			return
		}
	}
	http.Error(w, "unknown attempt", http.StatusNotFound)
}

// importCache stores an exported KV cache.
func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	m := &message.Cache{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.send(r.Context(), store{m.GetPrefixes()})
	w.WriteHeader(http.StatusNoContent)
}

// fault puts a fault in force.
func (e *Engine) fault(w http.ResponseWriter, r *http.Request) {
	m := &message.Fault{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if m.HasCrash() && m.GetCrash().GetText() == "" {
		e.host.Crash(hoist.Millis(m.GetCrash().GetMs()))
		return
	}
	e.send(r.Context(), disturb{m})
	w.WriteHeader(http.StatusNoContent)
}
