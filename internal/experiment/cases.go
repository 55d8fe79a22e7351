package experiment

import "time"

// Times and factors of the cases.
const (
	warmUp              = 8 * time.Second
	coolDown            = 12 * time.Second
	slowDuration        = 30 * time.Second
	surgeDuration       = 60 * time.Second
	slowFactor          = 10.0
	surgeFactor         = 3.0
	coldFactor          = 5.0
	coldDuration        = 3 * time.Second
	throttleShare       = 0.1
	zoneRestartDuration = 10 * time.Second
	// fullBase makes demand nearly fill the capacity without one zone.
	nearCapacityBase = 1.2
)

// scenario is one trigger of overload. Times are since the start of the run.
type scenario struct {
	name string
	// length is the duration of the trigger.
	duration time.Duration
	// slow is the factor on the own work of the deep service.
	workFactor float64
	// slowOne limits the slowdown to the first target of the deep service,
	// whose load endpoint reports idle.
	slowSingleTarget bool
	// throttled is the share of processors that the deep service keeps; 0: all.
	processorShare float64
	// lost is the number of targets of the deep service that are away.
	lostTargets int
	// demand is the factor on arrivals.
	demandFactor float64
	// resends is the number of times that a caller sends a failed request again.
	resends int
	// backoff is the mean wait of a caller before it sends again.
	backoff time.Duration
	// zoneReturns lets one zone be away until the trigger begins; its targets
	// then return cold.
	restartZone bool
	// base is the demand without trigger relative to ordinary demand.
	baseDemand float64
	// deepOnly keeps only root requests whose chain reaches the deep service
	// over two levels of callers.
	deepOnly bool
}

// scenarios returns the cases. Triggers are cut to shortest if it is not zero.
func scenarios(shortest time.Duration) []scenario {
	list := []scenario{
		{name: "deep-slow", duration: slowDuration, workFactor: slowFactor},
		{name: "surge", duration: surgeDuration, demandFactor: surgeFactor},
		{name: "surge-and-slow", duration: surgeDuration, workFactor: slowFactor, demandFactor: surgeFactor},
		{name: "hard-retries", duration: slowDuration, demandFactor: surgeFactor, resends: 10, backoff: 50 * time.Millisecond},
		{name: "two-levels-up", duration: slowDuration, workFactor: slowFactor, deepOnly: true},
		{name: "reports-idle", duration: slowDuration, workFactor: slowFactor, slowSingleTarget: true},
		{name: "cold-zone", duration: zoneRestartDuration, restartZone: true, baseDemand: nearCapacityBase},
		{name: "throttled", duration: slowDuration, processorShare: throttleShare},
		{name: "deep-lost", duration: slowDuration, demandFactor: surgeFactor, lostTargets: 2},
	}
	for i := range list {
		list[i].setDefaults(shortest)
	}
	return list
}

func (s *scenario) setDefaults(shortest time.Duration) {
	if shortest > 0 {
		s.duration = min(s.duration, shortest)
	}
	if s.workFactor == 0 {
		s.workFactor = 1
	}
	if s.demandFactor == 0 {
		s.demandFactor = 1
	}
	if s.baseDemand == 0 {
		s.baseDemand = 1
	}
	if s.processorShare == 0 {
		s.processorShare = 1
	}
	if s.resends == 0 {
		s.resends = 1
	}
	if s.backoff == 0 {
		s.backoff = 200 * time.Millisecond
	}
}

// active reports whether the trigger acts at a time.
func (s *scenario) active(at time.Duration) bool {
	return at >= warmUp && at < warmUp+s.duration
}

// measured reports whether arrivals at a time count for goodput: the patience
// of the caller must end within the trigger.
func (s *scenario) measured(at time.Duration) bool {
	return at >= warmUp && at < s.end()-callerTimeout
}

func (s *scenario) end() time.Duration { return warmUp + s.duration }

// policy selects which parts of the overload control are on.
type policy struct {
	name string
	// gate is admission by queue, threshold, deadline and cancellation.
	gate bool
	// adaptive lets the concurrency limit follow latency.
	adaptiveLimit bool
	// cohorts gives each root request one cohort on all levels of the graph.
	cohorts bool
	// bounded holds all retries of a root request within one allowance.
	boundRetries bool
	// strict leaves out the least shares.
	strictOrder bool
	// progress lets calls of requests of which more is done come first.
	boostProgress bool
}

func policies() []policy {
	return []policy{
		{name: "none"},
		{name: "fixed-limit", gate: true, cohorts: true, boundRetries: true, boostProgress: true},
		{name: "strict-order", gate: true, cohorts: true, boundRetries: true, boostProgress: true, strictOrder: true},
		{name: "no-progress", gate: true, cohorts: true, boundRetries: true},
		{name: "no-cohorts", gate: true, adaptiveLimit: true, boundRetries: true},
		{name: "no-retry-bound", gate: true, adaptiveLimit: true, cohorts: true, boostProgress: true},
		{name: "full", gate: true, adaptiveLimit: true, cohorts: true, boundRetries: true, boostProgress: true},
	}
}
