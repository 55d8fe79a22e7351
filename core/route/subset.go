package route

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultSubsetSize is the subset size if the configuration gives none. It holds
	// all targets of the services of today.
	DefaultSubsetSize = 32
	// MaxSubsetSize bounds the subset size; comparisons use arrays of this size.
	MaxSubsetSize = 64
	// The own zone gets 1/ownPart of the subset, other zones of the region get
	// 3/nearPart, and other regions the rest.
	ownPart  = 2
	nearPart = 8
)

// scored is a target with its rank for this node.
type scored struct {
	target Target
	tier   tier
	score  float64
}

// score is the weighted rendezvous score of a target for a node: with u uniform
// in (0, 1), -weight/ln(u) gives each target a chance to be chosen that is
// proportional to its weight, independent of all other targets.
func score(node, target uint64, weight float64) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], node)
	binary.LittleEndian.PutUint64(key[8:], target)
	u := (float64(xxhash.Sum64(key[:])>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// rank orders targets by score, best first. Equal scores are ordered by
// incarnation, so that the result does not depend on the order of the input.
func rank(node uint64, targets []scored) {
	for i := range targets {
		t := &targets[i]
		t.score = score(node, t.target.Incarnation, float64(max(t.target.Slots, 1)))
	}
	slices.SortFunc(targets, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.target.Incarnation, b.target.Incarnation))
	})
}

// subset returns at most size targets: a reserved part for each tier, and the
// remaining places to the nearest tiers first.
func subset(node uint64, size int, targets []scored) []scored {
	rank(node, targets)
	tiers := byTier(targets)
	take := shares(size, [3]int{len(tiers[tierOwn]), len(tiers[tierNear]), len(tiers[tierFar])})
	chosen := make([]scored, 0, min(size, len(targets)))
	for t := range tiers {
		chosen = append(chosen, tiers[t][:take[t]]...)
	}
	return chosen
}

func byTier(targets []scored) [3][]scored {
	var tiers [3][]scored
	for _, t := range targets {
		tiers[t.tier] = append(tiers[t.tier], t)
	}
	return tiers
}

// shares splits size places over the tiers.
func shares(size int, have [3]int) [3]int {
	reserved := [3]int{size / ownPart, 3 * size / nearPart, 0}
	reserved[tierFar] = size - reserved[tierOwn] - reserved[tierNear]
	var take [3]int
	left := size
	for t := range take {
		take[t] = min(have[t], reserved[t])
		left -= take[t]
	}
	for t := range take {
		more := min(have[t]-take[t], left)
		take[t] += more
		left -= more
	}
	return take
}
