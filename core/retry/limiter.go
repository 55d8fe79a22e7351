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
	// bucketLevels is the number of levels whose demand is counted together. A node in a
	// large fleet sends less than one call per second and level.
	bucketLevels = 8
	bucketCount  = (int(outcome.MaxLevel) + bucketLevels) / bucketLevels
	// demandTime is the time constant of the demand of admitted levels.
	demandTime = 2 * time.Second
	// refusedDemandTime is the time constant of the demand of levels that entry nodes no
	// longer send. Forgetting it sooner admits them again while the refusals last, and
	// the limit oscillates.
	refusedDemandTime = 15 * time.Second
	// settleRate is how fast a raised limit is assumed to reach the entry nodes, in
	// levels per second. Until then, missing demand does not prove that there is none.
	settleRate = outcome.Cohorts
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
	// ChildCall is true if a target makes the call for a request that it is processing.
	ChildCall bool
}

func (s Send) kind() Kind { return Kind{Class: s.Level.Class(), ChildCall: s.ChildCall} }

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
	calls    demand
	// requests is the demand of clients' requests by class.
	requests [classCount]rate
	// level is the limit. settled is the level up to which entry nodes are assumed to
	// send everything.
	level   outcome.Level
	settled outcome.Level
	engaged bool
	updated time.Time
	// requestShare is the share of the repeats of clients' requests that is permitted,
	// and requestCredit is the permitted part not yet used.
	requestShare  [classCount]float64
	requestCredit [classCount]float64
}

// NewLimiter returns a Limiter without evidence that spends from the budget.
func NewLimiter(now time.Time, budget *WindowBudget) *Limiter {
	return &Limiter{budget: budget, level: outcome.MaxLevel, settled: outcome.MaxLevel, updated: now}
}

// RecordFirstAttempt counts the first attempt of a request as demand. The budget counts
// it separately.
func (l *Limiter) RecordFirstAttempt(now time.Time, s Send) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	if s.ChildCall {
		l.calls[bucketOf(s.Level)].count++
		return
	}
	l.requests[s.Level.Class()].count++
}

// RecordResult counts an attempt that reached a target, and whether the target refused
// it.
func (l *Limiter) RecordResult(now time.Time, level outcome.Level, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals.record(now, level.Class(), refused)
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
	if s.ChildCall && s.Effective > l.level || !s.ChildCall && !l.grantRequest(s.Level.Class()) {
		return false
	}
	return l.budget.take(now, s.kind())
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
	s := State{Level: l.level, RefusalShare: l.refusals.share(now), Left: l.budget.permitted(now, 0)}
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
	l.settled = min(l.level, l.settled+outcome.Level(min(settleRate*elapsed.Seconds(), float64(outcome.MaxLevel))))
	l.calls.update(elapsed, l.settled)
	for class := range l.requests {
		l.requests[class].update(elapsed, demandTime)
	}
	l.engaged = l.refusals.significant(now)
	l.level = outcome.MaxLevel
	if l.engaged {
		l.distribute(now, l.budget.sustainableRate(now))
	}
	l.settled = min(l.settled, l.level)
}

// distribute assigns a rate of retries to the classes in their order, and within a class
// first to the requests of clients.
func (l *Limiter) distribute(now time.Time, left float64) {
	for class := range classCount {
		repeats := l.refusals.repeats(now, outcome.Class(class))
		need := l.requests[class].perSecond * repeats
		l.requestShare[class] = share(left, need)
		left = math.Max(left-need, 0)
		for bucket := firstBucket(class); bucket < firstBucket(class+1); bucket++ {
			need := l.calls[bucket].perSecond * repeats
			if need > left {
				l.level = outcome.Level(max(bucket*bucketLevels-1+int(bucketLevels*share(left, need)), 1))
				l.denyRequests(class + 1)
				return
			}
			left -= need
		}
	}
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
	return available / need
}
