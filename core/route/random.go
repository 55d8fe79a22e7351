package route

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// random is a seeded SplitMix64 generator that is safe for concurrent use.
type random struct{ state atomic.Uint64 }

// goldenGamma is the increment of SplitMix64.
const goldenGamma = 0x9e3779b97f4a7c15

func (r *random) seed(seed uint64, name string) {
	r.state.Store(mix(seed ^ xxhash.Sum64String(name)))
}

func (r *random) next() uint64 { return mix(r.state.Add(goldenGamma)) }

// mix is the output function of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// A draw derives several random numbers from one random value.
type draw uint64

// intN returns a number in [0, n) and advances.
func (d *draw) intN(n int) int {
	*d = draw(mix(uint64(*d) + goldenGamma))
	return int((uint64(*d) >> 32) * uint64(n) >> 32)
}

// fraction returns a number in [0, 1) and advances.
func (d *draw) fraction() float64 {
	*d = draw(mix(uint64(*d) + goldenGamma))
	return float64(*d>>11) / (1 << 53)
}
