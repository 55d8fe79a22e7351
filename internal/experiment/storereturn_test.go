package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a return of the store after which nodes exceed its rates at any size, or
// after which their records are there again too late at the users' sizes.
func TestReturnStaysWithinRates(t *testing.T) {
	for _, c := range ReturnCases() {
		if testing.Short() && c.PerZone > 100 {
			continue
		}
		r := RunReturn(c, 1)
		require.LessOrEqual(t, float64(r.PeakReads), c.ReadsPerSecond, "%d nodes", r.Nodes)
		require.LessOrEqual(t, float64(r.PeakWrites), c.WritesPerSecond, "%d nodes", r.Nodes)
		require.NotZero(t, r.PeakWrites)
		if r.Nodes <= 300 {
			require.LessOrEqual(t, r.LastRecord, min(c.Bound, 3*time.Second), "%d nodes", r.Nodes)
		}
	}
}

// Guards against a model in which nodes notice the return without a read or a comparison.
func TestReturnIsNoticedByReadsAndComparisons(t *testing.T) {
	m := newReturnModel(ReturnCase{Zones: 1, PerZone: 16, Bound: 2 * time.Second, ReadsPerSecond: 100, WritesPerSecond: 100}, 1)
	for _, n := range m.nodes {
		n.follows = false
	}
	for m.now = 0; m.now < 5*time.Second; m.now += returnStep {
		for _, n := range m.nodes {
			m.step(n)
		}
	}
	require.Equal(t, len(m.nodes), m.unwritten)
}
