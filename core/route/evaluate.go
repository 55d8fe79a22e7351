package route

import "slices"

// evaluate compares the targets of the own region and ejects outliers. It runs
// in the goroutine of the End that finds it due; concurrent calls skip it.
func (s *service) evaluate(at int64) {
	last := s.evaluatedAt.Load()
	if at-last < int64(evaluateEvery) || !s.evaluating.CompareAndSwap(false, true) {
		return
	}
	defer s.evaluating.Store(false)
	s.evaluatedAt.Store(at)
	v := s.view.Load()
	peers := v.medians(at)
	if peers.latency > 0 {
		s.median.store(peers.latency)
		s.steady.store(peers.steady)
	}
	s.refused.store(peers.refused)
	s.countEjected(at)
	for _, e := range v.close {
		s.compare(peers, e, at)
	}
}

// compare ejects one target if it is an outlier and the bound permits it.
func (s *service) compare(peers medians, e *Endpoint, at int64) {
	if !e.comparable(at) {
		return
	}
	cause := peers.outlier(e.counters)
	if cause == CauseNone || !s.mayEject(at) {
		return
	}
	e.eject(at, phaseNormal, cause)
}

// comparable tells whether the target is in routing and enough recent outcomes
// are known.
func (c *counters) comparable(at int64) bool {
	return c.phase.Load() == phaseNormal && c.judged.Load() >= minJudged && at-c.judgedAt.Load() < int64(judgedLife)
}

// medians are the lower medians over the compared targets of the region. With
// two targets the lower median is the better one of the two.
type medians struct{ latency, steady, failed, refused float64 }

// medians computes the values that targets are compared with.
func (v *view) medians(at int64) medians {
	var latency, steady, failed, refused [MaxSubsetSize]float64
	n := 0
	for _, e := range v.close {
		if !e.comparable(at) {
			continue
		}
		latency[n] = e.latency.load()
		steady[n] = e.steady.load()
		failed[n] = e.failed.load()
		refused[n] = e.refused.load()
		n++
	}
	return medians{
		latency: lowerMedian(latency[:n]),
		steady:  lowerMedian(steady[:n]),
		failed:  lowerMedian(failed[:n]),
		refused: lowerMedian(refused[:n]),
	}
}

// lowerMedian sorts the values; it is zero if there are none.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// outlier returns the cause for which a target stands out from its peers.
func (m medians) outlier(c *counters) Cause {
	failed, refused := c.failed.load(), c.refused.load()
	switch {
	case failed >= failedShare && failed >= m.failed+failedMargin:
		return CauseFailing
	case refused >= refusedShare && m.refused < refusedPeers:
		return CauseRefusing
	case c.judged.Load() >= minSlowJudged && isSlow(c.steady.load(), m.steady, slowFactor):
		return CauseSlow
	default:
		return CauseNone
	}
}

// isSlow compares a latency with the median of the peers. Without a median
// nothing is slow.
func isSlow(latency, median, factor float64) bool {
	return median > 0 && latency > factor*median && latency > median+float64(slowGap)
}

// tally counts the endpoints of the own region by standing.
type tally struct{ reachable, bad int }

func (v *view) tally(at int64) tally {
	var t tally
	for _, e := range v.close {
		switch e.standing(at) {
		case standingOpen:
			t.reachable++
		case standingBad:
			t.reachable++
			t.bad++
		case standingTrialDue:
			if e.ejectedStanding() == standingBad && !e.down.Load() {
				t.reachable++
				t.bad++
			}
		}
	}
	return t
}

// mayEject tells whether one more ejection keeps the bound.
func (s *service) mayEject(at int64) bool {
	t := s.view.Load().tally(at)
	return float64(t.bad+1) <= maxEjectedShare*float64(t.reachable)
}

// countEjected enters or leaves panic mode.
func (s *service) countEjected(at int64) {
	t := s.view.Load().tally(at)
	s.panic.Store(float64(t.bad) > maxEjectedShare*float64(t.reachable))
}

func (s *service) notify(event Event) {
	if s.observer == nil {
		return
	}
	event.Service = s.name
	s.observer(event)
}
