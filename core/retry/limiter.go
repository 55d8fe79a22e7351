package retry

import (
	"math"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// updateInterval is the time between two computations of the limit.
	updateInterval = 100 * time.Millisecond
	// minRefusalShare is the share of sends refused by targets from which on the limit
	// is computed. At 0.17 retries per first attempt, the budget covers a share of 0.145
	// permanently. Below this bound, single refusals on a quiet node are noise.
	minRefusalShare = 0.1
	// settleRate is how fast a raised limit is assumed to reach the entry nodes, in
	// levels per second. Until then, missing demand does not prove that there is none.
	settleRate = outcome.Cohorts
	// grantFallRate is how fast the level up to which calls get repeats follows a falling
	// limit, in levels per second. A root request makes its calls within some 100 ms, in
	// which it falls by a quarter of a class.
	grantFallRate = 5 * outcome.Cohorts / 2
	// planHorizon is the time for which the calls of admitted levels must get their
	// retries. Classes below leave what the calls of higher classes need until
	// forecastHorizon, so that a fault that lasts for longer does not reverse the order
	// of classes. A longer plan leaves more of the budget unused at the end of a fault.
	planHorizon   = 4 * time.Second
	reserveFactor = float64(forecastHorizon) / float64(planHorizon)
	// maxRepeats is the number of repeats of one call. The expected number of repeats is
	// the sum of the powers of the refusal share up to it.
	maxRepeats = 7
	classCount = int(outcome.Sheddable) + 1
)

// A Send is an attempt of a request that this node sends to the service of a Limiter.
type Send struct {
	// Level is the level of the root request, and Effective includes the boost for the
	// calls that were completed for it.
	Level     outcome.Level
	Effective outcome.Level
	// CompletedCalls is the number of calls that were completed for the root request.
	CompletedCalls uint32
	// Operation is the operation whose target makes the call. It is empty for a request
	// of a client.
	Operation string
	// ChildCall is true if a target makes the call for a request that it is processing.
	ChildCall bool
}

func (s Send) kind() Kind { return Kind{Class: s.class(), ChildCall: s.ChildCall} }

func (s Send) class() outcome.Class { return classOf(s.Level) }

// classOf returns the class of a level. Levels come from other processes and may exceed
// MaxLevel.
func classOf(level outcome.Level) outcome.Class { return min(level, outcome.MaxLevel).Class() }

// A Limiter decides which levels get the retries to one service while its targets refuse
// a part of what they receive.
//
// Model. If targets refuse a share p of the sends, a call needs p/(1-p) repeats on
// average, and a root request completes only if all of its calls get theirs. A budget
// that is spread over all root requests therefore completes few. The limiter measures p,
// the first attempts by level, and what the budget permits until the forecast horizon.
// The limit is the highest level up to which all calls get their repeats. Requests sent
// by clients need no other call to complete, so they precede the calls of their class.
//
// Reaction. Repeats of calls are spent only up to the limit. The node reports the limit
// as the threshold of the operations that need these calls (package threshold), so that
// entry nodes refuse other root requests before anything runs. Calls of running requests
// above the limit are sent once.
//
// Recovery. The limit ends as soon as the share of refusals is below minRefusalShare,
// or when the evidence has expired.
//
// A Limiter is safe for concurrent use. It keeps no state beyond the process.
type Limiter struct {
	mu       sync.Mutex
	budget   *WindowBudget
	refusals refusals
	demand   demand
	// requests is the demand of clients' requests by class.
	requests [classCount]rate
	// level is the limit. settled is the level up to which entry nodes are assumed to
	// send everything.
	level   outcome.Level
	settled outcome.Level
	// granted is the highest level whose calls get repeats. It follows a falling limit
	// with a delay, so that requests that the former limit admitted can end.
	granted outcome.Level
	// firstLevel is the highest level at which the first of many calls gets repeats.
	firstLevel outcome.Level
	engaged    bool
	updated    time.Time
	// requestShare is the share of the repeats of clients' requests that is permitted,
	// and requestCredit is the permitted part not yet used.
	requestShare  [classCount]float64
	requestCredit [classCount]float64
}

// NewLimiter returns a Limiter without evidence that spends from the budget.
func NewLimiter(now time.Time, budget *WindowBudget) *Limiter {
	return &Limiter{budget: budget, level: outcome.MaxLevel, granted: outcome.MaxLevel, settled: outcome.MaxLevel, updated: now,
		demand: demand{operations: make(map[string]*callCount)}}
}

// RecordFirstAttempt counts the first attempt of a request as demand. The budget counts
// it separately.
func (l *Limiter) RecordFirstAttempt(now time.Time, s Send) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	if s.ChildCall {
		l.demand.record(s)
		return
	}
	l.requests[s.class()].count++
}

// RecordResult counts an attempt that reached a target, and whether the target refused
// it.
func (l *Limiter) RecordResult(now time.Time, level outcome.Level, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals.record(now, classOf(level), refused)
	l.update(now)
}

// Spend takes one retry from the budget. If it returns false, the retry must not be
// made.
func (l *Limiter) Spend(now time.Time, s Send) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	if !l.engaged {
		return l.budget.Spend(now, s.kind())
	}
	if s.ChildCall && !l.grantCall(s) || !s.ChildCall && !l.grantRequest(s.class()) {
		return false
	}
	return l.budget.take(now, s.kind())
}

// grantCall reports whether a call gets a retry.
func (l *Limiter) grantCall(s Send) bool {
	if s.CompletedCalls == 0 && l.demand.operations[s.Operation].many() {
		return s.Level <= l.firstLevel
	}
	return s.Effective <= l.granted
}

// grantRequest reports whether a client's request of a class gets a retry.
func (l *Limiter) grantRequest(class outcome.Class) bool {
	l.requestCredit[class] = math.Min(l.requestCredit[class]+l.requestShare[class], 1)
	if l.requestCredit[class] < 1 {
		return false
	}
	l.requestCredit[class]--
	return true
}

// Level returns the limit: the highest level whose calls get retries.
func (l *Limiter) Level(now time.Time) outcome.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	return l.level
}

// State is what a Limiter has measured and decided.
type State struct {
	// Level is the highest level whose calls get retries; MaxLevel means no limit.
	Level outcome.Level
	// RefusalShare is the share of sends that targets refuse.
	RefusalShare float64
	// RefusedFor is how long targets have been refusing. It is 0 if they refuse little.
	RefusedFor time.Duration
	// Left is the number of retries that the budget permits now.
	Left float64
}

// State returns the current state.
func (l *Limiter) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	s := State{Level: l.level, RefusalShare: l.refusals.share(now), Left: l.budget.permitted(now)}
	if l.engaged {
		s.RefusedFor = now.Sub(l.refusals.since)
	}
	return s
}

// update computes the limit if the last computation is old enough.
func (l *Limiter) update(now time.Time) {
	elapsed := now.Sub(l.updated)
	if elapsed < updateInterval {
		return
	}
	l.updated = now
	l.settled = min(l.level, l.settled+levelsWithin(settleRate, elapsed))
	l.demand.update(elapsed, l.settled, l.refusals.share(now) >= minRefusalShare)
	for class := range l.requests {
		l.requests[class].update(elapsed, demandTime)
	}
	l.engaged = l.refusals.significant(now)
	l.level, l.firstLevel = outcome.MaxLevel, outcome.MaxLevel
	if l.engaged {
		l.distribute(now, l.budget.sustainableRate(now, planHorizon))
	}
	l.settled = min(l.settled, l.level)
	l.granted = max(l.level, l.granted-min(l.granted, levelsWithin(grantFallRate, elapsed)))
}

// levelsWithin returns the levels that a rate covers within a time, at most MaxLevel.
func levelsWithin(perSecond outcome.Level, elapsed time.Duration) outcome.Level {
	return outcome.Level(math.Min(float64(perSecond)*elapsed.Seconds(), float64(outcome.MaxLevel)))
}

// distribute assigns a rate of retries to the classes in their order, and within a class
// first to the requests of clients. It sets the limits within the first class whose calls
// do not all get their repeats.
func (l *Limiter) distribute(now time.Time, left float64) {
	for class := range classCount {
		repeats, passed := l.refusals.repeats(now, outcome.Class(class))
		requests := l.requests[class].perSecond * repeats
		l.requestShare[class] = share(left, requests)
		left = math.Max(left-requests, 0)
		var needs [bucketCount]need
		var sum need
		for bucket := firstBucket(class); bucket < firstBucket(class+1); bucket++ {
			needs[bucket] = l.demand.need(bucket, repeats, passed)
			sum.full += needs[bucket].full
			sum.filtered += needs[bucket].filtered
		}
		if sum.full > left {
			l.level = levelWithin(class, left, needs, func(n need) float64 { return n.filtered })
			l.firstLevel = levelWithin(class, left-sum.filtered, needs, need.extra)
			l.denyRequests(class + 1)
			return
		}
		left -= sum.full
		if outcome.Class(class) != outcome.Assured {
			left = math.Max(left-(reserveFactor-1)*(sum.full+requests), 0)
		}
	}
}

// levelWithin returns the highest level of a class up to which what the buckets need is
// available. It is the last level before the class if nothing is.
func levelWithin(class int, available float64, needs [bucketCount]need, needOf func(need) float64) outcome.Level {
	for bucket := firstBucket(class); bucket < firstBucket(class+1); bucket++ {
		needed := needOf(needs[bucket])
		if needed > available {
			return outcome.Level(max(bucket*bucketLevels-1+int(bucketLevels*share(available, needed)), 1))
		}
		available -= needed
	}
	return outcome.Level(firstBucket(class+1)*bucketLevels - 1)
}

// denyRequests permits no retries to clients' requests from a class on.
func (l *Limiter) denyRequests(from int) {
	for class := from; class < classCount; class++ {
		l.requestShare[class] = 0
	}
}

// share returns the part of the need that is available, at most 1.
func share(available, need float64) float64 {
	if need <= available {
		return 1
	}
	return math.Max(available, 0) / need
}
