package dispatch

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// maxTried bounds the targets that one call remembers as tried.
const maxTried = 8

// series is the attempts of one call, one after the other.
type series struct {
	dispatcher *Dispatcher
	request    *Request
	trial      bool
	// query asks for the outcome of the key and starts nothing.
	query bool
	// key is the key of the present attempt and issued tells that the dispatcher
	// issued it.
	key    string
	issued bool
	// doubtful tells that an attempt with the present key may have run, so that
	// only its executor may answer for it.
	doubtful bool
	// mayHaveRun tells that an attempt without a key may have run. A refusal of a
	// later attempt then proves nothing about the call.
	mayHaveRun bool
	endpoint   *route.Endpoint
	tried      []uint64
	attempts   int
}

// run makes attempts until one is final.
func (s *series) run(ctx context.Context, call *retry.Call) Result {
	var last *pb.CallResponse
	for {
		if err := s.prepare(); err != nil {
			return s.result(s.unprepared(last, err))
		}
		granted := call.Attempt(time.Now())
		response := s.attempt(ctx, granted)
		call.ResponseReceived(response.GetUnspentAllowance())
		failure := outcome.ErrorOf(response)
		if failure == nil {
			return s.result(response)
		}
		wait, final := s.again(ctx, call, granted, response, failure)
		if final != nil {
			s.giveUp(response, final)
			return s.result(response)
		}
		sleep(ctx, wait)
		last = response
	}
}

// giveUp marks a failure that this call has already repeated, so that no
// service above repeats it. At the entry the caller gets the reason itself.
func (s *series) giveUp(response *pb.CallResponse, final *outcome.Error) {
	if s.request.Context.GetDepth() > 0 {
		response.Reason = final.Reason.Proto()
	}
}

// unprepared returns the response when no further target can be chosen: the
// failure of the last attempt, if there was one.
func (s *series) unprepared(last *pb.CallResponse, err *outcome.Error) *pb.CallResponse {
	if last != nil {
		return last
	}
	return err.Response()
}

func (s *series) result(response *pb.CallResponse) Result {
	if s.mayHaveRun && response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		response.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	return Result{Response: response, Key: s.key, Attempts: s.attempts}
}

// settle asks the executor of the key for its final outcome. It returns false
// if the executor did not answer.
func (s *series) settle(ctx context.Context) (*pb.CallResponse, bool) {
	if s.prepareExecutor() != nil {
		return nil, false
	}
	response := s.attempt(ctx, 0)
	return response, response.GetGate() != nil && response.GetReason() != pb.Reason_REASON_EXECUTOR_GONE
}

// prepare chooses the endpoint of the next attempt and its key.
func (s *series) prepare() *outcome.Error {
	if s.key != "" {
		return s.prepareExecutor()
	}
	level := s.request.place()
	if s.trial {
		level = 0
	}
	endpoint, err := s.dispatcher.config.Router.Pick(time.Now(), s.request.Service, level, s.tried...)
	if err != nil {
		return err
	}
	s.endpoint = endpoint
	if s.request.Idempotent {
		return nil
	}
	s.key, err = newKey(s.request.Service, endpoint.Target().Incarnation)
	s.issued = true
	return err
}

// prepareExecutor finds the executor of the key, or the successor that holds
// its table.
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
	// A successor is named only after it holds the whole table.
	if successor, ok := config.Successor(key.Executor); ok {
		holder = successor
	}
	if s.endpoint = config.Router.Find(holder); s.endpoint != nil {
		return nil
	}
	return outcome.New(outcome.Unknown, outcome.ExecutorGone, "the executor of the key is not among the members")
}

// attempt sends the call to the chosen endpoint and returns its response, or
// one made from the error of the transport.
func (s *series) attempt(ctx context.Context, allowance uint32) *pb.CallResponse {
	s.attempts++
	begun := time.Now()
	s.endpoint.Begin()
	response := s.send(ctx, s.message(allowance, begun))
	s.settleDoubt(response)
	now := time.Now()
	// The report comes first, because it decides how the end is judged.
	if response.GetGate() != nil {
		s.endpoint.Report(now, route.ReportFromProto(response.GetGate()))
	}
	s.endpoint.End(now, route.Result{
		Latency:       now.Sub(begun),
		Outcome:       outcome.FromProto(response.GetOutcome()),
		Reason:        outcome.Reason(response.GetReason()),
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

func (s *series) message(allowance uint32, now time.Time) *pb.CallRequest {
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
		config.ReportUnreachable(target.Incarnation)
	}
	lost := failure.Response()
	if failure.Outcome == outcome.NotRun {
		lost.UnspentAllowance = message.GetContext().GetRetryAllowance()
	}
	return lost
}

// settleDoubt corrects the outcome of a keyed attempt by what is known of
// earlier attempts with the same key.
func (s *series) settleDoubt(response *pb.CallResponse) {
	if s.key == "" {
		s.mayHaveRun = s.mayHaveRun || response.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN
		return
	}
	fromExecutor := response.GetGate() != nil && response.GetReason() != pb.Reason_REASON_EXECUTOR_GONE
	switch {
	case fromExecutor:
		s.doubtful = response.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN
	case s.issued && !s.doubtful && response.GetReason() == pb.Reason_REASON_EXECUTOR_GONE:
		// Only this attempt carried the key, and it reached another incarnation
		// than the one that may run it.
		response.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	case response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && (s.doubtful || !s.issued):
		// Not sent this time, but an earlier attempt of this series or of the
		// caller may have run.
		response.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	case response.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN:
		s.doubtful = true
	}
}

// again decides about a further attempt and prepares it. It returns the wait
// before it, or the error to pass upward.
func (s *series) again(ctx context.Context, call *retry.Call, granted uint32, response *pb.CallResponse, err *outcome.Error) (time.Duration, *outcome.Error) {
	if s.finalForKey(err) || ctx.Err() != nil {
		return 0, err
	}
	sameKey := s.key != "" && err.Outcome == outcome.Unknown
	if response.GetGate() == nil {
		// Without an answer nothing is known of the attempts of services below.
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
		s.next(sameKey)
	}
	return wait, final
}

// finalForKey tells that no further attempt can change the outcome of a key
// that the caller sent.
func (s *series) finalForKey(failure *outcome.Error) bool {
	if s.key == "" {
		return false
	}
	gone := failure.Reason == outcome.ExecutorGone
	return gone && failure.Outcome == outcome.Unknown || !s.issued && failure.Outcome == outcome.NotRun
}

// next forgets the key and the target of an attempt that was not run.
func (s *series) next(sameKey bool) {
	if sameKey {
		return
	}
	s.key = ""
	s.issued = false
	s.doubtful = false
	if len(s.tried) < maxTried {
		s.tried = append(s.tried, s.endpoint.Target().Incarnation)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
