package route

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawTargets returns 1 to 400 targets in all tiers. The number is drawn
// separately, because the slices that rapid generates are mostly shorter than a
// subset.
func drawTargets(t *rapid.T) []scoredTarget {
	seed := rapid.Uint64().Draw(t, "seed")
	n := rapid.SampledFrom([]int{1, 5, 20, 50, 100, 200, 400}).Draw(t, "n")
	shares := rapid.SliceOfN(rapid.IntRange(0, 2), 8, 8).Draw(t, "tiers")
	targets := make([]scoredTarget, 0, n)
	for i := range n {
		target := Target{Incarnation: mix(seed + uint64(i)*goldenGamma), Slots: 1 + i%3}
		targets = append(targets, scoredTarget{target: target, tier: tier(shares[i%len(shares)])})
	}
	return targets
}

func idsOf(targets []scoredTarget) map[uint64]bool {
	ids := map[uint64]bool{}
	for _, t := range targets {
		ids[t.target.Incarnation] = true
	}
	return ids
}

// Guards against subsets that exceed their size, contain a target twice, or
// keep too few targets of a tier.
func TestSubsetKeepsReservedQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		size := rapid.IntRange(8, MaxSubsetSize).Draw(t, "size")
		available := byTier(targets)
		chosen := subset(rapid.Uint64().Draw(t, "node"), size, targets)
		got := byTier(chosen)
		require.Len(t, chosen, min(size, len(targets)))
		require.Len(t, idsOf(chosen), len(chosen))
		require.GreaterOrEqual(t, len(got[tierOwnZone]), min(len(available[tierOwnZone]), size/2))
		require.GreaterOrEqual(t, len(got[tierOtherZone]), min(len(available[tierOtherZone]), 3*size/8))
		require.GreaterOrEqual(t, len(got[tierOtherRegion]), min(len(available[tierOtherRegion]), size/8))
	})
}

// Guards against a subset that changes by more than one target when one target
// is removed, and against one that depends on the order of the targets.
func TestSubsetChangesByOneTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		node := rapid.Uint64().Draw(t, "node")
		size := rapid.IntRange(8, MaxSubsetSize).Draw(t, "size")
		removed := targets[rapid.IntRange(0, len(targets)-1).Draw(t, "removed")].target.Incarnation
		var fewer []scoredTarget
		for i := range targets {
			other := targets[len(targets)-1-i]
			if other.target.Incarnation != removed {
				fewer = append(fewer, other)
			}
		}
		before, after := idsOf(subset(node, size, targets)), idsOf(subset(node, size, fewer))
		for id := range after {
			delete(before, id)
		}
		if len(before) > 0 {
			require.Equal(t, map[uint64]bool{removed: true}, before)
		}
	})
}

// threeRegions returns n targets in 3 regions with 2 zones each, as in the
// design.
func threeRegions(n int) []Target {
	targets := make([]Target, 0, n)
	for i := range n {
		targets = append(targets, Target{
			Incarnation: mix(uint64(i + 1)),
			Zone:        fmt.Sprintf("z%d", i%6),
			Region:      fmt.Sprintf("r%d", i%6/2),
			Slots:       100,
		})
	}
	return targets
}

// Guards against targets that get far more or fewer callers than others. With
// independent choices, the number of callers is binomial; a deviation of more
// than 5 standard deviations occurs by chance in one of 10^6 targets.
func TestSubsetsAreBalanced(t *testing.T) {
	const callers = 2400
	targets := threeRegions(300)
	callersOf := map[uint64]int{}
	sum := 0
	for i := range callers {
		at := targets[i%len(targets)]
		r := New(Config{Self: mix(uint64(1e6 + i)), Zone: at.Zone, Region: at.Region, Start: start})
		r.Update(start, "s", targets)
		r.Each("s", func(e *Endpoint) {
			callersOf[e.Target().Incarnation]++
			sum++
		})
	}
	mean := float64(sum) / float64(len(targets))
	fewest, most := math.Inf(1), 0.0
	for _, target := range targets {
		n := float64(callersOf[target.Incarnation])
		fewest, most = min(fewest, n), max(most, n)
	}
	t.Logf("callers per target: mean %.0f, least %.0f, most %.0f", mean, fewest, most)
	require.Greater(t, fewest, mean-5*math.Sqrt(mean))
	require.Less(t, most, mean+5*math.Sqrt(mean))
}

// Guards against a subset that exceeds MaxSubsetSize in a service as large as
// the fleet, and against targets outside of the subset that Find does not
// return.
func TestSubsetIsBoundedInLargeService(t *testing.T) {
	targets := threeRegions(9600)
	r := New(Config{Self: 1, Zone: "z0", Region: "r0", SubsetSize: 1000, Start: start})
	r.Update(start, "s", targets)
	n := 0
	r.Each("s", func(*Endpoint) { n++ })
	require.Equal(t, MaxSubsetSize, n)
	for _, target := range targets {
		require.NotNil(t, r.Find(target.Incarnation))
	}
	r.Update(start, "s", nil)
	require.Nil(t, r.Find(targets[0].Incarnation))
}
