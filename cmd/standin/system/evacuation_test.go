package system_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/cmd/standin/kvsrv"
	"chicoryhoist.example/hoist/cmd/standin/origin"
)

// evacuatedMetric matches the number of requests that run in evacuated data centres.
var evacuatedMetric = regexp.MustCompile(`(?m)^hoist_forward_evacuated (\d+)$`)

// evacuated returns the number of requests of the instance that run in evacuated data centres, as its metrics show it.
func (f *environment) evacuated() string {
	r, err := http.Get(f.metrics)
	if err != nil {
		return ""
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	if m := evacuatedMetric.FindSubmatch(b); m != nil {
		return string(m[1])
	}
	return ""
}

// addSlowServer starts an engine whose streams last for seconds and enters it in the data centre.
func (f *environment) addSlowServer(id, datacentre string) {
	s := origin.New(id, f.log, 300*time.Millisecond)
	f.servers[id], f.hosts[id] = s, f.host(s)
	f.enterAt(id, "ready", datacentre)
}

// servedBy returns the server that answers a request, or the status if none does.
func (f *environment) servedBy(method, path, id string) string {
	r := f.send(method, "a.example", path, id, "k1")
	if r.status != http.StatusOK {
		return fmt.Sprint(r.status)
	}
	return r.header.Get("Chicoryhoist-Response-Seal")
}

// startLongStream takes all engines but the slow one out of the store and starts a stream there, which has the fault.
func (f *environment) startLongStream(id string, fault origin.Fault) <-chan result {
	f.store.Remove("servers/llm-1")
	f.store.Remove("servers/llm-2")
	Eventually(func() string { return f.servedBy(http.MethodGet, "/stream/x", "first") }).WithTimeout(20 * time.Second).Should(Equal("llm-3"))
	f.servers["llm-3"].Fail(fault, 1)
	ended := make(chan result, 1)
	go func() {
		defer GinkgoRecover()
		ended <- f.send(http.MethodPost, "a.example", "/stream/x", id, "k1", "Chicoryhoist-Deadline-Ms", "8000")
	}()
	Eventually(func() int { return len(f.log.Runs(id)) }).Should(Equal(1))
	return ended
}

var _ = Describe("a forwarding router while a data centre is evacuated", func() {
	var f *environment
	BeforeEach(func() { f = startEnvironment() })
	AfterEach(func() { f.close() })

	// Guards against requests that reach an evacuated data centre, against a request there that does not end in its own time
	// or is not counted, and against servers that stay unused after the end of the evacuation.
	It("uses other servers and lets the requests there end", func() {
		f.addSlowServer("llm-3", "x")
		ended := f.startLongStream("long", origin.None)
		f.enterAt("llm-1", "ready", "x")
		f.enterAt("llm-2", "ready", "y")
		f.store.Put("op/evacuate/x", []byte("{}"))
		Eventually(f.evacuated).WithPolling(20 * time.Millisecond).Should(Equal("1"))
		for i := range 30 {
			Expect(f.servedBy(http.MethodPost, "/stream/x", fmt.Sprint("other", i))).To(Equal("llm-2"))
		}
		var r result
		Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(&r))
		Expect(r.body).To(Equal(fullStream("long")))
		Eventually(f.evacuated).Should(Equal("0"))
		f.store.Remove("servers/llm-2")
		f.store.Remove("op/evacuate/x")
		Eventually(func() string { return f.servedBy(http.MethodPost, "/stream/x", "back") }).WithTimeout(20 * time.Second).Should(BeElementOf("llm-1", "llm-3"))
	})

	// Guards against a stream that breaks in an evacuated data centre and is resumed at another server there.
	It("resumes a stream elsewhere", func() {
		f.addSlowServer("llm-3", "x")
		ended := f.startLongStream("broken", origin.Truncate)
		f.enterAt("llm-1", "ready", "x")
		f.enterAt("llm-2", "ready", "y")
		f.store.Put("op/evacuate/x", []byte("{}"))
		Eventually(f.evacuated).WithPolling(20 * time.Millisecond).Should(Equal("1"))
		before := f.servers["llm-1"].Arrivals()
		var r result
		Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(&r))
		Expect(r.body).To(Equal(fullStream("broken")))
		Expect(f.servers["llm-1"].Arrivals()).To(Equal(before))
	})

	// Guards against an evacuated data centre that is reopened because the store does not respond, returns without its
	// history, or the instance gets no updates.
	It("keeps it closed while the store is away and when it returns", func() {
		f.enterAt("app-2", "ready", "y")
		f.store.Put("op/evacuate/x", []byte("{}"))
		served := func() string { return f.servedByAnyone("closed") }
		Eventually(func() int { return f.countServedBy("app-1", 20) }).WithTimeout(20 * time.Second).Should(BeZero())
		f.store.SetMode(kvsrv.Refusing)
		Eventually(func() string { return f.servedBy(http.MethodGet, "/read/x", "keyed") }).WithTimeout(20 * time.Second).Should(Equal("503"))
		for range 20 {
			Expect(served()).To(Equal("app-2"))
		}
		f.store.Compact()
		f.store.SetMode(kvsrv.Serving)
		Eventually(func() string { return f.servedBy(http.MethodGet, "/read/x", "keyed") }).WithTimeout(20 * time.Second).Should(Equal("app-2"))
		for range 20 {
			Expect(served()).To(Equal("app-2"))
		}
	})

	// Guards against requests that run although every data centre is evacuated, against an answer that does not say so, and
	// against an instance that serves nothing afterwards.
	It("refuses requests as not run if all data centres are evacuated", func() {
		f.enterAt("app-2", "ready", "y")
		f.store.Put("op/evacuate/y", []byte("{}"))
		f.store.Put("op/evacuate/x", []byte("{}"))
		Eventually(func() string { return f.servedBy(http.MethodPost, "/once/x", "probe") }).WithTimeout(20 * time.Second).Should(Equal("503"))
		r := f.send(http.MethodPost, "a.example", "/once/x", "none", "k1")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.body).To(ContainSubstring("excluded"))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.log.Runs("none")).To(BeEmpty())
		f.store.Remove("op/evacuate/y")
		Eventually(func() string { return f.servedBy(http.MethodPost, "/once/x", "again") }).WithTimeout(20 * time.Second).Should(Equal("app-2"))
	})
})

// servedByAnyone returns the server that answers a request without a key.
func (f *environment) servedByAnyone(id string) string {
	return f.send(http.MethodGet, "a.example", "/open/x", id, "").header.Get("Chicoryhoist-Response-Seal")
}

// countServedBy sends n requests without a key and returns the number of those that the server answers.
func (f *environment) countServedBy(server string, n int) int {
	count := 0
	for i := range n {
		if f.servedByAnyone(fmt.Sprint("count", i)) == server {
			count++
		}
	}
	return count
}

// Guards against an instance that starts during an evacuation and uses the data centre until it learns of it.
var _ = Describe("a forwarding router that starts while a data centre is evacuated", func() {
	It("never sends a request there", func() {
		f := newEnvironment(func(s *kvsrv.Store) { s.Put("op/evacuate/x", []byte("{}")) })
		defer f.close()
		Eventually(f.isReady).WithTimeout(10 * time.Second).Should(BeTrue())
		for i := range 20 {
			Expect(f.servedBy(http.MethodGet, "/read/x", fmt.Sprint("early", i))).To(Equal("503"))
		}
		Expect(f.log.Runs("")).To(BeEmpty())
		f.addServer("app-3")
		f.enterAt("app-3", "ready", "y")
		Eventually(func() string { return f.servedBy(http.MethodGet, "/read/x", "late") }).WithTimeout(20 * time.Second).Should(Equal("app-3"))
		Expect(f.log.Runs("")).To(HaveLen(1))
	})
})
