package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/freshness"
)

const bound = 2 * time.Second

// Guards against a node that relies on others although its zone is small, and
// against fleets in which every node of a large zone reads the store.
func TestNodesOfSmallZonesFollowTheStoreThemselves(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	require.True(t, rules.ReadsStore(freshness.ZoneRole{}, freshness.Unknown), "no member is known yet")
	require.True(t, rules.ReadsStore(freshness.ZoneRole{Members: 32}, 0))
	require.True(t, rules.ReadsStore(freshness.ZoneRole{Members: 33, Reader: true}, 0))
	require.False(t, rules.ReadsStore(freshness.ZoneRole{Members: 33}, time.Second))
}

// Guards against a node that learns of a change after the bound because it waits
// for others until then.
func TestPatienceLeavesTimeForAReadWithinTheBound(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	relying := freshness.ZoneRole{Members: 100}
	reader := freshness.ZoneRole{Members: 100, Reader: true}
	// A node looks at its age each quarter of a second.
	require.True(t, rules.ReadsStore(relying, bound-2*250*time.Millisecond))
	// Two comparisons, of which one found a reader without an answer.
	require.False(t, rules.ReadsStore(relying, rules.PollWait(reader)+2*rules.CompareInterval()))
}

// Guards against a reader that vouches for a store which has stopped answering it.
func TestReadWithoutAnAnswerIsNoticed(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	for _, s := range []freshness.ZoneRole{{Members: 4}, {Members: 4, Reader: true}, {Members: 100, Reader: true}} {
		require.False(t, rules.StoreOverdue(s, rules.PollWait(s)+100*time.Millisecond))
		require.True(t, rules.StoreOverdue(s, rules.PollWait(s)+bound))
		require.True(t, rules.StoreOverdue(s, freshness.Unknown))
	}
}
