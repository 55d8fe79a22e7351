package era_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/era"
)

// Guards against a position that is used in another era, and against one that is
// given up because a store does not tell its era.
func TestPositionIsValidInItsEraOnly(t *testing.T) {
	p := era.Position{Era: 3, Offset: 7}
	require.True(t, p.ValidIn(3))
	require.True(t, p.ValidIn(era.Unknown))
	require.True(t, era.Position{Offset: 7}.ValidIn(3))
	require.False(t, p.ValidIn(4))
	require.False(t, p.ValidIn(2))
}

// Guards against the era with number 0 that counts as unknown, and against numbers that
// change on their way from one node to another.
func TestNumbersOfErasStartAt0(t *testing.T) {
	require.Equal(t, era.Unknown, era.FromNumber(nil))
	require.Nil(t, era.Unknown.Number())
	require.Equal(t, "unknown", era.Unknown.String())
	last := era.Unknown
	for _, number := range []uint64{0, 1, 7, math.MaxUint64 - 1} {
		e := era.FromNumber(&number)
		require.Greater(t, e, last)
		require.Equal(t, number, *e.Number())
		require.Equal(t, strconv.FormatUint(number, 10), e.String())
		last = e
	}
	largest := uint64(math.MaxUint64)
	require.Equal(t, era.Unknown, era.FromNumber(&largest))
}

// Guards against a late response of an earlier era that counts as a new era.
func TestLatestNeverGoesBack(t *testing.T) {
	var latest era.Latest
	for _, step := range []struct {
		observed, before, after era.Era
		later                   bool
	}{
		{era.Unknown, era.Unknown, era.Unknown, false},
		{5, era.Unknown, 5, true},
		{5, 5, 5, false},
		{4, 5, 5, false},
		{era.Unknown, 5, 5, false},
		{7, 5, 7, true},
	} {
		before, later := latest.Observe(step.observed)
		require.Equal(t, step.before, before)
		require.Equal(t, step.later, later)
		require.Equal(t, step.after, latest.Get())
	}
}

// Guards against nodes that all call the store at once when it returns, and against a
// spread that makes small fleets late.
func TestSpreadStaysWithinRate(t *testing.T) {
	require.Zero(t, era.Spread(17, 0))
	require.Equal(t, 85*time.Millisecond, era.Spread(17, 400))
	require.Equal(t, 6*time.Second, era.Spread(9600, 3200))
}
