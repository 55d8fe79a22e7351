package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
)

var shareStart = time.Unix(1000, 0)

// Guards against a fleet of many quiet nodes that together repeat more than the
// bound: a node without first attempts earns nothing.
func TestShareBudgetEarnsByFirstAttemptsOnly(t *testing.T) {
	b := retry.NewShareBudget(shareStart, 0.1, 2)
	require.True(t, b.Spend(shareStart, outcome.Critical))
	require.True(t, b.Spend(shareStart, outcome.Critical))
	for second := range 60 {
		now := shareStart.Add(time.Duration(second) * 100 * time.Millisecond)
		require.False(t, b.Spend(now, outcome.Critical))
	}
}

// Guards against a window with more repeats than the ratio and the slack allow.
func TestShareBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, slack, perStep = 0.1, 2.0, 10
	b := retry.NewShareBudget(shareStart, ratio, slack)
	const step = 100 * time.Millisecond
	const steps = 600
	var spent [steps]int
	for i := range steps {
		now := shareStart.Add(time.Duration(i) * step)
		for range perStep {
			b.First(now)
			if b.Spend(now, outcome.Critical) {
				spent[i]++
			}
		}
	}
	window := int(retry.ShareWindow/step) - int(time.Second/step)
	for from := 0; from+window <= steps; from++ {
		sum := 0
		for _, n := range spent[from : from+window] {
			sum += n
		}
		require.LessOrEqual(t, float64(sum), ratio*float64(perStep)*float64(retry.ShareWindow/step)+slack)
	}
}

// Guards against repeats of unimportant work that leave none for important work.
func TestShareBudgetReservesForImportantClasses(t *testing.T) {
	b := retry.NewShareBudget(shareStart, 0.1, 0)
	for range 1000 {
		b.First(shareStart)
	}
	counts := map[outcome.Class]int{}
	for _, class := range []outcome.Class{outcome.Sheddable, outcome.Normal, outcome.Critical} {
		for b.Spend(shareStart, class) {
			counts[class]++
		}
	}
	require.Equal(t, map[outcome.Class]int{outcome.Sheddable: 50, outcome.Normal: 25, outcome.Critical: 25}, counts)
}

// Guards against ratios of several levels of a call graph that add up: calls of
// a repeated request use the budget of the called service.
func TestShareBudgetCountsInheritedRepeats(t *testing.T) {
	b := retry.NewShareBudget(shareStart, 0.1, 0)
	for range 100 {
		b.First(shareStart)
	}
	for range 10 {
		b.Charge(shareStart)
	}
	require.False(t, b.Spend(shareStart, outcome.Critical))
}

// Guards against a budget that vanishes when the entry lets in fewer requests
// because of the fault that the repeats are for.
func TestShareBudgetRemembersTheWindowBefore(t *testing.T) {
	b := retry.NewShareBudget(shareStart, 0.1, 0)
	for range 1000 {
		b.First(shareStart.Add(9 * time.Second))
	}
	require.True(t, b.Spend(shareStart.Add(25*time.Second), outcome.Sheddable))
	require.False(t, b.Spend(shareStart.Add(60*time.Second), outcome.Critical))
}
