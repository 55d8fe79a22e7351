package retry

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// A Sender holds the state that all calls on one edge share.
type Sender struct {
	Budget  *EdgeBudget
	Backoff *Backoff
}

// A Call decides about the attempts of one call. It must be used only by the
// goroutine that makes the call; the Sender and the Allowance may be shared.
type Call struct {
	sender    Sender
	allowance *Allowance
	siblings  int
	retries   int
	grant     *Grant
}

// NewCall begins a call; siblings is the number of calls that are made
// concurrently, including this one.
func NewCall(sender Sender, allowance *Allowance, siblings int) *Call {
	return &Call{sender: sender, allowance: allowance, siblings: siblings}
}

// Retries returns the number of retries made so far.
func (c *Call) Retries() int { return c.retries }

// Attempt begins an attempt and returns its retry allowance. The first attempt
// is recorded in the edge budget.
func (c *Call) Attempt(now time.Time) uint32 {
	if c.retries == 0 {
		c.sender.Budget.RecordFirstAttempt(now)
	}
	c.grant = c.allowance.Grant(c.siblings)
	return c.grant.Count()
}

// ResponseReceived ends an attempt whose response returned the unspent part of
// its allowance.
func (c *Call) ResponseReceived(unspent uint32) { c.grant.Return(unspent) }

// NotSent ends an attempt that was not sent. Its complete allowance is unspent.
func (c *Call) NotSent() { c.grant.Return(c.grant.Count()) }

// ResponseLost ends an attempt without a response. Its complete allowance
// counts as spent.
func (c *Call) ResponseLost() { c.grant.Forfeit() }

// Retry decides whether another attempt follows a failed one, which was ended
// with ResponseReceived, NotSent or ResponseLost. If the returned error is nil,
// the retry has been deducted from the budgets and must start after the
// returned wait. Otherwise the error is the result of the call. No retry is
// made if its wait does not end within the remaining time.
func (c *Call) Retry(now time.Time, failure Failure, remaining time.Duration) (time.Duration, *outcome.Error) {
	if !failure.Retryable() || c.allowance.Available() == 0 {
		return 0, failure.FinalError(c.retries)
	}
	wait := c.wait(failure.Err)
	if wait >= remaining || !c.sender.Budget.Spend(now) || !c.allowance.Spend() {
		return 0, failure.FinalError(c.retries)
	}
	c.retries++
	return wait, nil
}

// wait returns the delay before the next attempt. If the failure concerned a
// single target, the first retry goes to another target without delay.
func (c *Call) wait(err *outcome.Error) time.Duration {
	if c.retries == 0 && limitedToOneTarget(err.Reason) {
		return 0
	}
	return c.sender.Backoff.Delay(c.retries+1, err.RetryAfter)
}

// limitedToOneTarget reports whether the reason concerns a single target, so
// that other targets may accept the call.
func limitedToOneTarget(reason outcome.Reason) bool {
	switch reason {
	case outcome.Draining, outcome.TargetDown, outcome.ConnectFailed:
		return true
	default:
		return false
	}
}
