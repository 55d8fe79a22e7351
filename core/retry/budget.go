package retry

import (
	"sync"
	"time"
)

const (
	// DefaultRatio is the share of first attempts that may be retried if the
	// catalogue gives none.
	DefaultRatio = 0.1
	// minRetriesPerSecond is earned without any first attempts, so that an edge
	// with few calls can retry at all.
	minRetriesPerSecond = 0.5
	// maxSaved bounds the retries saved up, so that a long quiet time does not
	// permit a burst.
	maxSaved = 10
)

// EdgeBudget bounds the retries of one edge, from this node to one service, to a
// share of the first attempts: over any period, retries are at most ratio times
// first attempts plus minRetriesPerSecond plus maxSaved. It is safe for
// concurrent use.
type EdgeBudget struct {
	mu    sync.Mutex
	ratio float64
	saved float64
	last  time.Time
}

// NewEdgeBudget returns a budget with saved retries. A ratio outside 0 to 1
// counts as the nearest bound; a ratio of zero means DefaultRatio.
func NewEdgeBudget(now time.Time, ratio float64) *EdgeBudget {
	b := &EdgeBudget{last: now, saved: maxSaved}
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio after a change of the catalogue.
func (b *EdgeBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.ratio = min(max(ratio, 0), 1)
}

// RecordFirstAttempt counts a first attempt.
func (b *EdgeBudget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now)
	b.saved = min(b.saved+b.ratio, maxSaved)
}

// Spend takes one retry; false means that it must not be made.
func (b *EdgeBudget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Available returns the retries that could be made now.
func (b *EdgeBudget) Available(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now)
	return b.saved
}

// earn adds the minimum for the time since the last call.
func (b *EdgeBudget) earn(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.saved = min(b.saved+minRetriesPerSecond*elapsed.Seconds(), maxSaved)
}
