package soak

import "time"

const (
	// stallCheckInterval is the time between two readings of the clock.
	stallCheckInterval = 50 * time.Millisecond
	// stallThreshold is the time between two readings above which the soak process
	// counts as stalled. It is not above the slack of any rule with a time bound.
	stallThreshold = 200 * time.Millisecond
)

// recordStalls records the periods in which the soak process itself did not run,
// until done is closed. What its clients and targets observe in such a period says
// nothing about the nodes.
func (h *History) recordStalls(done <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			add(h, &h.Disturbances, &Disturbance{Kind: RunnerStalled, VM: allVMs, From: last, To: now})
		}
		last = now
	}
}

// stalled reports whether the soak process stalled between two times.
func (h *History) stalled(from, to time.Time) bool {
	return !h.noDisturbance(from, to, func(d *Disturbance) bool { return d.Kind == RunnerStalled })
}

// maxStall returns the longest time for which the soak process did not run.
func (h *History) maxStall() time.Duration {
	longest := time.Duration(0)
	for _, d := range h.Disturbances {
		if d.Kind == RunnerStalled {
			longest = max(longest, d.To.Sub(d.From))
		}
	}
	return longest
}
