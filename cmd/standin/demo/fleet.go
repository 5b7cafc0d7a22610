package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// startTimeout bounds the wait until a process is ready.
	startTimeout = 12 * time.Second
	// pollInterval is the time between two checks of a process that is not ready yet.
	pollInterval = 100 * hoist.Millis(1)
	// maxResponseBytes bounds the response to a control call.
	maxResponseBytes = 1 << 20
)

// router is a router process with its addresses.
type router struct {
	*process
	name       string
	datacentre string
	callers    string
	admin      string
	peers      string
}

// fleet holds the processes that the demo has started and the instances that it has published.
type fleet struct {
	clock     hoist.Clock
	dir       string
	platform  string
	service   string
	instances value.List[value.Instance]
	routers   []router
	processes []*process
}

// startFleet starts the platform, the engines, the service and the routers. If the fleet isn't nil, the caller must stop
// it, even after an error.
func startFleet(ctx context.Context, program, routerProgram string, clock hoist.Clock) (*fleet, error) {
	dir, err := os.MkdirTemp("", "hoist-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "create log directory")
	}
	f := &fleet{clock: clock, dir: dir}
	if err := f.startStandins(program); err != nil {
		return f, err
	}
	if err := f.awaitReady(ctx, "platform", func() error {
		return f.control(ctx, http.MethodPut, "http://"+f.platform+"/publish/hoist", []byte(snapshotTOML(1)))
	}); err != nil {
		return f, err
	}
	if err := f.startRouters(routerProgram); err != nil {
		return f, err
	}
	if err := f.publishInstances(ctx); err != nil {
		return f, err
	}
	for _, r := range f.routers {
		if err := f.awaitReady(ctx, r.name, func() error {
			return f.control(ctx, http.MethodGet, "http://"+r.admin+"/ready", nil)
		}); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startStandins starts the platform, the engines and the plain service.
func (f *fleet) startStandins(program string) error {
	var err error
	if f.platform, err = f.startStandin(program, "platform", "platform", "--lag", "300"); err != nil {
		return err
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i+1)
		a, err := f.startStandin(program, name, "engine", "--model", model, "--slots", fmt.Sprint(engineSlots), "--fenced")
		if err != nil {
			return err
		}
		f.instances = f.instances.Append(instance(name, "engine", a, enginePool, i%routers))
	}
	if f.service, err = f.startStandin(program, "dispatch-1", "service"); err != nil {
		return err
	}
	f.instances = f.instances.Append(instance("dispatch-1", "service", f.service, servicePool, 0))
	return nil
}

// startStandin starts one stand-in on a free address and returns the address.
func (f *fleet) startStandin(program, name, command string, args ...string) (string, error) {
	a, err := freeAddress()
	if err != nil {
		return "", err
	}
	p, err := startProcess(f.dir, name, program, append([]string{command, "--listen", a}, args...)...)
	if err != nil {
		return "", err
	}
	f.processes = append(f.processes, p)
	return a, nil
}

// startRouters starts the routers with generated settings.
func (f *fleet) startRouters(program string) error {
	for i := range routers {
		r := router{name: fmt.Sprintf("router-%d", i+1), datacentre: datacentre(i)}
		for _, a := range []*string{&r.callers, &r.admin, &r.peers} {
			free, err := freeAddress()
			if err != nil {
				return err
			}
			*a = free
		}
		file := filepath.Join(f.dir, r.name+".toml")
		if err := os.WriteFile(file, []byte(f.settingsTOML(r)), 0o600); err != nil {
			return eris.Wrap(err, "write settings")
		}
		p, err := startProcess(f.dir, r.name, program, "--settings", file)
		if err != nil {
			return err
		}
		r.process = p
		f.processes = append(f.processes, p)
		f.routers = append(f.routers, r)
		f.instances = f.instances.Append(instance(r.name, "router", r.callers, "", i).WithPeer(r.peers))
	}
	return nil
}

// instance returns an entry of the instance list; index selects the data centre.
func instance(name, kind, address, pool string, index int) value.Instance {
	return value.Instance{}.WithName(name).WithKind(kind).WithAddress(address).WithPool(pool).
		WithRegion(region).WithDatacentre(datacentre(index))
}

// datacentre returns the name of the data centre with the index.
func datacentre(i int) string { return fmt.Sprintf("dc%d", i+1) }

// publishInstances sends the instance list to the platform.
func (f *fleet) publishInstances(ctx context.Context) error {
	l := value.InstanceList{}.WithInstances(f.instances)
	return f.control(ctx, http.MethodPut, "http://"+f.platform+"/instances", pbjson.Marshal(wire.InstanceListWire(l)))
}

// markLeaving marks an instance as leaving in the instance list.
func (f *fleet) markLeaving(ctx context.Context, name string) error {
	for i := range f.instances.Len() {
		if f.instances.At(i).Name() == name {
			f.instances = f.instances.With(i, f.instances.At(i).WithLeaving(true))
		}
	}
	return f.publishInstances(ctx)
}

// removeInstance removes an instance that has ended from the instance list.
func (f *fleet) removeInstance(ctx context.Context, name string) error {
	for i := range f.instances.Len() {
		if f.instances.At(i).Name() == name {
			f.instances = f.instances.Without(i)
			break
		}
	}
	return f.publishInstances(ctx)
}

// generationInForce returns the configuration generation that a router has in force.
func (f *fleet) generationInForce(ctx context.Context, r router) (uint64, error) {
	b, err := f.fetch(ctx, http.MethodGet, "http://"+r.admin+"/v1/status", nil)
	if err != nil {
		return 0, err
	}
	m := &message.Status{}
	if err := pbjson.Unmarshal(b, m); err != nil {
		return 0, err
	}
	return m.GetGeneration(), nil
}

// executions returns the number of runs of each call that the plain service has counted.
func (f *fleet) executions(ctx context.Context) ([]*message.Execution, error) {
	b, err := f.fetch(ctx, http.MethodGet, "http://"+f.service+"/executions", nil)
	if err != nil {
		return nil, err
	}
	m := &message.Executions{}
	err = pbjson.Unmarshal(b, m)
	return m.GetExecutions(), err
}

// awaitReady repeats a check until it succeeds or the start timeout passes. The error says that something is not ready
// for any failed check, also when a ready router doesn't have the new generation yet.
func (f *fleet) awaitReady(ctx context.Context, what string, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-f.clock.After(pollInterval):
		case <-ctx.Done():
			return eris.Wrapf(err, "%s is not ready after %s", what, startTimeout)
		}
	}
}

// control sends a control call and discards the response body.
func (f *fleet) control(ctx context.Context, method, url string, body []byte) error {
	_, err := f.fetch(ctx, method, url, body)
	return err
}

// fetch sends a control call with the operator's credential and returns the response body.
func (f *fleet) fetch(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	r.Header.Set("Authorization", "Bearer "+operatorSecret)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "send control call")
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read response")
	}
	if response.StatusCode/100 != 2 {
		return nil, eris.Errorf("%s responded %s: %s", url, response.Status, b)
	}
	return b, nil
}

// stop kills all processes of the fleet and removes their logs unless keepLogs is set.
func (f *fleet) stop(keepLogs bool) {
	for _, p := range f.processes {
		p.kill()
	}
	if !keepLogs {
		_ = os.RemoveAll(f.dir)
	}
}
