package experiment

import "time"

// Times and factors of the cases. A run consists of warmUp, the trigger and coolDown.
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
	// nearCapacityBase is the factor on ordinary demand at which demand nearly uses the
	// capacity that remains without one zone.
	nearCapacityBase = 1.2
)

// scenario is one case: a trigger of overload. Times are relative to the start of the
// run.
type scenario struct {
	name string
	// duration is the duration of the trigger.
	duration time.Duration
	// workFactor is the factor on the self time of the deepest service.
	workFactor float64
	// slowSingleTarget limits the slowdown to the first target of the deepest service,
	// whose load endpoint reports that it is idle.
	slowSingleTarget bool
	// processorShare is the share of its processors that the deepest service can use; 0
	// means all.
	processorShare float64
	// lostTargets is the number of targets of the deepest service that are down.
	lostTargets int
	// demandFactor is the factor on the rate of arrivals.
	demandFactor float64
	// callerRetries is the number of times that a caller retries a failed request.
	callerRetries int
	// backoff is the mean delay before a caller retries.
	backoff time.Duration
	// restartZone keeps zone 0 down until the trigger starts; its targets then
	// restart and are slow at first.
	restartZone bool
	// baseDemand is the demand outside the trigger relative to ordinary demand.
	baseDemand float64
	// deepOnly excludes the root requests that do not reach the deepest service through
	// at least two levels of calls.
	deepOnly bool
}

// scenarios returns the cases. If shortest is not 0, it is the maximum duration of
// triggers.
func scenarios(shortest time.Duration) []scenario {
	list := []scenario{
		{name: "deep-slow", duration: slowDuration, workFactor: slowFactor},
		{name: "surge", duration: surgeDuration, demandFactor: surgeFactor},
		{name: "surge-and-slow", duration: surgeDuration, workFactor: slowFactor, demandFactor: surgeFactor},
		{name: "hard-retries", duration: slowDuration, demandFactor: surgeFactor, callerRetries: 10, backoff: 50 * time.Millisecond},
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

// setDefaults sets the fields that the case leaves at zero, and limits the duration of
// the trigger to shortest unless that is 0.
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
	if s.callerRetries == 0 {
		s.callerRetries = 1
	}
	if s.backoff == 0 {
		s.backoff = 200 * time.Millisecond
	}
}

// active reports whether the trigger is active at a time.
func (s *scenario) active(at time.Duration) bool {
	return at >= warmUp && at < warmUp+s.duration
}

// measured reports whether arrivals at a time count for goodput: callerTimeout must end
// before the trigger does, so that no retry is served after it.
func (s *scenario) measured(at time.Duration) bool {
	return at >= warmUp && at < s.end()-callerTimeout
}

// end returns the end of the trigger.
func (s *scenario) end() time.Duration { return warmUp + s.duration }

// policy selects the parts of the overload control that are enabled.
type policy struct {
	name string
	// gate enables admission control by queue, threshold, deadline and cancellation.
	gate bool
	// adaptiveLimit adapts the concurrency limit to the latency.
	adaptiveLimit bool
	// cohorts gives each root request the same cohort at all services, so that all
	// gates shed the same requests.
	cohorts bool
	// boundRetries limits all retries of a root request to one allowance.
	boundRetries bool
	// strictOrder disables the least shares.
	strictOrder bool
	// boostProgress raises the priority of calls for requests with more completed
	// calls.
	boostProgress bool
}

// policies returns the policies that are compared. In "none", targets are protected by
// nothing but their own slots and connections.
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
