package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/responsehead"
	"github.com/primrosemount/primrosemount/transport"
)

const (
	// maxNodeRefusals is the number of nodes that may refuse a request before the
	// dispatcher stops retrying. It applies to refusals before the request reached a
	// target.
	maxNodeRefusals = 3
	// maxTargetRefusals is the number of targets that may refuse a request. If
	// every target refuses half of its requests, eight attempts let nine of ten
	// requests complete all of eight calls.
	maxTargetRefusals = 8
	// minRetryTimeDivisor sets the minimum time that must remain for a retry to be
	// worth its cost, as a fraction of the time allowed for the request.
	minRetryTimeDivisor = 8
)

// outgoing is a request that this node sends to a target.
type outgoing struct {
	message *pb.ForwardRequest
	route   *ingress.Route
	// level is the level of the root request, without the priority boost.
	level    outcome.Level
	deadline time.Time
	started  time.Time
	// trial is set for trial requests: a small fixed share of the root requests and
	// their calls. They bypass the learned thresholds, so that the dispatcher learns
	// when an operation admits lower priorities again.
	trial bool
	// isRetry is set if the request, or a request that it belongs to, may have run
	// before.
	isRetry bool
	// account is the client account of a root request, or nil.
	account *account.Account
	// quota is the use of the quota of the account.
	quota quotaUse
	// parent is the request on whose behalf the target makes this call. It is nil
	// for a request of a client.
	parent *callgraph.Parent
	// placement is the choice of the target of the current attempt.
	placement route.Placement
	// requestMemory and responseMemory hold the bodies until the client has received
	// the response.
	requestMemory, responseMemory *memory.Account
}

func (o *outgoing) dependency() threshold.Dependency {
	return threshold.Dependency{Service: o.message.GetService(), Operation: o.route.Name}
}

// effectiveLevel returns the level at which gates admit and queue the request. It
// includes the priority boost for completed calls.
func (o *outgoing) effectiveLevel() outcome.Level {
	return o.level.Boosted(threshold.PriorityBoost(o.message.GetCompletedCalls()))
}

// dispatcher sends requests to the nodes beside the targets and decides on retries.
// It is safe for concurrent use.
type dispatcher struct {
	router     *route.Router
	pool       *transport.Pool
	local      *receiver
	self       func() string
	downstream *threshold.Downstream
	budgets    *budgets
	limits     *retryLimits
	sender     uint64
	sequence   atomic.Uint64
	events     *eventLog
	// versionReported is called with the configuration version that a node reports
	// in a response.
	versionReported func(address string, version uint64)
	placing         placing
}

// dispatch tries one target after another until one responds or no further attempt
// is allowed.
func (d *dispatcher) dispatch(ctx context.Context, o *outgoing) *pb.ForwardResponse {
	if o.parent != nil {
		o.parent.Run.CallStarted(o.dependency())
		o.parent.Run.WaitStarted(time.Now())
		defer func() { o.parent.Run.WaitEnded(time.Now()) }()
	}
	if refused := d.downstream.Admit(o.started, o.dependency(), o.effectiveLevel(), o.trial); refused != nil {
		admits := d.downstream.Threshold(o.started, o.dependency())
		d.events.entryRefused(o, refused.Reason, admits, d.limits.observeShortage(o, admits, 0))
		return notRun(refused.Reason, 0)
	}
	budget := d.budgets.get(o.message.GetService())
	budget.RecordFirstAttempt(o.started)
	d.limits.firstAttempt(o)
	if o.isRetry {
		budget.Charge(o.started)
	}
	response := d.tryTargets(ctx, o, budget)
	d.observe(o, response)
	return response
}

// observe updates the learned thresholds and the state of the parent request from
// the final response. The level of a trial request is left out, because trial
// requests bypass the learned thresholds.
func (d *dispatcher) observe(o *outgoing, response *pb.ForwardResponse) {
	observed := threshold.Response{
		Threshold: outcome.LevelFromProto(response.GetGate().GetOperationThreshold()),
		Success:   succeeded(response),
		Prompt:    d.limits.active(),
	}
	d.limits.observeShortage(o, observed.Threshold, response.GetGate().GetShortageMillis())
	if !o.trial {
		observed.Level = o.effectiveLevel()
	}
	d.downstream.Observe(time.Now(), o.dependency(), observed)
	if o.parent == nil {
		return
	}
	if observed.Success {
		o.parent.Run.CallCompleted(response.GetCompletedCalls())
		return
	}
	o.parent.Run.CallFailed()
	if response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		o.parent.Run.CallRefused(o.dependency())
	}
}

// succeeded reports whether the target sent a complete response other than a server
// error.
func succeeded(response *pb.ForwardResponse) bool {
	return response.GetOutcome() == pb.Outcome_OUTCOME_COMPLETED && response.GetStatus() < http.StatusInternalServerError
}

// tryTargets sends the request to one target after another. It returns the last
// result, or the last result of an attempt that may have run the request.
func (d *dispatcher) tryTargets(ctx context.Context, o *outgoing, budget *retry.WindowBudget) *pb.ForwardResponse {
	var tried []uint64
	// last is the result of the last attempt. mayHaveRun is the result of the last
	// attempt that may have run the request. A request that may have run is never
	// reported as not run.
	var last, mayHaveRun *pb.ForwardResponse
	reached := 0
	for tries := 1; ; tries++ {
		endpoint, pickErr := d.pick(o, last, tried)
		if pickErr != nil {
			if last == nil {
				last = notRun(pickErr.Reason, 0)
			}
			d.events.noTarget(o, pickErr.Reason, len(tried))
			return cmp.Or(mayHaveRun, last)
		}
		sameTarget := slices.Contains(tried, endpoint.Target().Incarnation)
		tried = append(tried, endpoint.Target().Incarnation)
		last = d.attempt(ctx, o, endpoint, sameTarget)
		if last.GetReachedTarget() {
			reached++
			d.limits.result(o, last)
		}
		if last.GetOutcome() != pb.Outcome_OUTCOME_NOT_RUN {
			mayHaveRun = last
		}
		if !d.shouldRetry(ctx, o, last, reached, tries, budget) {
			return cmp.Or(mayHaveRun, last)
		}
		o.isRetry = o.isRetry || mayHaveRun != nil
		d.events.retried(o, last, endpoint.Target().VM)
	}
}

// pick chooses a target that has not been tried yet. If there is none, but the last
// attempt reached its target, a target may be tried again, because its response was
// lost or corrupted in transit.
func (d *dispatcher) pick(o *outgoing, last *pb.ForwardResponse, tried []uint64) (*route.Endpoint, *outcome.Error) {
	endpoint, pickErr := d.choose(o, tried)
	if pickErr == nil || !last.GetReachedTarget() {
		return endpoint, pickErr
	}
	return d.choose(o, nil)
}

// shouldRetry reports whether the request is sent to another target.
func (d *dispatcher) shouldRetry(ctx context.Context, o *outgoing, last *pb.ForwardResponse, reached, tries int, budget *retry.WindowBudget) bool {
	if ctx.Err() != nil || time.Until(o.deadline) < o.deadline.Sub(o.started)/minRetryTimeDivisor {
		return false
	}
	switch last.GetOutcome() {
	case pb.Outcome_OUTCOME_COMPLETED:
		if !last.GetTargetFailed() || !o.route.Idempotent {
			return false
		}
	case pb.Outcome_OUTCOME_NOT_RUN:
		if !last.GetReachedTarget() {
			return tries < maxNodeRefusals && !(o.parent == nil && outcome.Reason(last.GetReason()) == outcome.DoomedDownstream)
		}
	default:
		if !o.route.Idempotent {
			return false
		}
	}
	return d.mayTryAnotherTarget(o, last, reached) && d.limits.spend(o, budget)
}

// mayTryAnotherTarget reports whether the request may reach one more target. The
// attempts of the route limit the number of targets that may run the request. A
// target that refused it did not run it, so refusals have a separate limit.
func (d *dispatcher) mayTryAnotherTarget(o *outgoing, last *pb.ForwardResponse, reached int) bool {
	if last.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		return reached < max(o.route.Attempts, maxTargetRefusals)
	}
	return reached < max(o.route.Attempts, 1)
}

// attempt sends the request to one node. sameTarget is set if the request was sent
// to this target before.
func (d *dispatcher) attempt(ctx context.Context, o *outgoing, endpoint *route.Endpoint, sameTarget bool) *pb.ForwardResponse {
	started := time.Now()
	request := d.newAttempt(o, started)
	request.SameTarget = sameTarget
	o.placement.Begin()
	if !endpoint.Target().ReadsHeaderLines {
		request.Headers, request.HeaderLines = headersOf(request.GetHeaderLines()), nil
	}
	response := d.exchange(ctx, endpoint.Target().Address, request, o)
	now := time.Now()
	// Apply the gate report first, because it affects how the router judges the
	// result.
	if response.GetGate() != nil {
		o.placement.Report(now, route.ReportFromProto(response.GetGate()))
		d.versionReported(endpoint.Target().Address, response.GetConfigVersion())
	}
	o.placement.End(now, route.Result{
		Latency:       now.Sub(started),
		Outcome:       outcome.Outcome(response.GetOutcome()),
		Reason:        outcome.Reason(response.GetReason()),
		NodeResponded: response.GetGate() != nil,
		ErrorResponse: response.GetTargetFailed(),

		Unrepresentative: response.GetStatus() >= http.StatusBadRequest,
	}, len(request.GetBody())+len(response.GetBody()))
	return response
}

// newAttempt returns a copy of the request for one attempt. Each attempt has its
// own copy, because the transport may still read the message of an abandoned
// attempt.
func (d *dispatcher) newAttempt(o *outgoing, now time.Time) *pb.ForwardRequest {
	m := o.message
	return &pb.ForwardRequest{
		Id:             &pb.CallId{Sender: d.sender, Sequence: d.sequence.Add(1)},
		Service:        m.GetService(),
		Route:          m.GetRoute(),
		OriginService:  m.GetOriginService(),
		AttemptId:      m.GetAttemptId(),
		RemainingNanos: int64(o.deadline.Sub(now)),
		Level:          m.GetLevel(),
		Idempotent:     m.GetIdempotent(),
		Method:         m.GetMethod(),
		Target:         m.GetTarget(),
		Host:           m.GetHost(),
		HeaderLines:    m.GetHeaderLines(),
		Body:           m.GetBody(),
		ConfigVersion:  m.GetConfigVersion(),
		SenderAddress:  d.self(),
		Trial:          o.trial,
		Repeat:         o.isRetry,
		CompletedCalls: m.GetCompletedCalls(),
		Account:        m.GetAccount(),

		ReadsHeaderLines: true,
	}
}

// exchange sends the request to the node at address. If that is this node, it
// bypasses the network.
func (d *dispatcher) exchange(ctx context.Context, address string, request *pb.ForwardRequest, o *outgoing) *pb.ForwardResponse {
	if address == d.self() {
		response := &pb.ForwardResponse{}
		d.local.handle(ctx, request, response, o.deadline, o.responseMemory)
		return response
	}
	response, err := d.pool.Forward(ctx, address, request)
	if err == nil {
		if len(response.GetHeaders()) > 0 {
			response.HeaderLines = linesOf(response.GetHeaders())
		}
		d.checkResponse(request, address, response)
		return response
	}
	d.events.peerFailed(request, address, err)
	if errors.Is(err, transport.ErrNotSent) {
		return notRun(notSentReason(ctx), 0)
	}
	return unknown(lostReason(ctx))
}

// checkResponse makes a completed response that no target may send a broken one. A node
// that runs an earlier version passes it on.
func (d *dispatcher) checkResponse(request *pb.ForwardRequest, address string, response *pb.ForwardResponse) {
	err := invalidResponse(response)
	if err == nil {
		return
	}
	d.events.peerFailed(request, address, err)
	response.Outcome, response.Reason = outcome.Unknown.Proto(), outcome.AnswerTruncated.Proto()
	response.Status, response.HeaderLines, response.Body = 0, nil, nil
}

// invalidResponse returns an error if a response is completed and its status or its headers
// are not what HTTP permits.
func invalidResponse(response *pb.ForwardResponse) error {
	switch {
	case response.GetOutcome() != pb.Outcome_OUTCOME_COMPLETED:
		return nil
	case !outcome.IsFinalStatus(int(response.GetStatus())):
		return errors.Wrapf(errInvalidStatus, "status %d", response.GetStatus())
	}
	return responsehead.CheckFields(response.GetHeaderLines())
}

func notSentReason(ctx context.Context) outcome.Reason {
	if ctx.Err() != nil {
		return outcome.DeadlineExceeded
	}
	return outcome.ConnectFailed
}

func lostReason(ctx context.Context) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.DeadlineExceeded
	case ctx.Err() != nil:
		return outcome.Cancelled
	default:
		return outcome.AnswerLost
	}
}

func notRun(reason outcome.Reason, retryAfter time.Duration) *pb.ForwardResponse {
	return &pb.ForwardResponse{
		Outcome:         outcome.NotRun.Proto(),
		Reason:          reason.Proto(),
		RetryAfterNanos: int64(retryAfter),
	}
}

// unknown returns the result of a request that was sent and whose response was
// lost. The request may have reached the target.
func unknown(reason outcome.Reason) *pb.ForwardResponse {
	return &pb.ForwardResponse{Outcome: outcome.Unknown.Proto(), Reason: reason.Proto(), ReachedTarget: true}
}

// budgets holds the retry budget of each service.
type budgets struct {
	mu     sync.RWMutex
	ratio  float64
	slack  float64
	byName map[string]*retry.WindowBudget
}

func newBudgets(ratio, slack float64) *budgets {
	return &budgets{ratio: ratio, slack: slack, byName: make(map[string]*retry.WindowBudget)}
}

// get returns the budget of a service, which it creates on first use.
func (b *budgets) get(service string) *retry.WindowBudget {
	b.mu.RLock()
	found := b.byName[service]
	b.mu.RUnlock()
	if found != nil {
		return found
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byName[service] == nil {
		b.byName[service] = retry.NewWindowBudget(time.Now(), b.ratio, b.slack)
	}
	return b.byName[service]
}
