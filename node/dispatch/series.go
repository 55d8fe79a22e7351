package dispatch

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/net/http/httpguts"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// maxTriedTargets bounds the number of tried targets that later attempts of a call
// avoid.
const maxTriedTargets = 8

// series is the sequence of attempts of one call.
type series struct {
	dispatcher *Dispatcher
	request    *Request
	// trial reports whether the root request is a trial, which is sent even if the
	// learned thresholds indicate that it would be refused.
	trial bool
	// query requests the outcome of the key without starting the operation.
	query bool
	// key is the key of the current attempt; keyIssued reports whether the
	// dispatcher issued it, rather than the caller sending it.
	key       string
	keyIssued bool
	// keyedMayHaveRun reports whether an attempt with the current key may have
	// run, so that only the executor of the key can determine its outcome.
	keyedMayHaveRun bool
	// unkeyedMayHaveRun reports whether an attempt without a key may have run. A
	// refusal of a later attempt then does not prove that the call was not run.
	unkeyedMayHaveRun bool
	endpoint          *route.Endpoint
	triedTargets      []uint64
	attempts          int
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (s *series) run(ctx context.Context, call *retry.Call) Result {
	var last *pb.CallResponse
	for {
		if err := s.prepare(); err != nil {
			return s.result(s.noTargetResponse(last, err))
		}
		granted := call.Attempt(time.Now())
		response := s.attempt(ctx, granted)
		call.ResponseReceived(response.GetUnspentAllowance())
		failure := outcome.ErrorOf(response)
		if failure == nil {
			return s.result(response)
		}
		wait, final := s.prepareRetry(ctx, call, granted, response, failure)
		if final != nil {
			s.markRetried(response, final)
			return s.result(response)
		}
		sleep(ctx, wait)
		last = response
	}
}

// markRetried sets the reason of a failure that this node does not retry any
// more, so that services further up the call chain do not retry it either. At
// the entry node the original reason is kept for the caller.
func (s *series) markRetried(response *pb.CallResponse, final *outcome.Error) {
	if s.request.Context.GetDepth() > 0 {
		response.Reason = final.Reason.Proto()
	}
}

// noTargetResponse returns the response when no further target can be selected:
// the failure of the last attempt, if there was one, or else err.
func (s *series) noTargetResponse(last *pb.CallResponse, err *outcome.Error) *pb.CallResponse {
	if last != nil {
		return last
	}
	return err.Response()
}

// result returns the final result. It turns "not run" into "unknown" if an
// earlier attempt without a key may have run.
func (s *series) result(response *pb.CallResponse) Result {
	if s.unkeyedMayHaveRun && response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		response.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	return Result{Response: response, Key: s.key, Attempts: s.attempts}
}

// queryOutcome requests the final outcome of the key from its executor. It
// returns false if the executor did not respond.
func (s *series) queryOutcome(ctx context.Context) (*pb.CallResponse, bool) {
	if s.prepareExecutor() != nil {
		return nil, false
	}
	response := s.attempt(ctx, 0)
	return response, response.GetGate() != nil && response.GetReason() != pb.Reason_REASON_EXECUTOR_GONE
}

// prepare selects the endpoint of the next attempt and its key.
func (s *series) prepare() *outcome.Error {
	if s.key != "" {
		return s.prepareExecutor()
	}
	level := s.request.effectiveLevel()
	if s.trial {
		level = 0
	}
	endpoint, err := s.dispatcher.config.Router.Pick(time.Now(), s.request.Service, level, s.triedTargets...)
	if err != nil {
		return err
	}
	s.endpoint = endpoint
	if s.request.Idempotent {
		return nil
	}
	s.key, err = newKey(s.request.Service, endpoint.Target().Incarnation)
	s.keyIssued = true
	return err
}

// prepareExecutor selects the executor of the key as the endpoint, or the
// successor that has taken over its deduplication table.
func (s *series) prepareExecutor() *outcome.Error {
	key, err := once.ParseKey(s.key)
	if err != nil {
		return err
	}
	if key.Service != s.request.Service {
		return outcome.New(outcome.NotRun, outcome.KeyMalformed, "the key was issued for service "+key.Service)
	}
	config := &s.dispatcher.config
	holder := key.Executor
	// A successor is published only after it holds the complete table.
	if successor, ok := config.Successor(key.Executor); ok {
		holder = successor
	}
	if s.endpoint = config.Router.Find(holder); s.endpoint != nil {
		return nil
	}
	return outcome.New(outcome.Unknown, outcome.ExecutorGone, "the executor of the key is not among the members")
}

// attempt sends the call to the selected endpoint. It returns the response, or
// a response that describes the transport error.
func (s *series) attempt(ctx context.Context, allowance uint32) *pb.CallResponse {
	s.attempts++
	started := time.Now()
	s.endpoint.Begin()
	response := s.send(ctx, s.newCallRequest(allowance, started))
	checkResponse(response)
	s.correctOutcome(response)
	now := time.Now()
	// The gate report is applied first, because it affects how the endpoint
	// evaluates the result of the attempt.
	if response.GetGate() != nil {
		s.endpoint.Report(now, route.ReportFromProto(response.GetGate()))
	}
	s.endpoint.End(now, route.Result{
		Latency:       now.Sub(started),
		Outcome:       outcome.FromProto(response.GetOutcome()),
		Reason:        outcome.Reason(response.GetReason()),
		NodeResponded: response.GetGate() != nil,
		ErrorResponse: outcome.IsErrorStatus(response),
	})
	s.dispatcher.config.Observe(Attempt{
		Request:  s.request,
		Target:   s.endpoint.Target(),
		Response: response,
		Number:   s.attempts,
	})
	return response
}

// newCallRequest returns the message for one attempt, which may use the given retry
// allowance.
func (s *series) newCallRequest(allowance uint32, now time.Time) *pb.CallRequest {
	requestContext := proto.CloneOf(s.request.Context)
	requestContext.RemainingNanos = int64(s.request.Deadline.Sub(now))
	requestContext.RetryAllowance = allowance
	return &pb.CallRequest{
		Id: &pb.CallId{
			Sender:   s.dispatcher.config.Self(),
			Sequence: s.dispatcher.sequence.Add(1),
		},
		Context:   requestContext,
		Service:   s.request.Service,
		Operation: s.request.Operation,
		Key:       s.key,
		Caller:    s.request.Caller,
		Headers:   s.request.Headers,
		Body:      s.request.Body,
		Executor:  s.endpoint.Target().Incarnation,
		QueryOnly: s.query,
	}
}

// send sends a message to the selected endpoint, or directly to the local executor if
// the endpoint is this node. An attempt that was not run leaves its retry allowance
// unspent.
func (s *series) send(ctx context.Context, message *pb.CallRequest) *pb.CallResponse {
	config := &s.dispatcher.config
	target := s.endpoint.Target()
	if target.Incarnation == config.Self() {
		response := &pb.CallResponse{}
		config.Local.Serve(ctx, message, response)
		return response
	}
	response, err := config.Remote.Call(ctx, target.Address, message)
	if err == nil {
		return response
	}
	failure := transportError(ctx, err)
	if failure.Reason == outcome.ConnectFailed {
		config.OnUnreachable(target.Incarnation)
	}
	lost := failure.Response()
	if failure.Outcome == outcome.NotRun {
		lost.UnspentAllowance = message.GetContext().GetRetryAllowance()
	}
	return lost
}

// checkResponse makes a completed response that no target may send a broken one. A node that
// runs an earlier version passes it on, and may have handed over one that it has stored.
func checkResponse(response *pb.CallResponse) {
	detail := invalidDetail(response)
	if detail == "" {
		return
	}
	response.Detail = detail
	response.Outcome, response.Reason = outcome.Unknown.Proto(), outcome.AnswerTruncated.Proto()
	response.Status, response.Headers, response.Body, response.BodyLength = 0, nil, nil, 0
}

// invalidDetail describes what HTTP does not permit in a completed response, or returns "". A
// response that is no longer stored need not have a status.
func invalidDetail(response *pb.CallResponse) string {
	if response.GetOutcome() != pb.Outcome_OUTCOME_COMPLETED {
		return ""
	}
	for _, header := range response.GetHeaders() {
		if !httpguts.ValidHeaderFieldName(header.GetName()) {
			return fmt.Sprintf("the target sent the header name %q, which no target may send", header.GetName())
		}
	}
	omitted := response.GetBodyOmitted() || response.GetReason() == pb.Reason_REASON_TOO_LARGE
	if !omitted && !outcome.IsFinalStatus(int(response.GetStatus())) {
		return fmt.Sprintf("the target sent status %d, which no target may send", response.GetStatus())
	}
	return ""
}

// correctOutcome corrects the outcome of an attempt with a key according to the
// earlier attempts with the same key, and records whether an attempt may have
// run.
func (s *series) correctOutcome(response *pb.CallResponse) {
	if s.key == "" {
		s.unkeyedMayHaveRun = s.unkeyedMayHaveRun || response.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN
		return
	}
	fromExecutor := response.GetGate() != nil && response.GetReason() != pb.Reason_REASON_EXECUTOR_GONE
	switch {
	case fromExecutor:
		s.keyedMayHaveRun = response.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN
	case s.keyIssued && !s.keyedMayHaveRun && response.GetReason() == pb.Reason_REASON_EXECUTOR_GONE:
		// No other attempt carried the key, and this one reached an incarnation other
		// than its executor, which is the only one that may run it.
		response.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	case response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && (s.keyedMayHaveRun || !s.keyIssued):
		// This attempt was not run, but an earlier one of this series or of the
		// caller may have been.
		response.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	case response.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN:
		s.keyedMayHaveRun = true
	}
}

// prepareRetry decides whether to retry and prepares the next attempt. It
// returns the delay before it, or the final error.
func (s *series) prepareRetry(ctx context.Context, call *retry.Call, granted uint32, response *pb.CallResponse, err *outcome.Error) (time.Duration, *outcome.Error) {
	if s.finalForKey(err) || ctx.Err() != nil {
		return 0, err
	}
	sameKey := s.key != "" && err.Outcome == outcome.Unknown
	if response.GetGate() == nil {
		// Without a response, the number of retries that services further down have
		// used is unknown.
		granted = 0
	}
	failure := retry.Failure{
		Err:        err,
		Idempotent: s.request.Idempotent || sameKey,
		Granted:    granted,
		Unspent:    response.GetUnspentAllowance(),
	}
	now := time.Now()
	wait, final := call.Retry(now, failure, s.request.Deadline.Sub(now))
	if final == nil {
		s.resetKey(sameKey)
	}
	return wait, final
}

// finalForKey reports whether no further attempt can change the outcome of the
// key.
func (s *series) finalForKey(failure *outcome.Error) bool {
	if s.key == "" {
		return false
	}
	executorGone := failure.Reason == outcome.ExecutorGone
	return executorGone && failure.Outcome == outcome.Unknown || !s.keyIssued && failure.Outcome == outcome.NotRun
}

// resetKey prepares an attempt at another target: it clears the key of the
// attempt that was not run and records its target as tried. With sameKey it
// does nothing, so that the next attempt goes to the executor of the key again.
func (s *series) resetKey(sameKey bool) {
	if sameKey {
		return
	}
	s.key = ""
	s.keyIssued = false
	s.keyedMayHaveRun = false
	if len(s.triedTargets) < maxTriedTargets {
		s.triedTargets = append(s.triedTargets, s.endpoint.Target().Incarnation)
	}
}

// sleep waits for the duration d or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
