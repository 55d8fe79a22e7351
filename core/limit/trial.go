package limit

import (
	"math"
	"time"
)

// startTrial cuts the limit to learn whether concurrency causes the delay.
func (l *Limiter) startTrial(now time.Time) {
	inFlight := l.window.inFlight / float64(l.window.count)
	l.trial = trial{active: true, limit: l.limit, ratio: l.ratio(), error: l.error(), inFlight: inFlight}
	l.lastTrial = now
	l.suspected = false
	l.cutTo(now, trialFactor*math.Min(l.limit, inFlight))
}

// AllowTrials tells whether a trial may cut the limit now. The owner forbids
// trials while they would cost requests of the most important class. A trial
// that is active then ends without a verdict: its limit is restored and the
// slowdown is accepted until the next recheck.
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

// acceptSlowdown makes the slower time the expected one until the recheck.
func (l *Limiter) acceptSlowdown(now time.Time, ratio float64) {
	l.slowdown = math.Max(1, l.slowdown*ratio)
	l.recheckInterval = max(2*l.recheckInterval, minTrialLengths*now.Sub(l.lastTrial))
	l.recheckInterval = min(l.recheckInterval, maxRecheckInterval)
}

// boundary returns the ratio between the two verdicts of a trial: half of the
// fall that own times proportional to concurrency would show.
func (l *Limiter) verdictBoundary() float64 {
	inFlight := l.window.inFlight / float64(l.window.count)
	proportional := l.trial.ratio * math.Min(1, inFlight/l.trial.inFlight)
	return (l.trial.ratio + proportional) / 2
}

// verdictSure reports whether the ratio is far from the boundary.
func (l *Limiter) verdictConfident() bool {
	noise := math.Hypot(l.error(), l.trial.error)
	return l.confident(math.Abs(l.ratio()-l.verdictBoundary()), noise)
}

// sure reports whether a distance is more than noise.
func (l *Limiter) confident(distance, deviation float64) bool {
	return l.window.count >= minConfidentSamples && distance > confidenceDeviations*deviation
}

// judge ends a trial. The cut stays if concurrency was the cause. If that is
// sure and the ratio is still above the tolerance, the cut goes on in proportion.
// If the ratio rose a lot, conditions changed and the trial is made again.
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

func (l *Limiter) restore(now time.Time, limit float64) {
	l.limit = limit
	l.settle(now)
}

// settle lets samples count again after some latencies.
func (l *Limiter) settle(now time.Time) {
	latency := l.window.latency / float64(max(1, l.window.count))
	l.settledAt = now.Add(time.Duration(settleLatencies * latency))
}

// recheckDue tells that an accepted slowdown must be put to trial again.
func (l *Limiter) recheckDue(now time.Time) bool {
	return l.slowdown > minRecheckSlowdown && l.limitInUse() && now.Sub(l.lastTrial) >= l.recheckInterval
}

// relax follows own times that became faster than expected: first the accepted
// slowdown shrinks, then the expected times do. Both stay at the upper end of
// what the noise allows, because a time that is too short causes trials.
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
