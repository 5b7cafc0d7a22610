package system_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/cmd/standin/origin"
)

// attributionTime is longer than the check for a crash after a lost response takes on loopback.
const attributionTime = 100 * time.Millisecond

// maxCrashes is the number of servers that one request may crash before its content is quarantined.
const maxCrashes = 2

var _ = Describe("a forwarding router before servers that a request crashes", func() {
	var f *environment
	BeforeEach(func() { f = startEnvironment() })
	AfterEach(func() { f.close() })

	// running reports whether all servers accept connections.
	running := func() bool {
		for _, h := range f.hosts {
			if !h.Running() {
				return false
			}
		}
		return true
	}
	// crashes returns the number of crashes of all servers.
	crashes := func() int {
		n := 0
		for _, h := range f.hosts {
			n += h.Crashes()
		}
		return n
	}

	// crashOn makes the servers crash after the response header of the requests that deadly selects, or before it.
	crashOn := func(afterHeader bool, deadly func(*http.Request) bool) {
		for id, s := range f.servers {
			s.Behave(origin.Behaviour{Crash: origin.Crash{Deadly: deadly, AfterHeader: afterHeader, Stop: f.hosts[id].Crash}})
		}
	}
	// sendAll sends the requests one after the other, once the servers have restarted, and returns the last result. The
	// first maxCrashes requests do not wait, because they find a server that has not crashed.
	sendAll := func(send func(i int) result) result {
		var last result
		for i := range 3 * maxCrashes {
			if i >= maxCrashes {
				Eventually(running).WithTimeout(5 * time.Second).Should(BeTrue())
			}
			last = send(i)
			// The crash is attributed after the response has failed.
			time.Sleep(attributionTime)
		}
		return last
	}

	// Guards against a request that crashes one server after the other because its crashes are not attributed to it when the
	// response ends between its header and its first byte.
	DescribeTable("refuses the request after two crashes", func(host, path string, afterHeader bool) {
		crashOn(afterHeader, func(r *http.Request) bool { return r.URL.Path == path })
		last := sendAll(func(i int) result { return f.send(http.MethodGet, host, path, fmt.Sprint("c", i), "k1") })
		Expect(crashes()).To(Equal(maxCrashes))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.body).To(ContainSubstring("isolated"))
	},
		Entry("a stream, before the response", "b.example", "/stream/deadly", false),
		Entry("a stream, after the response header", "b.example", "/stream/deadly", true),
		Entry("a plain request, before the response", "a.example", "/once/deadly", false),
		Entry("a plain request, after the response header", "a.example", "/once/deadly", true),
	)

	// Guards against requests that crash one server after the other because they share a prompt part and nothing else, and
	// against refusing sound requests that share the other parts.
	It("refuses requests with a prompt part after two crashes, and serves those that share the other parts", func() {
		const partsHeader = "Chicoryhoist-Prompt-Prefix"
		crashOn(true, func(r *http.Request) bool { return strings.Contains(r.Header.Get(partsHeader), "dead:") })
		last := sendAll(func(i int) result {
			return f.send(http.MethodPost, "b.example", "/stream/", fmt.Sprint("d", i), "k1", partsHeader, fmt.Sprintf("f1:100,5a:50,dead:30,%x:10", 1000+i))
		})
		Expect(crashes()).To(Equal(maxCrashes))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.body).To(ContainSubstring("isolated"))
		for i := range 4 {
			id := fmt.Sprint("s", i)
			Expect(f.send(http.MethodPost, "b.example", "/stream/", id, "k1", partsHeader, fmt.Sprintf("f1:100,5a:50,%x:10", 2000+i)).body).To(Equal(fullStream(id)))
		}
	})
})
