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
	// costRate and costTokens give 100 requests and 20,000 tokens a second, the load of one node in section 1.4.
	costRate   = 100
	costTokens = 200
	// fewTokens is the length of the answers whose cost is mostly that of the request itself.
	fewTokens = 4
	// costLength is the length of one measurement.
	costLength = 4 * time.Second
	// medianLimit and tailLimit bound the first-token time that the router adds, in microseconds.
	medianLimit = 1000
	tailLimit   = 3000
	// costTimeout bounds the whole measurement.
	costTimeout = 55 * time.Second
	// ticksPerSecond is the unit of processor times in /proc, as sysconf(_SC_CLK_TCK) has it on Linux.
	ticksPerSecond = 100
	// maxMicros bounds the histograms, in microseconds.
	maxMicros = 60_000_000
)

// costShape has two routers, so that one relays and the other owns the shard.
var costShape = shape{
	routers: 2, engines: 12, datacentres: 1, slots: 32, speed: llmsrv.Speed{TokenMs: 1, PromptTokensPerMs: 1000},
}

// measured is the result of one load, with times in microseconds.
type measured struct {
	mutex        sync.Mutex
	first, whole *hdrhistogram.Histogram
	requests     int
	tokens       int
	failed       int
	// note describes the last failure.
	note string
	// processor is the time that the routers' processes used.
	processor time.Duration
}

// Cost measures what the router adds to a request on loopback and returns the number of missed bounds.
func Cost(ctx context.Context, w io.Writer, program string) (missed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, costTimeout)
	defer cancel()
	f, err := newFleet(ctx, program, costShape)
	defer func() { f.stop(err != nil) }()
	if err != nil {
		return 0, err
	}
	owner, err := f.owner(ctx, enginePool)
	if err != nil {
		return 0, err
	}
	gateway := f.without(owner)[0].callers
	direct := make([]string, len(f.engines))
	for i, e := range f.engines {
		direct[i] = e.address
	}
	// The first load opens connections and is not printed.
	f.load(ctx, []string{gateway}, fewTokens)
	r := f.load(ctx, []string{gateway}, costTokens)
	few := f.load(ctx, []string{gateway}, fewTokens)
	// The direct load comes last, because its late load reports make the engines look busy to the router.
	d := f.load(ctx, direct, costTokens)
	for _, m := range []*measured{d, r, few} {
		if m.failed > 0 {
			return 0, eris.Errorf("%d of %d requests failed, the last with %s", m.failed, m.requests, m.note)
		}
	}
	perToken := (r.processor - few.processor).Seconds() * 1e6 / float64(r.tokens-few.tokens)
	perRequest := few.processor.Seconds()*1e6/float64(few.requests) - fewTokens*perToken
	perAnswer := r.processor.Seconds() * 1e6 / float64(r.requests)
	print := func(name string, value float64, unit string) {
		_, _ = fmt.Fprintf(w, "cost.%s %.4g %s\n", name, value, unit)
	}
	for _, q := range []float64{50, 99} {
		name := fmt.Sprintf("p%.0f", q)
		print("first_token_direct_"+name, float64(d.first.ValueAtQuantile(q)), "us")
		print("first_token_routed_"+name, float64(r.first.ValueAtQuantile(q)), "us")
		print("first_token_ratio_"+name, ratio(r.first, d.first, q), "ratio")
		print("whole_answer_ratio_"+name, ratio(r.whole, d.whole, q), "ratio")
	}
	print("processor_per_request", perRequest, "us")
	print("processor_per_token", perToken, "us")
	print("requests_per_core", 1e6/perAnswer, "requests/s")
	for _, b := range []struct{ quantile, limit float64 }{{50, medianLimit}, {99, tailLimit}} {
		name := fmt.Sprintf("first_token_added_p%.0f", b.quantile)
		added := float64(r.first.ValueAtQuantile(b.quantile) - d.first.ValueAtQuantile(b.quantile))
		print(name, added, "us")
		verdict := "met"
		if added >= b.limit {
			verdict = "missed"
			missed++
		}
		_, _ = fmt.Fprintf(w, "bound cost.%s %.4g < %.4g %s\n", name, added, b.limit, verdict)
	}
	return missed, nil
}

// ratio returns the quotient of two quantiles.
func ratio(a, b *hdrhistogram.Histogram, q float64) float64 {
	return float64(a.ValueAtQuantile(q)) / float64(max(1, b.ValueAtQuantile(q)))
}

// load sends requests of one length to the addresses in turn.
func (f *fleet) load(ctx context.Context, addresses []string, tokens int) *measured {
	m := &measured{first: hdrhistogram.New(1, maxMicros, 3), whole: hdrhistogram.New(1, maxMicros, 3)}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4 * costRate}}
	defer client.CloseIdleConnections()
	before := f.processorTime()
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / costRate)
	defer ticker.Stop()
	for i := range int(costLength.Seconds() * costRate) {
		<-ticker.C
		all.Go(func() { m.request(ctx, client, addresses[i%len(addresses)], i, tokens) })
	}
	all.Wait()
	m.processor = f.processorTime() - before
	return m
}

// request sends one request and notes its times; the attempt header stands for that of a router.
func (m *measured) request(ctx context.Context, client *http.Client, address string, number, tokens int) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"Question %d [[tokens=%d]]"}]}`,
		model, number, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+callerSecret)
	r.Header.Set("X-Request-Id", fmt.Sprintf("1-%x-1", number))
	begun := time.Now()
	var first time.Duration
	frames, done, status := 0, false, ""
	if answer, err := client.Do(r); err == nil {
		status = answer.Status
		if answer.StatusCode != http.StatusOK {
			_, status = refusal(answer)
		}
		lines := bufio.NewScanner(answer.Body)
		for lines.Scan() {
			data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
			switch {
			case !ok:
			case string(data) == "[DONE]":
				done = true
			default:
				frames++
				if frames == 1 {
					first = time.Since(begun)
				}
			}
		}
		_ = answer.Body.Close()
	}
	whole := time.Since(begun)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests++
	m.tokens += frames
	if !done || frames != tokens {
		m.failed++
		m.note = fmt.Sprintf("%d of %d frames %s", frames, tokens, status)
		return
	}
	_ = m.first.RecordValue(first.Microseconds())
	_ = m.whole.RecordValue(whole.Microseconds())
}

// processorTime returns the processor time that the routers' processes have used.
func (f *fleet) processorTime() time.Duration {
	ticks := 0
	for _, r := range f.routers {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
		if err != nil {
			continue
		}
		// The fields behind the parenthesised program name begin with the state, which is field 3; user and
		// system time are fields 14 and 15.
		_, rest, _ := bytes.Cut(stat, []byte(") "))
		fields := strings.Fields(string(rest))
		for _, i := range []int{14 - 3, 15 - 3} {
			if i < len(fields) {
				n, _ := strconv.Atoi(fields[i])
				ticks += n
			}
		}
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}
