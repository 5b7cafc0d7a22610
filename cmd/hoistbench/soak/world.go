// Package soak runs the decision code of several routers under random faults and checks the invariants.
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
	serviceCount    = 3
	inspectInterval = sim.Second
	// listLag is the delay with which the instance list shows a change.
	listLag = sim.Second
	// settleTime is the time without faults at the start and at the end of a run.
	settleTime = 15 * sim.Second
	// callsPerTokenless is the number of unrepeatable calls of which one has no idempotency token and is sent once.
	callsPerTokenless = 4
	// maxResends and resendWindow bound how often and how late a call with a token is sent again.
	maxResends   = 3
	resendWindow = 20 * sim.Second
	// crashFingerprintBase is added to the group number to give the fingerprint of crash-inducing content.
	crashFingerprintBase = 1 << 60
	// maxCrashesPerContent is the number of servers that one caller's content may crash while all routers share one view.
	maxCrashesPerContent = 2
	// resendDelay is the time after which a caller sends crash-inducing content again.
	resendDelay = 100 * sim.Millisecond
)

// platformState is the immutable content of the platform.
type platformState struct {
	view      *config.View
	instances value.List[value.Instance]
}

// world is the state of a run.
type world struct {
	site          sim.Site
	random        *rand.Rand
	events        sim.EventQueue[event]
	endTime       sim.Micros
	processes     []*process
	servers       []*server
	published     *platformState
	staleState    *platformState
	blockedLinks  [][]int
	demandFactors []int

	// scripted is set in scenarios, which inject their own fault instead of random ones.
	scripted      bool
	incarnations  uint64
	generation    uint64
	submittedJobs int
	faultsBegun   int
	activeFaults  int
	lastFaultEnd  sim.Micros
	lastPauseEnd  sim.Micros
	platformDown  int
	reportsMuted  bool
	reportLag     sim.Micros

	report              report
	injected            map[string]int
	outcomes            map[value.Outcome]int
	reasons             map[value.RefusalReason]int
	crashContents       []*crashContent
	viewSplits          int
	staleFrames         int
	interruptedRequests int
	// tokenEvents counts the arrivals of calls with a token that didn't start an execution, by what happened to them.
	tokenEvents map[string]int
}

// Run runs random faults for a duration in simulated seconds. It prints a report and returns the number of violations.
func Run(out io.Writer, seed uint64, seconds int) int {
	w := newWorld(seed, sim.Micros(seconds)*sim.Second)
	w.run()
	return w.printReport(out, seed)
}

// run processes events until the end of the run.
func (w *world) run() {
	for {
		e, ok := w.events.Next(w.endTime)
		if !ok {
			return
		}
		w.dispatch(e)
	}
}

// newWorld returns a world at the site with the shorter distances between data centres.
func newWorld(seed uint64, duration sim.Micros) *world {
	return newWorldAt(sim.Sites[1], seed, duration)
}

// newWorldAt returns a world whose processes start at time zero.
func newWorldAt(site sim.Site, seed uint64, duration sim.Micros) *world {
	w := &world{
		site: site, random: rand.New(rand.NewPCG(seed, 0)), endTime: duration, reportLag: defaultReportLag,
		report:   report{map[invar.Invariant]int{}, map[invar.Invariant]int{}, nil},
		injected: map[string]int{}, outcomes: map[value.Outcome]int{}, reasons: map[value.RefusalReason]int{},
		tokenEvents: map[string]int{}, lastFaultEnd: -faultAftermath - sim.Second,
	}
	for range classes {
		w.demandFactors = append(w.demandFactors, 1)
	}
	for range w.site.Datacentres {
		w.blockedLinks = append(w.blockedLinks, make([]int, w.site.Datacentres))
	}
	instances := w.site.Instances(enginePool)
	for i := range serviceCount {
		instances = instances.Append(value.Instance{}.WithName(fmt.Sprintf("service-%d", i+1)).WithKind("service").WithPool(servicePool).
			WithRegion("central").WithDatacentre(w.site.Datacentre(i)))
	}
	for i := range instances.Len() {
		s := &server{index: i, instance: instances.At(i), up: true, attempts: map[string]*attempt{}}
		s.batch = s.newBatch()
		w.servers = append(w.servers, s)
		w.events.After(reportInterval, serverEvent{i, 0, loadReportDue{}})
	}
	w.generation = 1
	w.crashContents = []*crashContent{{}}
	w.published = &platformState{view: snapshot(1, 0)}
	for i := range w.site.Routers {
		w.processes = append(w.processes, &process{index: i, name: fmt.Sprintf("router-%d", i+1)})
	}
	for _, p := range w.processes {
		w.startProcess(p)
	}
	w.published = &platformState{w.published.view, w.listInstances()}
	w.events.After(5*sim.Second, requestDue{})
	w.events.After(settleTime, faultDue{})
	w.events.After(inspectInterval, inspectionDue{})
	return w
}

// dispatch handles one event.
func (w *world) dispatch(e event) {
	switch x := e.(type) {
	case processEvent:
		p := w.processes[x.router]
		switch {
		case !p.up || p.incarnation != x.incarnation:
		case p.pausedUntil > w.events.Now():
			w.events.After(p.pausedUntil-w.events.Now(), x)
		default:
			w.handleProcessInput(p, x.input)
		}
	case serverEvent:
		s := w.servers[x.server]
		if s.up && s.epoch == x.epoch {
			w.handleServerInput(s, x.input)
		} else if opened, ok := x.input.(attemptOpened); ok {
			w.postToIncarnation(w.processes[opened.attempt.router], opened.attempt.id.Incarnation(), 0,
				connectionEnded{opened.attempt.id, value.EndKindCrashed})
		}
	case requestDue:
		w.submitNext()
	case faultDue:
		if !w.scripted && w.events.Now() < w.endTime-2*settleTime {
			w.beginNextFault()
		}
	case delayedAction:
		x.run(w)
	case inspectionDue:
		w.checkWaitingTimes()
		w.checkOrphanedSlots()
		w.events.After(inspectInterval, inspectionDue{})
	case inForceDue:
		w.checkInForce(x.version)
	}
}

// submitNext submits a random request and schedules the next one.
func (w *world) submitNext() {
	total := 0.0
	for i, c := range classes {
		total += c.requestsPerSecond * float64(w.demandFactors[i])
	}
	w.events.After(sim.Micros(w.random.ExpFloat64()/total*float64(sim.Second)), requestDue{})
	point := w.random.Float64() * total
	for i, c := range classes {
		if point -= c.requestsPerSecond * float64(w.demandFactors[i]); point >= 0 {
			continue
		}
		tokens := 1
		if !c.service {
			tokens = 3 + int(w.random.ExpFloat64()*float64(c.meanTokens))
		}
		w.submit(&job{class: c.name, tokens: tokens, repeatable: !c.service})
		return
	}
}

// submit sends a job to a ready router, as a load balancer does; it returns false when none is ready.
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
	w.submittedJobs++
	j.number, j.submittedAt = w.submittedJobs, w.events.Now()
	p := ready[w.random.IntN(len(ready))]
	if j.repeatable || j.number%callsPerTokenless == 0 {
		w.post(p, w.site.ClientLatency, requestReceived{job: j})
		return true
	}
	issuer := ready[w.random.IntN(len(ready))]
	j.token = idem.NewToken(issuer.incarnation, issuer.tokenRecords.Window(w.events.Now().Millis()), strconv.Itoa(j.number))
	w.post(p, w.site.ClientLatency, requestReceived{job: j})
	for range w.random.IntN(maxResends + 1) {
		router := ready[w.random.IntN(len(ready))]
		w.post(router, w.site.ClientLatency+sim.Micros(w.random.Int64N(int64(resendWindow))), requestReceived{job: j})
	}
	return true
}

// crashContent is crash-inducing content that its caller sends again after each failure.
type crashContent struct {
	remainingSends int
	crashes        int
	// viewsSplit is set when a fault kept the routers from sharing one view while the content was sent.
	viewsSplit bool
}

// sendCrashContent begins to send crash-inducing content; the groups are numbered from 1.
func (w *world) sendCrashContent(sends int) {
	w.crashContents = append(w.crashContents, &crashContent{remainingSends: sends})
	w.resendCrashContent(len(w.crashContents) - 1)
}

// resendCrashContent sends the content of a group once more through a random ready router.
func (w *world) resendCrashContent(contentGroup int) {
	content := w.crashContents[contentGroup]
	content.viewsSplit = content.viewsSplit || w.viewSplits > 0
	if content.remainingSends == 0 || w.events.Now() > w.endTime-settleTime {
		return
	}
	content.remainingSends--
	w.activateFault(resendDelay, func(w *world) {
		if !w.submit(&job{class: classes[0].name, tokens: 20, repeatable: true, contentGroup: contentGroup}) {
			w.resendCrashContent(contentGroup)
		}
	})
}

// publish publishes a configuration, or two different ones of the same generation.
func (w *world) publish(conflicting bool) {
	w.generation++
	v := snapshot(w.generation, 0)
	w.published = &platformState{v, w.published.instances}
	if conflicting {
		w.events.After(sim.Second, delayedAction{func(w *world) {
			w.published = &platformState{snapshot(v.Generation(), 1), w.published.instances}
		}})
	}
	w.events.After(inForceLimit, inForceDue{v.Version()})
}

// listInstances returns the running instances.
func (w *world) listInstances() value.List[value.Instance] {
	var instances value.List[value.Instance]
	for _, s := range w.servers {
		if s.up {
			instances = instances.Append(s.instance.WithLeaving(s.leaving))
		}
	}
	for _, p := range w.processes {
		if p.up {
			instances = instances.Append(value.Instance{}.WithName(p.name).WithKind("router").WithRegion("central").
				WithDatacentre(w.site.Datacentre(p.index)).WithLeaving(p.leaving))
		}
	}
	return instances
}

// publishInstances publishes the instance list after its lag.
func (w *world) publishInstances() {
	w.events.After(listLag, delayedAction{func(w *world) { w.published = &platformState{w.published.view, w.listInstances()} }})
}

// post schedules an input for the present incarnation of a process.
func (w *world) post(p *process, delay sim.Micros, x processInput) {
	w.postToIncarnation(p, p.incarnation, delay, x)
}

// postToIncarnation schedules an input for a given incarnation of a process.
func (w *world) postToIncarnation(p *process, incarnation uint64, delay sim.Micros, x processInput) {
	w.events.After(delay, processEvent{p.index, incarnation, x})
}

// transmit sends a message from one process to another. A blocked link breaks at both ends after suspectTimeout, and the
// sender learns of an ended incarnation after one round trip.
func (w *world) transmit(p *process, to endpoint, x processInput) {
	q := w.processes[to.router]
	if a, ok := x.(gatewayMessage); ok && to.local {
		a.from.local = true
		x = a
	}
	if q != p && w.blockedLinks[w.datacentreOf(p.index)][w.datacentreOf(q.index)] > 0 {
		w.post(p, suspectTimeout, linkLost{to})
		w.postToIncarnation(q, to.incarnation, suspectTimeout, linkLost{p.endpoint()})
		return
	}
	if q.incarnation != to.incarnation || !q.up {
		w.post(p, w.site.OneWayLatency(p.index, q.index)*2, linkLost{to})
		return
	}
	w.postToIncarnation(q, to.incarnation, w.site.OneWayLatency(p.index, q.index), x)
}

// linkOpen reports whether messages from a server reach a router.
func (w *world) linkOpen(server, router int) bool {
	return w.blockedLinks[w.datacentreOf(server)][w.datacentreOf(router)] == 0
}

// datacentreOf returns the number of the data centre of an instance.
func (w *world) datacentreOf(i int) int { return i % w.site.Datacentres }

// endpointOf returns the endpoint of a member.
func (w *world) endpointOf(m value.Member) endpoint {
	return endpoint{w.processNamed(m.Name()).index, m.Incarnation(), false}
}

// gatewayEndpoint returns the endpoint of the gateway to which a dispatcher's message goes.
func (w *world) gatewayEndpoint(body value.DispatcherMessageBody) (endpoint, bool) {
	var incarnation uint64
	switch b := body.(type) {
	case value.Grant:
		incarnation = b.Attempt().Incarnation()
	case value.Refusal:
		incarnation = b.Attempt().Incarnation()
	case value.Preempt:
		incarnation = b.Attempt().Incarnation()
	case value.Query:
		return endpoint{}, false
	}
	for _, p := range w.processes {
		if p.incarnation == incarnation {
			return p.endpoint(), true
		}
	}
	return endpoint{}, false
}

func (w *world) processNamed(name string) *process {
	i := slices.IndexFunc(w.processes, func(p *process) bool { return p.name == name })
	return w.processes[i]
}

func (w *world) serverNamed(name string) *server {
	i := slices.IndexFunc(w.servers, func(s *server) bool { return s.instance.Name() == name })
	return w.servers[i]
}

// countFault counts a fault under its type name.
func (w *world) countFault(f fault) {
	w.injected[strings.TrimPrefix(fmt.Sprintf("%T", f), "soak.")]++
}

// printReport prints seed, faults, checks and violations, and returns the number of violations.
func (w *world) printReport(out io.Writer, seed uint64) int {
	_, _ = fmt.Fprintf(out, "seed %d number\n", seed)
	_, _ = fmt.Fprintf(out, "length %d s\n", w.endTime/sim.Second)
	_, _ = fmt.Fprintf(out, "requests %d requests\n", w.submittedJobs)
	for _, o := range slices.Sorted(maps.Keys(w.outcomes)) {
		_, _ = fmt.Fprintf(out, "outcome.%s %d requests\n", o, w.outcomes[o])
	}
	for _, x := range slices.Sorted(maps.Keys(w.reasons)) {
		_, _ = fmt.Fprintf(out, "refused.%s %d requests\n", x, w.reasons[x])
	}
	_, _ = fmt.Fprintf(out, "broken_with_router %d requests\n", w.interruptedRequests)
	_, _ = fmt.Fprintf(out, "stale_frames %d frames\n", w.staleFrames)
	total := w.printCrashContents(out)
	for _, k := range slices.Sorted(maps.Keys(w.tokenEvents)) {
		_, _ = fmt.Fprintf(out, "token.%s %d arrivals\n", k, w.tokenEvents[k])
	}
	for _, k := range slices.Sorted(maps.Keys(w.injected)) {
		_, _ = fmt.Fprintf(out, "fault.%s %d faults\n", k, w.injected[k])
	}
	for _, c := range invar.All() {
		_, _ = fmt.Fprintf(out, "check.%s %d checks\n", c, w.report.checked[c])
		_, _ = fmt.Fprintf(out, "violation.%s %d violations\n", c, w.report.violated[c])
		total += w.report.violated[c]
	}
	for _, d := range w.report.details {
		_, _ = fmt.Fprintf(out, "# %s\n", d)
	}
	_, _ = fmt.Fprintf(out, "violations %d violations\n", total)
	return total
}

// printCrashContents prints how many servers crash-inducing content crashed; it returns the number of groups above the limit.
func (w *world) printCrashContents(out io.Writer) int {
	worst, worstSplit, above, checked := 0, 0, 0, 0
	for _, x := range w.crashContents[1:] {
		if x.viewsSplit {
			worstSplit = max(worstSplit, x.crashes)
			continue
		}
		checked++
		worst = max(worst, x.crashes)
		if x.crashes > maxCrashesPerContent {
			above++
		}
	}
	_, _ = fmt.Fprintf(out, "poison_worst %d crashes\npoison_worst_split %d crashes\n", worst, worstSplit)
	_, _ = fmt.Fprintf(out, "check.crash_limit %d checks\nviolation.crash_limit %d violations\n", checked, above)
	return above
}
