package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/admin"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/value"
)

func TestHoistctl(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "hoistctl")
}

// brokenWriter fails every write, as a closed pipe or a full disk does.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against a script that takes output which could not be written for wrong use of the command.
var _ = ginkgo.It("has the exit code of a file if its output cannot be written", func() {
	dir := ginkgo.GinkgoT().TempDir()
	file := dir + "/settings.toml"
	gomega.Expect(os.WriteFile(file, []byte("name = \"r\"\n"), 0o600)).To(gomega.Succeed())
	var errors bytes.Buffer
	c := console{strings.NewReader(""), brokenWriter{}, &errors}
	gomega.Expect(run([]string{"check", file, "--settings"}, c)).To(gomega.Equal(exitFile), errors.String())
})

// nightSecretHash is the SHA-256 hash of "night-secret".
const nightSecretHash = "b6e8787d68fbdc6cd56bd7254a004ba873a9c40270b2fb08f02daff18a7beca3"

// fixedRouter is a router with constant state.
type fixedRouter struct{ view *config.View }

func (f fixedRouter) View() *config.View { return f.view }
func (f fixedRouter) Ready() bool        { return true }
func (f fixedRouter) Drain()             {}

func (f fixedRouter) Status() value.RouterStatus {
	return value.RouterStatus{}.WithName("router-1").WithPhase(value.PhaseDraining).WithGeneration(4).WithRequests(2)
}

func (f fixedRouter) Instances() value.InstanceReport {
	return value.InstanceReport{}.WithInstances(value.ListOf(
		value.InstanceRow{}.WithName("router-1").WithKind("router").WithState("live").WithGeneration(4),
		value.InstanceRow{}.WithName("engine-12").WithKind("engine").WithState("leaving")))
}

func (f fixedRouter) Servers() value.ServerReport {
	return value.ServerReport{}.WithServers(value.ListOf(
		value.ServerRow{}.WithName("engine-12").WithPool("chat").WithState("probation").WithReason("slow first tokens")))
}

func (f fixedRouter) Queues() value.QueueReport {
	return value.QueueReport{}.WithQueues(value.ListOf(value.QueueRow{}.WithShard("chat/0").WithRank(1).WithClass("guidance")))
}

func (f fixedRouter) Quarantines() value.QuarantineReport {
	row := value.QuarantineRow{}.WithFingerprint("00000000000000ff").WithCrashes(2).WithRemainingMs(1500)
	return value.QuarantineReport{}.WithQuarantines(value.ListOf(row))
}

func (f fixedRouter) Request(id string) (value.RequestRecord, bool) {
	steps := value.ListOf(value.RequestStep{}.WithStep("asked"), value.RequestStep{}.WithAtMs(3).WithAttempt(1).WithStep("refused").WithReason("late"))
	return value.RequestRecord{}.WithRequest(id).WithClass("guidance").WithOutcome("not-run").WithSteps(steps), id == "1a-2-1"
}

// routerAddress matches the address of the test router, whose port changes.
var routerAddress = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)

var _ = ginkgo.Describe("hoistctl", func() {
	var router *httptest.Server

	ginkgo.BeforeEach(func() {
		content, err := os.ReadFile("testdata/old.toml")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		view, findings := config.LoadView("old.toml", content)
		gomega.Expect(findings).To(gomega.BeEmpty())
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		operator := value.Operator{}.WithName("night").WithSha256(nightSecretHash)
		router = httptest.NewServer(admin.New(admin.Options{
			Router: fixedRouter{view}, Key: "hoist", Operators: value.ListOf(operator),
			Metrics: http.NotFoundHandler(), Log: event.NewLog(logger),
		}))
		ginkgo.DeferCleanup(router.Close)
		ginkgo.GinkgoT().Setenv("HOISTCTL_ROUTER", router.URL)
		ginkgo.GinkgoT().Setenv("HOISTCTL_SECRET", "night-secret")
	})

	// Guards against changes of the output or the exit codes, which scripts rely on. The first line of each input is the command line.
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("runs "+c.Name, func() {
			line, input, _ := strings.Cut(c.Input, "\n")
			folder := ginkgo.GinkgoT().TempDir()
			args := strings.Fields(strings.ReplaceAll(line, "FOLDER", folder))
			var out, errors bytes.Buffer
			code := run(args, console{strings.NewReader(input), &out, &errors})
			text := fmt.Sprintf("exit %d\n%s--- errors\n%s", code, out.String(), errors.String())
			gomega.Expect(routerAddress.ReplaceAllString(text, "ROUTER")).To(golden.Match(c.Path))
		})
	}

	// Guards against a bundle that routers reject.
	ginkgo.It("writes a bundle that parses", func() {
		folder := ginkgo.GinkgoT().TempDir()
		gomega.Expect(run([]string{"bundle", "--output", folder, "testdata/new.toml"}, console{nil, io.Discard, io.Discard})).To(gomega.Equal(exitOK))
		content, err := os.ReadFile(folder + "/hoist.toml")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, findings := config.ParseSnapshot("hoist.toml", content)
		gomega.Expect(findings).To(gomega.BeEmpty())
	})

	// Guards against a new secret with a wrong hash, with which nobody could authenticate.
	ginkgo.It("prints the hash of a new secret", func() {
		var made, hashed bytes.Buffer
		gomega.Expect(run([]string{"secret", "--new"}, console{nil, &made, io.Discard})).To(gomega.Equal(exitOK))
		secret, sum, _ := strings.Cut(made.String(), "\n")
		gomega.Expect(run([]string{"secret"}, console{strings.NewReader(secret), &hashed, io.Discard})).To(gomega.Equal(exitOK))
		gomega.Expect(hashed.String()).To(gomega.Equal(sum))
	})
})
