package hostile_test

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"chicoryhoist.example/hoist/cmd/standin/hostile"
	"chicoryhoist.example/hoist/cmd/standin/kvsrv"
	"chicoryhoist.example/hoist/cmd/standin/origin"
)

func TestHostileCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostile callers")
}

const (
	// memoryMib and descriptors are the resources that the settings state, and thereby the bounds of the tests: the memory is
	// that of the smallest instances, the number of descriptors is lowered so that a small crowd exceeds it.
	memoryMib   = 112
	descriptors = 512
	// manyDescriptors is the number of descriptors of the smallest instances, and manyCallers a crowd that it has room for.
	manyDescriptors = 4100
	manyCallers     = 800
	// ordinaryCallers is the number of callers inside the limits beside a crowd.
	ordinaryCallers = 100
	// headerBytes and bodyBytes are the limits of the configuration for a header and a body.
	headerBytes = 16 << 10
	bodyBytes   = 4 << 20
	// callers is the number of hostile callers that send bodies, and idleCallers of those that send nothing.
	callers     = 64
	idleCallers = 700
	// longBytes is the size of a response that its caller does not read; it exceeds the buffers of the sockets.
	longBytes = 16 << 20
	// eventual bounds the wait for a state that the router reaches in its own time.
	eventual = 20 * time.Second
)

// routes is the configuration of the platform.
const routes = `{"version":1,"routes":[
 {"name":"r","host":"a.example","prefix":"/read/","route_type":"idempotent","timeout_ms":5000,"target_latency_ms":200,"service":"app","max_attempts":2},
 {"name":"o","host":"a.example","prefix":"/open/","route_type":"idempotent","timeout_ms":5000,"target_latency_ms":200,"service":"app","max_attempts":2,"anonymous":true}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"north","api_keys":["k1"]}]}`

// settingsFormat is the format of the settings of the router.
const settingsFormat = `name = "%[9]s"
datacentre = "x"
region = "r"
[listen]
callers = "%[1]s"
ready = "%[2]s"
metrics = "%[3]s"
[store]
address = "%[4]s"
[peers]
address = "%[5]s"
seeds = ["%[8]s"]
[resources]
memory_mib = %[6]d
descriptors = %[7]d
[bounds]
grace_s = 4
`

// routerFile is the program of the router.
var routerFile string

var _ = BeforeSuite(func() {
	routerFile = filepath.Join(GinkgoT().TempDir(), "chicoryhoist")
	out, err := exec.Command("go", "build", "-o", routerFile, "chicoryhoist.example/hoist/cmd/chicoryhoist").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// instance is a router process with its store and one server.
type instance struct {
	command *exec.Cmd
	address string
	ready   string
	// path is the path of ordinary requests, or empty for that of a forwarding router.
	path  string
	ended chan error
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startHost serves the handler until the end of the test.
func startHost(handler http.Handler) *origin.Host {
	h, err := origin.StartHost(handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(h.Close)
	return h
}

// longResponses serves responses of longBytes below /read/long and passes other requests to the handler.
func longResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/read/long" {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Chicoryhoist-Request-Id", r.Header.Get("Chicoryhoist-Request-Id"))
		w.Header().Set("Chicoryhoist-Response-Seal", "s")
		block := make([]byte, 64<<10)
		for range longBytes / len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
}

// start starts a store, a server and a router, and waits until the router is ready.
func start() *instance { return startWith(descriptors) }

// startWith is start with a number of descriptors.
func startWith(descriptors int) *instance {
	_, instances := startFleet(1, descriptors)
	return instances[0]
}

// startFleet starts a store, a server and n routers, and waits until they are ready.
func startFleet(n, descriptors int) (*kvsrv.Store, []*instance) {
	store := kvsrv.New()
	server := startHost(longResponses(origin.New("app-1", &origin.Log{}, time.Millisecond)))
	store.Put("servers/app-1", fmt.Appendf(nil, `{"service":"app","address":%q,"zone":"x","slots":8,"state":"ready","sequence":1}`, server.Address()))
	store.Put("op/config", []byte(routes))
	address, seed := startHost(store.Handler()).Address(), ""
	var instances []*instance
	for k := range n {
		a := lo.Times(4, func(int) string { return freeAddress() })
		if k == 0 {
			seed = a[3]
		}
		file := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		text := fmt.Sprintf(settingsFormat, a[0], a[1], a[2], address, a[3], memoryMib, descriptors, seed, fmt.Sprint("n", k+1))
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		i := &instance{command: exec.Command(routerFile, "forward", "--settings", file), address: a[0], ready: a[1], ended: make(chan error, 1)}
		i.command.Stderr = GinkgoWriter
		Expect(i.command.Start()).To(Succeed())
		go func() { i.ended <- i.command.Wait() }()
		DeferCleanup(func() { _ = i.command.Process.Kill() })
		instances = append(instances, i)
	}
	for _, i := range instances {
		Eventually(i.readyStatus).WithTimeout(eventual).Should(Equal(http.StatusOK))
	}
	return store, instances
}

// readyStatus returns the status of the readiness check, or zero without a response.
func (i *instance) readyStatus() int {
	r, err := http.Get("http://" + i.ready)
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode
}

// status returns a field of the process's status in kibibytes.
func (i *instance) status(field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			Expect(err).NotTo(HaveOccurred())
			return n
		}
	}
	Fail("the process has no field " + field)
	return 0
}

// openDescriptors returns the number of open descriptors.
func (i *instance) openDescriptors() int {
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	return len(l)
}

// request sends a request with a body of the size within the limits and returns the status, or zero without a response.
func (i *instance) request(size int) int { return i.requestFor(cmp.Or(i.path, "/read/x"), size) }

// requestFor is request for a path.
func (i *instance) requestFor(path string, size int) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.address+path, bytes.NewReader(make([]byte, size)))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "a.example"
	r.Header.Set("Chicoryhoist-Key", "k1")
	r.Header.Set("Authorization", "Bearer "+hostile.Secret)
	r.Header.Set("Chicoryhoist-Request-Id", "ordinary")
	r.Close = true
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}
	resp, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// check checks that the process lives within its resources and answers one ordinary request.
func (i *instance) check() {
	GinkgoHelper()
	i.checkWith(descriptors)
}

// checkWith is check with a number of descriptors.
func (i *instance) checkWith(descriptors int) {
	GinkgoHelper()
	answered := 0
	for end := time.Now().Add(eventual); answered != http.StatusOK && time.Now().Before(end); {
		answered = i.request(1 << 10)
	}
	// Connections are accepted in order, so those of the crowd have been accepted before that of the request.
	open, peak := i.openDescriptors(), i.status("VmHWM")
	AddReportEntry("figures", fmt.Sprintf("peak memory %d kB, descriptors %d, status %d", peak, open, answered))
	Expect(i.ended).NotTo(Receive())
	Expect(answered).To(Equal(http.StatusOK), "an ordinary request")
	Expect(open).To(BeNumerically("<=", descriptors), "open descriptors")
	Expect(peak).To(BeNumerically("<=", memoryMib<<10), "peak resident memory in kB")
}

// crowd returns n times the behaviour.
func crowd(n int, b hostile.Behaviour) []hostile.Behaviour {
	return lo.Times(n, func(int) hostile.Behaviour { return b })
}

// unfinished is a body that stops just short of the limit.
var unfinished = hostile.Unfinished{Bytes: bodyBytes - 64<<10}

var _ = Describe("a forwarding router with hostile callers", Serial, func() {
	// Guards against a process that runs out of memory or descriptors, or answers nobody else, because it holds what callers
	// send or announce without a common bound.
	DescribeTable("stays within its resources", func(b []hostile.Behaviour) {
		i := start()
		c := hostile.Start(i.address, b...)
		defer c.Close()
		i.check()
	},
		Entry("bodies that stop short of their end", crowd(callers, unfinished)),
		Entry("chunks of one byte", crowd(callers, hostile.SmallChunks{Bytes: 512 << 10})),
		Entry("chunked bodies far over the limit", crowd(callers, hostile.Unfinished{Bytes: 16 << 20})),
		Entry("announced bodies far over the limit", crowd(callers, hostile.Oversized{Bytes: 16 << 20})),
		Entry("announced bodies that do not arrive", crowd(callers, hostile.Withheld{Announced: bodyBytes, Sent: 1 << 10})),
		Entry("a mixture of them", append(append(append(crowd(callers/3, unfinished),
			crowd(callers/3, hostile.Unfinished{Bytes: 16 << 20})...),
			crowd(callers/3, hostile.Withheld{Announced: bodyBytes, Sent: 3 << 20})...),
			crowd(callers/3, hostile.SmallChunks{Bytes: 64 << 10})...)),
		Entry("responses that are not read", crowd(callers, hostile.Unread{Path: "/read/long"})),
		Entry("many idle connections", crowd(idleCallers, hostile.Idle{})),
	)

	// Guards against headers inside their limit that hold many times their bytes, in as many connections as there may be.
	It("stays within its memory with headers of short fields", func() {
		i := startWith(manyDescriptors)
		c := hostile.Start(i.address, crowd(manyCallers, hostile.ShortFields{Bytes: headerBytes})...)
		defer c.Close()
		i.checkWith(manyDescriptors)
	})

	// Guards against memory or descriptors that stay in use after the callers have gone, which adds up with each crowd.
	It("releases what a crowd has held", func() {
		i := start()
		before := i.openDescriptors()
		for range 3 {
			c := hostile.Start(i.address, crowd(callers, unfinished)...)
			i.check()
			c.Close()
			Eventually(i.openDescriptors).WithTimeout(eventual).Should(BeNumerically("<=", before+16))
			Expect(i.status("VmRSS")).To(BeNumerically("<=", memoryMib<<10))
		}
	})

	// Guards against a planned stop that fails or exceeds the memory because of bodies that never end.
	It("ends a planned stop", func() {
		i := start()
		c := hostile.Start(i.address, crowd(callers, unfinished)...)
		defer c.Close()
		i.check()
		Expect(i.command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		more := hostile.Start(i.address, crowd(callers, unfinished)...)
		defer more.Close()
		Eventually(i.ended).WithTimeout(eventual).Should(Receive(BeNil()))
		usage, ok := i.command.ProcessState.SysUsage().(*syscall.Rusage)
		Expect(ok).To(BeTrue())
		Expect(usage.Maxrss).To(BeNumerically("<=", memoryMib<<10), "peak resident memory in kB")
	})

	// Guards against a process that exceeds its memory, or answers nobody, because a crowd comes while the store is away.
	It("stays within its resources while the store is away", func() {
		store, instances := startFleet(1, descriptors)
		i := instances[0]
		store.SetMode(kvsrv.Refusing)
		c := hostile.Start(i.address, crowd(callers, unfinished)...)
		defer c.Close()
		// A route without keys needs no proof of the store.
		Eventually(func() int { return i.requestFor("/open/x", 1<<10) }).WithTimeout(eventual).Should(Equal(http.StatusOK))
		store.SetMode(kvsrv.Serving)
		i.check()
	})

	// Guards against a process that exceeds its memory, or answers nobody, because a crowd comes while the owner of its shard
	// changes. One of the two instances owns the shard.
	DescribeTable("stays within its resources while an owner is lost", func(crowded, lost int) {
		_, instances := startFleet(2, descriptors)
		i := instances[crowded]
		c := hostile.Start(i.address, crowd(callers, unfinished)...)
		defer c.Close()
		Expect(instances[lost].command.Process.Kill()).To(Succeed())
		more := hostile.Start(i.address, crowd(callers, unfinished)...)
		defer more.Close()
		i.check()
	},
		Entry("the other instance, which started second", 0, 1),
		Entry("the other instance, which started first", 1, 0),
	)

	// Tells how many callers inside the limits are answered beside a crowd; guards against a process that exceeds its resources
	// for them.
	It("answers callers inside the limits beside a crowd", func() {
		i := start()
		c := hostile.Start(i.address, crowd(callers, unfinished)...)
		defer c.Close()
		var answered, refused, unanswered atomic.Int64
		var group sync.WaitGroup
		for range ordinaryCallers {
			group.Go(func() {
				switch i.request(1 << 10) {
				case http.StatusOK:
					answered.Add(1)
				case 0:
					unanswered.Add(1)
				default:
					refused.Add(1)
				}
			})
		}
		group.Wait()
		AddReportEntry("callers", fmt.Sprintf("%d answered, %d refused, %d without an answer", answered.Load(), refused.Load(), unanswered.Load()))
		i.check()
	})

	// Guards against limits that also refuse what the configuration allows.
	It("serves a single request with the longest body", func() {
		i := start()
		Expect(i.request(bodyBytes)).To(Equal(http.StatusOK))
		i.check()
	})
})
