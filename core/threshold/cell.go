package threshold

import (
	"sync/atomic"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// HoldTime is how long a threshold is used unchanged after it was reported.
	HoldTime = 500 * time.Millisecond
	// RiseRate is how fast an old threshold rises, in levels per second. The range of
	// three classes takes 1.5 s, so that with HoldTime recovery is found within 2 s.
	RiseRate = 2 * outcome.Cohorts
	// riseInterval is the time per level.
	riseInterval = int64(time.Second) / int64(RiseRate)
)

// AgingThreshold holds a threshold that rises with its age. Times are nanoseconds from an
// origin that the owner chooses. The zero value admits every level. It is safe
// for concurrent use.
type AgingThreshold struct {
	// bits holds the time in microseconds and the level in the low 16 bits, so
	// that both are read together.
	bits atomic.Uint64
}

const levelBits = 16

func pack(at int64, level outcome.Level) uint64 {
	return uint64(at/int64(time.Microsecond))<<levelBits | uint64(level)
}

// Store sets the threshold as of a time. A level of zero is ignored, because it
// means that none is known.
func (c *AgingThreshold) Store(at int64, level outcome.Level) {
	if level != 0 {
		c.bits.Store(pack(at, level))
	}
}

// At returns the highest level believed to be admitted.
func (c *AgingThreshold) At(at int64) outcome.Level { return levelAt(c.bits.Load(), at) }

// update replaces the threshold by a function of its current value. A result of
// zero leaves the cell as it is.
func (c *AgingThreshold) update(at int64, next func(current outcome.Level) outcome.Level) {
	for {
		old := c.bits.Load()
		level := next(levelAt(old, at))
		if level == 0 || c.bits.CompareAndSwap(old, pack(at, level)) {
			return
		}
	}
}

func levelAt(bits uint64, at int64) outcome.Level {
	level := outcome.Level(bits & (1<<levelBits - 1))
	if level == 0 || level >= outcome.MaxLevel {
		return outcome.MaxLevel
	}
	age := at - int64(bits>>levelBits)*int64(time.Microsecond) - int64(HoldTime)
	if age <= 0 {
		return level
	}
	return outcome.Level(min(int64(level)+age/riseInterval, int64(outcome.MaxLevel)))
}
