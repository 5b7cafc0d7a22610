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

// fixed is a source whose answers never change, apart from the drain.
type fixed struct {
	view     *config.View
	draining bool
}

func (f *fixed) View() *config.View { return f.view }
func (f *fixed) Ready() bool        { return f.view != nil && !f.draining }
func (f *fixed) Drain()             { f.draining = true }

func (f *fixed) Status() value.RouterStatus {
	s := value.RouterStatus{}.WithName("router-1").WithIncarnation("1a").WithPhase(value.PhaseReady).
		WithGeneration(3).WithRequests(2).WithPlatformAgeMs(-1)
	if f.draining {
		s = s.WithPhase(value.PhaseDraining)
	}
	return s
}

func (f *fixed) Instances() value.InstanceReport {
	return value.InstanceReport{}.WithInstances(value.ListOf(
		value.InstanceRow{}.WithName("router-1").WithKind("router").WithState("live").WithGeneration(3),
		value.InstanceRow{}.WithName("engine-1").WithKind("engine").WithState("leaving")))
}

func (f *fixed) Servers() value.ServerReport {
	return value.ServerReport{}.WithServers(value.ListOf(
		value.ServerRow{}.WithName("engine-1").WithPool("chat").WithState("probation").WithReason("first tokens are 9 times slower than the pool's")))
}

func (f *fixed) Queues() value.QueueReport {
	return value.QueueReport{}.WithQueues(value.ListOf(value.QueueRow{}.WithShard("chat/0").WithRank(1).WithClass("guidance").WithWaiting(4)))
}

func (f *fixed) Quarantines() value.QuarantineReport { return value.QuarantineReport{} }

func (f *fixed) Request(id string) (value.RequestRecord, bool) {
	step := value.RequestStep{}.WithAttempt(1).WithStep("refused").WithReason("late")
	return value.RequestRecord{}.WithRequest(id).WithSteps(value.ListOf(step)), id == "1a-2-1"
}

// hash returns the SHA-256 of a secret as settings hold it.
func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// handler returns a handler with two operators and the log that it writes.
func handler() (http.Handler, *bytes.Buffer) {
	view, findings := config.LoadView("in-force", []byte(inForce))
	gomega.Expect(findings).To(gomega.BeEmpty())
	var lines bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&lines)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics 1\n") })
	operators := value.ListOf(value.Operator{}.WithName("day").WithSha256(hash("day-secret")),
		value.Operator{}.WithName("night").WithSha256(hash("night-secret")))
	return New(Options{Router: &fixed{view: view}, Key: "hoist", Operators: operators, Metrics: metrics, Log: event.NewLog(logger)}), &lines
}

// exchange sends the request that the text holds and returns the answer as text.
func exchange(h http.Handler, text string) string {
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
	// Guards against answers that scripts cannot read and against state shown without a credential.
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("answers "+c.Name, func() {
			h, _ := handler()
			gomega.Expect(exchange(h, c.Input)).To(golden.Match(c.Path))
		})
	}

	// Guards against a drained router that the load balancer still sends callers to.
	ginkgo.It("is not ready while it drains", func() {
		h, _ := handler()
		exchange(h, "POST /v1/drain HTTP/1.1\nHost: x\nAuthorization: Bearer day-secret\n\n")
		gomega.Expect(exchange(h, "GET /ready HTTP/1.1\nHost: x\n\n")).To(gomega.HavePrefix("503 "))
		gomega.Expect(exchange(h, "GET /live HTTP/1.1\nHost: x\n\n")).To(gomega.HavePrefix("200 "))
	})

	// Guards against refused credentials that nobody notices, and against secrets in logs.
	ginkgo.It("logs a refused credential without the secret", func() {
		h, lines := handler()
		exchange(h, "GET /v1/status HTTP/1.1\nHost: x\nAuthorization: Bearer mistyped\n\n")
		gomega.Expect(lines.String()).To(gomega.ContainSubstring("event=501"))
		gomega.Expect(lines.String()).NotTo(gomega.ContainSubstring("mistyped"))
	})

	// Guards against a listener without settings for operators that lets everyone in.
	ginkgo.It("refuses every credential when there are no operators", func() {
		h := New(Options{Router: &fixed{}, Metrics: http.NotFoundHandler(), Log: event.NewLog(logrus.New())})
		for _, secret := range []string{"", " ", "day-secret"} {
			gomega.Expect(exchange(h, "GET /v1/status HTTP/1.1\nHost: x\nAuthorization: Bearer "+secret+"\n\n")).To(gomega.HavePrefix("401 "))
		}
	})

	// Guards against a body that fills the memory of the router.
	ginkgo.It("refuses a snapshot over the limit", func() {
		h, _ := handler()
		body := "#" + strings.Repeat("x", maxSnapshotBytes)
		answer := exchange(h, "POST /v1/dry-run HTTP/1.1\nHost: x\nAuthorization: Bearer day-secret\n\n"+body)
		gomega.Expect(answer).To(gomega.HavePrefix("413 "))
		gomega.Expect(answer).To(gomega.ContainSubstring(`"invalid_request"`))
	})
})
