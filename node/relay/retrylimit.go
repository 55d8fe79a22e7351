package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
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
}

// serviceLimit is the limiter of one service and what was last logged about it.
type serviceLimit struct {
	*retry.Limiter
	log limitLog
}

func newRetryLimits(budgets *budgets, enabled func() bool, logger *zap.Logger) *retryLimits {
	return &retryLimits{budgets: budgets, enabled: enabled, logger: logger, byService: make(map[string]*serviceLimit)}
}

func (l *retryLimits) active() bool { return l != nil && l.enabled() }

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

// callLimit is the threshold.CallLimit of this node.
func (l *retryLimits) callLimit(now time.Time, called threshold.Dependency) outcome.Level {
	if l.active() {
		if limit := l.find(called.Service); limit != nil {
			return limit.State(now).Level
		}
	}
	return outcome.MaxLevel
}

// refusedByTarget reports whether the target refused the request without running it.
func refusedByTarget(response *pb.ForwardResponse) bool {
	return response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && outcome.Reason(response.GetReason()) == outcome.TargetRefused
}

// send describes the request to the limiter of its service.
func (o *outgoing) send() retry.Send {
	return retry.Send{Level: o.level, Effective: o.effectiveLevel(), ChildCall: o.parent != nil}
}

const (
	// limitLogInterval is the minimum time between two log lines about one service.
	limitLogInterval = time.Second
	// limitLogStep is the smallest change of a limit that is logged, in levels.
	limitLogStep = outcome.Cohorts / 4
)

// limitLog writes log lines when the limit of a service begins, changes and ends.
type limitLog struct {
	mu     sync.Mutex
	logged outcome.Level
	at     time.Time
	began  time.Time
}

// observe logs the state if it differs from the one that was logged last.
func (g *limitLog) observe(logger *zap.Logger, now time.Time, service string, state func(time.Time) retry.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.at) < limitLogInterval {
		return
	}
	s := state(now)
	limited, before := s.Level < outcome.MaxLevel, g.logged != 0
	step := max(s.Level, g.logged) - min(s.Level, g.logged)
	message := "The retry budget admits other levels of the calls to a service."
	switch {
	case limited && !before:
		message = "The retry budget begins to limit the calls to a service."
		g.began = now
	case !limited && before:
		message = "The retry budget no longer limits the calls to a service."
	case !limited || step < limitLogStep:
		return
	}
	g.logged, g.at = s.Level, now
	if !limited {
		g.logged = 0
	}
	logger.Info(message, zap.String("called", service), zap.Uint16("limit", uint16(s.Level)),
		zap.Float64("refused_share", s.RefusalShare), zap.Duration("refused_for", s.RefusedFor),
		zap.Float64("retries_left", s.Left), zap.Duration("limited_for", now.Sub(g.began)))
}
