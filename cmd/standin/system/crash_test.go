package system_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cespare/xxhash/v2"

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

	// Guards against a request that crashes one server after the other because it comes with another query each time, and
	// against refusing sound requests for the same path.
	It("refuses a request that comes with another query after two crashes", func() {
		crashOn(true, func(r *http.Request) bool { return r.URL.Path == "/once/deadly" })
		last := sendAll(func(i int) result {
			return f.send(http.MethodGet, "a.example", fmt.Sprint("/once/deadly?n=", i), fmt.Sprint("c", i), "k1")
		})
		Expect(crashes()).To(Equal(maxCrashes))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.send(http.MethodGet, "a.example", "/once/sound?n=1", "s1", "k1").status).To(Equal(http.StatusOK))
	})

	// Guards against a request that makes one server after the other go silent, because no connection is refused: the servers
	// say by their start times that they have started anew.
	DescribeTable("refuses a request after two servers have gone silent with it", func(delay time.Duration) {
		starts := map[string]int64{}
		var mu sync.Mutex
		silent := 0
		enter := func(id string) {
			starts[id]++
			f.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":"llm","address":%q,"zone":"x","slots":8,"state":"ready","born":%d}`, f.hosts[id].Address(), starts[id]))
		}
		for _, id := range []string{"llm-1", "llm-2"} {
			enter(id)
			stop := func() {
				mu.Lock()
				defer mu.Unlock()
				silent++
				time.AfterFunc(delay, func() {
					mu.Lock()
					defer mu.Unlock()
					enter(id)
				})
				time.Sleep(attributionTime)
			}
			f.servers[id].Behave(origin.Behaviour{Crash: origin.Crash{Deadly: func(r *http.Request) bool { return r.URL.Path == "/stream/deadly" }, Stop: stop}})
		}
		// The instance follows the store in order, so the entries are known once a later configuration is in force.
		awaitEntries := func() {
			key := fmt.Sprint("entries-", f.version)
			f.publish(fmt.Sprintf("%q", key))
			Eventually(func() int { return f.send(http.MethodGet, "a.example", "/read/x", "p", key).status }).WithTimeout(changeTime).Should(Equal(http.StatusOK))
		}
		awaitEntries()
		var last result
		for i := range 3 * maxCrashes {
			last = f.send(http.MethodGet, "b.example", "/stream/deadly", fmt.Sprint("c", i), "k1")
			time.Sleep(delay + attributionTime)
			awaitEntries()
		}
		Expect(silent).To(BeNumerically("<=", maxCrashes))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.body).To(ContainSubstring("isolated"))
	},
		Entry("which are back before the response is lost", time.Duration(0)),
		Entry("which are back after the response is lost", 400*time.Millisecond),
	)

	const partsHeader = "Chicoryhoist-Prompt-Prefix"
	// stream sends a stream whose prompt has the shared parts and one of its own.
	stream := func(id, parts string) result {
		return f.send(http.MethodPost, "b.example", "/stream/", id, "k1", partsHeader, fmt.Sprintf("%s,%x:10", parts, xxhash.Sum64String(id)))
	}
	hasDeadlyPart := func(r *http.Request) bool { return strings.Contains(r.Header.Get(partsHeader), "dead:") }

	// Guards against requests that crash one server after the other because they share a prompt part and nothing else, at
	// whatever event they crash it, and against refusing sound requests that share the other parts.
	DescribeTable("refuses requests with a prompt part after two crashes, and serves those that share the other parts", func(events int) {
		for id, s := range f.servers {
			s.Behave(origin.Behaviour{Crash: origin.Crash{Deadly: hasDeadlyPart, AfterHeader: true, AfterEvents: events, Stop: f.hosts[id].Crash}})
		}
		last := sendAll(func(i int) result { return stream(fmt.Sprint("d", i), "f1:100,5a:50,dead:30") })
		Expect(crashes()).To(Equal(maxCrashes))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.body).To(ContainSubstring("isolated"))
		for i := range 4 {
			id := fmt.Sprint("s", i)
			Expect(stream(id, "f1:100,5a:50").body).To(Equal(fullStream(id)))
		}
	},
		Entry("after the response header", 0),
		Entry("after the first event", 1),
		Entry("after the last event", origin.EventsPerStream),
	)

	// Guards against a deadly part that is never quarantined because responses that end with their connection look complete
	// when their server crashes after an event.
	It("refuses requests with a prompt part after two crashes that look like the end of a response", func() {
		for id, s := range f.servers {
			s.Behave(origin.Behaviour{
				Unframed: true,
				Crash:    origin.Crash{Deadly: hasDeadlyPart, AfterHeader: true, AfterEvents: origin.EventsPerStream, Stop: f.hosts[id].Crash},
			})
		}
		last := sendAll(func(i int) result { return stream(fmt.Sprint("d", i), "f1:100,5a:50,dead:30") })
		Expect(crashes()).To(Equal(maxCrashes))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		for i := range 4 {
			id := fmt.Sprint("s", i)
			Expect(stream(id, "f1:100,5a:50").body).To(Equal(fullStream(id)))
			time.Sleep(attributionTime)
		}
	})

	// Guards against a request that is never kept from servers because the search for the cause of the crashes takes longer the
	// more parts its prompt has, and starts again with each complete response to another request.
	It("refuses a request whose prompt lists many parts after two crashes, beside other requests", func() {
		var parts []string
		for i := range 4000 {
			parts = append(parts, fmt.Sprintf("%x:8", 0x10000000+i))
		}
		crashOn(true, func(r *http.Request) bool { return r.URL.Path == "/stream/deadly" })
		stop := make(chan struct{})
		var others sync.WaitGroup
		for n := range 8 {
			others.Go(func() {
				defer GinkgoRecover()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
						stream(fmt.Sprint("o", n, "-", i), fmt.Sprintf("%x:10,%x:10", n*1_000_000+i, i))
					}
				}
			})
		}
		last := sendAll(func(i int) result {
			return f.send(http.MethodPost, "b.example", "/stream/deadly", fmt.Sprint("d", i), "k1", partsHeader, strings.Join(parts, ","))
		})
		close(stop)
		others.Wait()
		Expect(crashes()).To(Equal(maxCrashes))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.body).To(ContainSubstring("isolated"))
	})

	// Guards against streams that are broken off because their event IDs increase but leave numbers out, and against a stream
	// that goes on with an event that was sent before.
	DescribeTable("passes streams whose event IDs leave numbers out, and resumes them", func(host string, events int) {
		const step = 10
		for id, s := range f.servers {
			b := origin.Behaviour{IDStep: step}
			if id == "llm-1" && events > 0 {
				first := func(r *http.Request) bool { return r.Header.Get("Last-Event-Id") == "" }
				b.Crash = origin.Crash{Deadly: first, AfterHeader: true, AfterEvents: events, Stop: f.hosts[id].Crash}
			}
			s.Behave(b)
		}
		// The budget of so few requests has room for one repeat.
		for i := 0; i < 6 && crashes() == 0; i++ {
			id := fmt.Sprint("g", i)
			whole := regexp.MustCompile(`id: (\d+)`).ReplaceAllString(fullStream(id), "id: ${1}0")
			Expect(f.send(http.MethodPost, host, "/stream/x", id, "k1").body).To(Equal(whole))
		}
		Expect(crashes() > 0).To(Equal(events > 0))
	},
		Entry("without a crash", "b.example", 0),
		Entry("resumed after one event", "a.example", 1),
		Entry("resumed after several events", "a.example", 4),
	)

	// Guards against a response without a length that ends as complete because its server has crashed in the middle of it.
	DescribeTable("never ends a response as complete that ends with a crash of its server", func(method, host, path string, events int, whole func(id string) string) {
		for _, id := range []string{"llm-1", "app-1"} {
			deadly := func(r *http.Request) bool { return r.Header.Get("Last-Event-Id") == "" }
			f.servers[id].Behave(origin.Behaviour{
				Unframed: true, Crash: origin.Crash{Deadly: deadly, AfterHeader: true, AfterEvents: events, Stop: f.hosts[id].Crash},
			})
		}
		for i := range 6 {
			id := fmt.Sprint("u", i)
			if r := f.send(method, host, path, id, "k1"); !r.interrupted && r.status == http.StatusOK {
				Expect(r.body).To(Equal(whole(id)))
			}
			Eventually(running).WithTimeout(5 * time.Second).Should(BeTrue())
		}
		Expect(crashes()).To(BeNumerically(">", 0))
	},
		Entry("a stream", http.MethodPost, "b.example", "/stream/x", 4, fullStream),
		Entry("a stream that may be resumed", http.MethodPost, "a.example", "/stream/x", 4, fullStream),
		Entry("a body that may be requested again", http.MethodGet, "a.example", "/read/x", 0, origin.ResponseBody),
		Entry("a body that must not be requested again", http.MethodGet, "a.example", "/once/x", 0, origin.ResponseBody),
	)

	// Guards against sound requests that are refused because a part behind the deadly one, which they share, is quarantined
	// in its place.
	DescribeTable("serves sound requests that share the part behind the deadly one", func(before int) {
		for i := range before {
			Expect(stream(fmt.Sprint("b", i), "50:100,5a:50").status).To(Equal(http.StatusOK))
		}
		crashOn(true, hasDeadlyPart)
		sendAll(func(i int) result { return stream(fmt.Sprint("d", i), "dead:30,5a:50") })
		Expect(crashes()).To(Equal(maxCrashes))
		for i := range 4 {
			id := fmt.Sprint("s", i)
			Expect(stream(id, "50:100,5a:50").body).To(Equal(fullStream(id)))
		}
		Expect(stream("last", "dead:30,5a:50").status).To(Equal(http.StatusServiceUnavailable))
	},
		Entry("after responses to sound requests", 3),
		Entry("without any response to a sound request", 0),
	)
})
