package retry

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// bucketLevels is the number of levels whose demand is counted together. A node in a
	// large fleet sends less than one call per second and level.
	bucketLevels = 8
	bucketCount  = (int(outcome.MaxLevel) + bucketLevels) / bucketLevels
	// demandTime is the time constant of the demand of admitted levels.
	demandTime = time.Second
	// refusedDemandTime is the time constant of the demand of levels that entry nodes no
	// longer send. Forgetting it sooner admits them again while the refusals last, and
	// the limit oscillates.
	refusedDemandTime = 15 * time.Second
	// callsTime is the time constant of the number of calls of an operation.
	callsTime = 3 * time.Second
	// minLaterCalls is the number of calls after the first one from which on an operation
	// has many calls.
	minLaterCalls = 2
	// maxOperations limits the number of operations with a known number of calls. Calls
	// of further operations are counted one by one.
	maxOperations = 256
	// unusedRate is the rate of calls per second below which an operation is forgotten if
	// there is no space for others. One with a call per second reaches it 14 s after its
	// last call.
	unusedRate = 0.01
)

// rate is an exponentially weighted average of the rate of an event.
type rate struct {
	// count is the number of events since the last update.
	count     float64
	perSecond float64
}

// update adds the events of the elapsed time to the average.
func (r *rate) update(elapsed, timeConstant time.Duration) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(timeConstant))
	r.perSecond += weight * (r.count/elapsed.Seconds() - r.perSecond)
	r.count = 0
}

// byLevel holds a rate for each bucket of levels.
type byLevel [bucketCount]rate

func bucketOf(level outcome.Level) int { return int(min(level, outcome.MaxLevel)) / bucketLevels }

// firstBucket returns the bucket of the most important level of a class.
func firstBucket(class int) int { return class * outcome.Cohorts / bucketLevels }

// update adds the events of the elapsed time. Above settled, entry nodes may not send
// what they would otherwise send, so the demand there is kept longer.
func (b *byLevel) update(elapsed time.Duration, settled outcome.Level) {
	for bucket := range b {
		timeConstant := demandTime
		if (bucket+1)*bucketLevels-1 > int(settled) {
			timeConstant = refusedDemandTime
		}
		b[bucket].update(elapsed, timeConstant)
	}
}

// demand measures the calls that root requests need, by level. Root requests that fail
// early make fewer calls than they need. For operations with a known number of calls,
// the first call of a root request therefore counts for all of them.
type demand struct {
	// first and later are the calls of operations with many calls, later being those
	// that follow the first one. other are the calls of all other operations.
	first, later, other byLevel
	operations          map[string]*callCount
}

// callCount measures how many calls follow the first one of a root request.
type callCount struct{ first, later rate }

// laterCalls returns the mean number of calls that follow the first one, or 0 if it is
// not known.
func (c *callCount) laterCalls() float64 {
	if c == nil || c.first.perSecond <= 0 {
		return 0
	}
	return c.later.perSecond / c.first.perSecond
}

// many reports whether an operation has many calls.
func (c *callCount) many() bool { return c.laterCalls() >= minLaterCalls }

// record counts the first attempt of a call.
func (d *demand) record(s Send) {
	operation, bucket := d.operation(s.Operation), bucketOf(s.Level)
	if operation != nil {
		operation.record(s)
	}
	switch {
	case !operation.many():
		d.other[bucket].count++
	case s.CompletedCalls == 0:
		d.first[bucket].count++
		d.later[bucket].count += operation.laterCalls()
	}
}

func (c *callCount) record(s Send) {
	if s.CompletedCalls == 0 {
		c.first.count++
		return
	}
	c.later.count++
}

// operation returns the call count of an operation, or nil if there are too many.
func (d *demand) operation(name string) *callCount {
	found := d.operations[name]
	if found == nil && len(d.operations) < maxOperations {
		found = &callCount{}
		d.operations[name] = found
	}
	return found
}

// update adds the calls of the elapsed time. Calls per operation are measured only while
// targets do not refuse, because root requests that fail early make fewer of them.
func (d *demand) update(elapsed time.Duration, settled outcome.Level, refusing bool) {
	d.first.update(elapsed, settled)
	d.later.update(elapsed, settled)
	d.other.update(elapsed, settled)
	full := len(d.operations) >= maxOperations
	for name, c := range d.operations {
		if refusing {
			c.first.count, c.later.count = 0, 0
			continue
		}
		c.first.update(elapsed, callsTime)
		c.later.update(elapsed, callsTime)
		if full && c.first.perSecond+c.later.perSecond < unusedRate {
			delete(d.operations, name)
		}
	}
}

// need is the rate of repeats that calls ask for: if all calls get repeats, and if the
// first calls of operations with many calls get none.
type need struct{ full, filtered float64 }

// need returns the need of a bucket, given the mean number of repeats of a call and the
// share of calls that pass without a repeat.
func (d *demand) need(bucket int, repeats, passed float64) need {
	first, later, other := d.first[bucket].perSecond, d.later[bucket].perSecond, d.other[bucket].perSecond
	return need{full: repeats * (other + first + later), filtered: repeats * (other + later*passed)}
}

// extra is the rate of repeats that first calls ask for, less what the later calls of
// root requests that would otherwise have ended ask for.
func (n need) extra() float64 { return n.full - n.filtered }
