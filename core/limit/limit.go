// Package limit adapts the number of requests that one target may process at
// the same time.
//
// Model. A target does own work for a request and may wait for calls to other
// services meanwhile. Up to some concurrency, the knee, own work takes the same
// time at any concurrency; above it, own time grows in proportion and
// throughput stays flat. The best limit is at the knee or a little above it.
//
// Signal. The own time of each finished request, which is its latency less its
// time in downstream calls, divided by the time expected for its operation.
// The sum over a window is divided, not the single values, so a shift between
// cheap and expensive operations does not move the ratio. Expected times are
// learned only from requests that started while the target was at most half
// full, so they do not drift upward under sustained load. Refusals by the
// target are the second signal.
//
// Reaction. A ratio above Config.Tolerance while the limit is in use may have
// two causes. Either the target is past its knee, or its own work became slower
// at any concurrency, for example because of a disk. The limiter finds out by a
// trial: it halves the concurrency and compares the ratio before and after. If
// the ratio falls with the concurrency, the cut stays, and goes on in proportion
// while the ratio is too high. If it does not, the earlier limit is restored and
// the slower time is accepted until a faster one is seen. A verdict needs as many
// samples as the noise that was measured demands. An accepted slowdown is put to
// trial again after some time, because conditions may change. While the ratio is
// low and the limit is in use, the limit grows by a quarter each window, so a
// limit that is ten times too low recovers within ten windows.
//
// Slow downstream services. A request that waits for a deep service holds a
// slot but does not load the target. By Little's law the target needs more
// concurrency to keep its throughput, so the right limit is as many as its slots
// allow. A lower limit would shed work that the target can do, and a higher one
// would make the target refuse. Downstream time is therefore subtracted, and
// the overload is left to the gate of the slow service and the thresholds that
// it reports. If downstream time is not known (zero), the trial comes to the
// same result a little later, because the ratio does not follow concurrency.
package limit

import (
	"math"
	"time"
)

// Defaults and constants of the control law.
const (
	// DefaultMax is the cap while no slots are known.
	DefaultMax = 64
	// DefaultWindow is the shortest time between two decisions. It is several
	// service times of the usual targets.
	DefaultWindow = 50 * time.Millisecond
	// DefaultTolerance is the ratio of own time to expected time above which
	// the limit is questioned. At 1.5 a target past its knee keeps full
	// throughput and half a service time of extra delay.
	DefaultTolerance = 1.5
	// DefaultRampUp is the time over which a cold target reaches its slots.
	// It leaves 2 s of the 5 s recovery goal to the rest of the system.
	DefaultRampUp = 3 * time.Second
	// DefaultRampStart is the share of the cap at the start of a ramp-up.
	DefaultRampStart = 0.1

	// operations is the size of the table of expected times. Operations whose
	// numbers are equal modulo this size share an expected time.
	tableSize = 64
	// growSamples is the least number of samples for a raise. A raise that
	// was wrong is corrected by the next windows.
	growSamples = 10
	// sureDeviations is the distance, in deviations of the measured ratio, at
	// which a cut or a verdict needs no more samples, if there are at least
	// sureSamples; with fewer the deviation is not known well. cutSamples is the
	// number of samples that is always enough. The mean of 64 exponential times
	// has a deviation of 12 %.
	confidenceDeviations = 2
	minConfidentSamples  = 24
	sufficientSamples    = 64
	// grossRatio is a ratio that noise does not reach, so that it needs only
	// growSamples.
	grossRatio = 3
	// patience is the number of windows after which a window closes although
	// its samples are few and not sure.
	maxWindowLengths = 20
	// growth is the factor of a raise below the knee.
	fastGrowth = 1.25
	// slowGrowth is the factor of a raise while the ratio is between quickBelow
	// and the tolerance, or near a limit that was found too high.
	slowGrowth      = 1.03
	fastGrowthBelow = 1.2
	// ceilingMemory is the time for which raises are slow near a limit that was
	// found too high.
	ceilingDuration = time.Second
	// trialCut is the factor of a trial. A smaller change of concurrency takes
	// longer to tell from noise: at 0.7 a trial costs half as much again.
	trialFactor = 0.5
	// changedRatio is the rise of the ratio during a trial that makes it void.
	voidRatio = 1.5
	// furtherCut bounds the cut that follows a trial.
	minFurtherFactor = 0.25
	// refusalCut is the factor after a refusal by the target.
	refusalFactor = 0.9
	// recheck is the time after which an accepted slowdown is put to trial
	// again, because a verdict may be wrong, mostly when conditions changed
	// during the trial. It doubles with each confirmation up to longestRecheck.
	// trialShare is the least time between rechecks in lengths of a trial, so
	// that rechecks take less than 3 % of the throughput.
	recheckInterval    = time.Second
	maxRecheckInterval = time.Minute
	minTrialLengths    = 20
	// settleTimes is the number of mean latencies after a change of the limit
	// before samples count. Earlier ones ran at the old limit, or are the
	// shortest of those that started since. More would make trials longer.
	settleLatencies = 1
	// relaxBelow is the ratio below which an accepted slowdown shrinks. Noise
	// of cutSamples rarely goes below it.
	relaxBelow = 0.8
	// wrongBelow is the ratio below which the expected times themselves are
	// wrong, because they were learned from a cold or full target.
	relearnBelow = 0.5
	// recheckSlowdown is the slowdown above which a recheck is worth its cost.
	minRecheckSlowdown = 1.3
	// learned is the number of samples over which an expected time averages,
	// and after which it takes no samples of a full target. With 256
	// exponential times its deviation is 6 % at first and 4 % later.
	learningSamples = 256
	// inUse is the share of the limit that must be reached to call it in use.
	inUseShare = 0.9
)

// Config sets the bounds and the speed of a Limiter. Zero values select the
// defaults.
type Config struct {
	// Max is the cap, the slots of the target; default DefaultMax.
	Max int
	// Min is the lowest limit; default 1.
	Min int
	// Window is the shortest time between two decisions; default DefaultWindow.
	Window time.Duration
	// Tolerance is the ratio of own to expected time that is accepted;
	// default DefaultTolerance.
	Tolerance float64
	// RampUp is the time from a cold start to the cap; default DefaultRampUp.
	RampUp time.Duration
	// RampStart is the share of the cap at a cold start, 0 to 1; default
	// DefaultRampStart.
	RampStart float64
	// Fixed keeps the limit at the cap. It is for comparisons.
	Fixed bool
}

// Sample is what the gate observed about one finished request.
type Sample struct {
	// Operation is a number of the operation within its service.
	Operation uint32
	// Latency is the time from the start at the target to its end.
	Latency time.Duration
	// Downstream is the part of Latency during which the request waited for
	// calls to other services; 0 if not known.
	Downstream time.Duration
	// InFlight is the number of requests at the target when this one started,
	// with itself. The gate fills it in.
	InFlight int
	// Refused tells that the target refused the request.
	Refused bool
	// Failed tells that no whole answer arrived: lost, timed out or cancelled.
	Failed bool
}

// expected is the own time of one operation at a target that is not loaded.
type expectedTime struct {
	mean  float64 // nanoseconds
	count int
}

// window collects the samples of one decision.
type window struct {
	start       time.Time
	selfTime    float64 // nanoseconds
	expectedSum float64 // nanoseconds
	latency     float64 // nanoseconds
	// ownOwn, ownExpect and expectExpect are sums of products.
	selfSelf, selfExpected, expectedExpected float64
	inFlight                                 float64 // sum over samples
	maxInFlight                              int
	count                                    int
	refused                                  int
}

// trial is a cut whose effect is not yet known.
type trial struct {
	active   bool
	limit    float64
	ratio    float64
	error    float64 // deviation of ratio
	inFlight float64
}

// Limiter holds the limit of one target. It is not safe for concurrent use.
type Limiter struct {
	config Config
	limit  float64
	max    float64
	// slowdown is the factor on expected times that trials accepted.
	slowdown      float64
	expectedTimes [tableSize]expectedTime
	window        window
	trial         trial
	// noTrials forbids cuts that only serve to learn.
	noTrials bool
	// suspected tells that the last window was too slow. A trial starts after
	// two such windows, because the ratio of the first one was selected for
	// being high, and any later ratio would look like a fall. Samples settle
	// between the two, because at the onset of a slowdown the fast ones end
	// first.
	suspected       bool
	lastTrial       time.Time
	recheckInterval time.Duration
	// settled is the time from which samples show the effect of the last cut
	// or restore.
	settledAt time.Time
	// ceiling is the last limit that was found too high, at ceilingAt.
	ceiling   float64
	ceilingAt time.Time
	// rampStart is the start of the ramp-up in progress; zero if none.
	rampStart time.Time
	rampCap   float64
}

// New returns a Limiter whose limit is the cap.
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

// Limit returns the number of requests that may be at the target now.
func (l *Limiter) Limit() int {
	limit := math.Min(l.limit, l.rampCap)
	limit = math.Min(limit, l.max)
	return max(l.config.Min, int(math.Ceil(limit)))
}

// SetMax sets the cap. A limit that was at the old cap moves to the new one.
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

// StartRampUp begins a ramp-up from a share of the cap. Times that were learned
// earlier stay, because a warm target has them again.
func (l *Limiter) StartRampUp(now time.Time) {
	l.rampStart = now
	l.limit = l.max
	l.trial = trial{}
	l.window = window{start: now}
	l.Advance(now)
}

// Advance moves a ramp-up on. Observe calls it; a gate without finished
// requests calls it from its timer.
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

// Observe takes one finished request into account.
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

// add puts a sample into the window and the table of expected times.
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

// learn updates the expected time of one operation from samples of a target
// that is at most half full and not slow. Other samples count only while too few
// are known.
func (l *Limiter) updateExpected(e *expectedTime, selfTime float64, inFlight int) {
	normal := 2*inFlight <= l.Limit() && l.slowdown == 1
	if !normal && e.count >= learningSamples {
		return
	}
	e.count++
	weight := 1 / float64(min(e.count, learningSamples))
	e.mean += weight * (selfTime/l.slowdown - e.mean)
}

// ratio returns own time divided by expected time, before the slowdown.
func (w *window) ratio() float64 {
	if w.expectedSum == 0 {
		return 1
	}
	return w.selfTime / w.expectedSum
}

// error returns the deviation of ratio.
func (w *window) error() float64 {
	if w.expectedSum == 0 {
		return 1
	}
	r := w.ratio()
	residual := w.selfSelf - 2*r*w.selfExpected + r*r*w.expectedExpected
	return math.Sqrt(math.Max(0, residual)) / w.expectedSum
}

// due reports whether the window holds enough for a decision.
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

// ratio returns own time divided by the time that is expected now.
func (l *Limiter) ratio() float64 {
	return l.window.ratio() / l.slowdown
}

// error returns the deviation of ratio.
func (l *Limiter) error() float64 {
	return l.window.error() / l.slowdown
}

// decide applies the control law to a full window.
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

// cutAfterRefusal goes below the concurrency at which the target refused.
func (l *Limiter) cutAfterRefusal(now time.Time) {
	refusedAt := l.window.inFlight / float64(l.window.count)
	l.trial = trial{}
	l.setCeiling(now, refusedAt)
	l.cutTo(now, refusalFactor*math.Min(l.limit, refusedAt))
}

// raise probes upward while the limit is in use.
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

// nearCeiling reports whether a quick raise would come to a limit that was found
// too high recently.
func (l *Limiter) nearCeiling(now time.Time) bool {
	return fastGrowth*l.limit >= l.ceiling && now.Sub(l.ceilingAt) < ceilingDuration
}

func (l *Limiter) setCeiling(now time.Time, limit float64) {
	l.ceiling = limit
	l.ceilingAt = now
}

func (l *Limiter) limitInUse() bool {
	return float64(l.window.maxInFlight) >= inUseShare*float64(l.Limit())
}

func (l *Limiter) cutTo(now time.Time, limit float64) {
	l.limit = math.Max(float64(l.config.Min), limit)
	l.settle(now)
}
