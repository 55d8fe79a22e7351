package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/retry"
)

// Guards against a fleet of many quiet nodes that together repeat more than the
// bound: a node without first attempts earns nothing.
func TestShareBudgetEarnsByFirstAttemptsOnly(t *testing.T) {
	b := retry.NewShareBudget(0.1, 2)
	require.True(t, b.Spend())
	require.True(t, b.Spend())
	require.False(t, b.Spend())
	repeats := 0
	const first = 1000
	for range first {
		b.First()
		if b.Spend() {
			repeats++
		}
	}
	require.InDelta(t, first/10, repeats, 2)
}

func TestShareBudgetSavesNoMoreThanItsMaximum(t *testing.T) {
	b := retry.NewShareBudget(1, 2)
	for range 100 {
		b.First()
	}
	spent := 0
	for b.Spend() {
		spent++
	}
	require.Equal(t, 2, spent)
}
