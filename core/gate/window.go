package gate

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// maxCriticalLevel is the least important level of the critical class, which is shed
// first.
const maxCriticalLevel = outcome.Level(outcome.Critical)*outcome.Cohorts + outcome.Cohorts - 1

// advance updates the gate's clock, closes the window if it is due, and returns the
// time relative to epoch. A time before the latest one is replaced by the latest one,
// so the clock never moves backward.
func (g *Gate) advance(now time.Time) time.Duration {
	before := g.latest
	g.latest = max(g.latest, now.Sub(g.epoch))
	g.totals.Busy += time.Duration(g.inFlight) * (g.latest - before)
	age := g.latest - g.window.start
	if age < g.config.Window {
		return g.latest
	}
	g.limiter.Advance(now)
	if age > maxIdleWindows*g.config.Window {
		g.reopen()
		return g.latest
	}
	if g.windowDue(age) {
		g.closeWindow(g.latest, age)
	}
	return g.latest
}

// windowDue reports whether the window may be closed. An idle gate may raise its
// threshold without a minimum number of offers.
func (g *Gate) windowDue(age time.Duration) bool {
	if g.window.offers >= minWindowOffers || age >= maxWindowLengths*g.config.Window {
		return true
	}
	return g.queue.length == 0 && 2*g.inFlight < g.limiter.Limit()
}

// closeWindow adjusts the threshold and evicts queued requests above it.
func (g *Gate) closeWindow(at, age time.Duration) {
	w := g.windowStats(age)
	g.resetWindow(at)
	g.lastDelayRatio = w.delayRatio
	if g.config.AdmitAll {
		return
	}
	g.threshold.adjust(w)
	// A trial of the limiter halves the capacity for several service times, which would
	// shed critical requests that the target can serve.
	g.limiter.AllowTrials(g.epoch.Add(at), g.threshold.level > maxCriticalLevel)
	for g.queue.length > 0 && g.queue.lowestPriority() > g.threshold.level {
		g.evict(at, g.queue.buckets[g.queue.lowestPriority()].head)
	}
}

// windowStats computes the measurements of the current window, whose length is age.
func (g *Gate) windowStats(age time.Duration) windowStats {
	w := windowStats{
		duration:      age,
		starts:        math.Max(float64(g.window.starts), g.expectedStarts(age)),
		capacity:      float64(g.limiter.Limit()) / (g.serviceTime.mean / float64(time.Second)),
		serviceTime:   time.Duration(g.serviceTime.mean),
		queueOverflow: g.window.queueOverflow > 0,
		utilization:   float64(g.inFlight) / float64(g.limiter.Limit()),
	}
	if g.window.utilizationSamples > 0 {
		w.utilization = g.window.utilization / float64(g.window.utilizationSamples)
	}
	standingQueue := min(g.window.standingQueue, g.queue.length)
	startInterval := float64(age) / math.Max(1, w.starts)
	target := math.Max(float64(g.config.TargetDelay), minDelayIntervals*startInterval)
	target = math.Max(target, minDelayShare*g.serviceTime.mean)
	w.delayRatio = float64(standingQueue) * startInterval / target
	return w
}

// expectedStarts returns the number of starts that the limit and the service time allow
// in a period. The counted starts may be lower for a while after the limit was cut,
// because requests above the new limit have to end first. The result is zero if no
// request has ended for several service times, because the target may hang.
func (g *Gate) expectedStarts(length time.Duration) float64 {
	mean := g.serviceTime.mean
	if mean == 0 || float64(g.latest-g.serviceTime.updated) > hangServiceTimes*mean {
		return 0
	}
	return float64(length) / mean * float64(g.limiter.Limit())
}

func (g *Gate) resetWindow(at time.Duration) {
	g.window = windowCounts{start: at, standingQueue: math.MaxInt}
}

// reopen discards state that is too old to describe the current load, and admits all
// levels.
func (g *Gate) reopen() {
	g.threshold = threshold{level: outcome.MaxLevel}
	g.lastDelayRatio = 0
	g.resetWindow(g.latest)
}

// sampleUtilization records the current share of the limit that is in use.
func (g *Gate) sampleUtilization() {
	utilization := float64(g.inFlight) / float64(g.limiter.Limit())
	g.window.utilization += math.Min(1, utilization)
	g.window.utilizationSamples++
}
