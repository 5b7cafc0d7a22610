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
	// settleTimeout bounds the wait until all routers serve and agree.
	settleTimeout = 30 * time.Second
	// pollInterval is the time between two looks at the routers.
	pollInterval = 50 * hoist.Millis(1)
	// controlTimeout bounds one control call.
	controlTimeout = 2 * time.Second
	// maxAnswer bounds the body of an answer, in bytes.
	maxAnswer = 1 << 20
	// listLag is the lag of the instance list.
	listLag = 300 * hoist.Millis(1)
	// serviceDelay is the time of a plain call.
	serviceDelay = 100 * hoist.Millis(1)
)

// router is one router with its addresses, which stay the same when its process is replaced.
type router struct {
	*process
	name       string
	datacentre int
	callers    string
	admin      string
	// peers is the address of the gRPC listener, advertised the one that other routers use.
	peers, advertised string
	tunnel            *tunnel
}

// shape says what a fleet consists of.
type shape struct {
	routers, engines, datacentres, slots int
	speed                                llmsrv.Speed
	// tunnels sends peer traffic through forwarders.
	tunnels bool
}

// fleet is everything that this program has started.
type fleet struct {
	shape
	clock     hoist.Clock
	program   string
	folder    string
	client    *http.Client
	cancel    context.CancelFunc
	standins  sync.WaitGroup
	operator  *server
	platforms []*server
	engines   []*server
	service   *server
	instances value.List[value.Instance]
	routers   []*router
	mutex     sync.Mutex
	faults    []string
}

// newFleet starts a fleet and waits until it serves; the caller stops it also after an error.
func newFleet(ctx context.Context, program string, s shape) (*fleet, error) {
	folder, err := os.MkdirTemp("", "hoist-proof-")
	if err != nil {
		return nil, eris.Wrap(err, "create folder")
	}
	inner, cancel := context.WithCancel(ctx)
	f := &fleet{
		shape: s, clock: hoist.NewSystemClock(), program: program, folder: folder, cancel: cancel,
		client: &http.Client{Timeout: controlTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
	if err := f.startStandins(inner); err != nil {
		return f, err
	}
	if err := f.await(ctx, "platform", func() error { return f.publish(ctx, snapshot(1, 0)) }); err != nil {
		return f, err
	}
	for i := range s.routers {
		if err := f.addRouter(i); err != nil {
			return f, err
		}
	}
	if err := f.list(ctx); err != nil {
		return f, err
	}
	return f, f.settle(ctx)
}

// startStandins starts the platform with an address in each data centre, the engines and the plain service.
func (f *fleet) startStandins(ctx context.Context) error {
	platform := cfgsrv.New(listLag, f.clock).Handler()
	same := func(*host.Host) http.Handler { return platform }
	var err error
	if f.operator, err = f.serve(ctx, "operator", same); err != nil {
		return err
	}
	for i := range f.datacentres {
		p, err := f.serve(ctx, "platform-"+datacentre(i), same)
		if err != nil {
			return err
		}
		f.platforms = append(f.platforms, p)
	}
	for i := range f.shape.engines {
		e, err := f.engine(ctx, fmt.Sprintf("engine-%d", i+1), f.slots, f.speed)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.instances = f.instances.Append(f.instance(e.name, "engine", e.address, enginePool, i))
	}
	f.service, err = f.serve(ctx, "dispatch-1", func(h *host.Host) http.Handler {
		return appsrv.New(serviceDelay, f.clock, h).Handler()
	})
	if err != nil {
		return err
	}
	f.instances = f.instances.Append(f.instance(f.service.name, "service", f.service.address, servicePool, 0))
	return nil
}

// instance returns an entry of the instance list.
func (f *fleet) instance(name, kind, address, pool string, at int) value.Instance {
	return value.Instance{}.WithName(name).WithKind(kind).WithAddress(address).WithPool(pool).
		WithRegion(region).WithDatacentre(datacentre(at % f.datacentres))
}

// addRouter starts a new router.
func (f *fleet) addRouter(i int) error {
	r := &router{name: fmt.Sprintf("router-%d", i+1), datacentre: i % f.datacentres}
	for _, a := range []*string{&r.callers, &r.admin, &r.peers} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	r.advertised = r.peers
	if f.tunnels {
		t, err := newTunnel()
		if err != nil {
			return err
		}
		// HTTP clients never use a proxy for 127.0.0.1, but they do for the unspecified address,
		// and connections to that end at the listener on loopback.
		_, port, _ := net.SplitHostPort(r.peers)
		r.tunnel, r.advertised = t, "0.0.0.0:"+port
	}
	f.routers = append(f.routers, r)
	f.instances = f.instances.Append(f.instance(r.name, "router", r.callers, "", i).WithPeer(r.advertised))
	return f.start(r)
}

// start starts the process of a router, also after an earlier one has ended.
func (f *fleet) start(r *router) error {
	file := filepath.Join(f.folder, r.name+".toml")
	if err := os.WriteFile(file, []byte(r.settings(f.platforms[r.datacentre].address)), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	var environment []string
	if r.tunnel != nil {
		environment = []string{"HTTPS_PROXY=http://" + r.tunnel.address, "NO_PROXY="}
	}
	p, err := start(f.folder, r.name, f.program, environment, "--settings", file)
	if err == nil {
		r.process = p
	}
	return err
}

// stop ends everything that the fleet has started; logs are kept when keep is set.
func (f *fleet) stop(keep bool) {
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
	if !keep {
		_ = os.RemoveAll(f.folder)
	}
}

// report keeps a fault of a part of the fleet for the next scenario's checks.
func (f *fleet) report(format string, args ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// reported returns the faults since the last call.
func (f *fleet) reported() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	faults := f.faults
	f.faults = nil
	return faults
}

// publish publishes a configuration.
func (f *fleet) publish(ctx context.Context, content string) error {
	_, err := f.fetch(ctx, http.MethodPut, f.operator.address, "/publish/hoist", []byte(content))
	return err
}

// list publishes the instance list.
func (f *fleet) list(ctx context.Context) error {
	l := wire.InstanceListWire(value.InstanceList{}.WithInstances(f.instances))
	_, err := f.fetch(ctx, http.MethodPut, f.operator.address, "/instances", pbjson.Marshal(l))
	return err
}

// mark lists an instance as leaving or live.
func (f *fleet) mark(ctx context.Context, name string, leaving bool) error {
	for i := range f.instances.Len() {
		if f.instances.At(i).Name() == name {
			f.instances = f.instances.With(i, f.instances.At(i).WithLeaving(leaving))
		}
	}
	return f.list(ctx)
}

// disturb puts a fault in force at a stand-in.
func (f *fleet) disturb(ctx context.Context, address string, m *message.Fault) error {
	_, err := f.fetch(ctx, http.MethodPost, address, "/fault", pbjson.Marshal(m))
	return err
}

// status returns the state of a router.
func (f *fleet) status(ctx context.Context, r *router) (*wire.RouterStatus, error) {
	m := &wire.RouterStatus{}
	return m, f.read(ctx, r.admin, "/v1/status", m)
}

// owner returns the router that holds a pool's servers, or an error while not exactly one does.
func (f *fleet) owner(ctx context.Context, pool string) (*router, error) {
	var found *router
	for _, r := range f.routers {
		m := &wire.ServerReport{}
		if err := f.read(ctx, r.admin, "/v1/servers", m); err != nil {
			continue
		}
		for _, row := range m.GetServers() {
			if row.GetPool() != pool || r == found {
				continue
			}
			if found != nil {
				return nil, eris.Errorf("pool %s is held by %s and %s", pool, found.name, r.name)
			}
			found = r
		}
	}
	if found == nil {
		return nil, eris.Errorf("pool %s has no owner", pool)
	}
	return found, nil
}

// settled returns why the routers don't yet agree, or nil.
func (f *fleet) settled(ctx context.Context) error {
	for _, r := range f.routers {
		if _, err := f.fetch(ctx, http.MethodGet, r.admin, "/ready", nil); err != nil {
			return err
		}
		s, err := f.status(ctx, r)
		if err != nil {
			return err
		}
		if int(s.GetRouters()) != f.shape.routers {
			return eris.Errorf("%s sees %d of %d routers", r.name, s.GetRouters(), f.shape.routers)
		}
	}
	for _, pool := range []string{enginePool, servicePool} {
		if _, err := f.owner(ctx, pool); err != nil {
			return err
		}
	}
	return nil
}

// settle waits until every router serves, sees all others and each pool has one owner.
func (f *fleet) settle(ctx context.Context) error {
	return f.await(ctx, "fleet", func() error { return f.settled(ctx) })
}

// await repeats a check until it succeeds.
func (f *fleet) await(ctx context.Context, what string, check func() error) error {
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
			return eris.Wrapf(err, "%s is not ready", what)
		}
	}
}

// read reads a message of the administration interface.
func (f *fleet) read(ctx context.Context, address, path string, m proto.Message) error {
	b, err := f.fetch(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	return pbjson.Unmarshal(b, m)
}

// fetch makes a control call as operator.
func (f *fleet) fetch(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	r.Header.Set("Authorization", "Bearer "+operatorPlain)
	answer, err := f.client.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "call")
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, eris.Wrap(err, "read answer")
	}
	if answer.StatusCode/100 != 2 {
		return nil, eris.Errorf("%s%s answered %s: %s", address, path, answer.Status, b)
	}
	return b, nil
}
