package gate

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// classCount is the size of arrays that are indexed by class, including
// outcome.Assured.
const classCount = int(outcome.Sheddable) + 1

// Counts holds one count for each class.
type Counts [classCount]uint64

// Totals counts the decisions of a gate since it was created.
type Totals struct {
	// Offered counts the requests that were offered, Started those that started at the
	// target, Refused those that were rejected on arrival or in the queue, and
	// Cancelled those whose callers canceled them while they were queued.
	Offered   Counts
	Started   Counts
	Refused   Counts
	Cancelled Counts
	// Busy is the total time that requests spent at the target, summed over all
	// requests.
	Busy time.Duration
}

// Since returns the difference to earlier totals of the same gate.
func (t Totals) Since(earlier Totals) Totals {
	return Totals{
		Offered:   t.Offered.minus(earlier.Offered),
		Started:   t.Started.minus(earlier.Started),
		Refused:   t.Refused.minus(earlier.Refused),
		Cancelled: t.Cancelled.minus(earlier.Cancelled),
		Busy:      t.Busy - earlier.Busy,
	}
}

// Sum returns the sum over all classes.
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

// Totals returns the totals up to the latest time passed to the gate.
func (g *Gate) Totals() Totals { return g.totals }

// ServiceTime returns the recent mean service time of requests at the target. It
// returns 0 if no request has ended.
func (g *Gate) ServiceTime() time.Duration { return time.Duration(g.serviceTime.mean) }
