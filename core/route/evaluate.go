package route

import "slices"

// evaluate compares the targets of the node's own region and ejects outliers.
// It runs in a goroutine that calls End, once per evaluateInterval; concurrent
// calls return immediately.
func (s *service) evaluate(at int64) {
	last := s.evaluatedAt.Load()
	if at-last < int64(evaluateInterval) || !s.evaluating.CompareAndSwap(false, true) {
		return
	}
	defer s.evaluating.Store(false)
	s.evaluatedAt.Store(at)
	v := s.view.Load()
	peers := v.medians(at)
	if peers.latency > 0 {
		s.latencyMedian.store(peers.latency)
		s.meanLatency.store(peers.meanLatency)
	}
	s.refused.store(peers.refused)
	s.updateLoad(v, at)
	s.updatePanic(at)
	for _, e := range v.close {
		s.compare(peers, e, at)
	}
}

// compare ejects a target if it is an outlier and maxEjectedShare permits it.
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

// comparable reports whether the target is not ejected and has enough recent
// outcomes.
func (c *counters) comparable(at int64) bool {
	return c.phase.Load() == phaseNormal && c.outcomeCount.Load() >= minOutcomes && at-c.lastOutcomeAt.Load() < int64(maxOutcomeAge)
}

// medians holds the lower medians over the compared targets of the region. With
// two targets, the lower median is the better of the two values.
type medians struct{ latency, meanLatency, failed, refused float64 }

// medians returns the values with which targets are compared.
func (v *view) medians(at int64) medians {
	var latency, meanLatency, failed, refused [MaxSubsetSize]float64
	n := 0
	for _, e := range v.close {
		if !e.comparable(at) {
			continue
		}
		latency[n] = e.latency.load()
		meanLatency[n] = e.meanLatency.load()
		failed[n] = e.failed.load()
		refused[n] = e.refused.load()
		n++
	}
	return medians{
		latency:     lowerMedian(latency[:n]),
		meanLatency: lowerMedian(meanLatency[:n]),
		failed:      lowerMedian(failed[:n]),
		refused:     lowerMedian(refused[:n]),
	}
}

// lowerMedian sorts the values and returns their lower median, or zero if there
// are none.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// outlier returns the cause for which a target should be ejected, or CauseNone.
func (m medians) outlier(c *counters) Cause {
	failed, refused := c.failed.load(), c.refused.load()
	switch {
	case failed >= minFailedShare && failed >= m.failed+failedMargin:
		return CauseFailing
	case refused >= minRefusedShare && m.refused < maxPeerRefusedShare:
		return CauseRefusing
	case c.outcomeCount.Load() >= minSlowOutcomes && isSlow(c.meanLatency.load(), m.meanLatency, slowFactor):
		return CauseSlow
	default:
		return CauseNone
	}
}

// isSlow reports whether a latency is much higher than the median of the peers.
// It returns false if there is no median.
func isSlow(latency, median, factor float64) bool {
	return median > 0 && latency > factor*median && latency > median+float64(slowGap)
}

// stateCounts counts the reachable endpoints of the node's own region,
// including those ejected after comparison (outliers). Endpoints ejected after
// a lost connection are not reachable.
type stateCounts struct{ reachable, outliers int }

// stateCounts counts the endpoints by their state at the given time.
func (v *view) stateCounts(at int64) stateCounts {
	var t stateCounts
	for _, e := range v.close {
		switch e.state(at) {
		case stateOpen:
			t.reachable++
		case stateOutlier:
			t.reachable++
			t.outliers++
		case stateTrialDue:
			if e.ejectedState() == stateOutlier && !e.down.Load() {
				t.reachable++
				t.outliers++
			}
		}
	}
	return t
}

// mayEject reports whether the share of ejected endpoints stays within
// maxEjectedShare after one more ejection.
func (s *service) mayEject(at int64) bool {
	t := s.view.Load().stateCounts(at)
	return float64(t.outliers+1) <= maxEjectedShare*float64(t.reachable)
}

// updatePanic switches panic mode on or off.
func (s *service) updatePanic(at int64) {
	t := s.view.Load().stateCounts(at)
	s.panic.Store(float64(t.outliers) > maxEjectedShare*float64(t.reachable))
}

func (s *service) notify(event Event) {
	if s.observer == nil {
		return
	}
	event.Service = s.name
	s.observer(event)
}
