package gate

import (
	"math"
	"time"
)

const (
	// operations is the size of the table of service times. Operations whose
	// numbers are equal modulo this size share an estimate.
	operations = 64
	// estimateWeight is the weight of a new sample once the estimate is warm.
	estimateWeight = 1.0 / 16
	// warmSamples is the number of samples before an estimate refuses anything.
	warmSamples = 8
	// staleAfter is the half-life of an estimate without new samples. A gate
	// that refuses everything sees no samples, so its estimate must fade.
	staleAfter = 250 * time.Millisecond
)

// estimate follows the time from start to end of one operation.
type estimate struct {
	mean      float64 // nanoseconds
	deviation float64 // mean absolute deviation, nanoseconds
	count     int
	updated   time.Duration
}

// add takes the latency of a finished request.
func (e *estimate) add(at, latency time.Duration) {
	e.count++
	e.updated = at
	weight := math.Max(estimateWeight, 1/float64(e.count))
	off := float64(latency) - e.mean
	e.mean += weight * off
	if e.count > 1 {
		e.deviation += weight * (math.Abs(off) - e.deviation)
	}
}

// least returns a service time that most requests exceed. A request with less
// time left is not worth its start.
func (e *estimate) least(at time.Duration) time.Duration {
	if e.count < warmSamples {
		return 0
	}
	least := math.Max(0, e.mean-e.deviation)
	if age := at - e.updated; age > staleAfter {
		least *= math.Exp2(1 - float64(age)/float64(staleAfter))
	}
	return time.Duration(least)
}
