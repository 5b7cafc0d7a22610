package proof

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
)

const (
	// costRequestsPerSecond and costTokensPerRequest give 100 requests and 20,000 tokens a second, the load of one node in
	// section 1.4 of the design page.
	costRequestsPerSecond = 100
	costTokensPerRequest  = 200
	// shortResponseTokens is the length of a response whose cost is mostly that of the request itself.
	shortResponseTokens = 4
	// loadDuration is the duration of one measurement.
	loadDuration = 4 * time.Second
	// addedMedianLimitUs and addedP99LimitUs bound the first-token time that the router adds, in microseconds.
	addedMedianLimitUs = 1000
	addedP99LimitUs    = 3000
	// costTimeout bounds the whole measurement.
	costTimeout = 55 * time.Second
	// clockTicksPerSecond is the unit of processor times in /proc: the value of sysconf(_SC_CLK_TCK) on Linux.
	clockTicksPerSecond = 100
	// maxRecordedUs is the highest time that the histograms record, in microseconds.
	maxRecordedUs = 60_000_000
)

// costFleet has two routers, so that one relays and the other owns the shard.
var costFleet = fleetSpec{
	routers: 2, engines: 12, datacentres: 1, slots: 32, speed: llmsrv.Speed{TokenMs: 1, PromptTokensPerMs: 1000},
}

// measurement is the result of one load; the histograms hold microseconds.
type measurement struct {
	mutex                sync.Mutex
	firstToken, response *hdrhistogram.Histogram
	requests             int
	tokens               int
	failed               int
	// lastFailure describes the last failure.
	lastFailure string
	// processorTime is the processor time that the routers used.
	processorTime time.Duration
}

// Cost measures what the router adds to a request on loopback and returns the number of missed bounds.
func Cost(ctx context.Context, w io.Writer, program string) (missed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, costTimeout)
	defer cancel()
	f, err := newFleet(ctx, program, costFleet)
	defer func() { f.stop(err != nil) }()
	if err != nil {
		return 0, err
	}
	owner, err := f.owner(ctx, enginePool)
	if err != nil {
		return 0, err
	}
	gateway := f.otherRouters(owner)[0].callerAddress
	engineAddresses := make([]string, len(f.engines))
	for i, e := range f.engines {
		engineAddresses[i] = e.address
	}
	// The first load opens the connections; its figures aren't printed.
	f.measureLoad(ctx, []string{gateway}, shortResponseTokens)
	routed := f.measureLoad(ctx, []string{gateway}, costTokensPerRequest)
	short := f.measureLoad(ctx, []string{gateway}, shortResponseTokens)
	// The direct load comes last, because its delayed load reports make the engines look busy to the router.
	direct := f.measureLoad(ctx, engineAddresses, costTokensPerRequest)
	for _, m := range []*measurement{direct, routed, short} {
		if m.failed > 0 {
			return 0, eris.Errorf("%d of %d requests failed, the last one with %s", m.failed, m.requests, m.lastFailure)
		}
	}
	perToken := (routed.processorTime - short.processorTime).Seconds() * 1e6 / float64(routed.tokens-short.tokens)
	perRequest := short.processorTime.Seconds()*1e6/float64(short.requests) - shortResponseTokens*perToken
	perResponse := routed.processorTime.Seconds() * 1e6 / float64(routed.requests)
	printFigure := func(name string, value float64, unit string) {
		_, _ = fmt.Fprintf(w, "cost.%s %.4g %s\n", name, value, unit)
	}
	for _, q := range []float64{50, 99} {
		name := fmt.Sprintf("p%.0f", q)
		printFigure("first_token_direct_"+name, float64(direct.firstToken.ValueAtQuantile(q)), "us")
		printFigure("first_token_routed_"+name, float64(routed.firstToken.ValueAtQuantile(q)), "us")
		printFigure("first_token_ratio_"+name, quantileRatio(routed.firstToken, direct.firstToken, q), "ratio")
		printFigure("whole_answer_ratio_"+name, quantileRatio(routed.response, direct.response, q), "ratio")
	}
	printFigure("processor_per_request", perRequest, "us")
	printFigure("processor_per_token", perToken, "us")
	printFigure("requests_per_core", 1e6/perResponse, "requests/s")
	for _, b := range []struct{ quantile, limit float64 }{{50, addedMedianLimitUs}, {99, addedP99LimitUs}} {
		name := fmt.Sprintf("first_token_added_p%.0f", b.quantile)
		added := float64(routed.firstToken.ValueAtQuantile(b.quantile) - direct.firstToken.ValueAtQuantile(b.quantile))
		printFigure(name, added, "us")
		verdict := "met"
		if added >= b.limit {
			verdict = "missed"
			missed++
		}
		_, _ = fmt.Fprintf(w, "bound cost.%s %.4g < %.4g %s\n", name, added, b.limit, verdict)
	}
	return missed, nil
}

// quantileRatio returns the ratio of one quantile of two histograms.
func quantileRatio(a, b *hdrhistogram.Histogram, q float64) float64 {
	return float64(a.ValueAtQuantile(q)) / float64(max(1, b.ValueAtQuantile(q)))
}

// measureLoad sends requests at a constant rate to the addresses in turn and waits for all responses.
func (f *fleet) measureLoad(ctx context.Context, addresses []string, tokens int) *measurement {
	m := &measurement{firstToken: hdrhistogram.New(1, maxRecordedUs, 3), response: hdrhistogram.New(1, maxRecordedUs, 3)}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4 * costRequestsPerSecond}}
	defer client.CloseIdleConnections()
	before := f.processorTime()
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Second / costRequestsPerSecond)
	defer ticker.Stop()
	for i := range int(loadDuration.Seconds() * costRequestsPerSecond) {
		<-ticker.C
		pending.Go(func() { m.send(ctx, client, addresses[i%len(addresses)], i, tokens) })
	}
	pending.Wait()
	m.processorTime = f.processorTime() - before
	return m
}

// send sends one request and records its times. X-Request-Id gets a distinct attempt identity, as a router sets it.
func (m *measurement) send(ctx context.Context, client *http.Client, address string, number, tokens int) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"Question %d [[tokens=%d]]"}]}`,
		model, number, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+callerSecret)
	r.Header.Set("X-Request-Id", fmt.Sprintf("1-%x-1", number))
	startedAt := time.Now()
	var firstToken time.Duration
	frames, done, status := 0, false, ""
	if response, err := client.Do(r); err == nil {
		status = response.Status
		if response.StatusCode != http.StatusOK {
			_, status = errorOutcome(response)
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
			switch {
			case !ok:
			case string(data) == "[DONE]":
				done = true
			default:
				frames++
				if frames == 1 {
					firstToken = time.Since(startedAt)
				}
			}
		}
		_ = response.Body.Close()
	}
	elapsed := time.Since(startedAt)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests++
	m.tokens += frames
	if !done || frames != tokens {
		m.failed++
		m.lastFailure = fmt.Sprintf("%d of %d frames %s", frames, tokens, status)
		return
	}
	_ = m.firstToken.RecordValue(firstToken.Microseconds())
	_ = m.response.RecordValue(elapsed.Microseconds())
}

// processorTime returns the processor time that the routers' processes have used.
func (f *fleet) processorTime() time.Duration {
	ticks := 0
	for _, r := range f.routers {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
		if err != nil {
			continue
		}
		// The fields after the parenthesised program name begin with the state, which is field 3; user and system time are
		// fields 14 and 15.
		_, afterName, _ := bytes.Cut(stat, []byte(") "))
		fields := strings.Fields(string(afterName))
		for _, i := range []int{14 - 3, 15 - 3} {
			if i < len(fields) {
				n, _ := strconv.Atoi(fields[i])
				ticks += n
			}
		}
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}
