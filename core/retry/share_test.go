package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
)

var (
	shareStart = time.Unix(1000, 0)
	critical   = retry.Kind{Class: outcome.Critical}
)

// Guards against a fleet of many quiet nodes that together repeat more than the
// bound: a node without first attempts earns nothing.
func TestWindowBudgetEarnsByFirstAttemptsOnly(t *testing.T) {
	b := retry.NewWindowBudget(shareStart, 0.1, 2)
	require.True(t, b.Spend(shareStart, critical))
	require.True(t, b.Spend(shareStart, critical))
	for second := range 60 {
		now := shareStart.Add(time.Duration(second) * 100 * time.Millisecond)
		require.False(t, b.Spend(now, critical))
	}
}

// Guards against a window with more repeats than the ratio and the slack allow.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, slack, perStep = 0.1, 2.0, 10
	b := retry.NewWindowBudget(shareStart, ratio, slack)
	const step = 100 * time.Millisecond
	const steps = 600
	var spent [steps]int
	for i := range steps {
		now := shareStart.Add(time.Duration(i) * step)
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

// Guards against repeats of unimportant work that leave none for important work.
func TestWindowBudgetReservesForImportantWork(t *testing.T) {
	b := retry.NewWindowBudget(shareStart, 0.1, 0)
	for range 1000 {
		b.RecordFirstAttempt(shareStart)
	}
	spend := func(repeat retry.Kind) int {
		count := 0
		for b.Spend(shareStart, repeat) {
			count++
		}
		return count
	}
	require.Equal(t, 50, spend(retry.Kind{Class: outcome.Sheddable, ChildCall: true}))
	require.Equal(t, 0, spend(retry.Kind{Class: outcome.Sheddable}))
	require.Equal(t, 50, spend(critical))
}

// Plays the refusals of half of the calls to a service for eight seconds: lookups
// of clients, two calls of important and four calls of unimportant requests in
// each step. Guards against repeats that are used up for what completes little.
func TestWindowBudgetGoesToWhatCompletesMost(t *testing.T) {
	const step, steps = 10 * time.Millisecond, 1800
	kinds := []struct {
		repeat retry.Kind
		number int
	}{
		{retry.Kind{Class: outcome.Sheddable, ChildCall: true}, 8},
		{retry.Kind{Class: outcome.Critical, ChildCall: true}, 4},
		{retry.Kind{Class: outcome.Normal}, 1},
	}
	b := retry.NewWindowBudget(shareStart, 0.17, 1)
	asked, got := make([]int, len(kinds)), make([]int, len(kinds))
	for i := range steps {
		now := shareStart.Add(time.Duration(i) * step)
		for k, kind := range kinds {
			for n := range kind.number {
				b.RecordFirstAttempt(now)
				if i < steps-800 || (i+n)%2 == 0 {
					continue
				}
				asked[k]++
				if b.Spend(now, kind.repeat) {
					got[k]++
				}
			}
		}
	}
	require.Greater(t, float64(got[2]), 0.95*float64(asked[2]), "lookups: %v of %v", got, asked)
	require.Greater(t, float64(got[1]), 0.7*float64(asked[1]), "important calls: %v of %v", got, asked)
	require.Less(t, float64(got[0]), 0.25*float64(asked[0]), "unimportant calls: %v of %v", got, asked)
}

// Guards against ratios of several levels of a call graph that add up: calls of
// a repeated request use the budget of the called service.
func TestWindowBudgetCountsInheritedRepeats(t *testing.T) {
	b := retry.NewWindowBudget(shareStart, 0.1, 0)
	for range 100 {
		b.RecordFirstAttempt(shareStart)
	}
	for range 10 {
		b.Charge(shareStart)
	}
	require.False(t, b.Spend(shareStart, critical))
}

// Guards against a budget that vanishes when the entry lets in fewer requests
// because of the fault that the repeats are for.
func TestWindowBudgetRemembersTheWindowBefore(t *testing.T) {
	b := retry.NewWindowBudget(shareStart, 0.1, 0)
	for range 1000 {
		b.RecordFirstAttempt(shareStart.Add(9 * time.Second))
	}
	require.True(t, b.Spend(shareStart.Add(25*time.Second), retry.Kind{Class: outcome.Sheddable}))
	require.False(t, b.Spend(shareStart.Add(60*time.Second), critical))
}
