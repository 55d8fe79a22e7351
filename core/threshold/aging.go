package threshold

import (
	"sync/atomic"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// HoldTime is how long a reported threshold is used unchanged.
	HoldTime = 500 * time.Millisecond
	// RiseRate is how fast a threshold rises after HoldTime, in levels per second. It
	// covers the range of three classes in 1.5 s, so that recovery is noticed within 2
	// s of the last report.
	RiseRate = 2 * outcome.Cohorts
	// riseInterval is the time in which the threshold rises by one level, in
	// nanoseconds.
	riseInterval = int64(time.Second) / int64(RiseRate)
)

// An AgingThreshold is a threshold that rises as its last report ages, because the
// reporting service may have recovered since. Times are nanoseconds since an origin
// chosen by the owner. The zero value admits every level. It is safe for concurrent
// use.
type AgingThreshold struct {
	// bits holds the time in microseconds and, in the low 16 bits, the level, so that
	// both are read and written atomically.
	bits atomic.Uint64
}

const levelBits = 16

func pack(at int64, level outcome.Level) uint64 {
	return uint64(at/int64(time.Microsecond))<<levelBits | uint64(level)
}

// Store sets the threshold reported at a time. It ignores level zero, which means that
// no threshold is known.
func (t *AgingThreshold) Store(at int64, level outcome.Level) {
	if level != 0 {
		t.bits.Store(pack(at, level))
	}
}

// At returns the highest level that is assumed to be admitted at a time.
func (t *AgingThreshold) At(at int64) outcome.Level { return levelAt(t.bits.Load(), at) }

// update atomically replaces the threshold by a function of its current value. It
// leaves the threshold unchanged if the function returns zero.
func (t *AgingThreshold) update(at int64, next func(current outcome.Level) outcome.Level) {
	for {
		old := t.bits.Load()
		level := next(levelAt(old, at))
		if level == 0 || t.bits.CompareAndSwap(old, pack(at, level)) {
			return
		}
	}
}

// levelAt returns the threshold at a time, given the bits of an AgingThreshold.
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
