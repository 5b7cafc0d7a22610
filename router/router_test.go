package router_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/router"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

// stepTimeout bounds the wait for a step of another process or goroutine; no test asserts a duration.
const stepTimeout = time.Minute

// snapshot is the published configuration; the secret of its credential is "caller-secret".
const snapshot = `generation = 1
tiers = [{name = "gold", rank = 1}]
classes = [{name = "live", tier = "gold", first_token_ms = 690, max_wait_ms = 30000}]
workspaces = [{name = "north"}]
credentials = [{name = "key", workspace = "north", class = "live", sha256 = "ef463420edc797e78fe3cdfcaddb67f822b4482788cb1009d0467eea8694736f"}]
models = [{name = "model", version = "1"}]
pools = [{name = "assistant", kind = "engine", models = ["model"], slots = 4}]
`

// address returns a free loopback address.
func address() string {
	l := lo.Must(net.Listen("tcp", "127.0.0.1:0"))
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startPlatform serves one configuration and one instance list; watches for later versions return no content.
func startPlatform(content, instances string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if after := r.URL.Query().Get("after"); after != "" && after != "0" {
			select {
			case <-r.Context().Done():
			case <-time.After(100 * time.Millisecond):
				w.WriteHeader(http.StatusNoContent)
			}
			return
		}
		w.Header().Set("ETag", `"1"`)
		_, _ = io.WriteString(w, lo.Ternary(strings.HasPrefix(r.URL.Path, "/instances"), instances, content))
	}))
}

// startEngine streams three tokens and waits for release before the last one.
func startEngine(release <-chan struct{}) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "{}")
			return
		}
		id := r.Header.Get("X-Request-Id")
		for n := range 3 {
			if n == 2 {
				<-release
			}
			_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, n, n)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = fmt.Fprintf(w, "id: %s:END\ndata: [DONE]\n\n", id)
	}))
}

// start runs a router against the platform; it returns the addresses for callers and administration and the result of
// Run.
func start(ctx context.Context, platformURL string) (callers, admin string, result <-chan error) {
	callers, admin = address(), address()
	settings, findings := config.ParseSettings("settings", []byte(fmt.Sprintf(
		"name = \"router-1\"\nregion = \"r\"\ndatacentre = \"d\"\nlisten = {callers = %q, admin = %q, peers = %q}\nplatform = {url = %q, key = \"fleet\"}\n",
		callers, admin, address(), platformURL)))
	Expect(findings).To(BeEmpty())
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	r := lo.Must(router.New(settings, logger))
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	return callers, admin, done
}

var _ = Describe("Router", func() {
	// Guards against a drain that interrupts a stream, and against components that are wired incorrectly or have data
	// races.
	It("completes a stream in progress when it is stopped", func() {
		release := make(chan struct{})
		e := startEngine(release)
		defer e.Close()
		p := startPlatform(snapshot,
			fmt.Sprintf(`{"version":1,"instances":[{"name":"e","kind":"engine","address":%q,"pool":"assistant","region":"r","datacentre":"d"}]}`,
				e.Listener.Addr().String()))
		defer p.Close()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		callers, admin, result := start(ctx, p.URL)
		Eventually(func() int { return status("http://" + admin + "/ready") }, stepTimeout).Should(Equal(http.StatusOK))

		body := `{"model":"model","stream":true,"messages":[{"role":"user","content":"hello"}]}`
		request := lo.Must(http.NewRequest(http.MethodPost, "http://"+callers+"/v1/chat/completions", strings.NewReader(body)))
		request.Header.Set("Authorization", "Bearer caller-secret")
		response := lo.Must(http.DefaultClient.Do(request))
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		stop()
		Eventually(func() int { return status("http://" + admin + "/ready") }, stepTimeout).Should(Equal(http.StatusServiceUnavailable))
		Consistently(result, 100*time.Millisecond).ShouldNot(Receive())
		close(release)
		text := string(lo.Must(io.ReadAll(response.Body)))
		Expect(strings.Count(text, "data: {")).To(Equal(3))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(response.Trailer.Get("X-Outcome")).To(Equal("ran"))
		Eventually(result, stepTimeout).Should(Receive(BeNil()))
	})
})

// status returns the status code of a GET request, or 0 if the server is unreachable.
func status(url string) int {
	r, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}
