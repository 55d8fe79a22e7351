package gate

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// calmExcess is the share of the target delay below which the threshold
	// rises. Between it and 1 the threshold holds.
	lowDelayRatio = 0.5
	// drainGain and lowestFactor shape the admitted share of the started rate
	// while the queue is too long: a bit less is admitted than started, so that
	// the queue drains. The order of the queue protects better levels meanwhile.
	drainGain      = 0.1
	minDrainFactor = 0.9
	// lowerGain is the share of the surplus that is shed while the queue still
	// has room, so that one window of noise does not idle the slots.
	shedGain = 0.5
	// steepestFall is the largest share of the admitted demand that one window
	// sheds. Right after a target became slow no request ends for a while, and
	// the rate of starts says little.
	maxShedShare = 0.5
	// raiseGain is the share of the free capacity that raises hand out within
	// one service time. Requests that a raise admits are seen in flight only
	// after that time, so a higher gain would overshoot.
	raiseGain = 0.5
	// leastRaise is the share of the capacity by which the threshold keeps
	// probing when all slots are in use.
	minRaiseShare = 0.02
	// busyLevels and idleLevels bound one raise in levels, for levels whose
	// demand is not known. Idle gates reopen fully within six windows.
	maxRaiseBusy = 16
	maxRaiseIdle = 64
	// idleUse is the use of slots below which a gate is idle.
	idleUtilization = 0.75
	// demandWeight is the weight of the newest window in the demand of levels
	// that are admitted, shedWeight in that of other levels. Callers that know
	// the threshold do not send these, so what was seen before it fell is
	// remembered longer: half of it remains after 14 windows.
	demandWeight = 0.4
	shedWeight   = 0.05
	// lowestThreshold always admits some critical requests, because a gate that
	// admits nothing learns nothing. It holds unless assured requests alone are
	// more than the target can take; then lowestAssured does.
	minThreshold        = outcome.Level(outcome.Critical) * outcome.Cohorts
	minThresholdAssured = outcome.Level(1)
)

// load is what one window showed.
type windowStats struct {
	duration time.Duration
	// starts is the number of requests that the target can start.
	starts float64
	// excess is the standing queue delay divided by the target delay.
	delayRatio float64
	// lackedRoom tells that requests at admitted levels were refused or evicted.
	queueOverflow bool
	// use is the mean share of the limit that was in use.
	utilization float64
	// capacity is the rate that limit and service time allow, in requests per
	// second; infinite while the service time is not known.
	capacity float64
	// service is the mean service time.
	serviceTime time.Duration
}

// threshold controls the highest admitted level. It counts the demand of each
// level, refused demand included, so that it computes how far to move instead
// of searching for it.
type threshold struct {
	level outcome.Level
	// seen counts the offers of each level in the current window.
	offeredByLevel [levelCount]float64
	// demand is the rate of offers of each level in requests per second. Above
	// the threshold it is remembered for a while, because callers that know
	// the threshold do not send these levels.
	demand [levelCount]float64
}

// adjust moves the threshold by one window and begins the next one.
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

// lower moves down until the demand of the admitted levels fits the rate at
// which requests start.
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

// raise moves up by a part of the free capacity, at least one level.
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

// remember merges the offers of the window into the demand.
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

// seconds returns the length of a window for a division.
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
