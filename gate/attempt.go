package gate

import (
	"context"

	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/value"
)

// startAttempt runs an attempt on the granted server in its own goroutine.
func (s *session) startAttempt(x call.Start) {
	ctx, cancel := context.WithCancel(context.Background())
	id := x.Grant.Attempt()
	now := s.clock.Now()
	s.streams[id.Number()] = &stream{cancel: cancel, startedAt: now, reportedAt: now}
	work := attemptCall(s.work, x)
	go func() {
		defer cancel()
		kind := s.client.Run(ctx, x.Grant.Address(), id, work, func(part engine.Item) bool {
			return s.queuePart(ctx, queuedPart{attempt: id, part: part})
		})
		s.queueEnd(ctx, id, kind)
	}()
}

// attemptCall returns the call of an attempt with the priority and resume position of its grant.
func attemptCall(work engine.Call, x call.Start) engine.Call {
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

// queuePart queues a part of a response. It blocks while the queue is full because the caller is slow, and reports false if the attempt is over.
func (s *session) queuePart(ctx context.Context, p queuedPart) bool {
	select {
	case s.parts <- p:
		return true
	case <-ctx.Done():
		return false
	case <-s.done:
		return false
	}
}

// queueEnd queues the end of an attempt after its last part.
func (s *session) queueEnd(ctx context.Context, id value.Attempt, kind value.EndKind) {
	s.queuePart(ctx, queuedPart{attempt: id, endKind: kind})
}

// stopAttempt closes the connection of an attempt.
func (s *session) stopAttempt(id value.Attempt) {
	if st, ok := s.streams[id.Number()]; ok {
		st.cancel()
		delete(s.streams, id.Number())
	}
}

// handlePart handles the next part or the end of an attempt.
func (s *session) handlePart(p queuedPart) {
	switch part := p.part.(type) {
	case nil:
		delete(s.streams, p.attempt.Number())
		s.checks.attemptEnded(p.endKind)
		s.apply(call.AttemptEnded{Attempt: p.attempt, Kind: p.endKind})
	case engine.Frame:
		if s.accept(p.attempt, part.Seq) {
			s.checks.checkFrame(p.attempt, part.Seq)
			s.afterDelivery(p.attempt, s.sink.Frame(part.Data))
		}
	case engine.Answer:
		if s.accept(p.attempt, 0) {
			s.checks.checkFrame(p.attempt, 0)
			s.afterDelivery(p.attempt, s.sink.Answer(part))
		}
	}
}

// accept reports whether the frame is to be delivered to the caller.
func (s *session) accept(id value.Attempt, seq int32) bool {
	for {
		state, verdict := s.state.Accept(id, seq)
		switch verdict {
		case call.VerdictEmit:
			s.state = state
			return true
		case call.VerdictFirst:
			s.apply(call.FirstFrame{Attempt: id})
			s.clearTimers()
		case call.VerdictGap:
			s.stopAttempt(id)
			s.apply(call.AttemptEnded{Attempt: id, Kind: value.EndKindFailed})
			return false
		case call.VerdictDrop, call.VerdictStale:
			s.Stale.Add(1)
			return false
		}
	}
}

// afterDelivery handles the result of delivering a frame to the caller and reports progress.
func (s *session) afterDelivery(id value.Attempt, err error) {
	if err != nil {
		s.apply(call.CallerDisconnected{})
		return
	}
	st, ok := s.streams[id.Number()]
	if !ok {
		return
	}
	st.frames++
	if st.frames == 1 {
		st.firstFrameDelay = s.clock.Now() - st.startedAt
	}
	if st.frames == 1 || st.frames-st.reportedFrames >= framesPerReport {
		s.reportProgress(id, st)
	}
}

// reportProgress sends the number of frames and the latencies of an attempt to its dispatcher.
func (s *session) reportProgress(id value.Attempt, st *stream) {
	now := s.clock.Now()
	p := value.Progress{}.WithAttempt(id).WithTokens(st.frames).WithShard(s.state.Ask().Shard()).
		WithFirstTokenMs(int64(st.firstFrameDelay))
	if n := st.frames - st.reportedFrames; st.reportedFrames > 0 && n > 0 {
		p = p.WithInterTokenMs(int64(now-st.reportedAt) / int64(n))
	}
	st.reportedFrames, st.reportedAt = st.frames, now
	s.send(p)
}
