package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/cancels"
	"github.com/primrosemount/primrosemount/transport"
)

// receiver is the node's role in front of its target: it admits requests from other
// nodes and from this node and sends them to the target.
type receiver struct {
	gate       *gateTask
	targets    *targetClient
	operations *threshold.Operations
	numbering  *operationNumbers
	graph      *callgraph.Graph
	address    func() string
	config     *configuration
	cancels    *cancels.Calls
	events     *eventLog
	budget     *memory.Budget
	// versionReceived is called with the configuration version of the sender of a
	// request.
	versionReceived func(address string, version uint64)
	sync            func(request *pb.SyncRequest, response *pb.SyncResponse)
	quotas          *quotaTask
	limits          *retryLimits
}

var _ transport.RelayHandler = (*receiver)(nil)

// Forward implements transport.RelayHandler.
func (r *receiver) Forward(ctx context.Context, request *pb.ForwardRequest, response *pb.ForwardResponse) {
	deadline := time.Now().Add(time.Duration(request.GetRemainingNanos()))
	// The gate and the connection to the target observe the deadline.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.cancels.Add(request.GetId(), cancel)()
	r.versionReceived(request.GetSenderAddress(), request.GetConfigVersion())
	if len(request.GetHeaders()) > 0 {
		request.HeaderLines = linesOf(request.GetHeaders())
	}
	account := r.budget.Open(memory.Responses)
	// The transport accounts for the response from here on.
	defer account.Release()
	r.handle(ctx, request, response, deadline, account)
	if !request.GetReadsHeaderLines() {
		response.Headers, response.HeaderLines = headersOf(response.GetHeaderLines()), nil
	}
}

// CancelForward implements transport.RelayHandler.
func (r *receiver) CancelForward(request *pb.CancelRequest, response *pb.CancelResponse) {
	response.Found = r.cancels.Cancel(request.GetId())
}

// Sync implements transport.RelayHandler.
func (r *receiver) Sync(request *pb.SyncRequest, response *pb.SyncResponse) {
	r.sync(request, response)
}

// ExchangeQuota implements transport.RelayHandler.
func (r *receiver) ExchangeQuota(request *pb.QuotaRequest, response *pb.QuotaResponse) {
	r.quotas.serve(request, response)
}

// handle passes the request through the gate and sends it to the target if it is
// admitted. The account holds the body of the response.
func (r *receiver) handle(ctx context.Context, request *pb.ForwardRequest, response *pb.ForwardResponse, deadline time.Time, account *memory.Account) {
	response.Id = request.GetId()
	response.ConfigVersion = r.config.version()
	if view := r.gate.view.Load(); view.target.Service != request.GetService() {
		r.refuse(request, response, outcome.NoTarget, 0)
		return
	}
	if r.doomed(request) {
		r.refuse(request, response, outcome.DoomedDownstream, 0)
		return
	}
	admitted, ok := r.gate.offer(ctx, gate.Request{
		Level:         outcome.LevelFromProto(request.GetLevel()),
		PriorityBoost: threshold.PriorityBoost(request.GetCompletedCalls()),
		Deadline:      deadline,
		Operation:     r.numbering.lookup(request.GetRoute()),
	})
	switch {
	case !ok:
		r.refuse(request, response, outcome.DeadlineExceeded, 0)
	case admitted.Kind == gate.Refuse:
		r.refuse(request, response, admitted.Reason, admitted.RetryAfter)
	default:
		r.run(ctx, request, response, deadline, admitted, account)
	}
}

// run sends an admitted request to the target.
func (r *receiver) run(ctx context.Context, request *pb.ForwardRequest, response *pb.ForwardResponse, deadline time.Time, admitted admission, account *memory.Account) {
	started := time.Now()
	run := r.operations.Start(request.GetRoute(), outcome.LevelFromProto(request.GetLevel()))
	attemptID := string(request.GetAttemptId())
	finished := false
	defer func() {
		if !finished {
			// A panic, which the server of the connection handles, must not occupy
			// the slot forever.
			r.graph.End(attemptID)
			r.gate.done(admitted.id, gate.Sample{Failed: true}, runSummary{result: runFailed})
		}
	}()
	r.graph.Start(attemptID, callgraph.Parent{
		Route: request.GetRoute(), Account: request.GetAccount(), Level: outcome.LevelFromProto(request.GetLevel()), Trial: request.GetTrial(), Repeat: request.GetRepeat(),
		PriorCompletedCalls: request.GetCompletedCalls(), Run: run,
	})
	result := r.targets.send(ctx, r.address(), admitted.targetID, request, deadline, account)
	finished = true
	r.graph.End(attemptID)
	run.Finish(time.Now(), result.outcome != outcome.Completed || result.status >= 500)
	callFailed, completed := run.HadFailedCall(), run.CompletedCalls()
	r.gate.done(admitted.id, gate.Sample{
		Latency:          time.Since(started),
		Downstream:       run.Waited(time.Now()),
		Refused:          result.reason == outcome.TargetRefused,
		Failed:           result.outcome != outcome.Completed,
		Unrepresentative: result.status >= http.StatusBadRequest || callFailed,
	}, runSummary{result: resultOf(result, callFailed), completedCalls: completed, targetTime: result.took})
	if result.unreachable || result.misdirected {
		r.gate.unreachable(admitted.targetID)
	}
	response.Outcome = result.outcome.Proto()
	response.Reason = result.reason.Proto()
	response.Status = uint32(result.status)
	response.HeaderLines = result.headerLines
	response.Body = result.body
	response.ReachedTarget = result.sent
	response.CompletedCalls = completed
	response.TargetFailed = result.status == http.StatusInternalServerError && !callFailed
	response.Gate = r.gateReport(request.GetRoute())
	if result.outcome != outcome.Completed {
		r.events.targetFailed(request, admitted, result, time.Since(started))
	}
}

// refuse fills the response to a request that did not reach the target.
func (r *receiver) refuse(request *pb.ForwardRequest, response *pb.ForwardResponse, reason outcome.Reason, retryAfter time.Duration) {
	response.Outcome = outcome.NotRun.Proto()
	response.Reason = reason.Proto()
	response.RetryAfterNanos = int64(retryAfter)
	response.Gate = r.gateReport(request.GetRoute())
	r.events.gateRefused(request, reason, r.gate.view.Load())
}

// gateReport returns the state of the gate as seen by one route.
func (r *receiver) gateReport(route string) *pb.GateReport {
	view, now := r.gate.view.Load(), time.Now()
	admits := r.operations.Threshold(now, route, view.threshold)
	report := &pb.GateReport{
		Threshold:          uint32(view.threshold),
		OperationThreshold: uint32(admits),
		ShortageMillis:     r.limits.ownShortage(now, route, admits),
		Draining:           view.draining,
		TargetDown:         !view.serving && !view.draining || view.down,
		InFlight:           uint32(view.inFlight + view.queued),
		Limit:              uint32(view.limit),
	}
	r.reportWork(report, route, view)
	return report
}
