package route

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawTargets returns 1 to 400 targets in all tiers. The number is drawn first,
// because generated slices are mostly shorter than a subset.
func drawTargets(t *rapid.T) []scored {
	seed := rapid.Uint64().Draw(t, "seed")
	n := rapid.SampledFrom([]int{1, 5, 20, 50, 100, 200, 400}).Draw(t, "n")
	shares := rapid.SliceOfN(rapid.IntRange(0, 2), 8, 8).Draw(t, "tiers")
	targets := make([]scored, 0, n)
	for i := range n {
		target := Target{Incarnation: mix(seed + uint64(i)*golden), Slots: 1 + i%3}
		targets = append(targets, scored{target: target, tier: tier(shares[i%len(shares)])})
	}
	return targets
}

func idsOf(targets []scored) map[uint64]bool {
	ids := map[uint64]bool{}
	for _, t := range targets {
		ids[t.target.Incarnation] = true
	}
	return ids
}

// Guards against subsets that exceed their size, repeat a target, or keep too few
// targets of the own zone or outside of it.
func TestSubsetHoldsReservedParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		size := rapid.IntRange(8, MaxSubsetSize).Draw(t, "size")
		have := byTier(targets)
		chosen := subset(rapid.Uint64().Draw(t, "node"), size, targets)
		got := byTier(chosen)
		require.Len(t, chosen, min(size, len(targets)))
		require.Len(t, idsOf(chosen), len(chosen))
		require.GreaterOrEqual(t, len(got[tierOwn]), min(len(have[tierOwn]), size/2))
		require.GreaterOrEqual(t, len(got[tierNear]), min(len(have[tierNear]), 3*size/8))
		require.GreaterOrEqual(t, len(got[tierFar]), min(len(have[tierFar]), size/8))
	})
}

// Guards against a subset that is reshuffled when one member leaves or joins, or
// that depends on the order of members.
func TestSubsetChangesByOnePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		node := rapid.Uint64().Draw(t, "node")
		size := rapid.IntRange(8, MaxSubsetSize).Draw(t, "size")
		removed := targets[rapid.IntRange(0, len(targets)-1).Draw(t, "removed")].target.Incarnation
		var fewer []scored
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

// regionsOfDesign returns n targets over 3 regions with 2 zones each.
func regionsOfDesign(n int) []Target {
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
// independent choices the number of callers is binomial; 5 standard deviations
// are exceeded by chance once in 10^6 targets.
func TestSubsetsAreBalanced(t *testing.T) {
	const callers = 2400
	targets := regionsOfDesign(300)
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
	least, most := math.Inf(1), 0.0
	for _, target := range targets {
		n := float64(callersOf[target.Incarnation])
		least, most = min(least, n), max(most, n)
	}
	t.Logf("callers per target: mean %.0f, least %.0f, most %.0f", mean, least, most)
	require.Greater(t, least, mean-5*math.Sqrt(mean))
	require.Less(t, most, mean+5*math.Sqrt(mean))
}

// Guards against a subset without bound in a service as large as the fleet.
func TestSubsetIsBoundedInLargeService(t *testing.T) {
	targets := regionsOfDesign(9600)
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
