package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/appsrv"
	"chicoryhoist.example/hoist/cmd/standin/cfgsrv"
	"chicoryhoist.example/hoist/cmd/standin/host"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// settleTimeout bounds the wait until all routers are ready and agree.
	settleTimeout = 30 * time.Second
	// pollInterval is the time between two status checks of the routers.
	pollInterval = 50 * hoist.Millis(1)
	// controlTimeout bounds one control request.
	controlTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 1 << 20
	// listLag is the delay with which the instance list shows a change.
	listLag = 300 * hoist.Millis(1)
	// serviceDelay is the time that the plain service takes for a call.
	serviceDelay = 100 * hoist.Millis(1)
)

// router is one router with its addresses, which stay the same when its process is replaced.
type router struct {
	*process
	name          string
	datacentre    int
	callerAddress string
	adminAddress  string
	// peerAddress is the address of the gRPC listener, and advertisedAddress the one to which other routers connect.
	peerAddress, advertisedAddress string
	tunnel                         *tunnel
}

// fleetSpec describes a fleet.
type fleetSpec struct {
	routers, engines, datacentres, slots int
	speed                                llmsrv.Speed
	// tunnels makes peer traffic pass through forwarders.
	tunnels bool
}

// fleet holds the routers and stand-ins that this program has started.
type fleet struct {
	fleetSpec
	clock          hoist.Clock
	program        string
	folder         string
	client         *http.Client
	cancel         context.CancelFunc
	standins       sync.WaitGroup
	operator       *standin
	platforms      []*standin
	engines        []*standin
	service        *standin
	instances      value.List[value.Instance]
	routers        []*router
	mutex          sync.Mutex
	reportedFaults []string
}

// newFleet starts a fleet and waits until it serves. The caller must stop the fleet even if an error is returned.
func newFleet(ctx context.Context, program string, s fleetSpec) (*fleet, error) {
	folder, err := os.MkdirTemp("", "hoist-proof-")
	if err != nil {
		return nil, eris.Wrap(err, "create folder")
	}
	standinCtx, cancel := context.WithCancel(ctx)
	f := &fleet{
		fleetSpec: s, clock: hoist.NewSystemClock(), program: program, folder: folder, cancel: cancel,
		client: &http.Client{Timeout: controlTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
	if err := f.startStandins(standinCtx); err != nil {
		return f, err
	}
	if err := f.await(ctx, "platform", func() error { return f.publishConfiguration(ctx, snapshot(1, 0)) }); err != nil {
		return f, err
	}
	for i := range s.routers {
		if err := f.addRouter(i); err != nil {
			return f, err
		}
	}
	if err := f.publishInstances(ctx); err != nil {
		return f, err
	}
	return f, f.awaitSettled(ctx)
}

// startStandins starts the platform, which has an address in each data centre, the engines and the plain service.
func (f *fleet) startStandins(ctx context.Context) error {
	platform := cfgsrv.New(listLag, f.clock).Handler()
	platformHandler := func(*host.Host) http.Handler { return platform }
	var err error
	if f.operator, err = f.startStandin(ctx, "operator", platformHandler); err != nil {
		return err
	}
	for i := range f.datacentres {
		p, err := f.startStandin(ctx, "platform-"+datacentre(i), platformHandler)
		if err != nil {
			return err
		}
		f.platforms = append(f.platforms, p)
	}
	for i := range f.fleetSpec.engines {
		e, err := f.startEngine(ctx, fmt.Sprintf("engine-%d", i+1), f.slots, f.speed)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.instances = f.instances.Append(f.newInstance(e.name, "engine", e.address, enginePool, i))
	}
	f.service, err = f.startStandin(ctx, "dispatch-1", func(h *host.Host) http.Handler {
		return appsrv.New(serviceDelay, f.clock, h).Handler()
	})
	if err != nil {
		return err
	}
	f.instances = f.instances.Append(f.newInstance(f.service.name, "service", f.service.address, servicePool, 0))
	return nil
}

// newInstance returns an entry of the instance list.
func (f *fleet) newInstance(name, kind, address, pool string, index int) value.Instance {
	return value.Instance{}.WithName(name).WithKind(kind).WithAddress(address).WithPool(pool).
		WithRegion(region).WithDatacentre(datacentre(index % f.datacentres))
}

// addRouter adds a router to the fleet and starts it.
func (f *fleet) addRouter(i int) error {
	r := &router{name: fmt.Sprintf("router-%d", i+1), datacentre: i % f.datacentres}
	for _, a := range []*string{&r.callerAddress, &r.adminAddress, &r.peerAddress} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	r.advertisedAddress = r.peerAddress
	if f.tunnels {
		t, err := newTunnel()
		if err != nil {
			return err
		}
		// HTTP clients never use a proxy for 127.0.0.1, but they do for the unspecified address, and connections to the
		// unspecified address reach the listener on loopback.
		_, port, _ := net.SplitHostPort(r.peerAddress)
		r.tunnel, r.advertisedAddress = t, "0.0.0.0:"+port
	}
	f.routers = append(f.routers, r)
	f.instances = f.instances.Append(f.newInstance(r.name, "router", r.callerAddress, "", i).WithPeer(r.advertisedAddress))
	return f.startRouter(r)
}

// startRouter starts the process of a router, for the first time or again.
func (f *fleet) startRouter(r *router) error {
	file := filepath.Join(f.folder, r.name+".toml")
	if err := os.WriteFile(file, []byte(r.settings(f.platforms[r.datacentre].address)), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	var environment []string
	if r.tunnel != nil {
		environment = []string{"HTTPS_PROXY=http://" + r.tunnel.address, "NO_PROXY="}
	}
	p, err := startProcess(f.folder, r.name, f.program, environment, "--settings", file)
	if err == nil {
		r.process = p
	}
	return err
}

// stop ends everything that the fleet has started; it keeps the logs if keepLogs is set.
func (f *fleet) stop(keepLogs bool) {
	for _, r := range f.routers {
		if r.process != nil {
			r.kill()
		}
		if r.tunnel != nil {
			r.tunnel.close()
		}
	}
	f.cancel()
	f.standins.Wait()
	f.client.CloseIdleConnections()
	if !keepLogs {
		_ = os.RemoveAll(f.folder)
	}
}

// reportFault records the failure of a stand-in for the checks at the end of the scenario.
func (f *fleet) reportFault(format string, args ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reportedFaults = append(f.reportedFaults, fmt.Sprintf(format, args...))
}

// takeReportedFaults returns the failures since the last call.
func (f *fleet) takeReportedFaults() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	faults := f.reportedFaults
	f.reportedFaults = nil
	return faults
}

// publishConfiguration publishes a configuration at the platform.
func (f *fleet) publishConfiguration(ctx context.Context, content string) error {
	_, err := f.controlCall(ctx, http.MethodPut, f.operator.address, "/publish/hoist", []byte(content))
	return err
}

// publishInstances publishes the instance list at the platform.
func (f *fleet) publishInstances(ctx context.Context) error {
	l := wire.InstanceListWire(value.InstanceList{}.WithInstances(f.instances))
	_, err := f.controlCall(ctx, http.MethodPut, f.operator.address, "/instances", pbjson.Marshal(l))
	return err
}

// setLeaving lists an instance as leaving or as live.
func (f *fleet) setLeaving(ctx context.Context, name string, leaving bool) error {
	for i := range f.instances.Len() {
		if f.instances.At(i).Name() == name {
			f.instances = f.instances.With(i, f.instances.At(i).WithLeaving(leaving))
		}
	}
	return f.publishInstances(ctx)
}

// injectFault activates a fault at a stand-in.
func (f *fleet) injectFault(ctx context.Context, address string, m *message.Fault) error {
	_, err := f.controlCall(ctx, http.MethodPost, address, "/fault", pbjson.Marshal(m))
	return err
}

// routerStatus returns the status that a router reports.
func (f *fleet) routerStatus(ctx context.Context, r *router) (*wire.RouterStatus, error) {
	m := &wire.RouterStatus{}
	return m, f.readAdmin(ctx, r.adminAddress, "/v1/status", m)
}

// owner returns the router that owns a pool's shard, or an error unless there is exactly one.
func (f *fleet) owner(ctx context.Context, pool string) (*router, error) {
	var found *router
	for _, r := range f.routers {
		m := &wire.ServerReport{}
		if err := f.readAdmin(ctx, r.adminAddress, "/v1/servers", m); err != nil {
			continue
		}
		for _, row := range m.GetServers() {
			if row.GetPool() != pool || r == found {
				continue
			}
			if found != nil {
				return nil, eris.Errorf("pool %s is owned by %s and %s", pool, found.name, r.name)
			}
			found = r
		}
	}
	if found == nil {
		return nil, eris.Errorf("pool %s has no owner", pool)
	}
	return found, nil
}

// checkSettled returns the reason why the routers don't agree yet, or nil.
func (f *fleet) checkSettled(ctx context.Context) error {
	for _, r := range f.routers {
		if _, err := f.controlCall(ctx, http.MethodGet, r.adminAddress, "/ready", nil); err != nil {
			return err
		}
		s, err := f.routerStatus(ctx, r)
		if err != nil {
			return err
		}
		if int(s.GetRouters()) != f.fleetSpec.routers {
			return eris.Errorf("%s has %d of %d routers in its view", r.name, s.GetRouters(), f.fleetSpec.routers)
		}
	}
	for _, pool := range []string{enginePool, servicePool} {
		if _, err := f.owner(ctx, pool); err != nil {
			return err
		}
	}
	return nil
}

// awaitSettled waits until every router is ready and has all others in its view, and each pool has one owner.
func (f *fleet) awaitSettled(ctx context.Context) error {
	return f.await(ctx, "fleet", func() error { return f.checkSettled(ctx) })
}

// await repeats a check until it succeeds or settleTimeout has passed.
func (f *fleet) await(ctx context.Context, subject string, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-f.clock.After(pollInterval):
		case <-ctx.Done():
			return eris.Wrapf(err, "%s is not ready", subject)
		}
	}
}

// readAdmin reads a message from the administration interface of a router.
func (f *fleet) readAdmin(ctx context.Context, address, path string, m proto.Message) error {
	b, err := f.controlCall(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	return pbjson.Unmarshal(b, m)
}

// controlCall sends a request with the operator's secret.
func (f *fleet) controlCall(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	r.Header.Set("Authorization", "Bearer "+operatorSecret)
	response, err := f.client.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read response")
	}
	if response.StatusCode/100 != 2 {
		return nil, eris.Errorf("%s%s responded with %s: %s", address, path, response.Status, b)
	}
	return b, nil
}
