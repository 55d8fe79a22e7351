package once

import (
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// headerOverheadBytes is what one kept header costs beside its text: the
// message, its pointer and the string headers.
const headerOverheadBytes = 104

// Result is the final outcome of one key. The table keeps Headers and Body
// without copying them; the caller must not change them afterwards.
type Result struct {
	Outcome outcome.Outcome
	// Reason explains an outcome other than completed.
	Reason outcome.Reason
	// Status is the HTTP status of the target, if completed.
	Status  uint32
	Headers []*pb.Header
	Body    []byte
	// BodyOmitted is true if the operation completed and its answer was too
	// large to keep, or was dropped for lack of memory. Only Outcome and Status are valid then.
	BodyOmitted bool
}

// Err returns the typed error of a result that is not completed, and nil
// otherwise.
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

// answerBytes is the memory that the answer occupies.
func (r *Result) answerBytes() int64 {
	n := int64(len(r.Body))
	for _, h := range r.Headers {
		n += int64(len(h.GetName()) + len(h.GetValue()) + headerOverheadBytes)
	}
	return n
}

// withoutAnswer returns the result with only outcome and status.
func (r *Result) withoutAnswer() Result {
	return Result{Outcome: r.Outcome, Status: r.Status, BodyOmitted: true}
}

// Kind is what the owner of a table does with an attempt.
type Kind uint8

const (
	// Start: run the operation now, and call Finish or MarkNotStarted exactly once.
	Start Kind = iota + 1
	// Replay: return the stored result.
	Replay
	// Wait: an attempt with this key runs; wait for its result.
	Wait
	// Refuse: return the error.
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

// Decision is the answer of a table to one attempt.
type Decision struct {
	Kind Kind
	// Result is set if Kind is Replay.
	Result *Result
	// Err is set if Kind is Refuse.
	Err *outcome.Error
}

func refuse(err *outcome.Error) Decision { return Decision{Kind: Refuse, Err: err} }
