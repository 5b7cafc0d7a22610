package system_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/cmd/standin/origin"
)

// maxCrashes is the number of servers that one request may crash before its content is quarantined.
const maxCrashes = 2

var _ = Describe("a forwarding router before servers that a request crashes", func() {
	var f *environment
	BeforeEach(func() { f = startEnvironment() })
	AfterEach(func() { f.close() })

	// running reports whether all servers accept connections.
	running := func() bool {
		for _, h := range f.hosts {
			if !h.running() {
				return false
			}
		}
		return true
	}
	// crashes returns the number of crashes of all servers.
	crashes := func() int {
		n := 0
		for _, h := range f.hosts {
			n += h.crashCount()
		}
		return n
	}

	// Guards against a request that crashes one server after the other because its crashes are not attributed to it when the
	// response ends between its header and its first byte.
	DescribeTable("refuses the request after two crashes", func(host, path string, afterHeader bool) {
		for id, s := range f.servers {
			s.CrashOn(origin.Crash{
				Deadly:      func(r *http.Request) bool { return r.URL.Path == path },
				AfterHeader: afterHeader, Stop: f.hosts[id].crash,
			})
		}
		var last result
		for i := range 3 * maxCrashes {
			// The first requests find a server that has not crashed.
			if i >= maxCrashes {
				Eventually(running).WithTimeout(5 * time.Second).Should(BeTrue())
			}
			last = f.send(http.MethodGet, host, path, fmt.Sprint("c", i), "k1")
			// The crash is attributed after the response has failed.
			time.Sleep(crashTime / 8)
		}
		Expect(crashes()).To(Equal(maxCrashes))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.body).To(ContainSubstring("isolated"))
	},
		Entry("a stream, before the response", "b.example", "/stream/deadly", false),
		Entry("a stream, after the response header", "b.example", "/stream/deadly", true),
		Entry("a plain request, before the response", "a.example", "/once/deadly", false),
		Entry("a plain request, after the response header", "a.example", "/once/deadly", true),
	)
})
