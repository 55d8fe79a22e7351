package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport"
)

const (
	// maxRefusals is the number of nodes that may refuse one request before it
	// is refused as a whole; their refusals do not reach a target.
	maxRefusals = 3
	// maxRefusedArrivals is the number of targets that may refuse one request.
	// Where every target refuses half of its requests, eight tries let nine
	// requests of ten make all of eight calls.
	maxRefusedArrivals = 8
	// repeatMargin is the share of the time of a request, as a divisor, that must
	// be left for a repeat to be worth its cost.
	repeatMargin = 8
)

// outgoing is one request on its way to a target.
type outgoing struct {
	message  *pb.ForwardRequest
	route    *ingress.Route
	level    outcome.Level
	deadline time.Time
	started  time.Time
	trial    bool
	// repeat tells that the request, or one that it belongs to, may have run.
	repeat bool
	// parent is the request for which the target makes this call; nil for a
	// request of a client.
	parent *callgraph.Parent
}

func (o *outgoing) dependency() threshold.Dependency {
	return threshold.Dependency{Service: o.message.GetService(), Operation: o.route.Name}
}

// place returns the level at which gates admit and queue the request.
func (o *outgoing) place() outcome.Level {
	return o.level.Boosted(threshold.PriorityBoost(o.message.GetCompletedCalls()))
}

// dispatcher sends requests to the nodes beside the targets and decides about
// repeats. It is safe for concurrent use.
type dispatcher struct {
	router     *route.Router
	pool       *transport.Pool
	local      *receiver
	self       func() string
	downstream *threshold.Downstream
	budgets    *budgets
	sender     uint64
	sequence   atomic.Uint64
	events     *eventLog
	learned    func(address string, version uint64)
}

// dispatch sends a request to one target after another until one answers or
// nothing more may be tried.
func (d *dispatcher) dispatch(ctx context.Context, o *outgoing) *pb.ForwardResponse {
	if o.parent != nil {
		o.parent.Run.CallStarted(o.dependency())
	}
	if refused := d.downstream.Admit(o.started, o.dependency(), o.place(), o.trial); refused != nil {
		d.events.entryRefused(o, refused.Reason, d.downstream.Threshold(o.started, o.dependency()))
		return notRun(refused.Reason, 0)
	}
	budget := d.budgets.of(o.message.GetService())
	budget.RecordFirstAttempt(o.started)
	if o.repeat {
		budget.Charge(o.started)
	}
	response := d.attempts(ctx, o, budget)
	d.observe(o, response)
	return response
}

// observe learns from the final answer what the called operation admits. The
// level of a trial says nothing, because it passes the learned thresholds.
func (d *dispatcher) observe(o *outgoing, response *pb.ForwardResponse) {
	answer := threshold.Response{
		Threshold: outcome.Level(response.GetGate().GetOperationThreshold()),
		Success:   completedWell(response),
	}
	if !o.trial {
		answer.Level = o.place()
	}
	d.downstream.Observe(time.Now(), o.dependency(), answer)
	if o.parent == nil {
		return
	}
	if answer.Success {
		o.parent.Run.CallCompleted(response.GetCompletedCalls())
		return
	}
	o.parent.Run.CallFailed()
	if response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		o.parent.Run.CallRefused(o.dependency())
	}
}

// completedWell tells that the target gave a whole answer that is no failure.
func completedWell(response *pb.ForwardResponse) bool {
	return response.GetOutcome() == pb.Outcome_OUTCOME_COMPLETED && response.GetStatus() < http.StatusInternalServerError
}

func (d *dispatcher) attempts(ctx context.Context, o *outgoing, budget *retry.WindowBudget) *pb.ForwardResponse {
	var tried []uint64
	// last is the result of the last attempt, ran that of the last one that may
	// have run. A request that may have run is never reported as not run.
	var last, ran *pb.ForwardResponse
	arrivals := 0
	for tries := 1; ; tries++ {
		endpoint, none := d.pick(o, last, tried)
		if none != nil {
			if last == nil {
				last = notRun(none.Reason, 0)
			}
			d.events.noTarget(o, none.Reason, len(tried))
			return cmp.Or(ran, last)
		}
		sameTarget := slices.Contains(tried, endpoint.Target().Incarnation)
		tried = append(tried, endpoint.Target().Incarnation)
		last = d.attempt(ctx, o, endpoint, sameTarget)
		if last.GetReachedTarget() {
			arrivals++
		}
		if last.GetOutcome() != pb.Outcome_OUTCOME_NOT_RUN {
			ran = last
		}
		if !d.again(ctx, o, last, arrivals, tries, budget) {
			return cmp.Or(ran, last)
		}
		o.repeat = o.repeat || ran != nil
		d.events.repeated(o, last, endpoint.Target().VM)
	}
}

// pick chooses a target that was not tried yet. If there is none and the last
// one was reached, a target may be tried again, because its answer was lost or
// spoiled on the way.
func (d *dispatcher) pick(o *outgoing, last *pb.ForwardResponse, tried []uint64) (*route.Endpoint, *outcome.Error) {
	endpoint, none := d.router.Pick(time.Now(), o.message.GetService(), 0, tried...)
	if none == nil || !last.GetReachedTarget() {
		return endpoint, none
	}
	return d.router.Pick(time.Now(), o.message.GetService(), 0)
}

// again decides whether the request is sent to another target.
func (d *dispatcher) again(ctx context.Context, o *outgoing, last *pb.ForwardResponse, arrivals, tries int, budget *retry.WindowBudget) bool {
	if ctx.Err() != nil || time.Until(o.deadline) < o.deadline.Sub(o.started)/repeatMargin {
		return false
	}
	switch last.GetOutcome() {
	case pb.Outcome_OUTCOME_COMPLETED:
		if !last.GetTargetFailed() || !o.route.Idempotent {
			return false
		}
	case pb.Outcome_OUTCOME_NOT_RUN:
		if !last.GetReachedTarget() {
			return tries < maxRefusals
		}
	default:
		if !o.route.Idempotent {
			return false
		}
	}
	return d.mayArrive(o, last, arrivals) && budget.Spend(time.Now(), retry.Kind{Class: o.level.Class(), ChildCall: o.parent != nil})
}

// mayArrive tells whether the request may reach one more target. The attempts of
// the route bound the targets that may run it; a target that refused did not.
func (d *dispatcher) mayArrive(o *outgoing, last *pb.ForwardResponse, arrivals int) bool {
	if last.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		return arrivals < max(o.route.MaxAttempts, maxRefusedArrivals)
	}
	return arrivals < max(o.route.MaxAttempts, 1)
}

// attempt sends the request to one node. sameTarget tells that it was sent there
// before.
func (d *dispatcher) attempt(ctx context.Context, o *outgoing, endpoint *route.Endpoint, sameTarget bool) *pb.ForwardResponse {
	started := time.Now()
	request := d.numbered(o, started)
	request.SameTarget = sameTarget
	endpoint.Begin()
	response := d.exchange(ctx, endpoint.Target().Address, request, o.deadline)
	now := time.Now()
	// The report comes first, because it decides how the end is judged.
	if response.GetGate() != nil {
		endpoint.Report(now, route.ReportFromProto(response.GetGate()))
		d.learned(endpoint.Target().Address, response.GetConfigVersion())
	}
	endpoint.End(now, route.Result{
		Latency:       now.Sub(started),
		Outcome:       outcome.Outcome(response.GetOutcome()),
		Reason:        outcome.Reason(response.GetReason()),
		ErrorResponse: response.GetTargetFailed(),
	})
	return response
}

// numbered returns a copy of the request for one attempt. A message that was
// abandoned may still be read by the transport, so each attempt has its own.
func (d *dispatcher) numbered(o *outgoing, now time.Time) *pb.ForwardRequest {
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
		Headers:        m.GetHeaders(),
		Body:           m.GetBody(),
		ConfigVersion:  m.GetConfigVersion(),
		SenderAddress:  d.self(),
		Trial:          o.trial,
		Repeat:         o.repeat,
		CompletedCalls: m.GetCompletedCalls(),
	}
}

// exchange passes the request to the node at the address; the node itself is
// called without the network.
func (d *dispatcher) exchange(ctx context.Context, address string, request *pb.ForwardRequest, deadline time.Time) *pb.ForwardResponse {
	if address == d.self() {
		response := &pb.ForwardResponse{}
		d.local.handle(ctx, request, response, deadline)
		return response
	}
	response, err := d.pool.Forward(ctx, address, request)
	if err == nil {
		return response
	}
	d.events.nodeLost(request, address, err)
	if errors.Is(err, transport.ErrNotSent) {
		return notRun(notSentReason(ctx), 0)
	}
	return unknown(lostReason(ctx))
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

// unknown is the result of a request that was sent and whose answer was lost.
// It may have reached the target.
func unknown(reason outcome.Reason) *pb.ForwardResponse {
	return &pb.ForwardResponse{Outcome: outcome.Unknown.Proto(), Reason: reason.Proto(), ReachedTarget: true}
}

// budgets holds the repeat budget of each service.
type budgets struct {
	mu     sync.RWMutex
	ratio  float64
	slack  float64
	byName map[string]*retry.WindowBudget
}

func newBudgets(ratio, slack float64) *budgets {
	return &budgets{ratio: ratio, slack: slack, byName: make(map[string]*retry.WindowBudget)}
}

func (b *budgets) of(service string) *retry.WindowBudget {
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
