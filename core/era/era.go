// Package era identifies the eras of the platform's store.
//
// Model. The store may return from a copy of its records that is some seconds old. The
// records written since the copy was made are lost, and their offsets are given out
// again for other records. The time between two such returns is an era. Within an era
// the store loses nothing that it has acknowledged. What a process has learned from the
// store holds in the era in which it was learned: an offset as a position, an
// acknowledgement as a proof that a record is there, and a response without new records
// as a proof of being current.
package era

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"
)

// An Era identifies an era. Later eras have higher values. The value is not the number that
// the store gives the era; see FromNumber.
type Era uint64

// Unknown is the era of a response that does not tell one. It cannot be told apart from
// any other era.
const Unknown Era = 0

// FromNumber returns the era with a number of the store, or Unknown if the number is nil.
// The store may count from 0, which is not Unknown.
func FromNumber(number *uint64) Era {
	if number == nil || *number == math.MaxUint64 {
		return Unknown
	}
	return Era(*number + 1)
}

// Number returns the number that the store gives an era, or nil if the era is unknown.
func (e Era) Number() *uint64 {
	if e == Unknown {
		return nil
	}
	number := uint64(e) - 1
	return &number
}

// String implements fmt.Stringer.
func (e Era) String() string {
	if e == Unknown {
		return "unknown"
	}
	return strconv.FormatUint(*e.Number(), 10)
}

// Same reports whether two eras may be the same one.
func (e Era) Same(other Era) bool { return e == other || e == Unknown || other == Unknown }

// A Position is an offset in a topic of the store, in the era that gave it out.
type Position struct {
	Era    Era
	Offset uint64
}

// ValidIn reports whether the position names the same place of the topic in an era.
func (p Position) ValidIn(e Era) bool { return p.Era.Same(e) }

// A Latest holds the latest era that a process has seen. The zero value holds Unknown.
// It is safe for concurrent use.
type Latest struct{ latest atomic.Uint64 }

// Get returns the latest era.
func (l *Latest) Get() Era { return Era(l.latest.Load()) }

// Observe records an era and returns the latest one before. It reports whether the
// recorded era is later. An earlier era is that of a late response and is ignored.
func (l *Latest) Observe(e Era) (before Era, later bool) {
	for {
		before = l.Get()
		if e <= before {
			return before, false
		}
		if l.latest.CompareAndSwap(uint64(before), uint64(e)) {
			return before, true
		}
	}
}

// recoveryShare is the part of the store's rate of calls that all callers together use
// to read or write again after a return from a copy. The rest is for other calls.
const recoveryShare = 0.5

// Spread returns the time over which callers distribute one call each after the store has
// returned from a copy, so that they stay within the store's rate of calls per second. A
// rate of 0 means that there is no limit.
func Spread(callers int, callsPerSecond float64) time.Duration {
	if callsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(callers) / (recoveryShare * callsPerSecond) * float64(time.Second))
}
