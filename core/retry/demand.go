package retry

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
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

// demand holds the rate of first attempts of calls in each bucket of levels.
type demand [bucketCount]rate

func bucketOf(level outcome.Level) int { return int(min(level, outcome.MaxLevel)) / bucketLevels }

// firstBucket returns the bucket of the most important level of a class.
func firstBucket(class int) int { return class * outcome.Cohorts / bucketLevels }

// update adds the first attempts of the elapsed time. Above settled, entry nodes may not
// send what they would otherwise send, so the demand there is kept longer.
func (d *demand) update(elapsed time.Duration, settled outcome.Level) {
	for bucket := range d {
		timeConstant := demandTime
		if (bucket+1)*bucketLevels-1 > int(settled) {
			timeConstant = refusedDemandTime
		}
		d[bucket].update(elapsed, timeConstant)
	}
}
