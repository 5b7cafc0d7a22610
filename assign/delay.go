package assign

import "chicoryhoist.example/hoist"

// maxDelay bounds the learned delay of a rank.
const maxDelay = 4.0

// rankDelay is what a state has learned of how much later than predicted the first events of a rank come, because requests
// of higher ranks that arrive afterwards overtake them. The sums are in milliseconds and weigh older samples less.
type rankDelay struct {
	rank                int32
	predicted, observed float64
}

// withDelay returns a copy that has learned from the first event of a request at the server.
func (s State) withDelay(x server, id uint64, rate float64, now hoist.Millis) State {
	i := x.find(id)
	if i < 0 {
		return s
	}
	r := x.runs.At(i)
	predicted := r.expectedTokens / rate * x.model.factor(rate)
	if r.responded || predicted < minSampleTime {
		return s
	}
	observed := min(max(float64(now-r.placedAt), predicted/maxDelay), predicted*maxDelay)
	for j := range s.delays.Len() {
		if d := s.delays.At(j); d.rank == r.work.Rank() {
			s.delays = s.delays.With(j, rankDelay{d.rank, d.predicted*modelDecay + predicted, d.observed*modelDecay + observed})
			return s
		}
	}
	s.delays = s.delays.Append(rankDelay{r.work.Rank(), predicted + modelPrior, observed + modelPrior})
	return s
}

// delay returns the factor by which first events of the rank come later than predicted. It is at least that of the ranks
// above, so that a request is not refused where one of a lower rank would be granted.
func (s State) delay(rank int32) float64 {
	f := 1.0
	for d := range s.delays.All() {
		if d.rank <= rank {
			f = max(f, d.observed/d.predicted)
		}
	}
	return min(f, maxDelay)
}
