package llmsrv_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/host"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/golden"
)

func TestLLMServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "llmsrv")
}

// runBatchScript runs the commands of a golden script against a batch of two slots.
func runBatchScript(input string) string {
	b := llmsrv.NewBatch(2, llmsrv.Speed{TokenMs: 10, PromptTokensPerMs: 8})
	var out strings.Builder
	for line := range strings.Lines(input) {
		var verb, id string
		var priority int32
		var prompt, from, length, factor int
		var at hoist.Millis
		_, _ = fmt.Sscan(line, &verb)
		switch verb {
		case "submit":
			_, _ = fmt.Sscan(line, &verb, &id, &priority, &prompt, &from, &length, &at)
			b = b.Submit(llmsrv.NewJob(id, priority, prompt, from, length), at)
		case "cancel":
			_, _ = fmt.Sscan(line, &verb, &id, &at)
			b = b.Cancel(id, at)
		case "factor":
			_, _ = fmt.Sscan(line, &verb, &factor)
			b = b.WithSlowdown(factor)
		case "step":
			_, _ = fmt.Sscan(line, &verb, &at)
			var advanced []llmsrv.Job
			b, advanced = b.Step(at)
			for _, j := range advanced {
				fmt.Fprintf(&out, "%d %s %d\n", at, j.ID(), j.NextPosition())
			}
		}
		next, ok := b.NextTokenAt()
		fmt.Fprintf(&out, "%s: running %d waiting %d wake %d %t\n", strings.TrimSpace(line), b.Running().Len(), b.Waiting().Len(), next, ok)
	}
	return out.String()
}

// startEngine starts an engine behind an HTTP test server.
func startEngine(ctx SpecContext) (*llmsrv.Engine, *httptest.Server) {
	clock := hoist.NewSystemClock()
	e := llmsrv.New(llmsrv.Settings{
		Slots: 2, Queue: 2, Speed: llmsrv.Speed{TokenMs: 1, PromptTokensPerMs: 100}, Models: []string{"m"}, Fenced: true,
	}, clock, host.New("127.0.0.1:0", clock))
	go e.Run(ctx)
	s := httptest.NewServer(e.Handler())
	DeferCleanup(s.Close)
	return e, s
}

// post sends a body and returns the status, the headers of a refusal and the response body.
func post(s *httptest.Server, path, body string, header ...string) string {
	r, err := http.NewRequest(http.MethodPost, s.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Request-Id", "a-1-1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return "interrupted after: " + string(b)
	}
	return fmt.Sprintf("%d %s%s\n%s", response.StatusCode, response.Header.Get("X-Not-Started"), response.Header.Get("X-Leaving"), b)
}

var _ = Describe("Engine", func() {
	// Guards against jobs that are admitted before jobs of higher priority, lose tokens or occupy a slot after their end,
	// which occurs when submitting, stepping or cancelling updates the batch wrongly.
	It("admits jobs by priority and produces their tokens in shared steps", func() {
		Expect(runBatchScript(golden.Cases("testdata")[0].Input)).To(golden.Match("testdata/batch.golden"))
	})

	// Guards against frames that a client can't match to their attempt, which occurs when a frame carries an identifier
	// or a position that differs from the published protocol.
	It("streams one frame for each token", func(ctx SpecContext) {
		_, s := startEngine(ctx)
		var out strings.Builder
		for line := range strings.Lines(golden.Cases("testdata")[1].Input) {
			path := "/v1/completions"
			if strings.Contains(line, "messages") {
				path = "/v1/chat/completions"
			}
			out.WriteString(post(s, path, line))
		}
		out.WriteString(post(s, "/v1/completions", `{"model":"m","prompt":"hello [[tokens=3]]"}`, "X-Resume-Tokens", "2"))
		Expect(out.String()).To(golden.Match("testdata/stream.golden"))
	})

	// Guards against faults that have no effect at the HTTP interface, with which a fault run would test nothing.
	It("shows injected faults in its responses", func(ctx SpecContext) {
		_, s := startEngine(ctx)
		body := `{"model":"m","prompt":"hello [[tokens=3]]"}`
		post(s, "/fault", `{"cut":{"after":1,"count":1}}`)
		Expect(post(s, "/v1/completions", body)).To(And(HavePrefix("interrupted after"), ContainSubstring("a-1-1:0")))
		post(s, "/fault", `{"foreign":{"count":1}}`)
		Expect(post(s, "/v1/completions", body)).To(ContainSubstring("FOREIGN"))
		post(s, "/fault", `{"leave":{}}`)
		Expect(post(s, "/v1/completions", body)).To(Equal("503 truetrue\nleaving\n"))
	})

	// Guards against an engine that accepts orders of a former shard owner, which occurs when it ignores fencing numbers.
	It("refuses orders with an old fencing number", func(ctx SpecContext) {
		_, s := startEngine(ctx)
		Expect(post(s, "/orders", `{"id":"1","kind":"role","name":"prefill","fence":2}`)).To(HavePrefix("202"))
		Expect(post(s, "/orders", `{"id":"2","kind":"role","name":"decode","fence":1}`)).To(HavePrefix("409"))
	})
})
