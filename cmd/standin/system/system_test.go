// Package system_test drives whole forwarding routers against stand-ins of the users' platform.
package system_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/cmd/standin/kvsrv"
	"chicoryhoist.example/hoist/cmd/standin/origin"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/daemon"
	"chicoryhoist.example/hoist/platform"
)

func TestForwardingRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "whole path")
}

// routesFormat is a configuration as the platform's operator writes it.
const routesFormat = `{"version":%d,"routes":[
 {"name":"s","host":"a.example","prefix":"/stream/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":0,"service":"llm","max_attempts":2,"resumable":true,"sticky":true},
 {"name":"f","host":"b.example","prefix":"/stream/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":"llm","max_attempts":1},
 {"name":"o","host":"a.example","prefix":"/once/","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"app","max_attempts":2},
 {"name":"r","host":"a.example","prefix":"/read/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"app","max_attempts":2},
 {"name":"p","host":"a.example","prefix":"/open/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"app","max_attempts":2,"anonymous":true}],
 "limits":{"max_body_bytes":1000},"tenants":[{"name":"north","api_keys":["k1","k2"],"priority":1},{"name":"south","api_keys":[%s],"priority":1}]}`

// settingsFormat are those of one instance.
const settingsFormat = `name = "n%[1]d"
datacentre = "x"
region = "r"
[listen]
callers = "%[2]s"
ready = "%[3]s"
metrics = "%[4]s"
[store]
address = "%[5]s"
[peers]
address = "%[6]s"
seeds = ["%[6]s"]
[bounds]
grace_ms = 6000
revoke_ms = 1500
`

// environment is one instance with its surroundings.
type environment struct {
	store   *kvsrv.Store
	log     *origin.Log
	servers map[string]*origin.Server
	url     string
	ready   string
	stop    context.CancelFunc
	done    chan error
	closers []func()
	version int
}

// serve listens on a free port of loopback.
func (f *environment) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String()
}

// freeAddress returns a free address.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// publish writes the next configuration; south holds the keys.
func (f *environment) publish(keys string) {
	f.version++
	f.store.Put("op/config", fmt.Appendf(nil, routesFormat, f.version, keys))
}

// startEnvironment starts an instance, a store, and two servers of each service.
func startEnvironment() *environment {
	f := &environment{store: kvsrv.New(), log: &origin.Log{}, servers: map[string]*origin.Server{}, done: make(chan error, 1)}
	for _, id := range []string{"llm-1", "llm-2", "app-1", "app-2"} {
		s := origin.New(id, f.log, 5*time.Millisecond)
		f.servers[id] = s
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"x","slots":8,"state":"ready","sequence":1}`, id[:3], f.serve(s))
		f.store.Put("servers/"+id, []byte(entry))
	}
	f.publish(`"k3"`)
	callers, ready := freeAddress(), freeAddress()
	text := fmt.Sprintf(settingsFormat, 1, callers, ready, freeAddress(), f.serve(f.store.Handler()), freeAddress())
	s, findings := config.ParseForwardSettings("settings.toml", []byte(text))
	Expect(findings).To(BeEmpty())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p, err := daemon.New(daemon.Options{Settings: s, Logger: logger, Source: platform.NewStore(s.Store().Address()), Dialect: platform.Dialect()})
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	f.url, f.ready, f.stop = "http://"+callers, "http://"+ready, stop
	go func() { f.done <- p.Run(ctx) }()
	Eventually(f.isReady).WithTimeout(10 * time.Second).Should(BeTrue())
	return f
}

// isReady asks for the readiness.
func (f *environment) isReady() bool {
	r, err := http.Get(f.ready)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// close stops everything.
func (f *environment) close() {
	f.stop()
	for _, c := range f.closers {
		c()
	}
}

// result is the answer to one request.
type result struct {
	status int
	body   string
	header http.Header
	broken bool
}

// send sends one request; more holds further headers as name and value in turn.
func (f *environment) send(method, host, path, id, key string, more ...string) result {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	r, err := http.NewRequest(method, f.url+path, body)
	Expect(err).NotTo(HaveOccurred())
	r.Host = host
	r.Header.Set("Chicoryhoist-Request-Id", id)
	r.Header.Set("Chicoryhoist-Deadline-Ms", "5000")
	if key != "" {
		r.Header.Set("Chicoryhoist-Key", key)
	}
	for i := 0; i+1 < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, string(b), resp.Header, err != nil}
}

// fullStream returns the stream that answers a request.
func fullStream(id string) string {
	var b strings.Builder
	for n := range origin.EventsPerStream {
		b.WriteString(origin.StreamEvent(id, n+1))
	}
	return b.String()
}

var _ = Describe("a forwarding router", func() {
	var f *environment
	BeforeEach(func() { f = startEnvironment() })
	AfterEach(func() { f.close() })

	// Guards against an answer that is changed on the way, and a key or a forged header that reaches a server.
	It("passes requests and answers on", func() {
		r := f.send("POST", "a.example", "/once/x", "1", "k1", "Chicoryhoist-Tenant", "forged", "Chicoryhoist-Expect-Instance", "forged")
		Expect(r.status).To(Equal(200))
		Expect(r.body).To(Equal(origin.ResponseBody("1")))
		Expect(r.header.Get("Chicoryhoist-Response-Seal")).NotTo(BeEmpty())
		run := f.log.Runs("1")
		Expect(run).To(HaveLen(1))
		Expect(run[0].Key).To(BeEmpty())
		Expect(run[0].Workspace).To(Equal("north"))
		Expect(f.send("POST", "a.example", "/stream/x", "2", "k3").body).To(Equal(fullStream("2")))
	})

	// Guards against requests without a route or key that reach a server, and bodies over the bound.
	It("refuses what the configuration does not allow", func() {
		Expect(f.send("GET", "a.example", "/none/", "1", "k1").status).To(Equal(404))
		Expect(f.send("GET", "a.example", "/read/", "2", "wrong").status).To(Equal(401))
		Expect(f.send("GET", "a.example", "/open/", "3", "").status).To(Equal(200))
		r, err := http.NewRequest("POST", f.url+"/once/", strings.NewReader(strings.Repeat("x", 2000)))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "a.example"
		resp, err := http.DefaultTransport.RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(413))
		Expect(f.log.Runs("")).To(HaveLen(1))
	})

	// Guards against a stream that is doubled, torn or joined from two runs.
	It("resumes a stream that may be resumed and breaks the others off", func() {
		f.servers["llm-1"].Fail(origin.Truncate, 1)
		f.servers["llm-2"].Fail(origin.Truncate, 1)
		resumed, interrupted := 0, 0
		for i := range 4 {
			id := fmt.Sprint("s", i)
			r := f.send("POST", []string{"a.example", "b.example"}[i%2], "/stream/x", id, "k1")
			switch {
			case r.broken:
				interrupted++
				Expect(fullStream(id)).To(HavePrefix(r.body))
			default:
				Expect(r.body).To(Equal(fullStream(id)))
			}
			if len(f.log.Runs(id)) > 1 {
				resumed++
			}
		}
		Expect(resumed + interrupted).To(BeNumerically(">=", 1))
	})

	// Guards against a request that runs twice, or one that is said not to have run though it may have.
	It("never repeats a request that may have run once", func() {
		for i, x := range []struct {
			fault  origin.Fault
			status int
		}{{origin.Reset, 502}, {origin.Unsealed, 502}, {origin.Error, 500}, {origin.Refuse, 200}} {
			for _, s := range []string{"app-1", "app-2"} {
				f.servers[s].Fail(x.fault, 1)
			}
			id := fmt.Sprint("o", i)
			r := f.send("POST", "a.example", "/once/x", id, "k1")
			if x.fault != origin.Refuse {
				Expect(r.status).To(Equal(x.status), id)
			}
			Expect(len(f.log.Runs(id))).To(BeNumerically("<=", 1), id)
			f.servers["app-1"].Fail(origin.None, 0)
			f.servers["app-2"].Fail(origin.None, 0)
		}
	})

	// Guards against an idempotent request that is given up although another server could answer it.
	It("repeats an idempotent request at another server", func() {
		f.servers["app-1"].Fail(origin.Reset, 1)
		f.servers["app-2"].Fail(origin.None, 0)
		for i := range 4 {
			id := fmt.Sprint("r", i)
			Expect(f.send("GET", "a.example", "/read/x", id, "k1").body).To(Equal(origin.ResponseBody(id)))
		}
	})

	// Guards against a withdrawn key that is still served, also while the store cannot say whether it was withdrawn.
	It("refuses withdrawn keys, and every key when the store is away for too long", func() {
		f.publish(`"k4"`)
		Eventually(func() int { return f.send("GET", "a.example", "/read/x", "1", "k3").status }).WithTimeout(5 * time.Second).Should(Equal(401))
		Expect(f.send("GET", "a.example", "/read/x", "2", "k4").status).To(Equal(200))
		f.store.SetMode(kvsrv.Unresponsive)
		Eventually(func() int { return f.send("GET", "a.example", "/read/x", "3", "k1").status }).WithTimeout(10 * time.Second).Should(Equal(503))
		Expect(f.isReady()).To(BeFalse())
		Expect(f.send("GET", "a.example", "/open/x", "4", "").status).To(Equal(200))
		f.store.SetMode(kvsrv.Serving)
		Eventually(func() int { return f.send("GET", "a.example", "/read/x", "5", "k1").status }).WithTimeout(10 * time.Second).Should(Equal(200))
	})

	// Guards against a view that stays behind after the store has dropped its history, and servers that are missed on a second page.
	It("lists again after the history is gone", func() {
		f.store.Compact()
		f.publish(`"k5"`)
		Eventually(func() int { return f.send("GET", "a.example", "/read/x", "1", "k5").status }).WithTimeout(5 * time.Second).Should(Equal(200))
	})

	// Guards against work for a server whose entry says that it is leaving.
	It("sends nothing to a server that is leaving", func() {
		f.store.Put("servers/app-1", []byte(`{"service":"app","address":"127.0.0.1:1","zone":"x","slots":8,"state":"draining"}`))
		f.store.Put("servers/app-2", []byte(`not an entry`))
		Eventually(func() int { return f.send("GET", "a.example", "/read/x", "1", "k1").status }).WithTimeout(5 * time.Second).Should(Equal(503))
		before := len(f.log.Runs(""))
		r := f.send("POST", "a.example", "/once/x", "2", "k1")
		Expect(r.status).To(Equal(503))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.log.Runs("")).To(HaveLen(before))
	})

	// Guards against refusals of short requests late in a planned stop, and against long ones that it would cut off.
	It("takes late in a stop only what surely ends in time", func() {
		f.servers["llm-1"].Fail(origin.Hang, 1)
		f.servers["llm-2"].Fail(origin.Hang, 1)
		go func() {
			defer GinkgoRecover()
			f.send("POST", "b.example", "/stream/x", "held", "k1", "Chicoryhoist-Deadline-Ms", "8000")
		}()
		Eventually(func() int { return len(f.log.Runs("held")) }).Should(Equal(1))
		f.servers["llm-1"].Fail(origin.None, 0)
		f.servers["llm-2"].Fail(origin.None, 0)
		f.stop()
		Eventually(func() int { return f.send("POST", "a.example", "/stream/x", "long", "k1").status }).
			WithTimeout(5 * time.Second).WithPolling(200 * time.Millisecond).Should(Equal(503))
		Expect(f.send("GET", "a.example", "/read/x", "short", "k1", "Chicoryhoist-Deadline-Ms", "300").status).To(Equal(200))
	})

	// Guards against requests that a planned stop cuts off.
	It("finishes what runs and what still arrives when it is stopped", func() {
		var group sync.WaitGroup
		results := make([]result, 8)
		for i := range results {
			group.Add(1)
			go func() {
				defer GinkgoRecover()
				defer group.Done()
				results[i] = f.send("POST", "a.example", "/stream/x", fmt.Sprint("d", i), "k1")
			}()
		}
		Eventually(func() int { return len(f.log.Runs("")) }).Should(BeNumerically(">=", 1))
		f.stop()
		group.Wait()
		for i, r := range results {
			Expect(r.body).To(Equal(fullStream(fmt.Sprint("d", i))))
		}
		Expect(f.isReady()).To(BeFalse())
		r := f.send("POST", "a.example", "/once/x", "late", "k1")
		Expect(r.status).To(Equal(200))
		Eventually(f.done).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
})
