package gate

import (
	"math"
	"time"
)

const (
	// maxEstimates limits the number of operations whose service time is estimated.
	maxEstimates = 4096
	// staleAge is the age from which an estimate may be dropped. It has decayed to a
	// thousandth by then.
	staleAge = 11 * estimateHalfLife
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

// serviceTimes holds the estimates of operations, by number.
type serviceTimes struct {
	byOperation map[uint32]*estimate
	// dropped is when stale estimates were last dropped.
	dropped time.Duration
}

func newServiceTimes() serviceTimes {
	return serviceTimes{byOperation: make(map[uint32]*estimate)}
}

// lowerBound returns a service time that most requests of an operation exceed, or 0 if
// it is unknown.
func (t *serviceTimes) lowerBound(operation uint32, at time.Duration) time.Duration {
	e := t.byOperation[operation]
	if e == nil {
		return 0
	}
	return e.lowerBound(at)
}

// get returns the estimate of an operation, which it creates on first use. It returns
// nil if the estimates of too many other operations are in use.
func (t *serviceTimes) get(operation uint32, at time.Duration) *estimate {
	e := t.byOperation[operation]
	if e != nil {
		return e
	}
	if len(t.byOperation) >= maxEstimates {
		t.dropStale(at)
	}
	if len(t.byOperation) >= maxEstimates {
		return nil
	}
	e = &estimate{}
	t.byOperation[operation] = e
	return e
}

// dropStale drops the estimates without recent samples, at most once in staleAge.
func (t *serviceTimes) dropStale(at time.Duration) {
	if t.dropped > 0 && at-t.dropped < staleAge {
		return
	}
	t.dropped = at
	for operation, e := range t.byOperation {
		if at-e.updated >= staleAge {
			delete(t.byOperation, operation)
		}
	}
}
