package experiment

import "time"

// Times and factors of the cases.
const (
	warmUp        = 8 * time.Second
	afterwards    = 12 * time.Second
	slowFor       = 30 * time.Second
	surgeFor      = 60 * time.Second
	slowFactor    = 10.0
	surgeFactor   = 3.0
	coldFactor    = 5.0
	coldFor       = 3 * time.Second
	throttleShare = 0.1
	returnFor     = 10 * time.Second
	// fullBase makes demand nearly fill the capacity without one zone.
	fullBase = 1.2
)

// scenario is one trigger of overload. Times are since the start of the run.
type scenario struct {
	name string
	// length is the duration of the trigger.
	length time.Duration
	// slow is the factor on the own work of the deep service.
	slow float64
	// slowOne limits the slowdown to the first target of the deep service,
	// whose load endpoint reports idle.
	slowOne bool
	// throttled is the share of processors that the deep service keeps; 0: all.
	throttled float64
	// lost is the number of targets of the deep service that are away.
	lost int
	// demand is the factor on arrivals.
	demand float64
	// resends is the number of times that a caller sends a failed request again.
	resends int
	// backoff is the mean wait of a caller before it sends again.
	backoff time.Duration
	// zoneReturns lets one zone be away until the trigger begins; its targets
	// then return cold.
	zoneReturns bool
	// base is the demand without trigger relative to ordinary demand.
	base float64
	// deepOnly keeps only root requests whose chain reaches the deep service
	// over two levels of callers.
	deepOnly bool
}

// scenarios returns the cases. Triggers are cut to shortest if it is not zero.
func scenarios(shortest time.Duration) []scenario {
	list := []scenario{
		{name: "deep-slow", length: slowFor, slow: slowFactor},
		{name: "surge", length: surgeFor, demand: surgeFactor},
		{name: "surge-and-slow", length: surgeFor, slow: slowFactor, demand: surgeFactor},
		{name: "hard-retries", length: slowFor, demand: surgeFactor, resends: 10, backoff: 50 * time.Millisecond},
		{name: "two-levels-up", length: slowFor, slow: slowFactor, deepOnly: true},
		{name: "reports-idle", length: slowFor, slow: slowFactor, slowOne: true},
		{name: "cold-zone", length: returnFor, zoneReturns: true, base: fullBase},
		{name: "throttled", length: slowFor, throttled: throttleShare},
		{name: "deep-lost", length: slowFor, demand: surgeFactor, lost: 2},
	}
	for i := range list {
		list[i].fill(shortest)
	}
	return list
}

func (s *scenario) fill(shortest time.Duration) {
	if shortest > 0 {
		s.length = min(s.length, shortest)
	}
	if s.slow == 0 {
		s.slow = 1
	}
	if s.demand == 0 {
		s.demand = 1
	}
	if s.base == 0 {
		s.base = 1
	}
	if s.throttled == 0 {
		s.throttled = 1
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
	return at >= warmUp && at < warmUp+s.length
}

// measured reports whether arrivals at a time count for goodput: the patience
// of the caller must end within the trigger.
func (s *scenario) measured(at time.Duration) bool {
	return at >= warmUp && at < s.end()-patience
}

func (s *scenario) end() time.Duration { return warmUp + s.length }

// policy selects which parts of the overload control are on.
type policy struct {
	name string
	// gate is admission by queue, threshold, deadline and cancellation.
	gate bool
	// adaptive lets the concurrency limit follow latency.
	adaptive bool
	// cohorts gives each root request one cohort on all levels of the graph.
	cohorts bool
	// bounded holds all retries of a root request within one allowance.
	bounded bool
	// strict leaves out the least shares.
	strict bool
	// progress lets calls of requests of which more is done come first.
	progress bool
}

func policies() []policy {
	return []policy{
		{name: "none"},
		{name: "fixed-limit", gate: true, cohorts: true, bounded: true, progress: true},
		{name: "strict-order", gate: true, cohorts: true, bounded: true, progress: true, strict: true},
		{name: "no-progress", gate: true, cohorts: true, bounded: true},
		{name: "no-cohorts", gate: true, adaptive: true, bounded: true},
		{name: "no-retry-bound", gate: true, adaptive: true, cohorts: true, progress: true},
		{name: "full", gate: true, adaptive: true, cohorts: true, bounded: true, progress: true},
	}
}
