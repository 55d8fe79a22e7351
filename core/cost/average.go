package cost

import (
	"math"
	"sync/atomic"
	"time"
)

// maxPauseWeight is the maximum weight of a sample after a pause.
const maxPauseWeight = 0.3

// An Average is a moving average with its number of samples and the time of the latest
// one. The first samples are averaged with equal weight. Times are nanoseconds since an
// origin chosen by the owner. The zero value has no samples. It is safe for concurrent
// use; its fields may be read at slightly different moments.
type Average struct {
	bits    atomic.Uint64
	count   atomic.Uint32
	updated atomic.Int64
}

// Value returns the average, or 0 if there are no samples.
func (a *Average) Value() float64 { return math.Float64frombits(a.bits.Load()) }

// Samples returns the number of samples.
func (a *Average) Samples() uint32 { return a.count.Load() }

// Age returns the time since the latest sample.
func (a *Average) Age(at int64) time.Duration { return time.Duration(max(at-a.updated.Load(), 0)) }

// Add includes a sample with at least the given weight, which is between 0 and 1.
func (a *Average) Add(at int64, sample, minWeight float64) {
	weight := math.Max(minWeight, 1/float64(a.countSample()))
	a.updated.Store(at)
	a.blend(sample, weight)
}

// countSample returns the number of samples including a new one. It does not wrap, because
// a weight must be finite.
func (a *Average) countSample() uint32 {
	if n := a.count.Add(1); n != 0 {
		return n
	}
	a.count.Store(math.MaxUint32)
	return math.MaxUint32
}

// AddAfterPause is like Add, but the weight of the sample also grows with the time since
// the one before, up to maxPauseWeight. Otherwise an average of few samples per second
// would follow a change only after many seconds. After a pause of halfAge, the earlier
// samples have half their weight.
func (a *Average) AddAfterPause(at int64, sample, minWeight float64, halfAge time.Duration) {
	if a.count.Load() > 0 {
		kept := float64(halfAge) / float64(halfAge+a.Age(at))
		minWeight = math.Min(1-(1-minWeight)*kept, math.Max(maxPauseWeight, minWeight))
	}
	a.Add(at, sample, minWeight)
}

func (a *Average) blend(sample, weight float64) {
	for {
		old := a.bits.Load()
		value := math.Float64frombits(old)
		if a.bits.CompareAndSwap(old, math.Float64bits(value+weight*(sample-value))) {
			return
		}
	}
}

// AddClipped includes a sample that is at most the given multiple of the average. Samples
// are not clipped until clipSamples of them are known.
func (a *Average) AddClipped(at int64, sample, minWeight, multiple float64) {
	if a.count.Load() >= clipSamples {
		sample = math.Min(sample, multiple*a.Value())
	}
	a.Add(at, sample, minWeight)
}

// scale multiplies the average by a factor.
func (a *Average) scale(factor float64) {
	for {
		old := a.bits.Load()
		if a.bits.CompareAndSwap(old, math.Float64bits(factor*math.Float64frombits(old))) {
			return
		}
	}
}
