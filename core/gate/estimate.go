package gate

import (
	"math"
	"time"
)

const (
	// operations is the size of the table of service times. Operations whose
	// numbers are equal modulo this size share an estimate.
	estimateTableSize = 64
	// estimateWeight is the weight of a new sample once the estimate is warm.
	estimateWeight = 1.0 / 16
	// warmSamples is the number of samples before an estimate refuses anything.
	minSamples = 8
	// staleAfter is the half-life of an estimate without new samples. A gate
	// that refuses everything sees no samples, so its estimate must fade.
	estimateHalfLife = 250 * time.Millisecond
)

// estimate follows the time from start to end of one operation.
type estimate struct {
	mean      float64 // nanoseconds
	deviation float64 // mean absolute deviation, nanoseconds
	addCount  int
	updated   time.Duration
}

// add takes the latency of a finished request.
func (e *estimate) add(at, latency time.Duration) {
	e.addCount++
	e.updated = at
	weight := math.Max(estimateWeight, 1/float64(e.addCount))
	difference := float64(latency) - e.mean
	e.mean += weight * difference
	if e.addCount > 1 {
		e.deviation += weight * (math.Abs(difference) - e.deviation)
	}
}

// least returns a service time that most requests exceed. A request with less
// time left is not worth its start.
func (e *estimate) lowerBound(at time.Duration) time.Duration {
	if e.addCount < minSamples {
		return 0
	}
	lowerBound := math.Max(0, e.mean-e.deviation)
	if age := at - e.updated; age > estimateHalfLife {
		lowerBound *= math.Exp2(1 - float64(age)/float64(estimateHalfLife))
	}
	return time.Duration(lowerBound)
}
