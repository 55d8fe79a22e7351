package executor

import (
	"encoding/hex"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// refusalResponse returns the response to a call that was not run. Its complete
// retry allowance is unspent.
func refusalResponse(call *Call, err *outcome.Error) *pb.CallResponse {
	response := err.Response()
	response.UnspentAllowance = call.Request.GetContext().GetRetryAllowance()
	return response
}

// replay returns the stored outcome of an idempotency key as a response. This
// attempt spent no retries.
func replay(call *Call, result *once.Result) *pb.CallResponse {
	response := resultResponse(result)
	response.Replayed = true
	response.UnspentAllowance = call.Request.GetContext().GetRetryAllowance()
	return response
}

// resultResponse returns a result as a response, without retry allowance and
// gate report.
func resultResponse(result *once.Result) *pb.CallResponse {
	response := &pb.CallResponse{
		Outcome:    result.Outcome.Proto(),
		Reason:     result.Reason.Proto(),
		Status:     result.Status,
		Headers:    result.Headers,
		Body:       result.Body,
		BodyLength: uint64(len(result.Body)),
	}
	if result.BodyOmitted {
		response.BodyOmitted = true
		response.Reason = outcome.TooLarge.Proto()
		response.Detail = "the operation completed and its answer is no longer kept; read the state of the operation"
	}
	return response
}

// requestID returns the value of RequestIDHeader: the idempotency key or, for a
// call without one, the root ID.
func requestID(call *pb.CallRequest) string {
	if call.GetKey() != "" {
		return call.GetKey()
	}
	return hexID(call.GetContext().GetRootId())
}

func targetFields(target *pb.Announcement, down bool) []zap.Field {
	return []zap.Field{zap.String("target", target.GetAddress()), zap.Bool("down", down)}
}

func hexID(id []byte) string { return hex.EncodeToString(id) }
