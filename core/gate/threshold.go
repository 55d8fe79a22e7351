package gate

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// lowDelayRatio is the share of the target delay below which the threshold rises.
	// Between this share and 1 the threshold does not change.
	lowDelayRatio = 0.5
	// drainGain and minDrainFactor determine which fraction of the start rate is
	// admitted while the queue is too long. Slightly fewer requests are admitted than
	// started, so that the queue drains. Meanwhile the queue order protects more
	// important levels.
	drainGain      = 0.1
	minDrainFactor = 0.9
	// shedGain is the share of the surplus that is shed while no request at an admitted
	// level was rejected or evicted for lack of queue space. It keeps one noisy window
	// from leaving slots idle.
	shedGain = 0.5
	// maxShedShare is the maximum share of the admitted demand that one window sheds.
	// Just after a target became slow, no requests end for a while, so the start rate
	// is unreliable.
	maxShedShare = 0.5
	// raiseGain is the share of the free capacity that raises admit within one service
	// time. Requests admitted by a raise are visible as in flight only after that time,
	// so a higher gain would overshoot.
	raiseGain = 0.5
	// minRaiseShare is the share of the capacity by which the threshold keeps rising to
	// probe for capacity when all slots are in use.
	minRaiseShare = 0.02
	// maxRaiseBusy and maxRaiseIdle limit the size of a single raise in levels, because
	// the demand of the levels above the threshold may be unknown. Idle gates reopen
	// fully within six windows.
	maxRaiseBusy = 16
	maxRaiseIdle = 64
	// idleUtilization is the utilization of the limit below which a gate is idle.
	idleUtilization = 0.75
	// demandWeight is the weight of the latest window in the demand of admitted levels,
	// and shedWeight that in the demand of the other levels. Callers that have received
	// the threshold do not send those levels, so the demand observed before the
	// threshold fell is kept longer: half of it remains after 14 windows.
	demandWeight = 0.4
	shedWeight   = 0.05
	// minThreshold always admits some critical requests, because a gate that admits
	// nothing gets no samples. If assured requests alone exceed the capacity of the
	// target, minThresholdAssured is the minimum instead.
	minThreshold        = outcome.Level(outcome.Critical) * outcome.Cohorts
	minThresholdAssured = outcome.Level(1)
)

// windowStats holds the measurements of one window.
type windowStats struct {
	duration time.Duration
	// starts is the number of requests that the target can start in the window.
	starts float64
	// delayRatio is the standing queue delay divided by the target delay.
	delayRatio float64
	// queueOverflow is set if requests at admitted levels were rejected or evicted for
	// lack of queue space.
	queueOverflow bool
	// utilization is the mean share of the limit that was in use.
	utilization float64
	// capacity is the request rate that the limit and the service time allow, in
	// requests per second. It is infinite while the service time is unknown.
	capacity float64
	// serviceTime is the mean service time.
	serviceTime time.Duration
}

// A threshold controls the highest admitted level. It measures the demand of each
// level, including rejected requests, and so computes how far to move instead of
// searching step by step.
type threshold struct {
	level outcome.Level
	// offeredByLevel counts the offers of each level in the current window.
	offeredByLevel [levelCount]float64
	// demand is the rate of offers of each level in requests per second. Above the
	// threshold it decays slowly, because callers that have received the threshold do
	// not send these levels.
	demand [levelCount]float64
}

// adjust moves the threshold according to a finished window and resets the counts.
func (t *threshold) adjust(w windowStats) {
	t.updateDemand(w.duration)
	t.offeredByLevel = [levelCount]float64{}
	switch {
	case w.delayRatio > 1 || w.queueOverflow:
		t.lower(w)
	case w.delayRatio < lowDelayRatio:
		t.raise(w)
	}
}

// lower moves the threshold down until the demand of the admitted levels fits the start
// rate.
func (t *threshold) lower(w windowStats) {
	factor := 1 - drainGain*(w.delayRatio-1)
	factor = math.Min(1, math.Max(minDrainFactor, factor))
	allowed := factor * w.starts / seconds(w.duration)
	demand := sum(t.demand[:t.level+1])
	surplus := math.Min(demand-allowed, maxShedShare*demand)
	if !w.queueOverflow {
		surplus *= shedGain
	}
	floor := minThreshold
	if sum(t.demand[:minThreshold]) > allowed {
		floor = minThresholdAssured
	}
	for surplus > 0 && t.level > floor {
		surplus -= t.demand[t.level]
		t.level--
	}
}

// raise moves the threshold up by a part of the free capacity, but by at least one
// level.
func (t *threshold) raise(w windowStats) {
	gain := raiseGain * math.Min(1, seconds(w.duration)/seconds(w.serviceTime))
	freeCapacity := w.capacity * math.Max(minRaiseShare, gain*(1-w.utilization))
	maxSteps := maxRaiseBusy
	if w.utilization < idleUtilization {
		maxSteps = maxRaiseIdle
	}
	for step := 0; step < maxSteps && t.level < outcome.MaxLevel; step++ {
		freeCapacity -= t.demand[t.level+1]
		if freeCapacity < 0 && step > 0 {
			return
		}
		t.level++
	}
}

// updateDemand adds the offers of the window to the moving averages of the demand.
func (t *threshold) updateDemand(duration time.Duration) {
	for level := range t.demand {
		weight := demandWeight
		if outcome.Level(level) > t.level {
			weight = shedWeight
		}
		rate := t.offeredByLevel[level] / seconds(duration)
		t.demand[level] += weight * (rate - t.demand[level])
	}
}

// seconds returns a duration in seconds, at least 1 ms, so that it can be a divisor.
func seconds(duration time.Duration) float64 {
	return math.Max(duration.Seconds(), 0.001)
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
