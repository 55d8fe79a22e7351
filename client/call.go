package client

import (
	"net/http"
	"strconv"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// call is the progress of one Call.
type call struct {
	service, operation string
	body               []byte
	header             http.Header
	idempotent         bool
	key                string
	fixedKey           bool
	attempts           int
	// root and allowance are as the last answer told; empty and
	// allowanceNotKnown before.
	root      string
	allowance int
	// uncertain is true if an earlier attempt may have run: one with the current
	// key, or any one if there is no key.
	uncertain bool
	last      *node
}

func newCall(service, operation string, body []byte, options []CallOption) *call {
	k := &call{
		service:   service,
		operation: operation,
		body:      body,
		header:    make(http.Header),
		allowance: allowanceNotKnown,
	}
	for _, option := range options {
		option(k)
	}
	return k
}

// failure is the result of an attempt without a complete answer.
type failure struct {
	problem *outcome.Error
	key     string
	nextKey string
	status  int
	// unsent is true if no byte of the attempt left the client. It proves
	// nothing about earlier attempts.
	unsent bool
	cause  error
}

// learn updates what is known about the attempts so far.
func (k *call) learn(f *failure) {
	settled := k.key != "" && !f.unsent && f.problem.Outcome != outcome.Unknown
	if settled {
		k.uncertain = false
		return
	}
	if f.problem.Outcome == outcome.Unknown {
		k.uncertain = true
	}
}

// outcome returns what is known about the whole call after a failure.
func (k *call) outcome(f *failure) outcome.Outcome {
	if k.uncertain && f.problem.Outcome == outcome.NotRun {
		return outcome.Unknown
	}
	return f.problem.Outcome
}

// mayRepeat reports whether a further attempt is safe and can help.
func (k *call) mayRepeat(f *failure) bool {
	switch k.outcome(f) {
	case outcome.Completed:
		return false
	case outcome.NotRun:
		return k.mayRepeatNotRun(f)
	default:
		return k.mayRepeatUnknown(f)
	}
}

func (k *call) mayRepeatNotRun(f *failure) bool {
	if k.needsNewKey(f) && k.fixedKey {
		return false
	}
	if f.problem.Reason == outcome.KeyExpired {
		return k.key != ""
	}
	return f.problem.Retryable(k.idempotent)
}

// mayRepeatUnknown allows to ask again unless the answer can't change.
func (k *call) mayRepeatUnknown(f *failure) bool {
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

// needsNewKey reports whether the key is used up: a refusal by the executor is
// final. A key that was not sent can still be used.
func (k *call) needsNewKey(f *failure) bool {
	return k.key != "" && !f.unsent && k.outcome(f) == outcome.NotRun
}

// fail returns the error of the whole call.
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

// noteHeaders takes over root id and allowance from a response.
func (k *call) noteHeaders(h http.Header) {
	if root := h.Get(headerRoot); root != "" {
		k.root = root
	}
	if left, err := strconv.ParseUint(h.Get(headerAllowance), 10, 31); err == nil {
		k.allowance = int(left)
	}
}
