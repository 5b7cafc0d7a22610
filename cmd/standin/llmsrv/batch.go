package llmsrv

import (
	"math"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Speed holds the service times of an engine.
type Speed struct {
	// TokenMs is the time of one decoding step, which all jobs of a batch share.
	TokenMs hoist.Millis
	// PromptTokensPerMs is the prefill rate in tokens per millisecond.
	PromptTokensPerMs int
}

// Job is one attempt inside an engine.
type Job struct {
	id           string
	priority     int32
	promptTokens int
	firstToken   int
	outputTokens int
	produced     int
	nextTokenAt  hoist.Millis
}

// NewJob returns a job that produces the tokens firstToken to outputTokens-1; promptTokens is the uncached prompt length.
func NewJob(id string, priority int32, promptTokens, firstToken, outputTokens int) Job {
	return Job{id: id, priority: priority, promptTokens: promptTokens, firstToken: firstToken, outputTokens: outputTokens}
}

// ID returns the attempt identifier.
func (j Job) ID() string { return j.id }

// Priority returns the priority; lower numbers are admitted first.
func (j Job) Priority() int32 { return j.priority }

// Produced returns the number of tokens that the attempt has produced.
func (j Job) Produced() int { return j.produced }

// NextPosition returns the position of the next token within the complete response.
func (j Job) NextPosition() int { return j.firstToken + j.produced }

// Finished reports whether every token has been produced.
func (j Job) Finished() bool { return j.NextPosition() >= j.outputTokens }

// Batch is the immutable state of continuous batching: the jobs that occupy a slot and those that wait for one.
type Batch struct {
	slots    int
	speed    Speed
	slowdown int
	running  value.List[Job]
	waiting  value.List[Job]
}

// NewBatch returns an empty batch.
func NewBatch(slots int, speed Speed) Batch { return Batch{slots: slots, speed: speed, slowdown: 1} }

// Running returns the jobs that occupy a slot.
func (b Batch) Running() value.List[Job] { return b.running }

// Waiting returns the jobs that wait for a slot, ordered by priority and then by arrival.
func (b Batch) Waiting() value.List[Job] { return b.waiting }

// Slots returns the number of jobs that can run concurrently.
func (b Batch) Slots() int { return b.slots }

// WithSlowdown returns a copy that multiplies the service times of later steps by the factor.
func (b Batch) WithSlowdown(factor int) Batch {
	b.slowdown = max(1, factor)
	return b
}

// Submit queues a job behind those with the same or a lower priority number and fills free slots.
func (b Batch) Submit(j Job, now hoist.Millis) Batch {
	index := b.waiting.Len()
	for index > 0 && b.waiting.At(index-1).priority > j.priority {
		index--
	}
	b.waiting = b.waiting.Insert(index, j)
	return b.admit(now)
}

// Cancel removes a running or waiting job and fills free slots.
func (b Batch) Cancel(id string, now hoist.Millis) Batch {
	remove := func(l value.List[Job]) value.List[Job] {
		for i := range l.Len() {
			if l.At(i).id == id {
				return l.Without(i)
			}
		}
		return l
	}
	b.running, b.waiting = remove(b.running), remove(b.waiting)
	return b.admit(now)
}

// Step produces one token for each job whose next token is due; it returns those jobs as they were before the token.
func (b Batch) Step(now hoist.Millis) (Batch, []Job) {
	jobs := slices.Collect(b.running.All())
	unfinished := jobs[:0]
	var advanced []Job
	for _, j := range jobs {
		if j.nextTokenAt > now {
			unfinished = append(unfinished, j)
			continue
		}
		advanced = append(advanced, j)
		j.produced++
		j.nextTokenAt = b.roundUpToStep(now + b.speed.TokenMs*hoist.Millis(b.slowdown))
		if !j.Finished() {
			unfinished = append(unfinished, j)
		}
	}
	b.running = value.ListOf(unfinished...)
	return b.admit(now), advanced
}

// NextTokenAt returns the time of the next token, or false when no job runs.
func (b Batch) NextTokenAt() (hoist.Millis, bool) {
	next := hoist.Millis(math.MaxInt64)
	for j := range b.running.All() {
		next = min(next, j.nextTokenAt)
	}
	return next, b.running.Len() > 0
}

// admit moves waiting jobs into free slots.
func (b Batch) admit(now hoist.Millis) Batch {
	for b.running.Len() < b.slots && b.waiting.Len() > 0 {
		j := b.waiting.At(0)
		prefill := hoist.Millis(j.promptTokens/max(1, b.speed.PromptTokensPerMs)) + b.speed.TokenMs
		j.nextTokenAt = b.roundUpToStep(now + prefill*hoist.Millis(b.slowdown))
		b.waiting = b.waiting.Without(0)
		b.running = b.running.Append(j)
	}
	return b
}

// roundUpToStep rounds a time up to the next decoding step, because all jobs of a batch share its steps.
func (b Batch) roundUpToStep(t hoist.Millis) hoist.Millis {
	step := max(1, b.speed.TokenMs)
	return (t + step - 1) / step * step
}
