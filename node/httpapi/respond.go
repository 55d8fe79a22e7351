// Package httpapi serves the HTTP interface for external callers and for the
// calls of the target beside the node. It parses requests, sends them through
// the dispatcher and writes complete responses or problem details (RFC 9457).
package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/wire"
)

// problemTypePrefix is the prefix of the reason in the type of a problem.
const problemTypePrefix = "urn:primrosemount:reason:"

// statusOf returns the HTTP status of an error.
func statusOf(err *outcome.Error) int {
	if err.Outcome == outcome.Completed {
		return http.StatusGone
	}
	switch err.Reason {
	case outcome.BadRequest, outcome.KeyMalformed:
		return http.StatusBadRequest
	case outcome.NotAllowed:
		return http.StatusForbidden
	case outcome.UnknownService, outcome.UnknownOperation:
		return http.StatusNotFound
	case outcome.InProgress:
		return http.StatusConflict
	case outcome.KeyConflict:
		return http.StatusUnprocessableEntity
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.CallerLimit, outcome.RetryBound:
		return http.StatusTooManyRequests
	case outcome.DepthExceeded:
		return http.StatusLoopDetected
	case outcome.Internal:
		return http.StatusInternalServerError
	}
	return statusOfOutcome(err)
}

// statusOfOutcome returns the HTTP status for reasons without a specific one.
// It distinguishes refusals, which are safe to retry, from lost responses.
func statusOfOutcome(err *outcome.Error) int {
	switch {
	case err.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	case err.Reason == outcome.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// WriteProblem writes the problem details of an error as the response.
func WriteProblem(w http.ResponseWriter, err *outcome.Error) {
	status := statusOf(err)
	body, marshalErr := json.Marshal(wire.Problem{
		Type:      problemTypePrefix + err.Reason.String(),
		Title:     http.StatusText(status),
		Status:    status,
		Detail:    err.Detail,
		Outcome:   err.Outcome.String(),
		Reason:    err.Reason.String(),
		RequestID: err.RequestID,
		Remedy:    remedyOf(err),
	})
	if marshalErr != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", wire.ProblemType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if err.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(err.RetryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// omittedRemedy is the remedy when the operation completed but its response is
// no longer stored.
const omittedRemedy = "do not repeat the operation; read its state"

func remedyOf(err *outcome.Error) string {
	if err.Outcome == outcome.Completed {
		return omittedRemedy
	}
	return err.Reason.Remedy()
}

// isResponseOmitted reports whether the operation completed but its response is
// no longer stored. The reason is checked as well, because nodes that do not
// forward the field BodyOmitted do forward the reason.
func isResponseOmitted(response *pb.CallResponse) bool {
	if response.GetOutcome() != pb.Outcome_OUTCOME_COMPLETED {
		return false
	}
	return response.GetBodyOmitted() || response.GetReason() == pb.Reason_REASON_TOO_LARGE
}

// newOmittedError returns the error that replaces a response that is no longer
// stored. It is a literal, because outcome.New does not accept the outcome
// completed.
func newOmittedError(response *pb.CallResponse) *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.Completed,
		Reason:  outcome.TooLarge,
		Detail:  response.GetDetail(),
	}
}

// retryAfterSeconds rounds up to whole seconds, the resolution of the header.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// writeResponse writes the complete response of a target.
func writeResponse(w http.ResponseWriter, response *pb.CallResponse) {
	header := w.Header()
	for _, h := range response.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	if response.GetReplayed() {
		header.Set(wire.ReplayedHeader, "true")
	}
	// The length lets the caller distinguish a complete response from a truncated
	// one.
	header.Set("Content-Length", strconv.Itoa(len(response.GetBody())))
	w.WriteHeader(int(response.GetStatus()))
	_, _ = w.Write(response.GetBody())
}
