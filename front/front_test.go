package front_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"

	"chicoryhoist.example/hoist/golden"
)

func TestFront(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "front")
}

// backend is a model engine and plain service that records the requests that it receives.
type backend struct {
	mutex sync.Mutex
	seen  strings.Builder
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mutex.Lock()
	fmt.Fprintf(&b.seen, "backend: %s %s\n%s%s\n", r.Method, r.URL.RequestURI(), headers(r.Header), body)
	b.mutex.Unlock()
	id := r.Header.Get("X-Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-Tokens"))
	switch {
	case !strings.HasSuffix(r.URL.Path, "completions"):
		h := w.Header()
		h.Set("X-Request-Id", id)
		h.Set("X-Kept", "yes")
		h.Set("Connection", "X-Hop")
		for _, n := range []string{"X-Hop", "X-Outcome", "X-Token-Issuer", "Keep-Alive"} {
			h.Set(n, "forged")
		}
		fmt.Fprint(w, "answer")
	case bytes.Contains(body, []byte("refuse")):
		w.Header().Set("X-Not-Started", "true")
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		for i := from; i < 3; i++ {
			fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, i, i)
			_ = http.NewResponseController(w).Flush()
			if bytes.Contains(body, []byte("cut")) && i < 2 {
				panic(http.ErrAbortHandler)
			}
		}
		if !bytes.Contains(body, []byte("cut")) {
			fmt.Fprintf(w, "id: %s:END\ndata: [DONE]\n\n", id)
		}
	}
}

// headers returns the header fields in order, without those that differ between runs.
func headers(h http.Header) string {
	out := ""
	for _, n := range slices.Sorted(maps.Keys(h)) {
		if n != "Date" && n != "User-Agent" {
			out += fmt.Sprintf("%s: %s\n", n, strings.Join(h[n], ", "))
		}
	}
	return out
}

// rawRequest returns the raw request of a test case. It replaces {*n*} with n words and computes "Content-Length: auto".
func rawRequest(text string) string {
	for {
		start, end := strings.Index(text, "{*"), strings.Index(text, "*}")
		if start < 0 {
			break
		}
		n, _ := strconv.Atoi(text[start+2 : end])
		text = text[:start] + strings.Repeat("long ", n) + text[end+2:]
	}
	head, body, hasBody := strings.Cut(text, "\n\n")
	body = strings.TrimSuffix(body, "\n")
	head = strings.Replace(head, "Content-Length: auto", fmt.Sprint("Content-Length: ", len(body)), 1)
	head = strings.ReplaceAll(head, "\n", "\r\n")
	if !hasBody {
		return head
	}
	return head + "\r\n\r\n" + body
}

// readResponse reads a response and renders it for the golden files, with JSON bodies compacted.
func readResponse(c net.Conn, method string) string {
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return err.Error() + "\n"
	}
	body, err := io.ReadAll(r.Body)
	var compact bytes.Buffer
	if json.Compact(&compact, body) == nil {
		body = compact.Bytes()
		r.Header.Del("Content-Length")
	}
	text := strings.ReplaceAll(string(body), `", "`, `","`)
	out := fmt.Sprintf("%s\n%s\n%s\n", r.Status, headers(r.Header), text)
	if len(r.Trailer) > 0 {
		out += "trailer: " + headers(r.Trailer)
	}
	if err != nil {
		out += err.Error() + "\n"
	}
	return out
}

// Guards against wrong statuses, outcomes and error bodies, against headers that leak between callers and
// backend servers, and against requests that reach a backend server although the caller is told not-run.
var _ = ginkgo.Describe("Server", func() {
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("responds to "+c.Name, func() {
			b := &backend{}
			s := httptest.NewServer(b)
			defer s.Close()
			s.Config.ErrorLog = nil
			h := newFakeRouter(s.Listener.Addr().String())
			idle, text := int64(60000), c.Input
			for strings.HasPrefix(text, "!") {
				var word string
				word, text, _ = strings.Cut(text, "\n")
				switch word {
				case "!draining":
					h.draining = true
				case "!unready":
					h.view = nil
				case "!limited":
					h.limited = true
				case "!quarantined":
					h.quarantined = true
				case "!refuse":
					h.refuse = true
				case "!nobackend":
					h.backend = ""
				case "!gone":
					s.Listener.Close()
				case "!slow":
					idle = 200
				}
			}
			address, stop := h.serve(idle)
			defer stop()
			conn, err := net.Dial("tcp", address)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			raw := rawRequest(text)
			fmt.Fprint(conn, raw)
			out := readResponse(conn, strings.Fields(raw)[0])
			b.mutex.Lock()
			defer b.mutex.Unlock()
			out += b.seen.String()
			if strings.Contains(out, "X-Outcome: not-run") && !strings.Contains(raw, "refuse") {
				gomega.Expect(b.seen.String()).To(gomega.BeEmpty())
			}
			gomega.Expect(out).To(golden.Match(c.Path))
		})
	}
})

// sendRequest opens a connection and sends a chat request that asks for a stream.
func sendRequest(address string) net.Conn {
	c, err := net.Dial("tcp", address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	fmt.Fprint(c, completionRequest(`{"model":"stove","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	return c
}

// endlessStream streams frames until the attempt is cancelled.
func endlessStream(cancelled chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(cancelled)
		for i := 0; r.Context().Err() == nil; i++ {
			fmt.Fprintf(w, "id: %s:%d\ndata: {\"pad\":%q}\n\n", r.Header.Get("X-Request-Id"), i, strings.Repeat("x", 9000))
			_ = http.NewResponseController(w).Flush()
		}
	})
}

var _ = ginkgo.Describe("a caller", func() {
	// Guards against attempts, admissions and goroutines that remain after the caller has disconnected or stopped reading.
	ginkgo.DescribeTable("that disconnects or stops reading releases everything", func(disconnect bool) {
		before := gleak.Goroutines()
		cancelled := make(chan struct{})
		s := httptest.NewServer(endlessStream(cancelled))
		h := newFakeRouter(s.Listener.Addr().String())
		address, stop := h.serve(300)
		c := sendRequest(address)
		if disconnect {
			_, _ = io.ReadFull(c, make([]byte, 20000))
			c.Close()
		}
		gomega.Eventually(cancelled, "10s").Should(gomega.BeClosed())
		gomega.Eventually(h.gateway.Active, "10s").Should(gomega.BeZero())
		gomega.Eventually(h.released.Load, "10s").Should(gomega.Equal(int64(1)))
		c.Close()
		stop()
		s.Close()
		gomega.Eventually(gleak.Goroutines, "10s").ShouldNot(gleak.HaveLeaked(before))
	}, ginkgo.Entry("disconnects", true), ginkgo.Entry("stops reading", false))

	// Guards against deadlines that are set once per request, which interrupt a long response or the next request on the connection.
	ginkgo.It("gets responses that take longer than the idle timeout, on one connection", func() {
		const idle = 200
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for i := range 3 {
				fmt.Fprintf(w, "id: %s:%d\ndata: {}\n\n", r.Header.Get("X-Request-Id"), i)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(150 * time.Millisecond)
			}
			fmt.Fprintf(w, "id: %s:END\ndata: [DONE]\n\n", r.Header.Get("X-Request-Id"))
		}))
		defer s.Close()
		address, stop := newFakeRouter(s.Listener.Addr().String()).serve(idle)
		defer stop()
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			q, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(`{"model":"stove","stream":true,"prompt":"x"}`))
			q.Header.Set("Authorization", "Bearer secret")
			r, err := client.Do(q)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(r.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(body)).To(gomega.Equal("data: {}\n\ndata: {}\n\ndata: {}\n\ndata: [DONE]\n\n"))
			gomega.Expect(r.Trailer.Get("X-Outcome")).To(gomega.Equal("ran"))
		}
	})
})
