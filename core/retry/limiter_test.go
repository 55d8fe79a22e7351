package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/threshold"
)

const (
	faultStart  = 12 * time.Second
	faultLength = 8 * time.Second
)

var (
	sheddableCall = retry.Send{Level: 454, Effective: 454, Operation: "read", ChildCall: true}
	criticalCall  = retry.Send{Level: 190, Effective: 190, Operation: "ticket", ChildCall: true}
	directRequest = retry.Send{Level: 500, Effective: 500}
)

// play runs the load with a fault in D and counts the requests that arrive in the given
// period.
func play(seed uint64, limited bool, weights []float64, from, to time.Duration, set func(l *load, during func(time.Time) bool)) *load {
	l := newLoad(seed, limited, weights,
		&kind{name: "ticket", class: outcome.Critical, perSecond: 40, chains: 2},
		&kind{name: "read", class: outcome.Sheddable, perSecond: 120, chains: 1},
		&kind{name: "debit", class: outcome.Sheddable, perSecond: 60})
	begin, end := l.now.Add(faultStart), l.now.Add(faultStart+faultLength)
	if limited {
		l.retryAfter = retryAfterShortage
	}
	set(l, func(now time.Time) bool { return !now.Before(begin) && now.Before(end) })
	l.play(25*time.Second, from, to)
	return l
}

// playSeeds plays the fault with three seeds and returns the sums of all kinds and the
// share of worth served.
func playSeeds(t *testing.T, name string, limited bool, weights []float64, set func(l *load, during func(time.Time) bool)) (counts, float64) {
	t.Helper()
	sum := play(1, limited, weights, faultStart, faultStart+faultLength, set)
	for seed := uint64(2); seed <= 3; seed++ {
		for i, k := range play(seed, limited, weights, faultStart, faultStart+faultLength, set).kinds {
			sum.kinds[i].add(k.counts)
		}
	}
	for _, k := range sum.kinds {
		t.Logf("%s: %s arrived %d, served %.3f, failed %d, gave up %d, came back %d, refused again %d, wasted runs %d of %d", name, k.name,
			k.arrived, float64(k.served)/float64(k.arrived), k.failed, k.gaveUp, k.returned, k.refusedAgain, k.wasted, k.runs)
	}
	total, worth := sum.total()
	t.Logf("%s: worth served %.3f, wasted runs %d of %d", name, worth, total.wasted, total.runs)
	return total, worth
}

func refuseShare(share float64) func(*load, func(time.Time) bool) {
	return func(l *load, during func(time.Time) bool) {
		l.refuse = func(now time.Time, _ outcome.Level) bool { return during(now) && l.random.Float64() < share }
	}
}

// retryAfterShortage is the wait that entries tell by the age of the shortage.
func retryAfterShortage(l *load, q *request) time.Duration {
	age := q.entry.shortages.Age(l.now, threshold.Dependency{Service: "A", Operation: q.kind.name})
	if q.kind.chains == 0 {
		age = q.entry.limiter.State(l.now).RefusedFor
	}
	return retry.RetryAfter(age, l.random.Float64())
}

func equalWeights() []float64 { return []float64{0.2, 0.2, 0.2, 0.2, 0.2} }

// Guards against retries that are spread over all root requests, so that most of them
// fail after their work was done. The targets of a deep service refuse 55 % for 8 s.
func TestLimitKeepsWorthAndWastesLessWork(t *testing.T) {
	for name, weights := range map[string][]float64{"equal nodes": equalWeights(), "unequal nodes": {0.5, 0.25, 0.15, 0.07, 0.03}} {
		t.Run(name, func(t *testing.T) {
			without, worthWithout := playSeeds(t, "before", false, weights, refuseShare(0.55))
			with, worthWith := playSeeds(t, "limited", true, weights, refuseShare(0.55))
			require.Less(t, float64(with.wasted), 0.5*float64(without.wasted))
			require.Less(t, float64(with.failed), 0.5*float64(without.failed))
			require.Greater(t, worthWith, 0.95*worthWithout)
		})
	}
}

// Guards against a limit that costs worth or wastes work where targets refuse less, so
// that root requests often succeed without a repeat, or more.
func TestLimitAtOtherShares(t *testing.T) {
	for _, share := range []float64{0.2, 0.3, 0.8} {
		without, worthWithout := playSeeds(t, fmt.Sprint("before, ", share), false, equalWeights(), refuseShare(share))
		with, worthWith := playSeeds(t, fmt.Sprint("limited, ", share), true, equalWeights(), refuseShare(share))
		require.Less(t, float64(with.wasted), 0.8*float64(without.wasted))
		require.Greater(t, worthWith, 0.93*worthWithout)
	}
}

// Guards against a limit that outlasts the refusals: requests that arrive from 2 s after
// their end are served.
func TestLimitEndsWithRefusals(t *testing.T) {
	l := play(1, true, equalWeights(), faultStart+faultLength+2*time.Second, 25*time.Second, refuseShare(0.55))
	sum, _ := l.total()
	require.Greater(t, float64(sum.served), 0.99*float64(sum.arrived))
}

// Guards against clients that are told to come back while the shortage lasts, and are
// refused again. They have 8 s, as long as the fault lasts.
func TestCallersThatComeBackAreServed(t *testing.T) {
	patient := func(wait func(*load, *request) time.Duration) func(*load, func(time.Time) bool) {
		return func(l *load, during func(time.Time) bool) {
			l.timeout, l.retryAfter = faultLength, wait
			refuseShare(0.55)(l, during)
		}
	}
	short, worthShort := playSeeds(t, "limited, short waits", true, equalWeights(), patient(retryAfterBefore))
	long, worthLong := playSeeds(t, "limited, waits by age", true, equalWeights(), patient(retryAfterShortage))
	playSeeds(t, "before", false, equalWeights(), patient(retryAfterBefore))
	require.Less(t, float64(long.refusedAgain), 0.9*float64(short.refusedAgain))
	require.Greater(t, worthLong, 1.2*worthShort)
}

// Guards against any effect while targets refuse little: with the same random numbers,
// the limit must not change the result of any request.
func TestFewRefusalsChangeNothing(t *testing.T) {
	without, _ := play(1, false, equalWeights(), 0, 25*time.Second, refuseShare(0.05)).total()
	with, _ := play(1, true, equalWeights(), 0, 25*time.Second, refuseShare(0.05)).total()
	require.Equal(t, without, with)
	require.NotZero(t, with.arrived)
}

// Guards against refusals by the gates of an overloaded service, which concern low levels
// only and use no budget, being taken for refusals by targets.
func TestOverloadIsLeftToGates(t *testing.T) {
	overload := func(l *load, during func(time.Time) bool) {
		l.dGate = func(now time.Time) outcome.Level {
			if during(now) {
				return outcome.LevelOf(outcome.Sheddable, 64)
			}
			return outcome.MaxLevel
		}
		if l.limited {
			l.after(faultStart+time.Second, func() {
				require.Equal(t, outcome.MaxLevel, l.services[2][0].limiter.State(l.now).Level)
			})
		}
	}
	without, worthWithout := playSeeds(t, "before", false, equalWeights(), overload)
	with, worthWith := playSeeds(t, "limited", true, equalWeights(), overload)
	require.Greater(t, worthWith, 0.98*worthWithout)
	require.LessOrEqual(t, with.wasted, without.wasted)
}

// Guards against refusals that concern only one class counting against the others.
func TestRefusalsOfLowClassDoNotLimitHighClass(t *testing.T) {
	lowOnly := func(l *load, during func(time.Time) bool) {
		l.refuse = func(now time.Time, level outcome.Level) bool {
			return during(now) && level.Class() == outcome.Sheddable && l.random.Float64() < 0.55
		}
	}
	l := play(1, true, equalWeights(), faultStart, faultStart+faultLength, lowOnly)
	require.Greater(t, float64(l.kinds[0].served), 0.97*float64(l.kinds[0].arrived))
}

// budgetedLimiter is a limiter and the budget that it spends from.
type budgetedLimiter struct {
	*retry.Limiter
	budget *retry.WindowBudget
}

// limiterWith returns a limiter after 12 s of first attempts at the given rates per
// second.
func limiterWith(perSecond map[retry.Send]int) (*budgetedLimiter, time.Time) {
	budget := retry.NewWindowBudget(windowStart, 0.17, 1)
	limiter := &budgetedLimiter{Limiter: retry.NewLimiter(windowStart, budget), budget: budget}
	for step := range 1200 {
		sendStep(limiter, windowStart.Add(time.Duration(step)*10*time.Millisecond), step, perSecond)
	}
	return limiter, windowStart.Add(12 * time.Second)
}

// sendStep records the first attempts of a step of 10 ms up to the limit. The budget grows
// by all of them, so that the limit is only lowered and raised by the demand.
func sendStep(limiter *budgetedLimiter, now time.Time, step int, perSecond map[retry.Send]int) {
	for send, rate := range perSecond {
		for range (step+1)*rate/100 - step*rate/100 {
			limiter.budget.RecordFirstAttempt(now)
			if send.Level <= limiter.State(now).Level {
				limiter.RecordFirstAttempt(now, send)
			}
		}
	}
}

// refuse records results with one refusal in two, and first attempts up to the limit. It
// returns the end and the lowest and the highest limit.
func refuse(limiter *budgetedLimiter, from time.Time, length time.Duration, perSecond map[retry.Send]int) (now time.Time, lowest, highest outcome.Level) {
	const interval = 10 * time.Millisecond
	now, lowest = from, outcome.MaxLevel
	for step := 0; now.Before(from.Add(length)); step++ {
		sendStep(limiter, now, step, perSecond)
		limiter.RecordResult(now, 450, step%2 == 0)
		now = now.Add(interval)
		level := limiter.Level(now)
		lowest, highest = min(lowest, level), max(highest, level)
	}
	return now, lowest, highest
}

// Guards against a limit without evidence, and against one that remains after the
// evidence has expired.
func TestLimitNeedsRecentEvidence(t *testing.T) {
	limiter, now := limiterWith(map[retry.Send]int{sheddableCall: 100})
	require.Equal(t, outcome.MaxLevel, limiter.State(now).Level)
	for range 4 {
		limiter.RecordResult(now, 450, true)
	}
	require.Equal(t, outcome.MaxLevel, limiter.State(now.Add(200*time.Millisecond)).Level, "four results may be a coincidence")
	now, _, _ = refuse(limiter, now, time.Second, map[retry.Send]int{sheddableCall: 100})
	require.Less(t, limiter.State(now).Level, outcome.MaxLevel)
	require.Positive(t, limiter.State(now).RefusedFor)
	now = now.Add(2100 * time.Millisecond)
	require.Equal(t, retry.State{Level: outcome.MaxLevel, Left: limiter.State(now).Left}, limiter.State(now))
}

// Guards against a limit that oscillates, because the demand of levels that entry nodes
// no longer send is forgotten.
func TestDemandOfRefusedLevelsIsRemembered(t *testing.T) {
	load := map[retry.Send]int{criticalCall: 40}
	for cohort := uint32(4); cohort < outcome.Cohorts; cohort += 8 {
		send := sheddableCall
		send.Level = outcome.LevelOf(outcome.Sheddable, cohort)
		load[send] = 20
	}
	limiter, now := limiterWith(load)
	now, _, _ = refuse(limiter, now, time.Second, load)
	now, lowest, highest := refuse(limiter, now, 4*time.Second, load)
	for range 16 {
		// The budget grows by a third. Without the demand of the refused levels, that would
		// seem to suffice for all of them.
		for range 120 {
			limiter.budget.RecordFirstAttempt(now)
		}
		var l, h outcome.Level
		now, l, h = refuse(limiter, now, time.Second, load)
		lowest, highest = min(lowest, l), max(highest, h)
	}
	require.Less(t, highest-lowest, outcome.Level(64), "from %d to %d", lowest, highest)
}

// Guards against retries of calls that precede those of client requests of their class,
// which complete a whole request, and against client requests of a low class that precede
// calls of a higher one.
func TestClientRequestsPrecedeCallsOfTheirClass(t *testing.T) {
	load := map[retry.Send]int{sheddableCall: 100, directRequest: 20, criticalCall: 5}
	limiter, now := limiterWith(load)
	now, _, _ = refuse(limiter, now, 3*time.Second, load)
	require.True(t, limiter.Spend(now, directRequest))
	require.True(t, limiter.Spend(now, criticalCall))
	require.False(t, limiter.Spend(now, sheddableCall))

	load = map[retry.Send]int{directRequest: 20, criticalCall: 200}
	limiter, now = limiterWith(load)
	now, _, _ = refuse(limiter, now, 3*time.Second, load)
	require.False(t, limiter.Spend(now, directRequest))
}

// Guards against retries of root requests that have just begun, while others of their
// level that are nearly completed get none.
func TestCompletedCallsPrecede(t *testing.T) {
	later := sheddableCall
	later.CompletedCalls = 3
	load := map[retry.Send]int{sheddableCall: 100, later: 300}
	limiter, now := limiterWith(load)
	now, _, _ = refuse(limiter, now, 3*time.Second, load)
	require.False(t, limiter.Spend(now, sheddableCall))
	later.Effective = outcome.LevelOf(outcome.Sheddable, 0)
	require.True(t, limiter.Spend(now, later))
}

// Guards against a limit above the budget: whatever the levels, no window has more
// retries than the budget permits.
func TestLimiterKeepsBudget(t *testing.T) {
	limiter, now := limiterWith(map[retry.Send]int{directRequest: 100})
	now, _, _ = refuse(limiter, now, time.Second, map[retry.Send]int{directRequest: 100})
	spent := 0
	for range 1000 {
		if limiter.Spend(now, directRequest) {
			spent++
		}
	}
	require.LessOrEqual(t, spent, 171)
	require.Positive(t, spent)
	require.LessOrEqual(t, limiter.State(now).Left, 171.0-float64(spent))
}

// Guards against a level from another process that is out of range.
func TestLimiterAcceptsAnyLevel(t *testing.T) {
	limiter, now := limiterWith(nil)
	for _, childCall := range []bool{false, true} {
		send := retry.Send{Level: 65535, Effective: 65535, ChildCall: childCall}
		limiter.RecordFirstAttempt(now, send)
		limiter.RecordResult(now, send.Level, true)
		limiter.Spend(now, send)
	}
}

// Guards against waits that are long after a short peak, and against waits that are
// short, unbounded or equal after a long shortage.
func TestRetryAfterFollowsAge(t *testing.T) {
	require.Less(t, retry.RetryAfter(300*time.Millisecond, 1), 500*time.Millisecond)
	require.GreaterOrEqual(t, retry.RetryAfter(0, 0), 150*time.Millisecond)
	require.Equal(t, 2*time.Second, retry.RetryAfter(2*time.Second, 0.5))
	require.Equal(t, time.Second, retry.RetryAfter(2*time.Second, 0))
	require.Equal(t, 7500*time.Millisecond, retry.RetryAfter(time.Hour, 1))
}

func BenchmarkLimiterCall(b *testing.B) {
	limiter, now := limiterWith(map[retry.Send]int{sheddableCall: 300})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		limiter.RecordFirstAttempt(now, sheddableCall)
		limiter.RecordResult(now, sheddableCall.Level, true)
		limiter.Level(now)
	}
}
