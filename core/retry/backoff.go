package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultBaseDelay and DefaultMaxDelay bound the first and the longest delay. The base
	// is about ten round trips between zones.
	DefaultBaseDelay = 20 * time.Millisecond
	DefaultMaxDelay  = time.Second
	// maxDoublings keeps the shift in range.
	maxDoublings = 20
)

// Backoff computes jittered delays before retries. It is safe for concurrent
// use.
type Backoff struct {
	base, max time.Duration
	mu        sync.Mutex
	random    *rand.Rand
}

// NewBackoff returns a Backoff with a seeded source. A base or maximum of zero
// or less means the default.
func NewBackoff(seed uint64, base, longest time.Duration) *Backoff {
	if base <= 0 {
		base = DefaultBaseDelay
	}
	if longest <= 0 {
		longest = DefaultMaxDelay
	}
	return &Backoff{base: base, max: max(longest, base), random: rand.New(rand.NewPCG(seed, seed))}
}

// Delay returns the wait before the n-th retry, n from 1: uniform between half
// and the whole of base doubled n-1 times, bounded by the maximum. If the
// refusal suggested a wait, the delay is uniform between that wait and one and a
// half times it, because many callers got the same suggestion.
func (b *Backoff) Delay(n int, retryAfter time.Duration) time.Duration {
	if retryAfter > 0 {
		return retryAfter + b.below(retryAfter/2)
	}
	doublings := min(max(n-1, 0), maxDoublings)
	ceiling := min(b.base<<doublings, b.max)
	if ceiling < b.base { // the shift overflowed
		ceiling = b.max
	}
	return ceiling/2 + b.below(ceiling/2)
}

// below returns a random duration from 0 to limit.
func (b *Backoff) below(limit time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.random.Int64N(int64(limit) + 1))
}
