package node

import (
	"context"
	"fmt"
	"time"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/executor"
)

// Serve implements dispatch.Local. It executes a call that this node or another
// one has sent to the target beside this node.
func (n *Node) Serve(ctx context.Context, request *pb.CallRequest, response *pb.CallResponse) {
	runner, err := n.executorFor(request)
	if err != nil {
		n.reject(request, response, err)
		return
	}
	call, err := n.newCall(request)
	if err != nil {
		n.reject(request, response, err)
		return
	}
	copyResponse(response, runner.Execute(ctx, call))
	response.Gate = n.gateReport(runner, request.GetOperation())
	n.observeGateResponse(request, response)
}

// copyResponse copies the fields of a response into the response value that
// net/rpc allocated.
func copyResponse(into, from *pb.CallResponse) {
	into.Id = from.GetId()
	into.Outcome = from.GetOutcome()
	into.Reason = from.GetReason()
	into.Detail = from.GetDetail()
	into.Status = from.GetStatus()
	into.Headers = from.GetHeaders()
	into.Body = from.GetBody()
	into.BodyLength = from.GetBodyLength()
	into.UnspentAllowance = from.GetUnspentAllowance()
	into.RetryAfterNanos = from.GetRetryAfterNanos()
	into.Replayed = from.GetReplayed()
	into.BodyOmitted = from.GetBodyOmitted()
}

// reject responds to a call that did not reach an executor. The full retry
// allowance of the call is returned as unspent.
func (n *Node) reject(request *pb.CallRequest, response *pb.CallResponse, err *outcome.Error) {
	copyResponse(response, err.Response())
	response.Id = request.GetId()
	response.UnspentAllowance = request.GetContext().GetRetryAllowance()
	response.Gate = n.gateReport(n.current(), request.GetOperation())
	n.observeGateResponse(request, response)
}

// executorFor returns the executor that a call addresses: without a key, the
// current one; with a key, the one that issued the key or else the current one.
// A call without a key for another incarnation is rejected with executor_gone.
func (n *Node) executorFor(request *pb.CallRequest) (*executor.Executor, *outcome.Error) {
	current := n.current()
	if request.GetKey() == "" {
		if request.GetExecutor() != current.Incarnation() {
			return nil, outcome.New(outcome.NotRun, outcome.ExecutorGone, "the node has a new incarnation")
		}
		return current, nil
	}
	key, err := once.ParseKey(request.GetKey())
	if err != nil {
		return nil, err
	}
	if retained := n.retained(key.Executor); retained != nil {
		return retained, nil
	}
	// If this node has no executor of that incarnation, the table of the current
	// executor decides: it may have adopted the keys of the incarnation in a
	// handover, and otherwise the response is executor_gone.
	return current, nil
}

// newCall validates a call against the catalogue and the limits, and returns
// the call for the executor.
func (n *Node) newCall(request *pb.CallRequest) (*executor.Call, *outcome.Error) {
	if request.GetService() != n.settings.GetService() {
		detail := fmt.Sprintf("this node serves %s, not %s", n.settings.GetService(), request.GetService())
		return nil, outcome.New(outcome.NotRun, outcome.UnknownService, detail)
	}
	service, err := n.ownService()
	if err != nil {
		return nil, err
	}
	if !n.control.Snapshot().Catalogue.Allowed(service, request.GetContext().GetCallingService()) {
		return nil, outcome.New(outcome.NotRun, outcome.NotAllowed, "the caller may not call service "+service.Name)
	}
	operation, ok := service.Operation(request.GetOperation())
	if !ok {
		return nil, outcome.New(outcome.NotRun, outcome.UnknownOperation, "the service has no operation "+request.GetOperation())
	}
	if len(request.GetContext().GetRootId()) != outcome.RootIDBytes {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the context has no root id of 16 bytes")
	}
	if !operation.Idempotent && request.GetKey() == "" {
		return nil, outcome.New(outcome.NotRun, outcome.KeyMalformed, "a non-idempotent operation needs a key")
	}
	return &executor.Call{
		Request:         request,
		OperationNumber: n.operationNumbers.get(operation.Name),
		Deadline:        time.Now().Add(min(time.Duration(request.GetContext().GetRemainingNanos()), operation.Deadline)),
		MaxRunTime:      operation.Deadline,
		Retention:       service.KeyRetention,
		AnswerBytes:     min(service.Limits.AnswerBytes, int64(n.settings.GetBounds().GetBodyBytes())),
	}, nil
}

// ownService returns the catalogue entry of the service of the target beside
// this node.
func (n *Node) ownService() (*catalogue.Service, *outcome.Error) {
	snapshot := n.catalogue()
	if snapshot == nil {
		return nil, outcome.New(outcome.NotRun, outcome.CatalogueUnknown, "the node has no catalogue yet")
	}
	service, ok := snapshot.Service(n.settings.GetService())
	if !ok {
		return nil, outcome.New(outcome.NotRun, outcome.UnknownService, "the catalogue has no entry for the target's service")
	}
	return service, nil
}

// gateReport returns the state of the gate for the node that sent a call.
func (n *Node) gateReport(runner *executor.Executor, operation string) *pb.GateReport {
	state := runner.State()
	return &pb.GateReport{
		Incarnation:        runner.Incarnation(),
		Threshold:          uint32(state.Threshold),
		OperationThreshold: uint32(n.operations.Threshold(time.Now(), operation, state.Threshold)),
		Draining:           state.Closed || n.draining.Load(),
		TargetDown:         state.Down,
		InFlight:           uint32(state.InFlight),
		Limit:              uint32(state.Limit),
		Successor:          n.successor.Load(),
	}
}

// Call implements transport.Handler.
func (n *Node) Call(ctx context.Context, request *pb.CallRequest, response *pb.CallResponse) {
	n.senders.record(time.Now(), request.GetId().GetSender())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	remove := n.cancels.Add(request.GetId(), cancel)
	defer remove()
	n.Serve(ctx, request, response)
}

// Cancel implements transport.Handler.
func (n *Node) Cancel(request *pb.CancelRequest, response *pb.CancelResponse) {
	response.Found = n.cancels.Cancel(request.GetId())
}

// Probe implements transport.Handler. A probe may carry the gate report of its
// sender; a draining node uses this to notify its peers without the log.
func (n *Node) Probe(request *pb.ProbeRequest, response *pb.ProbeResponse) {
	if report := request.GetSenderGate(); report != nil {
		n.applyPeerReport(request.GetSender(), report)
	}
	response.Gate = n.gateReport(n.current(), "")
	response.Service = n.settings.GetService()
}

// Exchange implements transport.Handler.
func (n *Node) Exchange(ctx context.Context, request *pb.ExchangeRequest, response *pb.ExchangeResponse) error {
	// A node with an open connection may send its first call at any time, so it
	// has to be notified of a drain as well.
	n.senders.record(time.Now(), request.GetSender())
	if n.draining.Load() {
		// The sender may have connected after the peers were notified at the
		// start of the drain.
		n.spawn(func() { n.pushGateReportTo(n.ctx, request.GetSenderAddress()) })
	}
	result, err := n.control.HandleExchange(ctx, request)
	if err != nil {
		return err
	}
	response.Responder = result.GetResponder()
	response.Positions = result.GetPositions()
	response.Records = result.GetRecords()
	response.States = result.GetStates()
	response.RegistrationsAccepted = result.GetRegistrationsAccepted()
	return nil
}

// Handover implements transport.Handler.
func (n *Node) Handover(request *pb.HandoverRequest, response *pb.HandoverResponse) {
	if n.draining.Load() {
		response.Detail = "this node leaves too; send the table to another node"
		return
	}
	result := n.current().Adopt(request)
	response.Accepted = result.GetAccepted()
	response.Detail = result.GetDetail()
}
