package gate

import (
	"math"
	"time"
)

const (
	// estimateTableSize is the number of entries in the table of service-time
	// estimates. Operations whose numbers are equal modulo this size share an estimate.
	estimateTableSize = 64
	// estimateWeight is the weight of a new sample in the moving averages after the
	// first 16 samples. Earlier samples are averaged with equal weight.
	estimateWeight = 1.0 / 16
	// minSamples is the number of samples before an estimate may cause a rejection.
	minSamples = 8
	// estimateHalfLife is the half-life of an estimate that receives no new samples. A
	// gate that rejects every request of an operation gets no samples, so without decay
	// a high estimate would keep rejecting.
	estimateHalfLife = 250 * time.Millisecond
)

// An estimate tracks the mean and the deviation of a service time, measured from the
// start of a request at the target to its end.
type estimate struct {
	mean      float64 // nanoseconds
	deviation float64 // mean absolute deviation, nanoseconds
	count     int
	updated   time.Duration
}

// add includes the latency of a finished request in the estimate.
func (e *estimate) add(at, latency time.Duration) {
	e.count++
	e.updated = at
	weight := math.Max(estimateWeight, 1/float64(e.count))
	difference := float64(latency) - e.mean
	e.mean += weight * difference
	if e.count > 1 {
		e.deviation += weight * (math.Abs(difference) - e.deviation)
	}
}

// lowerBound returns a service time that most requests exceed: the mean less one mean
// deviation. A request that has less time left before its deadline is not worth
// starting.
func (e *estimate) lowerBound(at time.Duration) time.Duration {
	if e.count < minSamples {
		return 0
	}
	lowerBound := math.Max(0, e.mean-e.deviation)
	if age := at - e.updated; age > estimateHalfLife {
		lowerBound *= math.Exp2(1 - float64(age)/float64(estimateHalfLife))
	}
	return time.Duration(lowerBound)
}
