package client

import (
	"net/http"
	"strconv"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// call holds the arguments and the progress of one Client.Call.
type call struct {
	service, operation string
	body               []byte
	header             http.Header
	idempotent         bool
	key                string
	fixedKey           bool
	attempts           int
	// root is the root request ID and allowance the remaining retry allowance, both
	// from the latest response. Before the first response they are empty and
	// unknownAllowance.
	root      string
	allowance int
	// mayHaveRun is true if an earlier attempt may have run the operation. With a
	// key, only attempts with the current key count.
	mayHaveRun bool
	lastNode   *node
}

func newCall(service, operation string, body []byte, options []CallOption) *call {
	k := &call{
		service:   service,
		operation: operation,
		body:      body,
		header:    make(http.Header),
		allowance: unknownAllowance,
	}
	for _, option := range options {
		option(k)
	}
	return k
}

// failure is the result of an attempt that received no complete response.
type failure struct {
	problem *outcome.Error
	key     string
	nextKey string
	status  int
	// unsent is true if no byte of the request left the client. It proves nothing
	// about earlier attempts.
	unsent bool
	cause  error
}

// recordFailure updates mayHaveRun. A definite outcome for the current key also
// covers earlier attempts with that key.
func (k *call) recordFailure(f *failure) {
	resolved := k.key != "" && !f.unsent && f.problem.Outcome != outcome.Unknown
	if resolved {
		k.mayHaveRun = false
		return
	}
	if f.problem.Outcome == outcome.Unknown {
		k.mayHaveRun = true
	}
}

// outcome returns the outcome of the call after a failed attempt. It takes earlier
// attempts into account.
func (k *call) outcome(f *failure) outcome.Outcome {
	if k.mayHaveRun && f.problem.Outcome == outcome.NotRun {
		return outcome.Unknown
	}
	return f.problem.Outcome
}

// mayRetry reports whether another attempt is safe and can succeed.
func (k *call) mayRetry(f *failure) bool {
	switch k.outcome(f) {
	case outcome.Completed:
		return false
	case outcome.NotRun:
		return k.mayRetryNotRun(f)
	default:
		return k.mayRetryUnknown(f)
	}
}

// mayRetryNotRun reports whether the call may be retried after the outcome "not run". A
// retry that needs a new key is not possible with a key that the caller chose.
func (k *call) mayRetryNotRun(f *failure) bool {
	if k.needsNewKey(f) && k.fixedKey {
		return false
	}
	if f.problem.Reason == outcome.KeyExpired {
		return k.key != ""
	}
	return f.problem.Retryable(k.idempotent)
}

// mayRetryUnknown reports whether an attempt with the same key may return a definite
// result. Some reasons are final, so that a retry cannot change them.
func (k *call) mayRetryUnknown(f *failure) bool {
	if k.key == "" {
		return f.problem.Retryable(k.idempotent)
	}
	switch f.problem.Reason {
	case outcome.KeyExpired, outcome.KeyMalformed, outcome.KeyConflict,
		outcome.NotAllowed, outcome.UnknownService, outcome.UnknownOperation,
		outcome.BadRequest, outcome.TooLarge, outcome.RetryBound, outcome.DepthExceeded:
		return false
	default:
		return true
	}
}

// needsNewKey reports whether the key cannot be used again. A rejection by the executor
// is final for its key, but a key that was not sent is still usable.
func (k *call) needsNewKey(f *failure) bool {
	return k.key != "" && !f.unsent && k.outcome(f) == outcome.NotRun
}

// fail returns the error that the call ends with.
func (k *call) fail(f *failure) *Error {
	problem := *f.problem
	problem.Outcome = k.outcome(f)
	if problem.RequestID == "" {
		problem.RequestID = k.root
	}
	return &Error{
		Problem:  &problem,
		Key:      f.key,
		NextKey:  f.nextKey,
		Status:   f.status,
		Attempts: k.attempts,
		Cause:    f.cause,
	}
}

// updateFromHeaders stores the root ID and the retry allowance of a response.
func (k *call) updateFromHeaders(h http.Header) {
	if root := h.Get(headerRoot); root != "" {
		k.root = root
	}
	if remaining, err := strconv.ParseUint(h.Get(headerAllowance), 10, 31); err == nil {
		k.allowance = int(remaining)
	}
}
