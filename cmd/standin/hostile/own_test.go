package hostile_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/appsrv"
	"chicoryhoist.example/hoist/cmd/standin/cfgsrv"
	"chicoryhoist.example/hoist/cmd/standin/hostile"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// ownPath is the path of a call to the plain service.
	ownPath = "/v1/services/app/visits"
	// ownBodyBytes is the limit of a body, ownMemory the memory for bodies and ownConnections the number of connections.
	ownBodyBytes   = 1 << 20
	ownMemory      = memoryMib << 20 / 4
	ownConnections = 128
)

// snapshot is the configuration of the router with its own interface; its argument is the hash of the secret of the caller.
const snapshot = `generation = 1
[[tiers]]
name = "live"
rank = 1
[[classes]]
name = "visits"
tier = "live"
first_token_ms = 2000
inter_token_ms = 100
floor_permille = 50
max_wait_ms = 20000
[[workspaces]]
name = "north"
[[credentials]]
name = "visits"
workspace = "north"
class = "visits"
sha256 = "%x"
[[pools]]
name = "app"
kind = "service"
slots = 32
[[services]]
name = "app"
pool = "app"
timeout_ms = 5000
`

// ownSettingsFormat is the format of the settings of the router.
const ownSettingsFormat = `name = "r1"
region = "r"
datacentre = "x"
[listen]
callers = "%s"
admin = "%s"
peers = "%s"
[platform]
url = "http://%s"
key = "hoist"
[timing]
drain_ms = 4000
[input]
body_bytes = %d
memory_bytes = %d
address_bytes = %d
connections = %d
idle_ms = 3000
`

// put sends content to the platform.
func put(url string, content []byte) int {
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(content))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// startOwn starts a platform, a plain service and a router with its own interface, and waits until the router is ready.
func startOwn() *instance {
	clock := hoist.NewSystemClock()
	service := startHost(appsrv.New(1, clock, nil).Handler()).Address()
	platform := startHost(cfgsrv.New(0, clock).Handler()).Address()
	a := lo.Times(3, func(int) string { return freeAddress() })
	Expect(put("http://"+platform+"/publish/hoist", fmt.Appendf(nil, snapshot, sha256.Sum256([]byte(hostile.Secret))))).To(BeNumerically("<", 300))
	entry := func(name, kind, address, pool string) value.Instance {
		return value.Instance{}.WithName(name).WithKind(kind).WithAddress(address).WithPool(pool).WithRegion("r").WithDatacentre("x")
	}
	list := value.InstanceList{}.WithInstances(value.ListOf(entry("app-1", "service", service, "app"), entry("r1", "router", a[0], "").WithPeer(a[2])))
	Expect(put("http://"+platform+"/instances", pbjson.Marshal(wire.InstanceListWire(list)))).To(BeNumerically("<", 300))
	file := filepath.Join(GinkgoT().TempDir(), "settings.toml")
	text := fmt.Sprintf(ownSettingsFormat, a[0], a[1], a[2], platform, ownBodyBytes, ownMemory, ownMemory/2, ownConnections)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	i := &instance{command: exec.Command(routerFile, "--settings", file), address: a[0], ready: a[1] + "/ready", path: ownPath, ended: make(chan error, 1)}
	i.command.Stdout, i.command.Stderr = GinkgoWriter, GinkgoWriter
	Expect(i.command.Start()).To(Succeed())
	go func() { i.ended <- i.command.Wait() }()
	DeferCleanup(func() { _ = i.command.Process.Kill() })
	Eventually(i.readyStatus).WithTimeout(eventual).Should(Equal(http.StatusOK))
	Eventually(func() int { return i.requestFor(ownPath, 1<<10) }).WithTimeout(eventual).Should(Equal(http.StatusOK))
	return i
}

var _ = Describe("a router with its own interface and hostile callers", Serial, func() {
	// Guards against a process that runs out of memory or descriptors, or answers nobody else, because the limits hold for the
	// forwarding router only.
	DescribeTable("stays within its resources", func(b []hostile.Behaviour) {
		i := startOwn()
		c := hostile.StartFor(i.address, ownPath, b...)
		defer c.Close()
		i.check()
	},
		Entry("bodies that stop short of their end", crowd(2*callers, hostile.Unfinished{Bytes: ownBodyBytes - 64<<10})),
		Entry("chunks of one byte", crowd(callers, hostile.SmallChunks{Bytes: 512 << 10})),
		Entry("chunked bodies far over the limit", crowd(callers, hostile.Unfinished{Bytes: 16 << 20})),
		Entry("announced bodies far over the limit", crowd(callers, hostile.Oversized{Bytes: 16 << 20})),
		Entry("announced bodies that do not arrive", crowd(2*callers, hostile.Withheld{Announced: ownBodyBytes, Sent: 1 << 10})),
		Entry("headers of short fields", crowd(2*callers, hostile.ShortFields{Bytes: headerBytes})),
		Entry("many idle connections", crowd(idleCallers, hostile.Idle{})),
	)
})
