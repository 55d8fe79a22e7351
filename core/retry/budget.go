package retry

import (
	"sync"
	"time"
)

const (
	// DefaultRatio is the number of retries per first attempt if the catalogue
	// gives none.
	DefaultRatio = 0.1
	// minRetriesPerSecond is the rate at which tokens are added regardless of
	// first attempts, so that an edge with few calls can retry too.
	minRetriesPerSecond = 0.5
	// maxTokens bounds the tokens, so that a long quiet period does not permit
	// a burst of retries.
	maxTokens = 10
)

// An EdgeBudget is a token bucket that limits the retries on one edge, from
// this node to one service, to a share of the first attempts. Over any period,
// the number of retries is at most ratio times the first attempts, plus
// minRetriesPerSecond times the seconds of the period, plus maxTokens. It is
// safe for concurrent use.
type EdgeBudget struct {
	mu     sync.Mutex
	ratio  float64
	tokens float64
	last   time.Time
}

// NewEdgeBudget returns a budget with maxTokens tokens. A ratio below 0 or
// above 1 counts as the nearest bound; a ratio of zero means DefaultRatio.
func NewEdgeBudget(now time.Time, ratio float64) *EdgeBudget {
	b := &EdgeBudget{last: now, tokens: maxTokens}
	b.SetRatio(ratio)
	return b
}

// SetRatio sets the ratio, for example after a change of the catalogue.
func (b *EdgeBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.ratio = min(max(ratio, 0), 1)
}

// RecordFirstAttempt adds ratio tokens for a first attempt.
func (b *EdgeBudget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// Spend takes one token. If it returns false, the retry must not be made.
func (b *EdgeBudget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of tokens, which is the number of retries that
// could be made now.
func (b *EdgeBudget) Available(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens
}

// refill adds the tokens for the time since the last call.
func (b *EdgeBudget) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.tokens+minRetriesPerSecond*elapsed.Seconds(), maxTokens)
}
