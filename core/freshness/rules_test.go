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
	require.True(t, rules.ReadsStore(freshness.ZoneRole{Members: 5}, 0))
	require.True(t, rules.ReadsStore(freshness.ZoneRole{Members: 16, Reader: true}, 0))
	require.False(t, rules.ReadsStore(freshness.ZoneRole{Members: 16}, time.Second))
}

// Guards against a node that applies a change later than the propagation bound
// because it relies on readers for too long, and against one that stops relying
// on them although nothing is wrong: the age of its copy grows by the interval of the
// reader's responses and that of the comparisons.
func TestNodeStopsRelyingOnReadersInTimeToReadTheStore(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	relying := freshness.ZoneRole{Members: 100}
	reader := freshness.ZoneRole{Members: 100, Reader: true}
	// A node checks the age of its copy every 250 ms, and its read takes some time.
	const check, read = 250 * time.Millisecond, 100 * time.Millisecond
	require.True(t, rules.ReadsStore(relying, bound-check-read))
	require.False(t, rules.ReadsStore(relying, rules.Wait(reader)+rules.Pause()+rules.Compare()+read/2))
}

// Guards against calls that show nothing: short reads of nodes on which no other relies.
func TestOnlyReadersOfLargeZonesReadOften(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	reader := rules.Wait(freshness.ZoneRole{Members: 16, Reader: true})
	require.Less(t, rules.Pause(), reader)
	require.Greater(t, rules.Wait(freshness.ZoneRole{Members: 16}), bound)
	require.Greater(t, rules.Wait(freshness.ZoneRole{Members: 4, Reader: true}), bound)
}

// Guards against a reader whose evidence grows old because changes end its reads early:
// a read that returns a change shows the copy to be complete as of its start only.
func TestReadAfterChangeRenewsEvidenceInTime(t *testing.T) {
	rules := freshness.Rules{PropagationBound: bound}
	reader := freshness.ZoneRole{Members: 16, Reader: true}
	for age := time.Duration(0); age <= rules.Wait(reader)+rules.Pause(); age += 50 * time.Millisecond {
		require.LessOrEqual(t, age+rules.NextWait(reader, age), rules.Wait(reader)+rules.Pause())
	}
	member := freshness.ZoneRole{Members: 16}
	require.Equal(t, rules.Wait(member), rules.NextWait(member, bound))
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
