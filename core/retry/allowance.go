package retry

import (
	"sync"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// MaxAllowance is the maximum allowance that a request context can carry.
// Larger values count as MaxAllowance.
const MaxAllowance = 64

// An Allowance is the part of the retry allowance of a root request that one
// execution of a call may use. It is safe for concurrent use.
type Allowance struct {
	mu        sync.Mutex
	remaining uint32
	closed    bool
}

// NewAllowance returns an allowance of count retries. The entry node passes the
// limit from the catalogue; every other node passes the retry_allowance of the
// request context.
func NewAllowance(count uint32) *Allowance {
	return &Allowance{remaining: min(count, MaxAllowance)}
}

// A Grant is the part of an Allowance that one attempt may use. The first call
// of Return or Forfeit settles it; later calls have no effect.
type Grant struct {
	allowance *Allowance
	count     uint32
	settled   bool
}

// Count returns the retry_allowance for the context of the attempt.
func (g *Grant) Count() uint32 { return g.count }

// Grant subtracts a part from the allowance for an attempt; calls is the number
// of calls that are made concurrently, including the call of this attempt;
// values below 1 count as 1. Each of them and the node itself get an equal
// part, rounded up in favor of the calls, because a retry close to the failure
// repeats less work than one further up the chain.
func (a *Allowance) Grant(calls int) *Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return &Grant{allowance: a}
	}
	parts := uint32(min(max(calls, 1), MaxAllowance)) + 1
	count := (a.remaining + parts - 1) / parts
	a.remaining -= count
	return &Grant{allowance: a, count: count}
}

// Return settles the grant with the unspent part that the response carries. An
// amount above the grant counts as the grant. Return credits nothing and returns
// false if the grant was already settled or the allowance is closed.
func (g *Grant) Return(unspent uint32) bool {
	g.allowance.mu.Lock()
	defer g.allowance.mu.Unlock()
	if g.settled {
		return false
	}
	g.settled = true
	if g.allowance.closed {
		return false
	}
	g.allowance.remaining += min(unspent, g.count)
	return true
}

// Forfeit settles the grant of an attempt whose response will not be used. The
// complete grant counts as spent.
func (g *Grant) Forfeit() {
	g.allowance.mu.Lock()
	defer g.allowance.mu.Unlock()
	g.settled = true
}

// Spend takes one retry from the allowance. It returns false if none remains or
// the allowance is closed; the retry must not be made then.
func (a *Allowance) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.remaining == 0 {
		return false
	}
	a.remaining--
	return true
}

// Available returns the number of retries that remain, without granted parts
// that are not settled.
func (a *Allowance) Available() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.remaining
}

// Close ends the use of the allowance and returns the unspent part, which the
// response carries. Grants that are not settled count as spent. Further calls
// return the same amount, so that a repeated response is identical.
func (a *Allowance) Close() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.remaining
}

// A Failure describes a failed attempt for the decision about a retry.
type Failure struct {
	Err        *outcome.Error
	Idempotent bool
	// Granted is the part of the allowance that the attempt was granted, and
	// Unspent is the part that its response returned.
	Granted uint32
	Unspent uint32
}

// RetriesExhausted reports whether the services further down the chain have
// already used all their attempts on this failure.
func (f Failure) RetriesExhausted() bool { return f.Granted > 0 && f.Unspent == 0 }

// Retryable reports whether the failure permits a further attempt.
func (f Failure) Retryable() bool {
	if f.Err == nil || f.Err.Outcome == outcome.Completed {
		return false
	}
	return f.Err.Retryable(f.Idempotent) && !f.RetriesExhausted()
}

// FinalError returns the error to report to the caller when no further attempt
// is made after the given number of retries of this call. If retries were made
// by this node or the retries granted with the attempt were used, the reason
// becomes retry_bound, so that no service further up retries the call; outcome
// and detail stay. A failure for which no retry was possible is returned
// unchanged, and a service further up may retry it.
func (f Failure) FinalError(retries int) *outcome.Error {
	exhausted := retries > 0 || f.RetriesExhausted()
	if f.Err == nil || !exhausted || !f.Err.Retryable(f.Idempotent) {
		return f.Err
	}
	final := *f.Err
	final.Reason = outcome.RetryBound
	final.RetryAfter = 0
	return &final
}
