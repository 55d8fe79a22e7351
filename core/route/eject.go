package route

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// evaluateEvery is the interval between comparisons of the targets of one
	// service.
	evaluateEvery = 20 * time.Millisecond
	// minJudged is the number of outcomes below which a target is not compared.
	minJudged = 5
	// judgedLife is the age of the latest outcome above which a target is not
	// compared.
	judgedLife = 2 * time.Second
	// slowFactor and slowGap: a target is slow if its latency is above the
	// median of its peers by this factor and by at least this difference. The
	// gap exceeds the round trip between zones (2 ms).
	slowFactor = 3
	slowGap    = 5 * time.Millisecond
	// minSlowJudged is the number of outcomes below which no target is slow.
	minSlowJudged = 10
	// trialSlowFactor is the factor for the single latency of a trial; of
	// exponentially distributed latencies 1 in 400 exceeds it.
	trialSlowFactor = 6
	// failedShare and failedMargin: a target is failing if its share of failures
	// is at least this high and above the median of its peers by the margin.
	failedShare  = 0.5
	failedMargin = 0.3
	// refusedShare and refusedPeers: a target refuses everything if its share of
	// refusals is at least this high while the median of its peers is below
	// refusedPeers. Common overload raises the median and ejects nobody.
	refusedShare = 0.9
	refusedPeers = 0.5
	// maxEjectedShare bounds the ejected share of the reachable targets.
	maxEjectedShare = 0.5
	// lostBase and badBase are the first ejection times after a lost connection
	// and after a comparison; each further ejection doubles them up to
	// longestEjection. The longest time and the ramp together stay within the
	// goal of 5 s for recovery.
	lostBase        = 250 * time.Millisecond
	badBase         = time.Second
	longestEjection = 3 * time.Second
	// forgiveAfter is the time in routing after which ejection times start from
	// the base again.
	forgiveAfter = 30 * time.Second
	// trialTimeout plus trialMedians times the median latency of the peers is the
	// time after which an unanswered trial counts as failed.
	trialTimeout = time.Second
	trialMedians = 4
	// trialPause is the time to the next trial after one that says nothing.
	trialPause = 100 * time.Millisecond
	// downRecheck is the interval of trials at a target that is reported down.
	downRecheck = time.Second
	// rampTime and rampStart: after a return the accepted share of samples grows
	// from rampStart to 1 over rampTime.
	rampTime  = 2 * time.Second
	rampStart = 0.1
)

// Cause is why a target was ejected.
type Cause uint8

// Causes of ejection.
const (
	CauseNone Cause = iota
	CauseConnectionLost
	CauseFailing
	CauseSlow
	CauseRefusing
)

// String returns the cause in words; empty for CauseNone.
func (c Cause) String() string {
	return [...]string{"", "connection lost", "failing", "slow", "refusing"}[c]
}

// Event reports an ejection or a return.
type Event struct {
	Service string
	Target  Target
	// Ejected is false when the target returns.
	Ejected bool
	Cause   Cause
	// Duration is the time until the trial call; zero when the target returns.
	Duration time.Duration
}

// verdict classifies a result with regard to the target that gave it.
type verdict uint8

const (
	verdictNeutral verdict = iota // says nothing about the target
	verdictGood
	verdictFailed
	verdictLost // the connection failed
	verdictRefused
)

// judge classifies a result. Refusals that depend on the request and not on the
// target are neutral, as are refusals because of a service behind the target.
func judge(result Result) verdict {
	if result.Outcome == outcome.Completed {
		if result.ErrorResponse {
			return verdictFailed
		}
		return verdictGood
	}
	switch result.Reason {
	case outcome.ConnectFailed, outcome.AnswerLost:
		return verdictLost
	case outcome.AnswerTruncated, outcome.Internal, outcome.TargetDown:
		return verdictFailed
	case outcome.DeadlineExceeded:
		return verdictFailed
	case outcome.Overloaded, outcome.EvictedFromQueue, outcome.TargetRefused, outcome.DeadlineUnmeetable:
		return verdictRefused
	default:
		return verdictNeutral
	}
}

// Phases of ejection.
const (
	phaseNormal uint32 = iota
	phaseEjected
	phaseTrial
	phaseChanging // the fields of the next phase are being written
)

// standing is what routing may do with an endpoint.
type standing uint8

const (
	standingOpen     standing = iota
	standingTrialDue          // one trial call may be claimed
	standingBad               // ejected after comparison; usable in panic mode
	standingLost              // ejected after a lost connection
	standingDown              // reported down
	standingDraining
)

// String returns the short name for operators.
func (s standing) String() string {
	return [...]string{"open", "trial due", "ejected", "connection lost", "down", "draining"}[s]
}

// standing returns the current standing.
func (e *Endpoint) standing(at int64) standing {
	if e.draining.Load() {
		return standingDraining
	}
	if e.down.Load() {
		return dueOr(at-e.downAt.Load() >= int64(downRecheck), standingDown)
	}
	switch e.phase.Load() {
	case phaseNormal:
		return standingOpen
	case phaseEjected:
		return dueOr(at >= e.until.Load(), e.ejectedStanding())
	case phaseTrial:
		return dueOr(e.trialExpired(at), e.ejectedStanding())
	default:
		return e.ejectedStanding()
	}
}

func (e *Endpoint) trialExpired(at int64) bool {
	limit := int64(trialTimeout) + trialMedians*int64(e.service.median.load())
	return at-e.since.Load() >= limit
}

func dueOr(due bool, otherwise standing) standing {
	if due {
		return standingTrialDue
	}
	return otherwise
}

func (c *counters) ejectedStanding() standing {
	if Cause(c.cause.Load()) == CauseConnectionLost {
		return standingLost
	}
	return standingBad
}

// claimTrial reserves the single trial call; of concurrent claims one succeeds.
// A trial that expired without an answer leads to the next ejection instead.
func (e *Endpoint) claimTrial(at int64) bool {
	if e.down.Load() {
		since := e.downAt.Load()
		return at-since >= int64(downRecheck) && e.downAt.CompareAndSwap(since, at)
	}
	if e.phase.Load() == phaseTrial {
		e.eject(at, phaseTrial, Cause(e.cause.Load()))
		return false
	}
	// The start of the trial is written first, so that the trial is never seen
	// with the time of the ejection.
	e.since.Store(at)
	return e.phase.CompareAndSwap(phaseEjected, phaseTrial)
}

// releaseTrial makes a trial due again after trialPause, because its result says
// nothing about the cause of the ejection.
func (c *counters) releaseTrial(at int64, latency time.Duration) {
	if c.startedBeforePhase(at, latency) {
		return
	}
	if c.phase.CompareAndSwap(phaseTrial, phaseChanging) {
		c.until.Store(at + int64(trialPause))
		c.phase.Store(phaseEjected)
	}
}

// startedBeforePhase tells whether a call that ends now started before the
// current phase, so that its result must not decide about the phase.
func (c *counters) startedBeforePhase(at int64, latency time.Duration) bool {
	return at-int64(latency) < c.since.Load()
}

// decide changes the phase after a result where one result is enough.
func (e *Endpoint) decide(at int64, result Result, verdict verdict) {
	e.noteDown(at, result)
	if e.startedBeforePhase(at, result.Latency) {
		return
	}
	switch e.phase.Load() {
	case phaseTrial:
		e.decideTrial(at, result, verdict)
	case phaseNormal:
		e.ejectLost(at, phaseNormal, verdict)
	case phaseEjected:
		// Calls reach an ejected target in panic mode.
		if Cause(e.cause.Load()) != CauseConnectionLost {
			e.ejectLost(at, phaseEjected, verdict)
		}
	}
}

// ejectLost ejects the target if the connection was lost.
func (e *Endpoint) ejectLost(at int64, expected uint32, verdict verdict) {
	if verdict == verdictLost {
		e.eject(at, expected, CauseConnectionLost)
	}
}

// noteDown follows answers of the gate that its target is down.
func (e *Endpoint) noteDown(at int64, result Result) {
	if result.Outcome == outcome.Completed {
		e.down.Store(false)
		return
	}
	if result.Reason == outcome.TargetDown {
		e.downAt.Store(at)
		e.down.Store(true)
	}
}

// decideTrial lets the target back or ejects it again.
func (e *Endpoint) decideTrial(at int64, result Result, verdict verdict) {
	latency := float64(result.Latency)
	switch {
	case verdict == verdictGood && !isSlow(latency, e.service.steady.load(), trialSlowFactor):
		e.letBack(at, latency)
	case verdict == verdictGood:
		e.eject(at, phaseTrial, CauseSlow)
	case verdict == verdictLost:
		e.eject(at, phaseTrial, CauseConnectionLost)
	case verdict == verdictRefused:
		e.decideRefusedTrial(at, result)
	default:
		e.eject(at, phaseTrial, CauseFailing)
	}
}

// decideRefusedTrial decides after a refusal, which is common during overload: it
// proves that the connection works and says nothing about latency or failures.
func (e *Endpoint) decideRefusedTrial(at int64, result Result) {
	common := e.service.refused.load() >= refusedPeers
	switch cause := Cause(e.cause.Load()); {
	case cause == CauseConnectionLost, cause == CauseRefusing && common:
		e.letBack(at, e.service.median.load())
	case cause == CauseRefusing:
		e.eject(at, phaseTrial, CauseRefusing)
	default:
		e.releaseTrial(at, result.Latency)
	}
}

// letBack starts the ramp and forgets what led to the ejection.
func (e *Endpoint) letBack(at int64, latency float64) {
	if !e.phase.CompareAndSwap(phaseTrial, phaseChanging) {
		return
	}
	e.latency.store(latency)
	e.steady.store(latency)
	e.failed.store(0)
	e.refused.store(0)
	e.judged.Store(0)
	e.rampFrom.Store(at)
	e.since.Store(at)
	e.phase.Store(phaseNormal)
	e.service.countEjected(at)
	e.service.notify(Event{Target: e.target, Cause: Cause(e.cause.Load())})
}

// eject takes the target out of routing for a time that grows with each
// ejection. It does nothing if the phase is no longer the expected one.
func (e *Endpoint) eject(at int64, expected uint32, cause Cause) {
	if !e.phase.CompareAndSwap(expected, phaseChanging) {
		return
	}
	if expected == phaseNormal && at-e.since.Load() > int64(forgiveAfter) {
		e.ejections.Store(0)
	}
	duration := ejectionTime(cause, e.ejections.Add(1))
	e.cause.Store(uint32(cause))
	e.until.Store(at + int64(duration))
	e.since.Store(at)
	e.phase.Store(phaseEjected)
	e.service.countEjected(at)
	e.service.notify(Event{Target: e.target, Ejected: true, Cause: cause, Duration: duration})
}

// ejectionTime returns the time of the n-th ejection, n from 1.
func ejectionTime(cause Cause, n uint32) time.Duration {
	base := badBase
	if cause == CauseConnectionLost {
		base = lostBase
	}
	doublings := min(n-1, 10)
	return min(base<<doublings, longestEjection)
}

// rampShare is the accepted share of samples, rampStart to 1.
func (c *counters) rampShare(at int64) float64 {
	from := c.rampFrom.Load()
	if from == 0 || at-from >= int64(rampTime) {
		return 1
	}
	progress := float64(max(at-from, 0)) / float64(rampTime)
	return rampStart + (1-rampStart)*progress
}
