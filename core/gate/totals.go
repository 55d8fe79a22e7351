package gate

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// classes is the size of arrays that are indexed by class.
const classCount = int(outcome.Sheddable) + 1

// Counts holds a number for each class.
type Counts [classCount]uint64

// Totals counts what a gate did since it was made.
type Totals struct {
	// Offered counts requests that asked for admission, Started those that went to
	// the target, Refused those that did not, refusals in the queue included, and
	// Cancelled those whose senders gave up while they waited.
	Offered   Counts
	Started   Counts
	Refused   Counts
	Cancelled Counts
	// Busy is the sum of the times that requests were at the target.
	Busy time.Duration
}

// Since returns what was added to earlier totals of the same gate.
func (t Totals) Since(earlier Totals) Totals {
	return Totals{
		Offered:   t.Offered.minus(earlier.Offered),
		Started:   t.Started.minus(earlier.Started),
		Refused:   t.Refused.minus(earlier.Refused),
		Cancelled: t.Cancelled.minus(earlier.Cancelled),
		Busy:      t.Busy - earlier.Busy,
	}
}

// Sum returns the number over all classes.
func (c Counts) Sum() uint64 {
	sum := uint64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

func (c Counts) minus(other Counts) Counts {
	for class := range c {
		c[class] -= other[class]
	}
	return c
}

func (c *Counts) add(level outcome.Level) { c[level.Class()]++ }

// Totals returns what the gate did until the latest time that it was told.
func (g *Gate) Totals() Totals { return g.totals }

// ServiceTime returns the mean time that requests were at the target lately; 0
// if none has ended.
func (g *Gate) ServiceTime() time.Duration { return time.Duration(g.serviceTime.mean) }
