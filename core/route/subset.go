package route

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultSubsetSize is the subset size if the configuration gives none. It
	// is large enough to hold all targets of the services that run today.
	DefaultSubsetSize = 32
	// MaxSubsetSize is the maximum subset size. Comparisons use arrays of this
	// size.
	MaxSubsetSize = 64
	// The node's own zone gets 1/ownZoneDivisor of the subset, other zones of
	// the region get 3/otherZonesDivisor, and other regions get the rest.
	ownZoneDivisor    = 2
	otherZonesDivisor = 8
)

// A scoredTarget is a target with its tier and score as seen from this node.
type scoredTarget struct {
	target Target
	tier   tier
	score  float64
}

// score returns the weighted rendezvous score of a target for a node: with u
// uniform in (0, 1), -weight/ln(u) gives each target a probability of being
// chosen that is proportional to its weight, independent of all other targets.
func score(node, target uint64, weight float64) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], node)
	binary.LittleEndian.PutUint64(key[8:], target)
	u := (float64(xxhash.Sum64(key[:])>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// rank sorts targets by descending score. Equal scores are ordered by
// incarnation, so that the result does not depend on the order of the input.
func rank(node uint64, targets []scoredTarget) {
	for i := range targets {
		t := &targets[i]
		t.score = score(node, t.target.Incarnation, float64(max(t.target.Slots, 1)))
	}
	slices.SortFunc(targets, func(a, b scoredTarget) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.target.Incarnation, b.target.Incarnation))
	})
}

// subset returns at most size targets: a reserved quota of each tier, and for
// the rest targets of the nearest tiers first.
func subset(node uint64, size int, targets []scoredTarget) []scoredTarget {
	rank(node, targets)
	tiers := byTier(targets)
	quota := quotas(size, [3]int{len(tiers[tierOwnZone]), len(tiers[tierOtherZone]), len(tiers[tierOtherRegion])})
	chosen := make([]scoredTarget, 0, min(size, len(targets)))
	for t := range tiers {
		chosen = append(chosen, tiers[t][:quota[t]]...)
	}
	return chosen
}

func byTier(targets []scoredTarget) [3][]scoredTarget {
	var tiers [3][]scoredTarget
	for _, t := range targets {
		tiers[t.tier] = append(tiers[t.tier], t)
	}
	return tiers
}

// quotas returns the number of targets to take from each tier, given the number
// available in each. Quotas that a tier cannot fill go to the nearest tiers
// that have more.
func quotas(size int, available [3]int) [3]int {
	reserved := [3]int{size / ownZoneDivisor, 3 * size / otherZonesDivisor, 0}
	reserved[tierOtherRegion] = size - reserved[tierOwnZone] - reserved[tierOtherZone]
	var quota [3]int
	left := size
	for t := range quota {
		quota[t] = min(available[t], reserved[t])
		left -= quota[t]
	}
	for t := range quota {
		more := min(available[t]-quota[t], left)
		quota[t] += more
		left -= more
	}
	return quota
}
