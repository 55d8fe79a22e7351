package once

import (
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// headerOverheadBytes is the memory cost of one stored header in addition to
// its text: the message, the pointer to it and the string headers.
const headerOverheadBytes = 104

// A Result is the final outcome of one key. The table stores Headers and Body
// without copying them; the caller must not modify them afterward.
type Result struct {
	Outcome outcome.Outcome
	// Reason explains an outcome other than completed.
	Reason outcome.Reason
	// Status is the HTTP status from the target if the outcome is completed.
	Status  uint32
	Headers []*pb.Header
	Body    []byte
	// BodyOmitted is set if the operation completed and its response was too
	// large to store, or was evicted for lack of memory. Only Outcome and
	// Status are valid then.
	BodyOmitted bool
}

// Err returns nil if the outcome is completed, and a typed error otherwise.
func (r *Result) Err() *outcome.Error {
	switch r.Outcome {
	case outcome.Completed:
		return nil
	case outcome.NotRun:
		return outcome.New(outcome.NotRun, r.Reason, "the key was refused and is not run again; use a new key")
	default:
		return outcome.New(outcome.Unknown, r.Reason, "an earlier attempt with this key may have run")
	}
}

// responseBytes returns the memory that the response occupies.
func (r *Result) responseBytes() int64 {
	n := int64(len(r.Body))
	for _, h := range r.Headers {
		n += int64(len(h.GetName()) + len(h.GetValue()) + headerOverheadBytes)
	}
	return n
}

// withoutResponse returns the result with its outcome and status only.
func (r *Result) withoutResponse() Result {
	return Result{Outcome: r.Outcome, Status: r.Status, BodyOmitted: true}
}

// A Kind is the action that the owner of a table must take on an attempt.
type Kind uint8

const (
	// Start means that the owner must run the operation now, and call Finish
	// or MarkNotStarted exactly once.
	Start Kind = iota + 1
	// Replay means that the owner must return the stored result.
	Replay
	// Wait means that an attempt with this key is running, so the owner must
	// wait for its result.
	Wait
	// Refuse means that the owner must return the error.
	Refuse
)

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Start:
		return "start"
	case Replay:
		return "replay"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	default:
		return "invalid"
	}
}

// A Decision is the decision of a table about one attempt.
type Decision struct {
	Kind Kind
	// Result is set if Kind is Replay.
	Result *Result
	// Err is set if Kind is Refuse.
	Err *outcome.Error
}

// refuse returns a decision of kind Refuse.
func refuse(err *outcome.Error) Decision { return Decision{Kind: Refuse, Err: err} }
