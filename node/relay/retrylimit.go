package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

// limitByRetryBudget reports whether the configuration in force limits root requests to
// those whose calls the retry budget can complete.
func (c *configuration) limitByRetryBudget() bool {
	table := c.table.Load()
	return table != nil && table.Features.LimitByRetryBudget
}

// retryLimits holds a limiter for each service that this node sends requests to. While
// the configuration does not call for limits, it only spends from the retry budgets. A
// nil *retryLimits sets no limits. It is safe for concurrent use.
type retryLimits struct {
	budgets *budgets
	enabled func() bool
	logger  *zap.Logger
	mu      sync.RWMutex
	// byService holds as many elements as budgets.
	byService map[string]*serviceLimit
	// called holds the shortages of the operations that this node sends requests to, and
	// own those of the operations of its target, without a service.
	called *threshold.Shortages
	own    *threshold.Shortages
}

var _ threshold.CallLimits = (*retryLimits)(nil)

// serviceLimit is the limiter of one service and what was last logged about it.
type serviceLimit struct {
	*retry.Limiter
	log limitLog
}

func newRetryLimits(budgets *budgets, enabled func() bool, logger *zap.Logger) *retryLimits {
	return &retryLimits{budgets: budgets, enabled: enabled, logger: logger, byService: make(map[string]*serviceLimit),
		called: threshold.NewShortages(), own: threshold.NewShortages()}
}

func (l *retryLimits) active() bool { return l != nil && l.Enabled() }

// find returns the limiter of a service, or nil if nothing was sent to it while limits
// were enabled.
func (l *retryLimits) find(service string) *serviceLimit {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byService[service]
}

// get returns the limiter of a service, which it creates on first use.
func (l *retryLimits) get(service string) *serviceLimit {
	if found := l.find(service); found != nil {
		return found
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byService[service] == nil {
		l.byService[service] = &serviceLimit{Limiter: retry.NewLimiter(time.Now(), l.budgets.get(service))}
	}
	return l.byService[service]
}

// firstAttempt counts a request before its first attempt.
func (l *retryLimits) firstAttempt(o *outgoing) {
	if l.active() {
		l.get(o.message.GetService()).RecordFirstAttempt(o.started, o.send())
	}
}

// result counts the result of an attempt that reached its target.
func (l *retryLimits) result(o *outgoing, response *pb.ForwardResponse) {
	if !l.active() {
		return
	}
	now := time.Now()
	limit := l.get(o.message.GetService())
	limit.RecordResult(now, o.level, refusedByTarget(response))
	limit.log.observe(l.logger, now, o.message.GetService(), limit.State)
}

// spend takes a retry from the budget.
func (l *retryLimits) spend(o *outgoing, budget *retry.WindowBudget) bool {
	now := time.Now()
	if l.active() {
		return l.get(o.message.GetService()).Spend(now, o.send())
	}
	return budget.Spend(now, retry.Kind{Class: o.level.Class(), ChildCall: o.parent != nil})
}

// Enabled implements threshold.CallLimits.
func (l *retryLimits) Enabled() bool { return l.enabled() }

// Limit implements threshold.CallLimits.
func (l *retryLimits) Limit(now time.Time, called threshold.Dependency) outcome.Level {
	if limit := l.find(called.Service); limit != nil {
		return limit.Level(now)
	}
	return outcome.MaxLevel
}

// sample returns the state of all limiters for metrics.
func (l *retryLimits) sample() []telemetry.RetryLimitSample {
	if !l.active() {
		return nil
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := time.Now()
	samples := make([]telemetry.RetryLimitSample, 0, len(l.byService))
	for service, limit := range l.byService {
		s := limit.State(now)
		samples = append(samples, telemetry.RetryLimitSample{Service: service, Level: int64(s.Level), RefusalShare: s.RefusalShare, RetriesLeft: s.Left})
	}
	return samples
}

// refusedByTarget reports whether the target refused the request without running it.
func refusedByTarget(response *pb.ForwardResponse) bool {
	return response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && outcome.Reason(response.GetReason()) == outcome.TargetRefused
}

// send describes the request to the limiter of its service.
func (o *outgoing) send() retry.Send {
	s := retry.Send{Level: o.level, Effective: o.effectiveLevel(), CompletedCalls: o.message.GetCompletedCalls(), ChildCall: o.parent != nil}
	if o.parent != nil {
		s.Operation = o.parent.Route
	}
	return s
}

// doomed reports whether a request that has arrived would fail because of a call of the
// target. Trial requests pass.
func (r *receiver) doomed(request *pb.ForwardRequest) bool {
	level := outcome.LevelFromProto(request.GetLevel()).Boosted(threshold.PriorityBoost(request.GetCompletedCalls()))
	return !request.GetTrial() && r.operations.Doomed(time.Now(), request.GetRoute(), level)
}
