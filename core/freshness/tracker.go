// Package freshness tracks how stale the local copy of a stream of the
// platform's store may be, and decides how a node keeps the copy up to date.
//
// Model. A copy is complete as of a time if it is known to include everything
// that the store had acknowledged by then. The age of the copy is the time
// since the latest such time. Responses of the store and comparisons with other
// nodes advance it. The absence of errors does not, because a store or a
// network path that has stopped responding returns no error either.
//
// A store that has returned from a copy may have lost versions that it had
// acknowledged. Its responses do not show a copy to be complete until the node has
// compared with others, which may have those versions.
package freshness

import (
	"sync/atomic"
	"time"
)

// Unknown is the age of a copy that was never confirmed. It is greater than any
// limit.
const Unknown = time.Duration(1<<63 - 1)

// A Tracker records the time as of which a copy is complete. It is safe for
// concurrent use.
type Tracker struct {
	start time.Time
	// completeAsOf is the time as of which the copy is complete, and
	// respondedAt is the time of the latest response of the store. Both are in
	// nanoseconds after start; 0 means never.
	completeAsOf atomic.Int64
	respondedAt  atomic.Int64
	// suspendedUntil is the time before which the store's responses confirm nothing, in
	// nanoseconds after start.
	suspendedUntil atomic.Int64
}

// NewTracker returns a Tracker for a copy that is not confirmed yet. start must
// not be later than any time that is passed to the Tracker.
func NewTracker(start time.Time) *Tracker { return &Tracker{start: start} }

// StoreResponded records a response of the store.
func (t *Tracker) StoreResponded(at time.Time) { advance(&t.respondedAt, t.since(at)) }

// ConfirmStore records that a response of the store showed the copy to be
// complete as of the given time. It has no effect while responses are suspended.
func (t *Tracker) ConfirmStore(asOf time.Time) {
	if t.since(asOf) >= t.suspendedUntil.Load() {
		advance(&t.completeAsOf, t.since(asOf))
	}
}

// Suspend makes responses of the store as of times before until confirm nothing.
func (t *Tracker) Suspend(until time.Time) { t.suspendedUntil.Store(t.since(until)) }

// IsSuspended reports whether responses of the store confirm nothing at the moment.
func (t *Tracker) IsSuspended(now time.Time) bool { return t.since(now) < t.suspendedUntil.Load() }

// ConfirmPeer records the result of a comparison: another node, which received
// a request sent at the given time, had no newer state, and its copy had the
// given age when it responded.
func (t *Tracker) ConfirmPeer(requestedAt time.Time, age time.Duration) {
	if age < 0 || age > requestedAt.Sub(t.start) {
		return
	}
	advance(&t.completeAsOf, t.since(requestedAt.Add(-age)))
}

// Age returns the age of the copy, or Unknown if it was never confirmed.
func (t *Tracker) Age(now time.Time) time.Duration { return t.age(&t.completeAsOf, now) }

// StoreAge returns the time since the latest response of the store, or Unknown
// if there was none.
func (t *Tracker) StoreAge(now time.Time) time.Duration { return t.age(&t.respondedAt, now) }

func (t *Tracker) since(at time.Time) int64 { return int64(at.Sub(t.start)) }

func (t *Tracker) age(mark *atomic.Int64, now time.Time) time.Duration {
	at := mark.Load()
	if at == 0 {
		return Unknown
	}
	return max(now.Sub(t.start)-time.Duration(at), 0)
}

// advance raises a mark to the given value. It never lowers it.
func advance(mark *atomic.Int64, to int64) {
	for {
		at := mark.Load()
		if to <= at || mark.CompareAndSwap(at, to) {
			return
		}
	}
}
