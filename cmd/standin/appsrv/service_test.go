package appsrv_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/appsrv"
	"chicoryhoist.example/hoist/cmd/standin/host"
)

func TestAppServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "appsrv")
}

// Guards against repeated runs that stay undetected, which occurs when the service doesn't count every run of a call.
var _ = It("counts the runs of each call", func() {
	clock := hoist.NewSystemClock()
	s := httptest.NewServer(appsrv.New(0, clock, host.New("127.0.0.1:0", clock)).Handler())
	DeferCleanup(s.Close)
	get := func(path string) string {
		r, err := http.Get(s.URL + path)
		Expect(err).NotTo(HaveOccurred())
		b, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(b)
	}
	Expect(get("/visits?call=7")).To(Equal(appsrv.ResponseBody("GET", "/visits", "7")))
	get("/visits?call=7")
	get("/visits?call=8")
	Expect(get("/executions")).To(Equal(`{"executions":[{"call":"7","runs":2},{"call":"8","runs":1}]}`))
})
