package gate

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// worstCritical is the level of the critical class that is shed first.
const worstCritical = outcome.Level(outcome.Critical)*outcome.Cohorts + outcome.Cohorts - 1

// tick converts the time and closes the window if it is due. A time before the
// latest one is taken as the latest one.
func (g *Gate) tick(now time.Time) time.Duration {
	before := g.latest
	g.latest = max(g.latest, now.Sub(g.epoch))
	g.totals.Busy += time.Duration(g.inFlight) * (g.latest - before)
	age := g.latest - g.window.start
	if age < g.config.Window {
		return g.latest
	}
	g.limiter.Advance(now)
	if age > longestGap*g.config.Window {
		g.reopen()
		return g.latest
	}
	if g.windowDue(age) {
		g.closeWindow(g.latest, age)
	}
	return g.latest
}

// windowDue reports whether the window counted enough. An idle gate needs no
// counts to rise.
func (g *Gate) windowDue(age time.Duration) bool {
	if g.window.offers >= windowOffers || age >= patience*g.config.Window {
		return true
	}
	return g.queue.length == 0 && 2*g.inFlight < g.limiter.Limit()
}

// closeWindow moves the threshold and evicts what is above it.
func (g *Gate) closeWindow(at, age time.Duration) {
	w := g.load(age)
	g.resetWindow(at)
	g.lastExcess = w.excess
	if g.config.AdmitAll {
		return
	}
	g.threshold.adjust(w)
	// A trial of the limiter halves the capacity for some service times, which
	// would shed critical requests that the target can take.
	g.limiter.AllowTrials(g.epoch.Add(at), g.threshold.level > worstCritical)
	for g.queue.length > 0 && g.queue.worst() > g.threshold.level {
		g.evict(at, g.queue.buckets[g.queue.worst()].head)
	}
}

// load sums up the window.
func (g *Gate) load(age time.Duration) load {
	w := load{
		duration:   age,
		starts:     math.Max(float64(g.window.starts), g.expectedStarts(age)),
		capacity:   float64(g.limiter.Limit()) / (g.service.mean / float64(time.Second)),
		service:    time.Duration(g.service.mean),
		lackedRoom: g.window.lackedRoom > 0,
		use:        float64(g.inFlight) / float64(g.limiter.Limit()),
	}
	if g.window.useSamples > 0 {
		w.use = g.window.use / float64(g.window.useSamples)
	}
	standing := min(g.window.standing, g.queue.length)
	interval := float64(age) / math.Max(1, w.starts)
	target := math.Max(float64(g.config.TargetDelay), delayIntervals*interval)
	target = math.Max(target, delayShare*g.service.mean)
	w.excess = float64(standing) * interval / target
	return w
}

// expectedStarts returns the number of starts that the limit and the service
// time allow in a time. Starts that are counted may be fewer for a while, when
// the limit was cut and the surplus of requests must end first. It is zero if
// no request ended for some service times, because the target may hang.
func (g *Gate) expectedStarts(length time.Duration) float64 {
	mean := g.service.mean
	if mean == 0 || float64(g.latest-g.service.updated) > hangTimes*mean {
		return 0
	}
	return float64(length) / mean * float64(g.limiter.Limit())
}

func (g *Gate) resetWindow(at time.Duration) {
	g.window = tally{start: at, standing: math.MaxInt}
}

// reopen forgets what is too old to say anything about the present load.
func (g *Gate) reopen() {
	g.threshold = threshold{level: outcome.MaxLevel}
	g.lastExcess = 0
	g.resetWindow(g.latest)
}

// sampleUse records which share of the limit is in use.
func (g *Gate) sampleUse() {
	use := float64(g.inFlight) / float64(g.limiter.Limit())
	g.window.use += math.Min(1, use)
	g.window.useSamples++
}
