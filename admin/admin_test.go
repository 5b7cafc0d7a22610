package admin

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/value"
)

func TestAdmin(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "admin")
}

const inForce = `generation = 3
[[tiers]]
name = "live"
rank = 1
[[workspaces]]
name = "hearth"
`

// fixedRouter is a router with constant state, except for the drain.
type fixedRouter struct {
	view     *config.View
	draining bool
}

func (f *fixedRouter) View() *config.View { return f.view }
func (f *fixedRouter) Ready() bool        { return f.view != nil && !f.draining }
func (f *fixedRouter) Drain()             { f.draining = true }

func (f *fixedRouter) Status() value.RouterStatus {
	s := value.RouterStatus{}.WithName("router-1").WithIncarnation("1a").WithPhase(value.PhaseReady).
		WithGeneration(3).WithRequests(2).WithPlatformAgeMs(-1)
	if f.draining {
		s = s.WithPhase(value.PhaseDraining)
	}
	return s
}

func (f *fixedRouter) Instances() value.InstanceReport {
	return value.InstanceReport{}.WithInstances(value.ListOf(
		value.InstanceRow{}.WithName("router-1").WithKind("router").WithState("live").WithGeneration(3),
		value.InstanceRow{}.WithName("engine-1").WithKind("engine").WithState("leaving")))
}

func (f *fixedRouter) Servers() value.ServerReport {
	return value.ServerReport{}.WithServers(value.ListOf(
		value.ServerRow{}.WithName("engine-1").WithPool("chat").WithState("probation").WithReason("first tokens are 9 times slower than the pool's")))
}

func (f *fixedRouter) Queues() value.QueueReport {
	return value.QueueReport{}.WithQueues(value.ListOf(value.QueueRow{}.WithShard("chat/0").WithRank(1).WithClass("guidance").WithWaiting(4)))
}

func (f *fixedRouter) Quarantines() value.QuarantineReport { return value.QuarantineReport{} }

func (f *fixedRouter) Request(id string) (value.RequestRecord, bool) {
	step := value.RequestStep{}.WithAttempt(1).WithStep("refused").WithReason("late")
	return value.RequestRecord{}.WithRequest(id).WithSteps(value.ListOf(step)), id == "1a-2-1"
}

// hash returns the SHA-256 hash of a secret in the format of the settings.
func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// newHandler returns a handler with two operators, and the buffer that its log is written to.
func newHandler() (http.Handler, *bytes.Buffer) {
	view, findings := config.LoadView("in-force", []byte(inForce))
	gomega.Expect(findings).To(gomega.BeEmpty())
	var lines bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&lines)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics 1\n") })
	operators := value.ListOf(value.Operator{}.WithName("day").WithSha256(hash("day-secret")),
		value.Operator{}.WithName("night").WithSha256(hash("night-secret")))
	return New(Options{Router: &fixedRouter{view: view}, Key: "hoist", Operators: operators, Metrics: metrics, Log: event.NewLog(logger)}), &lines
}

// serve passes a request in text form to the handler and returns the response as text.
func serve(h http.Handler, text string) string {
	head, body, _ := strings.Cut(text, "\n\n")
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "\n\n")))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	if body != "" {
		r.Header.Set("Content-Type", "application/toml")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var indented bytes.Buffer
	if json.Indent(&indented, w.Body.Bytes(), "", "  ") != nil {
		indented = *w.Body
	}
	return fmt.Sprintf("%d %s\n%s\n", w.Code, w.Header().Get("Content-Type"), strings.TrimSpace(indented.String()))
}

var _ = ginkgo.Describe("administration interface", func() {
	// Guards against changed response formats that scripts cannot parse, and against access without a credential.
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("responds to "+c.Name, func() {
			h, _ := newHandler()
			gomega.Expect(serve(h, c.Input)).To(golden.Match(c.Path))
		})
	}

	// Guards against a load balancer that keeps sending requests to a draining router because its readiness check succeeds.
	ginkgo.It("is not ready while it drains", func() {
		h, _ := newHandler()
		serve(h, "POST /v1/drain HTTP/1.1\nHost: x\nAuthorization: Bearer day-secret\n\n")
		gomega.Expect(serve(h, "GET /ready HTTP/1.1\nHost: x\n\n")).To(gomega.HavePrefix("503 "))
		gomega.Expect(serve(h, "GET /live HTTP/1.1\nHost: x\n\n")).To(gomega.HavePrefix("200 "))
	})

	// Guards against rejected credentials that are not logged, and against secrets in logs.
	ginkgo.It("logs a rejected credential without the secret", func() {
		h, lines := newHandler()
		serve(h, "GET /v1/status HTTP/1.1\nHost: x\nAuthorization: Bearer mistyped\n\n")
		gomega.Expect(lines.String()).To(gomega.ContainSubstring("event=501"))
		gomega.Expect(lines.String()).NotTo(gomega.ContainSubstring("mistyped"))
	})

	// Guards against an administration interface that accepts any credential when no operators are configured.
	ginkgo.It("rejects every credential when there are no operators", func() {
		h := New(Options{Router: &fixedRouter{}, Metrics: http.NotFoundHandler(), Log: event.NewLog(logrus.New())})
		for _, secret := range []string{"", " ", "day-secret"} {
			gomega.Expect(serve(h, "GET /v1/status HTTP/1.1\nHost: x\nAuthorization: Bearer "+secret+"\n\n")).To(gomega.HavePrefix("401 "))
		}
	})

	// Guards against a request body that exhausts the memory of the router.
	ginkgo.It("rejects a snapshot that exceeds the size limit", func() {
		h, _ := newHandler()
		body := "#" + strings.Repeat("x", maxSnapshotBytes)
		response := serve(h, "POST /v1/dry-run HTTP/1.1\nHost: x\nAuthorization: Bearer day-secret\n\n"+body)
		gomega.Expect(response).To(gomega.HavePrefix("413 "))
		gomega.Expect(response).To(gomega.ContainSubstring(`"invalid_request"`))
	})
})
