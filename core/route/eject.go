package route

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// evaluateInterval is the interval between comparisons of the targets of
	// one service.
	evaluateInterval = 20 * time.Millisecond
	// minOutcomes is the number of outcomes below which a target is not
	// compared.
	minOutcomes = 5
	// maxOutcomeAge is the age of the latest outcome above which a target is
	// not compared.
	maxOutcomeAge = 2 * time.Second
	// A target is slow if its latency exceeds the median of its peers by both
	// the factor slowFactor and the difference slowGap. The difference is
	// larger than the round trip between zones (2 ms).
	slowFactor = 3
	slowGap    = 5 * time.Millisecond
	// minSlowOutcomes is the number of outcomes below which no target is
	// considered slow.
	minSlowOutcomes = 10
	// trialSlowFactor replaces slowFactor for the single latency of a trial
	// call. Of exponentially distributed latencies, 1 in 400 exceeds the mean
	// by this factor.
	trialSlowFactor = 6
	// A target is failing if its share of failures is at least minFailedShare
	// and exceeds the median of its peers by at least failedMargin.
	minFailedShare = 0.5
	failedMargin   = 0.3
	// A target refuses all calls if its share of refusals is at least
	// minRefusedShare while the median of its peers is below
	// maxPeerRefusedShare. Overload of all targets raises the median and ejects
	// none of them.
	minRefusedShare     = 0.9
	maxPeerRefusedShare = 0.5
	// maxEjectedShare is the maximum share of the reachable targets that may be
	// ejected after comparison.
	maxEjectedShare = 0.5
	// lostEjectionBase and outlierEjectionBase are the first ejection times
	// after a lost connection and after a comparison. Each further ejection
	// doubles the time, up to maxEjection. The longest ejection together with
	// the ramp stays within the recovery goal of 5 s.
	lostEjectionBase    = 250 * time.Millisecond
	outlierEjectionBase = time.Second
	maxEjection         = 3 * time.Second
	// ejectionResetAfter is the time without ejection after which the next
	// ejection time starts from the base again.
	ejectionResetAfter = 30 * time.Second
	// A trial without a response counts as failed after trialTimeout plus
	// trialMedianFactor times the median latency of the peers.
	trialTimeout      = time.Second
	trialMedianFactor = 4
	// trialRetryDelay is the time to the next trial after an inconclusive one.
	trialRetryDelay = 100 * time.Millisecond
	// downTrialInterval is the interval between trial calls to a target whose
	// gate reports it down.
	downTrialInterval = time.Second
	// After a readmission, the probability with which a sampled target is
	// accepted grows from rampInitialShare to 1 over rampDuration.
	rampDuration     = 2 * time.Second
	rampInitialShare = 0.1
)

// A Cause is the reason for an ejection.
type Cause uint8

// Causes of ejection.
const (
	CauseNone Cause = iota
	CauseConnectionLost
	CauseFailing
	CauseSlow
	CauseRefusing
)

// String returns the cause in words, or the empty string for CauseNone.
func (c Cause) String() string {
	return [...]string{"", "connection lost", "failing", "slow", "refusing"}[c]
}

// An Event describes an ejection or a readmission.
type Event struct {
	Service string
	Target  Target
	// Ejected is true for an ejection and false for a readmission.
	Ejected bool
	Cause   Cause
	// Duration is the time until the trial call; zero for a readmission.
	Duration time.Duration
}

// A verdict classifies a result by what it says about the target.
type verdict uint8

const (
	verdictNeutral verdict = iota // does not depend on the target
	verdictGood
	verdictFailed
	verdictLost // the connection failed
	verdictRefused
)

// classify returns the verdict of a result. Refusals that depend on the request
// rather than on the target are neutral, as are refusals because of a service
// that the target calls.
func classify(result Result) verdict {
	if result.Outcome == outcome.Completed {
		if result.ErrorResponse {
			return verdictFailed
		}
		return verdictGood
	}
	switch result.Reason {
	case outcome.ConnectFailed:
		return verdictLost
	case outcome.AnswerLost:
		if result.NodeResponded {
			// The target lost its response, which its node reported.
			return verdictFailed
		}
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
	phaseChanging // another goroutine is writing the fields of the next phase
)

// A state says how routing may use an endpoint. Values from stateDown on never
// get calls, not even in a scan of all endpoints.
type state uint8

const (
	stateOpen           state = iota
	stateTrialDue             // one trial call may be claimed
	stateOutlier              // ejected after comparison; usable in panic mode
	stateConnectionLost       // ejected after a lost connection
	stateDown                 // reported down by its gate
	stateDraining
)

// String returns the name of the state for operators.
func (s state) String() string {
	return [...]string{"open", "trial due", "ejected", "connection lost", "down", "draining"}[s]
}

// state returns the routing state at the given time.
func (e *Endpoint) state(at int64) state {
	if e.draining.Load() {
		return stateDraining
	}
	if e.down.Load() {
		return trialDueOr(at-e.downAt.Load() >= int64(downTrialInterval), stateDown)
	}
	switch e.phase.Load() {
	case phaseNormal:
		return stateOpen
	case phaseEjected:
		return trialDueOr(at >= e.ejectedUntil.Load(), e.ejectedState())
	case phaseTrial:
		return trialDueOr(e.trialExpired(at), e.ejectedState())
	default:
		return e.ejectedState()
	}
}

func (e *Endpoint) trialExpired(at int64) bool {
	limit := int64(trialTimeout) + trialMedianFactor*int64(e.service.latencyMedian.load())
	return at-e.since.Load() >= limit
}

func trialDueOr(due bool, otherwise state) state {
	if due {
		return stateTrialDue
	}
	return otherwise
}

func (c *counters) ejectedState() state {
	if Cause(c.cause.Load()) == CauseConnectionLost {
		return stateConnectionLost
	}
	return stateOutlier
}

// claimTrial claims the single trial call; only one of several concurrent
// claims succeeds. If an earlier trial expired without a response, it ejects
// the target again instead.
func (e *Endpoint) claimTrial(at int64) bool {
	if e.down.Load() {
		since := e.downAt.Load()
		return at-since >= int64(downTrialInterval) && e.downAt.CompareAndSwap(since, at)
	}
	if e.phase.Load() == phaseTrial {
		e.eject(at, phaseTrial, Cause(e.cause.Load()))
		return false
	}
	// The start of the trial is stored before the phase, so that phaseTrial is
	// never seen with the start time of the ejection.
	e.since.Store(at)
	return e.phase.CompareAndSwap(phaseEjected, phaseTrial)
}

// releaseTrial makes a trial due again after trialRetryDelay, because its
// result says nothing about the cause of the ejection.
func (c *counters) releaseTrial(at int64, latency time.Duration) {
	if c.startedBeforePhase(at, latency) {
		return
	}
	if c.phase.CompareAndSwap(phaseTrial, phaseChanging) {
		c.ejectedUntil.Store(at + int64(trialRetryDelay))
		c.phase.Store(phaseEjected)
	}
}

// startedBeforePhase reports whether a call that ends now started before the
// current phase, so that its result must not affect the phase.
func (c *counters) startedBeforePhase(at int64, latency time.Duration) bool {
	return at-int64(latency) < c.since.Load()
}

// updatePhase changes the phase if this one result is sufficient reason.
func (e *Endpoint) updatePhase(at int64, result Result, verdict verdict) {
	e.updateDown(at, result)
	if e.startedBeforePhase(at, result.Latency) {
		return
	}
	switch e.phase.Load() {
	case phaseTrial:
		e.finishTrial(at, result, verdict)
	case phaseNormal:
		e.ejectIfLost(at, phaseNormal, verdict)
	case phaseEjected:
		// In panic mode, ejected targets get calls too.
		if Cause(e.cause.Load()) != CauseConnectionLost {
			e.ejectIfLost(at, phaseEjected, verdict)
		}
	}
}

// ejectIfLost ejects the target if the connection was lost.
func (e *Endpoint) ejectIfLost(at int64, expected uint32, verdict verdict) {
	if verdict == verdictLost {
		e.eject(at, expected, CauseConnectionLost)
	}
}

// updateDown records whether the gate responded that its target is down.
func (e *Endpoint) updateDown(at int64, result Result) {
	if result.Outcome == outcome.Completed {
		e.down.Store(false)
		return
	}
	if result.Reason == outcome.TargetDown {
		e.downAt.Store(at)
		e.down.Store(true)
	}
}

// finishTrial readmits the target or ejects it again, according to the result
// of the trial call.
func (e *Endpoint) finishTrial(at int64, result Result, verdict verdict) {
	latency := result.scaled(float64(result.Latency))
	switch {
	case verdict == verdictGood && !isSlow(latency, e.service.meanLatency.load(), trialSlowFactor):
		e.readmit(at, latency)
	case verdict == verdictGood:
		e.eject(at, phaseTrial, CauseSlow)
	case verdict == verdictLost:
		e.eject(at, phaseTrial, CauseConnectionLost)
	case verdict == verdictRefused:
		e.finishRefusedTrial(at, result)
	default:
		e.eject(at, phaseTrial, CauseFailing)
	}
}

// finishRefusedTrial handles a trial call that was refused. Refusals are common
// during overload. A refusal proves that the connection works, but says nothing
// about latency or failures.
func (e *Endpoint) finishRefusedTrial(at int64, result Result) {
	common := e.service.refused.load() >= maxPeerRefusedShare
	switch cause := Cause(e.cause.Load()); {
	case cause == CauseConnectionLost, cause == CauseRefusing && common:
		e.readmit(at, e.service.latencyMedian.load())
	case cause == CauseRefusing:
		e.eject(at, phaseTrial, CauseRefusing)
	default:
		e.releaseTrial(at, result.Latency)
	}
}

// readmit ends the ejection, resets the observations that led to it and starts
// the ramp.
func (e *Endpoint) readmit(at int64, latency float64) {
	if !e.phase.CompareAndSwap(phaseTrial, phaseChanging) {
		return
	}
	e.latency.store(latency)
	e.meanLatency.store(latency)
	e.failed.store(0)
	e.refused.store(0)
	e.outcomeCount.Store(0)
	e.rampStartedAt.Store(at)
	e.since.Store(at)
	e.phase.Store(phaseNormal)
	e.service.updatePanic(at)
	e.service.notify(Event{Target: e.target, Cause: Cause(e.cause.Load())})
}

// eject stops calls to the target for a time that grows with each ejection. It
// does nothing if the phase is not the expected one.
func (e *Endpoint) eject(at int64, expected uint32, cause Cause) {
	if !e.phase.CompareAndSwap(expected, phaseChanging) {
		return
	}
	if expected == phaseNormal && at-e.since.Load() > int64(ejectionResetAfter) {
		e.ejections.Store(0)
	}
	duration := ejectionTime(cause, e.ejections.Add(1))
	e.cause.Store(uint32(cause))
	e.ejectedUntil.Store(at + int64(duration))
	e.since.Store(at)
	e.phase.Store(phaseEjected)
	e.service.updatePanic(at)
	e.service.notify(Event{Target: e.target, Ejected: true, Cause: cause, Duration: duration})
}

// ejectionTime returns the duration of the n-th ejection, counted from 1.
func ejectionTime(cause Cause, n uint32) time.Duration {
	base := outlierEjectionBase
	if cause == CauseConnectionLost {
		base = lostEjectionBase
	}
	doublings := min(n-1, 10)
	return min(base<<doublings, maxEjection)
}

// rampShare returns the probability with which a sampled endpoint is accepted,
// from rampInitialShare to 1.
func (c *counters) rampShare(at int64) float64 {
	from := c.rampStartedAt.Load()
	if from == 0 || at-from >= int64(rampDuration) {
		return 1
	}
	progress := float64(max(at-from, 0)) / float64(rampDuration)
	return rampInitialShare + (1-rampInitialShare)*progress
}
