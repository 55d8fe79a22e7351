package soak

import "time"

const (
	// stallTick is the time between two looks at the clock.
	stallCheckInterval = 50 * time.Millisecond
	// longestTick is the time between two looks from which on the soak's process
	// counts as stalled. It is within the slack of every rule with a time bound.
	stallThreshold = 200 * time.Millisecond
)

// watchStalls notes the times in which the soak's own process did not run. What
// its clients and targets saw then says nothing about the nodes.
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

// stalled tells whether the soak's process stalled between two times.
func (h *History) stalled(from, to time.Time) bool {
	return !h.noDisturbance(from, to, func(d *Disturbance) bool { return d.Kind == RunnerStalled })
}

// longestStall returns the longest time in which the soak's process did not run.
func (h *History) maxStall() time.Duration {
	longest := time.Duration(0)
	for _, d := range h.Disturbances {
		if d.Kind == RunnerStalled {
			longest = max(longest, d.To.Sub(d.From))
		}
	}
	return longest
}
