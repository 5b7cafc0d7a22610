package gate

import (
	"context"

	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/value"
)

// start opens an attempt on the granted server in a goroutine of its own.
func (s *session) start(x call.Start) {
	ctx, cancel := context.WithCancel(context.Background())
	id := x.Grant.Attempt()
	now := s.clock.Now()
	s.live[id.Number()] = &stream{cancel: cancel, started: now, marked: now}
	work := attemptWork(s.work, x)
	go func() {
		defer cancel()
		kind := s.client.Run(ctx, x.Grant.Address(), id, work, func(part engine.Item) bool {
			return s.offer(ctx, item{attempt: id, part: part})
		})
		s.close(ctx, id, kind)
	}()
}

// attemptWork returns the call of one attempt.
func attemptWork(work engine.Call, x call.Start) engine.Call {
	switch w := work.(type) {
	case engine.Completion:
		w.Priority = x.Grant.Priority()
		w.Resume = x.Resume
		return w
	case engine.ServiceCall:
		return w
	}
	return work
}

// offer queues a part of an answer; it waits while the caller is slow and reports false when the attempt is over.
func (s *session) offer(ctx context.Context, i item) bool {
	select {
	case s.items <- i:
		return true
	case <-ctx.Done():
		return false
	case <-s.done:
		return false
	}
}

// close reports the end of an attempt behind its last frame.
func (s *session) close(ctx context.Context, id value.Attempt, kind value.EndKind) {
	s.offer(ctx, item{attempt: id, kind: kind})
}

// stop cancels an attempt's connection.
func (s *session) stop(id value.Attempt) {
	if l, ok := s.live[id.Number()]; ok {
		l.cancel()
		delete(s.live, id.Number())
	}
}

// receive handles the next item of an attempt.
func (s *session) receive(i item) {
	switch part := i.part.(type) {
	case nil:
		delete(s.live, i.attempt.Number())
		s.ledger.closed(i.kind)
		s.apply(call.AttemptEnded{Attempt: i.attempt, Kind: i.kind})
	case engine.Frame:
		if s.accept(i.attempt, part.Seq) {
			s.ledger.checkFrame(i.attempt, part.Seq)
			s.emit(i.attempt, s.sink.Frame(part.Data))
		}
	case engine.Answer:
		if s.accept(i.attempt, 0) {
			s.ledger.checkFrame(i.attempt, 0)
			s.emit(i.attempt, s.sink.Answer(part))
		}
	}
}

// accept reports whether the frame goes to the caller.
func (s *session) accept(id value.Attempt, seq int32) bool {
	for {
		state, verdict := s.state.Accept(id, seq)
		switch verdict {
		case call.VerdictEmit:
			s.state = state
			return true
		case call.VerdictFirst:
			s.apply(call.FirstFrame{Attempt: id})
			s.disarm()
		case call.VerdictGap:
			s.stop(id)
			s.apply(call.AttemptEnded{Attempt: id, Kind: value.EndKindFailed})
			return false
		case call.VerdictDrop, call.VerdictStale:
			s.Stale.Add(1)
			return false
		}
	}
}

// emit handles the result of passing a frame to the caller and reports progress.
func (s *session) emit(id value.Attempt, err error) {
	if err != nil {
		s.apply(call.CallerDisconnected{})
		return
	}
	l, ok := s.live[id.Number()]
	if !ok {
		return
	}
	l.frames++
	if l.frames == 1 {
		l.first = s.clock.Now() - l.started
	}
	if l.frames == 1 || l.frames-l.shown >= progressFrames {
		s.progress(id, l)
	}
}

// progress reports the tokens of an attempt to its dispatcher.
func (s *session) progress(id value.Attempt, l *stream) {
	now := s.clock.Now()
	p := value.Progress{}.WithAttempt(id).WithTokens(l.frames).WithShard(s.state.Ask().Shard()).
		WithFirstTokenMs(int64(l.first))
	if n := l.frames - l.shown; l.shown > 0 && n > 0 {
		p = p.WithInterTokenMs(int64(now-l.marked) / int64(n))
	}
	l.shown, l.marked = l.frames, now
	s.send(p)
}
