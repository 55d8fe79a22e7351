// Package freshness tells how old a copy of the platform's stream may be, and
// decides how a node keeps its copy current.
//
// Model. A copy is as of the latest moment at which it is known to have held all
// that the store had acknowledged. Answers of the store and comparisons with
// other nodes move that moment on; the absence of an error does not, because a
// silent store or path gives none.
package freshness

import (
	"sync/atomic"
	"time"
)

// Unknown is the age of a copy that was never confirmed. It is above any bound.
const Unknown = time.Duration(1<<63 - 1)

// Tracker holds as of when a copy is complete. It is safe for concurrent use.
type Tracker struct {
	start time.Time
	// known is as of when the copy is complete, answered the time of the store's
	// latest answer; both in nanoseconds after start, 0 if there was none.
	known    atomic.Int64
	answered atomic.Int64
}

// NewTracker returns the Tracker of a copy that is not confirmed yet. start must
// not be after any later moment.
func NewTracker(start time.Time) *Tracker { return &Tracker{start: start} }

// StoreResponded notes an answer of the store.
func (t *Tracker) StoreResponded(at time.Time) { advance(&t.answered, t.since(at)) }

// ConfirmStore notes that the store itself showed the copy to be complete as of
// a moment.
func (t *Tracker) ConfirmStore(asOf time.Time) { advance(&t.known, t.since(asOf)) }

// ConfirmPeer notes that another node, asked at a moment, knew no newer state and
// that its copy had the age when it answered.
func (t *Tracker) ConfirmPeer(asked time.Time, age time.Duration) {
	if age < 0 || age > asked.Sub(t.start) {
		return
	}
	advance(&t.known, t.since(asked.Add(-age)))
}

// Age returns how old the copy may be, Unknown if it was never confirmed.
func (t *Tracker) Age(now time.Time) time.Duration { return t.age(&t.known, now) }

// StoreAge returns the time since the latest answer of the store, Unknown if there
// was none.
func (t *Tracker) StoreAge(now time.Time) time.Duration { return t.age(&t.answered, now) }

func (t *Tracker) since(at time.Time) int64 { return int64(at.Sub(t.start)) }

func (t *Tracker) age(mark *atomic.Int64, now time.Time) time.Duration {
	at := mark.Load()
	if at == 0 {
		return Unknown
	}
	return max(now.Sub(t.start)-time.Duration(at), 0)
}

// advance moves a mark on; it never goes back.
func advance(mark *atomic.Int64, to int64) {
	for {
		at := mark.Load()
		if to <= at || mark.CompareAndSwap(at, to) {
			return
		}
	}
}
