package quota

import (
	"math"
	"time"
)

// decayingCount is a count that decays exponentially with the time constant loadPeriod.
type decayingCount struct {
	count float64
	at    time.Time
}

func (d *decayingCount) add(now time.Time, n float64) {
	d.count = d.value(now) + n
	d.at = now
}

// value returns the count at a time. It does not increase if the time is earlier than that
// of the last addition.
func (d *decayingCount) value(now time.Time) float64 {
	if d.count == 0 {
		return 0
	}
	return d.count * math.Exp(-max(now.Sub(d.at), 0).Seconds()/loadPeriod.Seconds())
}

// rate returns the counted events per second.
func (d *decayingCount) rate(now time.Time) float64 { return d.value(now) / loadPeriod.Seconds() }
