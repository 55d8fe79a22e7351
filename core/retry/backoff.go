package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultBaseDelay and DefaultMaxDelay are the defaults for the upper bound
	// of the first delay and of all delays. The base is about ten round trips
	// between zones.
	DefaultBaseDelay = 20 * time.Millisecond
	DefaultMaxDelay  = time.Second
	// maxDoublings bounds the exponent, so that the shift stays in range.
	maxDoublings = 20
)

// A Backoff computes delays with jitter before retries. It is safe for
// concurrent use.
type Backoff struct {
	base, max time.Duration
	mu        sync.Mutex
	random    *rand.Rand
}

// NewBackoff returns a Backoff with a random source that is seeded with seed. A
// base or maxDelay of zero or less means the default.
func NewBackoff(seed uint64, base, maxDelay time.Duration) *Backoff {
	if base <= 0 {
		base = DefaultBaseDelay
	}
	if maxDelay <= 0 {
		maxDelay = DefaultMaxDelay
	}
	return &Backoff{base: base, max: max(maxDelay, base), random: rand.New(rand.NewPCG(seed, seed))}
}

// Delay returns the wait before the n-th retry, counted from 1. Without a
// suggested wait, it is uniformly distributed between half and all of the base
// doubled n-1 times, bounded by the maximum. If the refusal suggested a wait,
// retryAfter, the delay is uniformly distributed between that wait and one and
// a half times it, because many callers got the same suggestion.
func (b *Backoff) Delay(n int, retryAfter time.Duration) time.Duration {
	if retryAfter > 0 {
		return retryAfter + b.jitter(retryAfter/2)
	}
	doublings := min(max(n-1, 0), maxDoublings)
	ceiling := min(b.base<<doublings, b.max)
	if ceiling < b.base { // the shift overflowed
		ceiling = b.max
	}
	return ceiling/2 + b.jitter(ceiling/2)
}

// jitter returns a random duration from 0 to limit.
func (b *Backoff) jitter(limit time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.random.Int64N(int64(limit) + 1))
}
