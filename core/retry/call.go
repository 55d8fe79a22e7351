package retry

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Edge holds what the calls on one edge share.
type Edge struct {
	Budget  *EdgeBudget
	Backoff *Backoff
}

// Call decides about the attempts of one call. It belongs to the goroutine that
// makes the call; the Edge and the Allowance may be shared.
type Call struct {
	sender    Edge
	allowance *Allowance
	siblings  int
	retries   int
	grant     *Grant
}

// NewCall begins a call that is one of several that are made at the same time,
// including this one.
func NewCall(sender Edge, allowance *Allowance, siblings int) *Call {
	return &Call{sender: sender, allowance: allowance, siblings: siblings}
}

// Retries returns the retries made so far.
func (c *Call) Retries() int { return c.retries }

// Attempt begins an attempt and returns its retry allowance. The first attempt
// is counted for the edge budget.
func (c *Call) Attempt(now time.Time) uint32 {
	if c.retries == 0 {
		c.sender.Budget.RecordFirstAttempt(now)
	}
	c.grant = c.allowance.Grant(c.siblings)
	return c.grant.Count()
}

// ResponseReceived ends an attempt that got an answer, which returned the unspent part.
func (c *Call) ResponseReceived(unspent uint32) { c.grant.Return(unspent) }

// NotSent ends an attempt that never left this node; its whole part is unspent.
func (c *Call) NotSent() { c.grant.Return(c.grant.Count()) }

// ResponseLost ends an attempt without an answer.
func (c *Call) ResponseLost() { c.grant.Forfeit() }

// Retry decides about a further attempt after a failed one, which was ended with
// ResponseReceived, NotSent or ResponseLost. If the error is nil, the retry is paid for and must
// start after the wait. Otherwise the error is the result of the call. The retry
// is not made if its wait does not end within the remaining time.
func (c *Call) Retry(now time.Time, failure Failure, remaining time.Duration) (time.Duration, *outcome.Error) {
	if !failure.Retryable() || c.allowance.Remaining() == 0 {
		return 0, failure.FinalError(c.retries)
	}
	wait := c.wait(failure.Err)
	if wait >= remaining || !c.sender.Budget.Spend(now) || !c.allowance.Spend() {
		return 0, failure.FinalError(c.retries)
	}
	c.retries++
	return wait, nil
}

// wait returns the delay before the next attempt. The first retry of a call that
// a single target could not take goes to another target at once.
func (c *Call) wait(err *outcome.Error) time.Duration {
	if c.retries == 0 && concernsOneTarget(err.Reason) {
		return 0
	}
	return c.sender.Backoff.Delay(c.retries+1, err.RetryAfter)
}

// concernsOneTarget tells whether the reason says nothing about other targets.
func concernsOneTarget(reason outcome.Reason) bool {
	switch reason {
	case outcome.Draining, outcome.TargetDown, outcome.ConnectFailed:
		return true
	default:
		return false
	}
}
