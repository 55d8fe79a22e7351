package limit

import (
	"math"
	"time"
)

// startTrial reduces the limit to determine whether the concurrency causes the
// slowdown.
func (l *Limiter) startTrial(now time.Time) {
	inFlight := l.window.inFlight / float64(l.window.count)
	l.trial = trial{active: true, limit: l.limit, ratio: l.ratio(), error: l.error(), inFlight: inFlight}
	l.lastTrial = now
	l.suspected = false
	l.cutTo(now, trialFactor*math.Min(l.limit, inFlight))
}

// AllowTrials sets whether trials may reduce the limit. The owner disables them while
// they would cause rejections of the most important class. A trial in progress then
// ends without a verdict: its earlier limit is restored and the slowdown is accepted
// until the next recheck.
func (l *Limiter) AllowTrials(now time.Time, allowed bool) {
	l.noTrials = !allowed
	if allowed || !l.trial.active {
		return
	}
	before, ratio := l.trial.limit, l.trial.ratio
	l.trial = trial{}
	l.acceptSlowdown(now, ratio)
	l.restore(now, before)
	l.window = window{start: now}
}

// acceptSlowdown multiplies the expected times by ratio until the next recheck.
func (l *Limiter) acceptSlowdown(now time.Time, ratio float64) {
	l.slowdown = math.Max(1, l.slowdown*ratio)
	l.recheckInterval = max(2*l.recheckInterval, minTrialLengths*now.Sub(l.lastTrial))
	l.recheckInterval = min(l.recheckInterval, maxRecheckInterval)
}

// verdictBoundary returns the ratio that separates the two verdicts of a trial. It is
// halfway between no change of the ratio and a reduction in proportion to the
// concurrency.
func (l *Limiter) verdictBoundary() float64 {
	inFlight := l.window.inFlight / float64(l.window.count)
	proportional := l.trial.ratio * math.Min(1, inFlight/l.trial.inFlight)
	return (l.trial.ratio + proportional) / 2
}

// verdictConfident reports whether the distance of the ratio from the boundary is more
// than noise.
func (l *Limiter) verdictConfident() bool {
	noise := math.Hypot(l.error(), l.trial.error)
	return l.confident(math.Abs(l.ratio()-l.verdictBoundary()), noise)
}

// confident reports whether a distance from a bound is more than noise, given its
// standard error.
func (l *Limiter) confident(distance, standardError float64) bool {
	return l.window.count >= minConfidentSamples && distance > confidenceDeviations*standardError
}

// concludeTrial ends a trial. The lower limit stays if the concurrency was the cause.
// If this verdict is confident and the ratio is still above the tolerance, the limit is
// reduced further in proportion. If the ratio rose by more than voidRatio, conditions
// changed during the trial and it is repeated.
func (l *Limiter) concludeTrial(now time.Time) {
	concurrencyCaused, confident := l.ratio() <= l.verdictBoundary(), l.verdictConfident()
	before, inFlight, ratio := l.trial.limit, l.trial.inFlight, l.trial.ratio
	l.trial = trial{}
	if l.ratio() > voidRatio*ratio {
		l.suspected = true
		l.restore(now, before)
		return
	}
	if concurrencyCaused {
		l.slowdown = math.Max(1, l.slowdown*math.Min(1, l.ratio()))
		l.recheckInterval = recheckInterval
		l.setCeiling(now, inFlight)
		if confident && l.ratio() > l.config.Tolerance {
			l.cutTo(now, l.limit*math.Max(minFurtherFactor, l.config.Tolerance/l.ratio()))
		}
		return
	}
	l.acceptSlowdown(now, l.ratio())
	l.restore(now, before)
}

// restore sets the limit to its value before a trial.
func (l *Limiter) restore(now time.Time, limit float64) {
	l.limit = limit
	l.settle(now)
}

// settle makes the limiter ignore samples until they reflect the new limit.
func (l *Limiter) settle(now time.Time) {
	latency := l.window.latency / float64(max(1, l.window.count))
	l.settledAt = now.Add(time.Duration(settleLatencies * latency))
}

// recheckDue reports whether an accepted slowdown has to be tested by another trial.
func (l *Limiter) recheckDue(now time.Time) bool {
	return l.slowdown > minRecheckSlowdown && l.limitInUse() && now.Sub(l.lastTrial) >= l.recheckInterval
}

// relax adapts to self times that became shorter than expected: it first reduces the
// accepted slowdown, then the expected times. Both stay at the upper end of the range
// of noise, because expected times that are too short cause trials.
func (l *Limiter) relax() {
	if !l.tooFast() {
		return
	}
	ratio := math.Min(1, l.ratio()+confidenceDeviations*l.error())
	if l.slowdown > 1 {
		l.slowdown = math.Max(1, l.slowdown*ratio)
		return
	}
	if ratio > relearnBelow {
		return
	}
	for i := range l.expectedTimes {
		l.expectedTimes[i].mean *= ratio
	}
}
