package outcome

import (
	"net/http"
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Response returns the error as the response to a call. The caller has to set the
// identifier, the unspent allowance and the gate report.
func (e *Error) Response() *pb.CallResponse {
	return &pb.CallResponse{
		Outcome:         e.Outcome.Proto(),
		Reason:          e.Reason.Proto(),
		Detail:          e.Detail,
		RetryAfterNanos: int64(e.RetryAfter),
	}
}

// ErrorOf returns the typed error in a response, or nil if the call was completed.
func ErrorOf(response *pb.CallResponse) *Error {
	if response.GetOutcome() == pb.Outcome_OUTCOME_COMPLETED {
		return nil
	}
	return &Error{
		Outcome:    FromProto(response.GetOutcome()),
		Reason:     Reason(response.GetReason()),
		Detail:     response.GetDetail(),
		RetryAfter: time.Duration(response.GetRetryAfterNanos()),
	}
}

// IsErrorStatus reports whether the status of the target's response indicates a server
// error.
func IsErrorStatus(response *pb.CallResponse) bool {
	return response.GetStatus() >= http.StatusInternalServerError
}

// Succeeded reports whether the call was completed without an error status.
func Succeeded(response *pb.CallResponse) bool {
	return response.GetOutcome() == pb.Outcome_OUTCOME_COMPLETED && !IsErrorStatus(response)
}
