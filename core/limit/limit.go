// Package limit adapts the number of requests that one target may process concurrently.
//
// Model. A target spends time on its own processing of a request (the self time) and
// may wait for calls to other services. Up to a certain concurrency, the knee, the self
// time does not depend on the concurrency. Above it, the self time grows in proportion
// to the concurrency and the throughput stays constant. The best limit is at the knee
// or slightly above it.
//
// Signal. The signal is the ratio of self time to expected self time. The self time of
// a finished request is its latency less the time of its downstream calls; the expected
// time is that of its operation. Both are summed over a window before the division, so
// a shift between cheap and expensive operations does not change the ratio. Expected
// times are learned only from requests that started while the target was at most half
// full, so they do not drift upward under sustained load. Rejections by the target are
// the second signal.
//
// Reaction. A ratio above Config.Tolerance while the limit is in use may have two
// causes: either the target is past its knee, or its processing became slower at any
// concurrency, for example because of a slow disk. The limiter distinguishes them by a
// trial: it halves the concurrency and compares the ratio before and after. If the
// ratio falls with the concurrency, the lower limit stays, and it is reduced further in
// proportion while the ratio is too high. If it does not, the earlier limit is restored
// and the slowdown is accepted until a lower ratio is measured. The number of samples
// needed for a verdict depends on the measured noise. An accepted slowdown is tested by
// another trial after some time, because conditions may change. While the ratio is low
// and the limit is in use, the limit grows by a quarter per window, so a limit that is
// ten times too low recovers within ten windows.
//
// Slow downstream services. A request that waits for a slow downstream service occupies
// a slot but does not load the target. By Little's law the target needs more
// concurrency to keep its throughput, so the best limit is the number of its slots. A
// lower limit would shed work that the target can do, and a higher one would make the
// target reject requests. Downstream time is therefore subtracted, and the overload is
// handled by the gate of the slow service and the thresholds that it reports. If the
// downstream time is unknown (zero), a trial leads to the same limit slightly later,
// because the ratio does not depend on the concurrency.
package limit

import (
	"math"
	"time"
)

// Defaults and constants of the control algorithm.
const (
	// DefaultMax is the maximum limit while the number of slots is unknown.
	DefaultMax = 64
	// DefaultWindow is the minimum time between two decisions. It spans several service
	// times of typical targets.
	DefaultWindow = 50 * time.Millisecond
	// DefaultTolerance is the ratio of self time to expected time above which the limit
	// is considered too high. At 1.5, a target past its knee keeps its full throughput
	// and adds half a service time of delay.
	DefaultTolerance = 1.5
	// DefaultRampUp is the time in which a cold target reaches its number of slots. It
	// leaves 2 s of the 5 s recovery objective to the rest of the system.
	DefaultRampUp = 3 * time.Second
	// DefaultRampStart is the share of the slots available at the start of a ramp-up.
	DefaultRampStart = 0.1

	// tableSize is the number of entries in the table of expected times. Operations
	// whose numbers are equal modulo this size share an expected time.
	tableSize = 64
	// growSamples is the minimum number of samples for raising the limit. Later windows
	// correct a wrong raise.
	growSamples = 10
	// confidenceDeviations is the distance, in standard errors of the measured ratio,
	// at which a cut or a verdict needs no more samples, provided that there are at
	// least minConfidentSamples; with fewer, the standard error itself is unreliable.
	// sufficientSamples are enough at any distance. The mean of 64 exponentially
	// distributed times has a standard error of 12 %.
	confidenceDeviations = 2
	minConfidentSamples  = 24
	sufficientSamples    = 64
	// grossRatio is a ratio that noise does not reach, so that growSamples are enough
	// to act on it.
	grossRatio = 3
	// maxWindowLengths is the number of minimum window lengths after which a window
	// closes even if its samples are few and inconclusive.
	maxWindowLengths = 20
	// fastGrowth is the factor by which the limit grows per window below the knee.
	fastGrowth = 1.25
	// slowGrowth is the factor by which the limit grows while the ratio is between
	// fastGrowthBelow and the tolerance, or near a limit that was recently too high.
	slowGrowth      = 1.03
	fastGrowthBelow = 1.2
	// ceilingDuration is how long the limit grows slowly near a limit that was too
	// high.
	ceilingDuration = time.Second
	// trialFactor is the factor by which a trial changes the concurrency. The effect of
	// a smaller change is harder to distinguish from noise and needs a longer trial: at
	// 0.7 a trial costs half as much again as at 0.5.
	trialFactor = 0.5
	// voidRatio is the factor by which the ratio has to rise during a trial for the
	// trial to be void.
	voidRatio = 1.5
	// minFurtherFactor is the minimum factor of the reduction that may follow a trial.
	minFurtherFactor = 0.25
	// refusalFactor is the factor by which the limit is reduced after a rejection by
	// the target.
	refusalFactor = 0.9
	// recheckInterval is the initial time after which an accepted slowdown is tested by
	// another trial. A verdict may be wrong, mostly because conditions changed during
	// the trial. The interval doubles with each confirmation up to maxRecheckInterval.
	// minTrialLengths is the minimum interval in trial lengths; it limits the cost of
	// rechecks to less than 3 % of the throughput.
	recheckInterval    = time.Second
	maxRecheckInterval = time.Minute
	minTrialLengths    = 20
	// settleLatencies is the number of mean latencies after a change of the limit
	// before samples count. Requests that end earlier either ran at the old limit or
	// are the shortest of those that started at the new one. A higher value would make
	// trials longer.
	settleLatencies = 1
	// relaxBelow is the ratio below which an accepted slowdown is reduced. The noise of
	// sufficientSamples rarely reaches it.
	relaxBelow = 0.8
	// relearnBelow is the ratio below which the expected times are considered wrong,
	// because they were learned from a cold or full target.
	relearnBelow = 0.5
	// minRecheckSlowdown is the slowdown above which a recheck is worth its cost.
	minRecheckSlowdown = 1.3
	// learningSamples is the number of samples over which an expected time is averaged.
	// After this number it no longer uses samples of a full target. With 256
	// exponentially distributed samples its standard error is 6 % at first and 4 %
	// later.
	learningSamples = 256
	// inUseShare is the share of the limit that has to be reached for the limit to be
	// in use.
	inUseShare = 0.9
)

// A Config holds the settings of a Limiter. Zero values select the defaults.
type Config struct {
	// Max is the maximum limit, which is the number of slots of the target; the default
	// is DefaultMax.
	Max int
	// Min is the minimum limit; the default is 1.
	Min int
	// Window is the minimum time between two decisions; the default is DefaultWindow.
	Window time.Duration
	// Tolerance is the accepted ratio of self time to expected time; the default is
	// DefaultTolerance.
	Tolerance float64
	// RampUp is the time from a cold start until the maximum limit is available; the
	// default is DefaultRampUp.
	RampUp time.Duration
	// RampStart is the share of the maximum limit available at a cold start, from 0 to
	// 1; the default is DefaultRampStart.
	RampStart float64
	// Fixed keeps the limit at its maximum. It is used as a baseline in experiments.
	Fixed bool
}

// A Sample holds the measurements of one finished request.
type Sample struct {
	// Operation is the number of the operation within its service.
	Operation uint32
	// Latency is the time from the start of the request at the target to its end.
	Latency time.Duration
	// Downstream is the part of Latency during which the request waited for calls to
	// other services; 0 if unknown.
	Downstream time.Duration
	// InFlight is the number of requests at the target when this one started, including
	// itself. The gate sets it.
	InFlight int
	// Refused is set if the target rejected the request.
	Refused bool
	// Failed is set if no complete response was received because it was lost, timed out
	// or was canceled.
	Failed bool
	// Unrepresentative is set if the response is an error or a call of the request
	// failed, so that Latency says nothing about the cost of the operation.
	Unrepresentative bool
}

// expectedTime is the mean self time of one operation at a target that is not loaded.
type expectedTime struct {
	mean  float64 // nanoseconds
	count int
}

// window collects the samples for one decision.
type window struct {
	start       time.Time
	selfTime    float64 // nanoseconds
	expectedSum float64 // nanoseconds
	latency     float64 // nanoseconds
	// selfSelf, selfExpected and expectedExpected are sums of products of self times
	// and expected times.
	selfSelf, selfExpected, expectedExpected float64
	inFlight                                 float64 // sum over samples
	maxInFlight                              int
	count                                    int
	refused                                  int
}

// trial is the state before a reduction of the limit whose effect is being measured.
type trial struct {
	active   bool
	limit    float64
	ratio    float64
	error    float64 // standard error of ratio
	inFlight float64
}

// A Limiter controls the concurrency limit of one target. It is not safe for concurrent
// use.
type Limiter struct {
	config Config
	limit  float64
	max    float64
	// slowdown is the factor on the expected times that trials have accepted.
	slowdown      float64
	expectedTimes [tableSize]expectedTime
	window        window
	trial         trial
	// noTrials disables trials.
	noTrials bool
	// suspected is set if the last window was too slow. A trial starts only after two
	// such windows: the first one was selected for its high ratio, so any later ratio
	// would look like a reduction. The settling time applies between the two windows,
	// because fast requests end first at the onset of a slowdown.
	suspected       bool
	lastTrial       time.Time
	recheckInterval time.Duration
	// settledAt is the time from which samples reflect the last change of the limit.
	settledAt time.Time
	// ceiling is the last limit found to be too high, at the time ceilingAt.
	ceiling   float64
	ceilingAt time.Time
	// rampStart is the start time of the current ramp-up, or zero if there is none.
	rampStart time.Time
	// rampCap is the limit that the ramp-up allows, and infinite without a ramp-up.
	rampCap float64
}

// New returns a Limiter whose limit is the maximum.
func New(config Config) *Limiter {
	config = config.withDefaults()
	l := &Limiter{config: config, slowdown: 1, recheckInterval: recheckInterval}
	l.max = float64(config.Max)
	l.limit = l.max
	l.rampCap = math.Inf(1)
	return l
}

func (c Config) withDefaults() Config {
	if c.Max <= 0 {
		c.Max = DefaultMax
	}
	if c.Min <= 0 {
		c.Min = 1
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	if c.Tolerance <= 1 {
		c.Tolerance = DefaultTolerance
	}
	if c.RampUp <= 0 {
		c.RampUp = DefaultRampUp
	}
	if c.RampStart <= 0 || c.RampStart > 1 {
		c.RampStart = DefaultRampStart
	}
	return c
}

// Limit returns the number of requests that may currently be at the target.
func (l *Limiter) Limit() int {
	limit := math.Min(l.limit, l.rampCap)
	limit = math.Min(limit, l.max)
	return max(l.config.Min, int(math.Ceil(limit)))
}

// SetMax sets the maximum limit. A limit that was at the old maximum moves to the new
// one.
func (l *Limiter) SetMax(slots int) {
	if slots <= 0 {
		slots = DefaultMax
	}
	atCap := l.limit >= l.max
	l.max = float64(slots)
	l.limit = math.Min(l.limit, l.max)
	if atCap {
		l.limit = l.max
	}
}

// StartRampUp starts a ramp-up from a share of the maximum limit. Expected times are
// kept, because they apply again once the target is warm.
func (l *Limiter) StartRampUp(now time.Time) {
	l.rampStart = now
	l.limit = l.max
	l.trial = trial{}
	l.window = window{start: now}
	l.Advance(now)
}

// Advance updates the ramp-up. Observe calls it; a gate without finished requests has
// to call it periodically.
func (l *Limiter) Advance(now time.Time) {
	if l.rampStart.IsZero() {
		return
	}
	done := float64(now.Sub(l.rampStart)) / float64(l.config.RampUp)
	if done >= 1 || l.config.Fixed {
		l.rampStart = time.Time{}
		l.rampCap = math.Inf(1)
		return
	}
	share := l.config.RampStart + (1-l.config.RampStart)*math.Max(0, done)
	l.rampCap = math.Max(float64(l.config.Min), share*l.max)
}

// Observe includes a finished request in the measurements and adjusts the limit if a
// decision is due.
func (l *Limiter) Observe(now time.Time, s Sample) {
	l.Advance(now)
	if l.config.Fixed {
		return
	}
	if l.window.start.IsZero() {
		l.window.start = now
	}
	l.add(now, s)
	if l.windowDue(now) {
		l.decide(now)
		l.window = window{start: now}
	}
}

// add adds a sample to the window and to the table of expected times.
func (l *Limiter) add(now time.Time, s Sample) {
	if now.Before(l.settledAt) {
		l.window.start = now
		return
	}
	if s.Refused {
		l.window.refused++
		l.window.inFlight += float64(s.InFlight)
		l.window.count++
		return
	}
	selfTime := float64(max(s.Latency-s.Downstream, 0))
	e := &l.expectedTimes[s.Operation%tableSize]
	if s.Failed && (e.count == 0 || selfTime < e.mean) {
		return
	}
	if !s.Failed {
		l.updateExpected(e, selfTime, s.InFlight)
	}
	l.window.selfTime += selfTime
	l.window.expectedSum += e.mean
	l.window.selfSelf += selfTime * selfTime
	l.window.selfExpected += selfTime * e.mean
	l.window.expectedExpected += e.mean * e.mean
	l.window.latency += float64(s.Latency)
	l.window.inFlight += float64(s.InFlight)
	l.window.maxInFlight = max(l.window.maxInFlight, s.InFlight)
	l.window.count++
}

// updateExpected updates the expected time of an operation. Samples of a target that is
// more than half full or has an accepted slowdown are used only while there are fewer
// than learningSamples.
func (l *Limiter) updateExpected(e *expectedTime, selfTime float64, inFlight int) {
	normal := 2*inFlight <= l.Limit() && l.slowdown == 1
	if !normal && e.count >= learningSamples {
		return
	}
	e.count++
	weight := 1 / float64(min(e.count, learningSamples))
	e.mean += weight * (selfTime/l.slowdown - e.mean)
}

// ratio returns the self time divided by the expected time, without the accepted
// slowdown.
func (w *window) ratio() float64 {
	if w.expectedSum == 0 {
		return 1
	}
	return w.selfTime / w.expectedSum
}

// error returns the standard error of ratio.
func (w *window) error() float64 {
	if w.expectedSum == 0 {
		return 1
	}
	r := w.ratio()
	residual := w.selfSelf - 2*r*w.selfExpected + r*r*w.expectedExpected
	return math.Sqrt(math.Max(0, residual)) / w.expectedSum
}

// windowDue reports whether the window has enough samples for a decision.
func (l *Limiter) windowDue(now time.Time) bool {
	age := now.Sub(l.window.start)
	if age < l.config.Window || l.window.count < growSamples {
		return false
	}
	if l.window.refused > 0 || age >= maxWindowLengths*l.config.Window {
		return true
	}
	if l.window.count >= sufficientSamples {
		return true
	}
	if l.trial.active {
		return l.verdictConfident()
	}
	if l.ratio() < relaxBelow {
		return l.tooFast()
	}
	return l.ratio() <= l.config.Tolerance || l.tooSlow()
}

// tooFast reports whether the ratio is below 1 by more than noise.
func (l *Limiter) tooFast() bool {
	return l.ratio() < relaxBelow && l.confident(1-l.ratio(), l.error())
}

// tooSlow reports whether the ratio is above the tolerance by more than noise.
func (l *Limiter) tooSlow() bool {
	if l.ratio() <= l.config.Tolerance {
		return false
	}
	if l.window.count >= sufficientSamples || l.ratio() > grossRatio {
		return true
	}
	return l.confident(l.ratio()-fastGrowthBelow, l.error())
}

// ratio returns the self time divided by the expected time including the accepted
// slowdown.
func (l *Limiter) ratio() float64 {
	return l.window.ratio() / l.slowdown
}

// error returns the standard error of ratio.
func (l *Limiter) error() float64 {
	return l.window.error() / l.slowdown
}

// decide applies the control algorithm to a finished window.
func (l *Limiter) decide(now time.Time) {
	switch {
	case l.window.refused > 0:
		l.cutAfterRefusal(now)
	case l.trial.active:
		l.concludeTrial(now)
	case l.tooSlow() && !l.limitInUse():
		l.suspected = false
	case l.tooSlow() && !l.suspected:
		l.suspected = true
		l.settle(now)
	case (l.tooSlow() || l.recheckDue(now)) && !l.noTrials:
		l.startTrial(now)
	default:
		l.suspected = false
		l.relax()
		l.raise(now)
	}
}

// cutAfterRefusal reduces the limit below the concurrency at which the target rejected
// requests.
func (l *Limiter) cutAfterRefusal(now time.Time) {
	refusedAt := l.window.inFlight / float64(l.window.count)
	l.trial = trial{}
	l.setCeiling(now, refusedAt)
	l.cutTo(now, refusalFactor*math.Min(l.limit, refusedAt))
}

// raise increases the limit to probe for capacity while the limit is in use.
func (l *Limiter) raise(now time.Time) {
	if !l.limitInUse() {
		return
	}
	factor := fastGrowth
	if l.ratio() > fastGrowthBelow || l.nearCeiling(now) {
		factor = slowGrowth
	}
	l.limit = math.Min(l.max, l.limit*factor)
}

// nearCeiling reports whether a fast raise would reach a limit that was recently too
// high.
func (l *Limiter) nearCeiling(now time.Time) bool {
	return fastGrowth*l.limit >= l.ceiling && now.Sub(l.ceilingAt) < ceilingDuration
}

// setCeiling records a limit that was found to be too high.
func (l *Limiter) setCeiling(now time.Time, limit float64) {
	l.ceiling = limit
	l.ceilingAt = now
}

// limitInUse reports whether the requests in flight came close enough to the limit for
// the window to show its effect.
func (l *Limiter) limitInUse() bool {
	return float64(l.window.maxInFlight) >= inUseShare*float64(l.Limit())
}

// cutTo reduces the limit, but not below the configured minimum.
func (l *Limiter) cutTo(now time.Time, limit float64) {
	l.limit = math.Max(float64(l.config.Min), limit)
	l.settle(now)
}
