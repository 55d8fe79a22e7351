package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against rules of core/freshness that bring a change to a node too late, or that
// cost more than a quarter of the calls that reads of each node would in a fleet that the
// store serves, at any size of the users and at the size aimed at.
func TestChangesAreInTimeAtAQuarterOfTheCalls(t *testing.T) {
	for _, c := range PropagationCases() {
		if testing.Short() && c.PerZone > 100 {
			continue
		}
		r := RunPropagation(c, 1)
		require.Less(t, r.WorstDelay, c.Bound, "%s at %d nodes", c.Name, r.Nodes)
		if c.RefusedShare == 0 && r.Nodes > 16 {
			require.Less(t, r.CallsPerSecond, r.DirectCallsPerSecond/4, "%s at %d nodes", c.Name, r.Nodes)
		}
	}
}

// Guards against a model in which a change spreads without a read or a comparison.
func TestPropagationTakesReadsAndComparisons(t *testing.T) {
	c := PropagationCase{Zones: 1, PerZone: 16, Bound: 2 * time.Second, ChangeGap: time.Second, RefusedShare: 1}
	m := newPropagationModel(c, 1)
	for m.now < 5*time.Second {
		m.step()
		m.now += propagationStep
	}
	for _, n := range m.nodes {
		require.Zero(t, n.version, "the store refuses every node")
	}
}
