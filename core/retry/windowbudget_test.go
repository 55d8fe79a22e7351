package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
)

var (
	windowStart = time.Unix(1000, 0)
	critical    = retry.Kind{Class: outcome.Critical}
)

// Guards against many idle nodes that together retry more than the limit of the
// fleet: a node without first attempts must not earn retries.
func TestWindowBudgetGrowsWithFirstAttemptsOnly(t *testing.T) {
	b := retry.NewWindowBudget(windowStart, 0.1, 2)
	require.True(t, b.Spend(windowStart, critical))
	require.True(t, b.Spend(windowStart, critical))
	for second := range 60 {
		now := windowStart.Add(time.Duration(second) * 100 * time.Millisecond)
		require.False(t, b.Spend(now, critical))
	}
}

// Guards against a window with more retries than the ratio and the slack allow.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, slack, perStep = 0.1, 2.0, 10
	b := retry.NewWindowBudget(windowStart, ratio, slack)
	const step = 100 * time.Millisecond
	const steps = 600
	var spent [steps]int
	for i := range steps {
		now := windowStart.Add(time.Duration(i) * step)
		for range perStep {
			b.RecordFirstAttempt(now)
			if b.Spend(now, critical) {
				spent[i]++
			}
		}
	}
	window := int(retry.BudgetWindow / step)
	for from := 0; from+window <= steps; from++ {
		sum := 0
		for _, n := range spent[from : from+window] {
			sum += n
		}
		require.LessOrEqual(t, float64(sum), ratio*float64(perStep)*float64(retry.BudgetWindow/step)+slack)
	}
}

// Guards against retries of sheddable work that leave none for critical work.
func TestWindowBudgetReservesForHigherClasses(t *testing.T) {
	b := retry.NewWindowBudget(windowStart, 0.1, 0)
	for range 1000 {
		b.RecordFirstAttempt(windowStart)
	}
	spend := func(kind retry.Kind) int {
		count := 0
		for b.Spend(windowStart, kind) {
			count++
		}
		return count
	}
	require.Equal(t, 50, spend(retry.Kind{Class: outcome.Sheddable, ChildCall: true}))
	require.Equal(t, 0, spend(retry.Kind{Class: outcome.Sheddable}))
	require.Equal(t, 50, spend(critical))
}

// Simulates 18 s of load on a service that refuses half of the calls in the
// last eight seconds. Each step of 10 ms has eight child calls of sheddable
// requests, four child calls of critical requests, and one request (a lookup)
// of a client. Guards against spending the budget on retries that complete few
// requests.
func TestWindowBudgetPrefersRetriesThatCompleteRequests(t *testing.T) {
	const step, steps = 10 * time.Millisecond, 1800
	loads := []struct {
		kind   retry.Kind
		number int
	}{
		{retry.Kind{Class: outcome.Sheddable, ChildCall: true}, 8},
		{retry.Kind{Class: outcome.Critical, ChildCall: true}, 4},
		{retry.Kind{Class: outcome.Normal}, 1},
	}
	b := retry.NewWindowBudget(windowStart, 0.17, 1)
	requested, got := make([]int, len(loads)), make([]int, len(loads))
	for i := range steps {
		now := windowStart.Add(time.Duration(i) * step)
		for k, load := range loads {
			for n := range load.number {
				b.RecordFirstAttempt(now)
				if i < steps-800 || (i+n)%2 == 0 {
					continue
				}
				requested[k]++
				if b.Spend(now, load.kind) {
					got[k]++
				}
			}
		}
	}
	require.Greater(t, float64(got[2]), 0.95*float64(requested[2]), "lookups: %v of %v", got, requested)
	require.Greater(t, float64(got[1]), 0.7*float64(requested[1]), "calls of critical requests: %v of %v", got, requested)
	require.Less(t, float64(got[0]), 0.25*float64(requested[0]), "calls of sheddable requests: %v of %v", got, requested)
}

// Guards against exceeding the ratio because several levels of a call graph
// retry: calls of a request that was itself a retry use the budget of the
// called service.
func TestWindowBudgetCountsInheritedRetries(t *testing.T) {
	b := retry.NewWindowBudget(windowStart, 0.1, 0)
	for range 100 {
		b.RecordFirstAttempt(windowStart)
	}
	for range 10 {
		b.Charge(windowStart)
	}
	require.False(t, b.Spend(windowStart, critical))
}

// Guards against a budget that shrinks at once when the entry node admits fewer requests
// because of the very fault that makes retries necessary, and against one that still grants
// retries when no first attempt is left in the two windows for which they count.
func TestWindowBudgetOutlivesFirstAttemptsByOneWindow(t *testing.T) {
	b := retry.NewWindowBudget(windowStart, 0.1, 0)
	for range 1000 {
		b.RecordFirstAttempt(windowStart.Add(9 * time.Second))
	}
	require.True(t, b.Spend(windowStart.Add(18500*time.Millisecond), retry.Kind{Class: outcome.Sheddable}))
	require.False(t, b.Spend(windowStart.Add(19500*time.Millisecond), critical),
		"the window that begins now has no first attempts, nor has any before it")
}
