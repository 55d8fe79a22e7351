package retry

import (
	"sync"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// MaxAllowance bounds what a context may carry; larger values count as this.
const MaxAllowance = 64

// Allowance is the part of the retry allowance of a root request that one
// execution of a call may use. It is safe for concurrent use.
type Allowance struct {
	mu     sync.Mutex
	left   uint32
	closed bool
}

// NewAllowance returns an allowance of count retries. The entry passes the count
// of the catalogue, every other node the retry_allowance of the context.
func NewAllowance(count uint32) *Allowance {
	return &Allowance{left: min(count, MaxAllowance)}
}

// Grant is the part that travels with one attempt. It is settled by the first
// Return or Forfeit; later calls do nothing.
type Grant struct {
	from    *Allowance
	count   uint32
	settled bool
}

// Count is the retry_allowance of the context of the attempt.
func (g *Grant) Count() uint32 { return g.count }

// Grant takes a part out of the allowance for an attempt of one of several
// calls that are made at the same time, including this one. Each call and the
// node itself get an equal share, rounded up in favour of the call, because a
// retry near the failure repeats less work than one further up. Values of calls
// below 1 count as 1.
func (a *Allowance) Grant(calls int) *Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return &Grant{from: a}
	}
	parts := uint32(min(max(calls, 1), MaxAllowance)) + 1
	count := (a.left + parts - 1) / parts
	a.left -= count
	return &Grant{from: a, count: count}
}

// Return settles the grant with the unspent part that the answer carries. An
// amount above the grant counts as the grant. It returns false if the grant was
// settled before or the allowance is closed; nothing is credited then.
func (g *Grant) Return(unspent uint32) bool {
	g.from.mu.Lock()
	defer g.from.mu.Unlock()
	if g.settled {
		return false
	}
	g.settled = true
	if g.from.closed {
		return false
	}
	g.from.left += min(unspent, g.count)
	return true
}

// Forfeit settles the grant of an attempt whose answer will not be used. The whole
// part counts as spent.
func (g *Grant) Forfeit() {
	g.from.mu.Lock()
	defer g.from.mu.Unlock()
	g.settled = true
}

// Spend takes one retry. It returns false if none is left or the allowance is
// closed; the retry must not be made then.
func (a *Allowance) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Remaining returns what is left now, without the parts granted and not settled.
func (a *Allowance) Remaining() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// Close ends the use of the allowance and returns the unspent part, which the
// answer carries. Grants that are not settled count as spent. A second Close
// returns the same amount, so that a repeated answer is the same.
func (a *Allowance) Close() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.left
}

// Failure describes a failed attempt for the decision about a retry.
type Failure struct {
	Err        *outcome.Error
	Idempotent bool
	// Granted and Unspent are the part that the attempt carried and the part
	// that its answer returned.
	Granted uint32
	Unspent uint32
}

// RetriesExhausted tells whether the services below have already used up their attempts
// on this failure.
func (f Failure) RetriesExhausted() bool { return f.Granted > 0 && f.Unspent == 0 }

// Retryable tells whether a further attempt may be made at all.
func (f Failure) Retryable() bool {
	if f.Err == nil || f.Err.Outcome == outcome.Completed {
		return false
	}
	return f.Err.Retryable(f.Idempotent) && !f.RetriesExhausted()
}

// FinalError returns the error to pass upward when no further attempt is made after
// the given number of retries of this call. If attempts were used up, here or
// below, its reason is retry_bound, so that no service above repeats the call;
// outcome and detail stay. A failure that nobody could retry stays as it is, and
// a service above may retry it.
func (f Failure) FinalError(retries int) *outcome.Error {
	usedUp := retries > 0 || f.RetriesExhausted()
	if f.Err == nil || !usedUp || !f.Err.Retryable(f.Idempotent) {
		return f.Err
	}
	final := *f.Err
	final.Reason = outcome.RetryBound
	final.RetryAfter = 0
	return &final
}
