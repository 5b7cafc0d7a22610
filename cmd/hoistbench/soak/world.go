// Package soak plays randomised faults against the decision code of several routers and checks the invariants.
package soak

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

const (
	services     = 3
	inspectEvery = sim.Second
	// listLag is the lag of the instance list.
	listLag = sim.Second
	// settle is the time without faults at the start and at the end of a run.
	settle = 15 * sim.Second
	// tokenEvery leaves one of so many calls without an idempotency token; it is sent once.
	tokenEvery = 4
	// maxRepeats and repeatSpread bound how often and how late a call with a token is sent again.
	maxRepeats   = 3
	repeatSpread = 20 * sim.Second
	// poisonPrint is the content fingerprint of crash-inducing jobs.
	poisonPrint = 1 << 60
	// crashLimit is the number of servers that one caller's content may crash while routers share one view.
	crashLimit = 2
	// resendTime is the time after which a caller sends crash-inducing content again.
	resendTime = 100 * sim.Millisecond
)

// platform is an immutable state of the platform.
type platform struct {
	view      *config.View
	instances value.List[value.Instance]
}

// world is the state of a run.
type world struct {
	site      sim.Site
	random    *rand.Rand
	loop      sim.EventQueue[event]
	end       sim.Micros
	processes []*process
	servers   []*server
	published *platform
	held      *platform
	blocked   [][]int
	factors   []int

	// scripted worlds draw no faults.
	scripted     bool
	incarnations uint64
	generation   uint64
	jobs         int
	faults       int
	faulty       int
	lastFault    sim.Micros
	lastPause    sim.Micros
	platformDown int
	muted        bool
	reportLag    sim.Micros

	report         report
	injected       map[string]int
	outcomes       map[value.Outcome]int
	reasons        map[value.RefusalReason]int
	poisonings     []*poisoning
	splits         int
	staleFrames    int
	brokenRequests int
	// repeats counts what happened to calls with a token other than to run at once.
	repeats map[string]int
}

// Run plays a run of the length in simulated seconds; it prints what happened and returns the number of violations.
func Run(out io.Writer, seed uint64, length int) int {
	w := newWorld(seed, sim.Micros(length)*sim.Second)
	w.run()
	return w.print(out, seed)
}

// run plays the world to its end.
func (w *world) run() {
	for {
		e, ok := w.loop.Next(w.end)
		if !ok {
			return
		}
		w.dispatch(e)
	}
}

// newWorld returns a world at the site with the shorter distances.
func newWorld(seed uint64, length sim.Micros) *world { return newWorldAt(sim.Sites[1], seed, length) }

// newWorldAt returns a world whose processes start at once.
func newWorldAt(site sim.Site, seed uint64, length sim.Micros) *world {
	w := &world{
		site: site, random: rand.New(rand.NewPCG(seed, 0)), end: length, reportLag: reportLag,
		report:   report{map[invar.Invariant]int{}, map[invar.Invariant]int{}, nil},
		injected: map[string]int{}, outcomes: map[value.Outcome]int{}, reasons: map[value.RefusalReason]int{}, repeats: map[string]int{}, lastFault: -calmBefore - sim.Second,
	}
	for range classes {
		w.factors = append(w.factors, 1)
	}
	for range w.site.Datacentres {
		w.blocked = append(w.blocked, make([]int, w.site.Datacentres))
	}
	l := w.site.Instances(enginePool)
	for i := range services {
		l = l.Append(value.Instance{}.WithName(fmt.Sprintf("service-%d", i+1)).WithKind("service").WithPool(servicePool).
			WithRegion("central").WithDatacentre(w.site.Datacentre(i)))
	}
	for i := range l.Len() {
		s := &server{index: i, instance: l.At(i), up: true, attempts: map[string]*attempt{}}
		s.batch = s.empty()
		w.servers = append(w.servers, s)
		w.loop.After(reportEvery, toServer{i, 0, measures{}})
	}
	w.generation = 1
	w.poisonings = []*poisoning{{}}
	w.published = &platform{view: snapshot(1, 0)}
	for i := range w.site.Routers {
		w.processes = append(w.processes, &process{index: i, name: fmt.Sprintf("router-%d", i+1)})
	}
	for _, p := range w.processes {
		w.boot(p)
	}
	w.published = &platform{w.published.view, w.list()}
	w.loop.After(5*sim.Second, arrives{})
	w.loop.After(settle, breaks{})
	w.loop.After(inspectEvery, inspects{})
	return w
}

// dispatch carries out one event.
func (w *world) dispatch(e event) {
	switch x := e.(type) {
	case toProcess:
		p := w.processes[x.router]
		switch {
		case !p.up || p.incarnation != x.incarnation:
		case p.pausedUntil > w.loop.Now():
			w.loop.After(p.pausedUntil-w.loop.Now(), x)
		default:
			w.handle(p, x.what)
		}
	case toServer:
		s := w.servers[x.server]
		if s.up && s.epoch == x.epoch {
			w.serve(s, x.what)
		} else if o, ok := x.what.(opened); ok {
			w.postTo(w.processes[o.a.router], o.a.id.Incarnation(), 0, closed{o.a.id, value.EndKindCrashed})
		}
	case arrives:
		w.arrive()
	case breaks:
		if !w.scripted && w.loop.Now() < w.end-2*settle {
			w.nextFault()
		}
	case heals:
		x.undo(w)
	case inspects:
		w.checkWaits()
		w.checkSlots()
		w.loop.After(inspectEvery, inspects{})
	case promised:
		w.checkForce(x.version)
	}
}

// arrive sends a caller's request to a router that the load balancer knows as ready.
func (w *world) arrive() {
	total := 0.0
	for i, c := range classes {
		total += c.rate * float64(w.factors[i])
	}
	w.loop.After(sim.Micros(w.random.ExpFloat64()/total*float64(sim.Second)), arrives{})
	at := w.random.Float64() * total
	for i, c := range classes {
		if at -= c.rate * float64(w.factors[i]); at >= 0 {
			continue
		}
		tokens := 1
		if !c.service {
			tokens = 3 + int(w.random.ExpFloat64()*float64(c.tokens))
		}
		w.submit(&job{class: c.name, tokens: tokens, repeatable: !c.service})
		return
	}
}

// submit sends a job to a router; it reports false when none is ready.
func (w *world) submit(j *job) bool {
	var ready []*process
	for _, p := range w.processes {
		if p.up && !p.leaving && p.config != nil && len(p.members.Shards()) > 0 {
			ready = append(ready, p)
		}
	}
	if len(ready) == 0 {
		return false
	}
	w.jobs++
	j.number, j.at = w.jobs, w.loop.Now()
	p := ready[w.random.IntN(len(ready))]
	if j.repeatable || j.number%tokenEvery == 0 {
		w.post(p, w.site.ClientLatency, taken{job: j})
		return true
	}
	issuer := ready[w.random.IntN(len(ready))]
	j.token = idem.NewToken(issuer.incarnation, issuer.records.Window(w.loop.Now().Millis()), strconv.Itoa(j.number))
	w.post(p, w.site.ClientLatency, taken{job: j})
	for range w.random.IntN(maxRepeats + 1) {
		again := ready[w.random.IntN(len(ready))]
		w.post(again, w.site.ClientLatency+sim.Micros(w.random.Int64N(int64(repeatSpread))), taken{job: j})
	}
	return true
}

// poisoning is crash-inducing content that its caller sends again after each failure.
type poisoning struct {
	left    int
	crashes int
	// split is set when a fault kept routers from sharing one view while the content was sent.
	split bool
}

// poison begins to send crash-inducing content; groups count from 1.
func (w *world) poison(sends int) {
	w.poisonings = append(w.poisonings, &poisoning{left: sends})
	w.resend(len(w.poisonings) - 1)
}

// resend sends the content of a group once more through a router that the load balancer chooses.
func (w *world) resend(group int) {
	x := w.poisonings[group]
	x.split = x.split || w.splits > 0
	if x.left == 0 || w.loop.Now() > w.end-settle {
		return
	}
	x.left--
	w.disturb(resendTime, func(w *world) {
		if !w.submit(&job{class: classes[0].name, tokens: 20, repeatable: true, group: group}) {
			w.resend(group)
		}
	})
}

// publish publishes a configuration, or two of one generation.
func (w *world) publish(fork bool) {
	w.generation++
	v := snapshot(w.generation, 0)
	w.published = &platform{v, w.published.instances}
	if fork {
		w.loop.After(sim.Second, heals{func(w *world) {
			w.published = &platform{snapshot(v.Generation(), 1), w.published.instances}
		}})
	}
	w.loop.After(forceLimit, promised{v.Version()})
}

// list returns the instances that are up.
func (w *world) list() value.List[value.Instance] {
	var l value.List[value.Instance]
	for _, s := range w.servers {
		if s.up {
			l = l.Append(s.instance.WithLeaving(s.leaving))
		}
	}
	for _, p := range w.processes {
		if p.up {
			l = l.Append(value.Instance{}.WithName(p.name).WithKind("router").WithRegion("central").
				WithDatacentre(w.site.Datacentre(p.index)).WithLeaving(p.leaving))
		}
	}
	return l
}

// relist publishes the instance list after its lag.
func (w *world) relist() {
	w.loop.After(listLag, heals{func(w *world) { w.published = &platform{w.published.view, w.list()} }})
}

// post delivers an event to the present incarnation of a process.
func (w *world) post(p *process, delay sim.Micros, x input) { w.postTo(p, p.incarnation, delay, x) }

// postTo delivers an event to an incarnation of a process.
func (w *world) postTo(p *process, incarnation uint64, delay sim.Micros, x input) {
	w.loop.After(delay, toProcess{p.index, incarnation, x})
}

// transmit sends a message from one process to another; a blocked link breaks after the keepalive time.
func (w *world) transmit(p *process, to route, x input) {
	q := w.processes[to.router]
	if a, ok := x.(asked); ok && to.local {
		a.from.local = true
		x = a
	}
	if q != p && w.blocked[w.dc(p.index)][w.dc(q.index)] > 0 {
		w.post(p, suspectAfter, lost{to})
		w.postTo(q, to.incarnation, suspectAfter, lost{p.self()})
		return
	}
	if q.incarnation != to.incarnation || !q.up {
		w.post(p, w.site.OneWayLatency(p.index, q.index)*2, lost{to})
		return
	}
	w.postTo(q, to.incarnation, w.site.OneWayLatency(p.index, q.index), x)
}

// passes reports whether a message can pass from a server to a router.
func (w *world) passes(server, router int) bool { return w.blocked[w.dc(server)][w.dc(router)] == 0 }

// dc returns the number of an instance's data centre.
func (w *world) dc(i int) int { return i % w.site.Datacentres }

// routeOf returns the route to a member.
func (w *world) routeOf(m value.Member) route {
	return route{w.processNamed(m.Name()).index, m.Incarnation(), false}
}

// gatewayOf returns the route to the gateway that a dispatcher's message is for.
func (w *world) gatewayOf(body value.DispatcherMessageBody) (route, bool) {
	var incarnation uint64
	switch b := body.(type) {
	case value.Grant:
		incarnation = b.Attempt().Incarnation()
	case value.Refusal:
		incarnation = b.Attempt().Incarnation()
	case value.Preempt:
		incarnation = b.Attempt().Incarnation()
	case value.Query:
		return route{}, false
	}
	for _, p := range w.processes {
		if p.incarnation == incarnation {
			return p.self(), true
		}
	}
	return route{}, false
}

// processNamed returns the process of a router instance.
func (w *world) processNamed(name string) *process {
	i := slices.IndexFunc(w.processes, func(p *process) bool { return p.name == name })
	return w.processes[i]
}

// serverNamed returns the server with the name.
func (w *world) serverNamed(name string) *server {
	i := slices.IndexFunc(w.servers, func(s *server) bool { return s.instance.Name() == name })
	return w.servers[i]
}

// count counts a fault by its kind.
func (w *world) count(f fault) {
	w.injected[strings.TrimPrefix(fmt.Sprintf("%T", f), "soak.")]++
}

// print writes seed, faults, checks and violations.
func (w *world) print(out io.Writer, seed uint64) int {
	_, _ = fmt.Fprintf(out, "seed %d number\n", seed)
	_, _ = fmt.Fprintf(out, "length %d s\n", w.end/sim.Second)
	_, _ = fmt.Fprintf(out, "requests %d requests\n", w.jobs)
	for _, o := range slices.Sorted(maps.Keys(w.outcomes)) {
		_, _ = fmt.Fprintf(out, "outcome.%s %d requests\n", o, w.outcomes[o])
	}
	for _, x := range slices.Sorted(maps.Keys(w.reasons)) {
		_, _ = fmt.Fprintf(out, "refused.%s %d requests\n", x, w.reasons[x])
	}
	_, _ = fmt.Fprintf(out, "broken_with_router %d requests\n", w.brokenRequests)
	_, _ = fmt.Fprintf(out, "stale_frames %d frames\n", w.staleFrames)
	total := w.printPoison(out)
	for _, k := range slices.Sorted(maps.Keys(w.repeats)) {
		_, _ = fmt.Fprintf(out, "token.%s %d arrivals\n", k, w.repeats[k])
	}
	for _, k := range slices.Sorted(maps.Keys(w.injected)) {
		_, _ = fmt.Fprintf(out, "fault.%s %d faults\n", k, w.injected[k])
	}
	for _, c := range invar.All() {
		_, _ = fmt.Fprintf(out, "check.%s %d checks\n", c, w.report.made[c])
		_, _ = fmt.Fprintf(out, "violation.%s %d violations\n", c, w.report.violated[c])
		total += w.report.violated[c]
	}
	for _, d := range w.report.details {
		_, _ = fmt.Fprintf(out, "# %s\n", d)
	}
	_, _ = fmt.Fprintf(out, "violations %d violations\n", total)
	return total
}

// printPoison writes how many servers crash-inducing content crashed; it returns the groups above the limit.
func (w *world) printPoison(out io.Writer) int {
	worst, split, above, checked := 0, 0, 0, 0
	for _, x := range w.poisonings[1:] {
		if x.split {
			split = max(split, x.crashes)
			continue
		}
		checked++
		worst = max(worst, x.crashes)
		if x.crashes > crashLimit {
			above++
		}
	}
	_, _ = fmt.Fprintf(out, "poison_worst %d crashes\npoison_worst_split %d crashes\n", worst, split)
	_, _ = fmt.Fprintf(out, "check.crash_limit %d checks\nviolation.crash_limit %d violations\n", checked, above)
	return above
}
