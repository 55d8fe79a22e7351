package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/freshness"
)

const bound = 2 * time.Second

// Guards against a node that relies on others although its zone is small, and
// against a large zone in which every node reads the store.
func TestNodesOfSmallZonesReadTheStore(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	require.True(t, rules.ReadsStore(freshness.ZoneRole{}, freshness.Unknown), "the members of the zone are not known yet")
	require.True(t, rules.ReadsStore(freshness.ZoneRole{Members: 32}, 0))
	require.True(t, rules.ReadsStore(freshness.ZoneRole{Members: 33, Reader: true}, 0))
	require.False(t, rules.ReadsStore(freshness.ZoneRole{Members: 33}, time.Second))
}

// Guards against a node that applies a change later than the propagation bound
// because it relies on readers for too long, and against one that stops relying
// on them after a single comparison without a response.
func TestNodeStopsRelyingOnReadersInTimeToReadTheStore(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	relying := freshness.ZoneRole{Members: 100}
	reader := freshness.ZoneRole{Members: 100, Reader: true}
	// A node checks the age of its copy every 250 ms.
	require.True(t, rules.ReadsStore(relying, bound-2*250*time.Millisecond))
	// Two comparisons, one of which reached a reader that did not respond.
	require.False(t, rules.ReadsStore(relying, rules.Wait(reader)+2*rules.Compare()))
}

// Guards against a reader that confirms the copies of other nodes although the
// store no longer responds to it.
func TestReadWithoutResponseIsOverdue(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	for _, role := range []freshness.ZoneRole{{Members: 4}, {Members: 4, Reader: true}, {Members: 100, Reader: true}} {
		require.False(t, rules.StoreOverdue(role, rules.Wait(role)+100*time.Millisecond))
		require.True(t, rules.StoreOverdue(role, rules.Wait(role)+bound))
		require.True(t, rules.StoreOverdue(role, freshness.Unknown))
	}
}
