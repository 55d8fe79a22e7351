package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/threshold"
)

const (
	// entries is the number of entry nodes, at which root requests arrive.
	entries = 4
	// attemptDeadline is the deadline of one attempt of a caller.
	attemptDeadline = time.Second
	// callerTimeout is the time after arrival from which a response is of no use to the
	// caller.
	callerTimeout = 3 * time.Second
	// gammaShape is the shape parameter of the gamma distribution of self time. With a
	// shape of 4, the standard deviation is half the mean.
	gammaShape = 4
)

// root is one root request with the data needed for the measurement.
type root struct {
	spec    *rootSpec
	cohort  uint32
	arrival time.Duration
	// retries counts the attempts after the first one, on all hops and by the caller.
	// callerRetries counts only those by the caller.
	retries       int
	callerRetries int
	// good reports that the complete response arrived within callerTimeout.
	good bool
	// latency is the time from arrival to the complete response.
	latency time.Duration
	// work is the self time spent on the request at all targets.
	work  time.Duration
	entry *node
}

// attempt is one attempt of the caller to send a root request.
type attempt struct {
	root      *root
	deadline  time.Duration
	cancelled bool
	finished  bool
	// assured reports that the least share of the operation admits the request.
	assured bool
	// completedCalls is the number of calls that were completed for the request.
	completedCalls uint32
	// activeCalls holds the calls in progress, the deepest one last.
	activeCalls []*call
	// working reports that the target of the deepest call has been working on it since
	// workFrom, so that its self time is accumulating.
	working  bool
	workFrom time.Duration
}

// close removes a call from the calls in progress.
func (a *attempt) close(c *call) {
	for i := len(a.activeCalls) - 1; i >= 0; i-- {
		if a.activeCalls[i] == c {
			a.activeCalls = append(a.activeCalls[:i], a.activeCalls[i+1:]...)
			return
		}
	}
}

// run is the replay of one case under one policy.
type run struct {
	clock    clock
	random   *rand.Rand
	graph    *graph
	scenario *scenario
	policy   policy
	targets  [][]*target
	entries  []*node
	roots    []*root
	scratch  []*target // buffer for candidates, reused for each choice
	nextID   uint64
}

func newRun(g *graph, s *scenario, p policy, seed uint64) *run {
	r := &run{graph: g, scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, seed))}
	for service := range g.services {
		var list []*target
		for i := range g.services[service].targets {
			list = append(list, newTarget(r, service, i))
		}
		r.targets = append(r.targets, list)
	}
	for range entries {
		n := &node{}
		n.init(r)
		r.entries = append(r.entries, n)
	}
	return r
}

// replay executes the arrivals until coolDown after the end of the trigger.
func (r *run) replay(arrivals []arrival) {
	if r.scenario.restartZone {
		r.removeZone()
		r.clock.after(warmUp, r.restartZone)
	}
	if r.scenario.lostTargets > 0 {
		r.clock.after(warmUp, func() { r.forEachLost(func(t *target) { t.up = false }) })
		r.clock.after(r.scenario.end(), func() { r.forEachLost(r.restartCold) })
	}
	r.scheduleArrivals(arrivals)
	r.clock.runUntil(r.scenario.end() + coolDown)
}

// scheduleArrivals schedules the first arrival, which in turn schedules the next one.
func (r *run) scheduleArrivals(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	next := arrivals[0]
	r.clock.after(next.at-r.clock.now, func() {
		r.startRoot(next)
		r.scheduleArrivals(arrivals[1:])
	})
}

// startRoot creates a root request at a random entry node and starts its first attempt.
func (r *run) startRoot(a arrival) {
	q := &root{spec: a.spec, cohort: a.cohort, arrival: a.at}
	q.entry = r.entries[r.random.IntN(len(r.entries))]
	r.roots = append(r.roots, q)
	r.attempt(q)
}

// attempt makes one attempt of the caller.
func (r *run) attempt(q *root) {
	a := &attempt{root: q, deadline: r.clock.now + attemptDeadline}
	r.clock.after(r.graph.clientDelay, func() {
		a.assured = q.entry.recordArrival(q)
		q.entry.send(a, q.spec.op, func(res result) {
			q.entry.recordResult(a, res)
			r.clock.after(r.graph.clientDelay, func() { r.finished(a, res) })
		})
	})
	r.clock.after(attemptDeadline, func() { r.expireAttempt(a) })
}

// expireAttempt ends an attempt at its deadline. If the policy has gates, the calls in
// progress are canceled; otherwise they continue.
func (r *run) expireAttempt(a *attempt) {
	if a.finished {
		return
	}
	if r.policy.gate {
		a.cancelled = true
		for len(a.activeCalls) > 0 {
			c := a.activeCalls[len(a.activeCalls)-1]
			c.target.cancel(c)
		}
	}
	r.finished(a, result{reason: outcome.DeadlineExceeded})
}

// finished handles the result of an attempt as the caller sees it. Only the first
// result of an attempt counts.
func (r *run) finished(a *attempt, res result) {
	if a.finished {
		return
	}
	a.finished = true
	q := a.root
	if res.ok {
		q.good = r.clock.now-q.arrival <= callerTimeout
		q.latency = r.clock.now - q.arrival
		return
	}
	r.retryRoot(q, res)
}

// retryRoot schedules the caller's next attempt after a backoff with jitter.
func (r *run) retryRoot(q *root, res result) {
	if q.callerRetries >= r.scenario.callerRetries || r.clock.now-q.arrival > callerTimeout {
		return
	}
	q.callerRetries++
	wait := max(r.scenario.backoff, res.retryAfter)
	if r.scenario.callerRetries > 1 {
		wait = r.scenario.backoff // a caller that retries many times ignores Retry-After
	}
	wait = time.Duration(float64(wait) * (0.5 + r.random.Float64()))
	r.clock.after(wait, func() {
		if r.policy.boundRetries && q.retries >= allowance {
			return // the entry node refuses the attempt: retry bound
		}
		q.retries++
		r.attempt(q)
	})
}

// level returns the level of a request, which orders requests by class and, within a
// class, by cohort. Without cohorts, each gate sees a different random level for the
// same request.
func (r *run) level(a *attempt) outcome.Level {
	cohort := a.root.cohort
	if !r.policy.cohorts {
		cohort = r.random.Uint32()
	}
	class := a.root.spec.class
	if a.assured {
		class = outcome.Assured
	}
	return outcome.LevelOf(class, cohort)
}

// priorityBoost returns the number of levels by which the next call of a request is
// raised for its completed calls.
func (r *run) priorityBoost(a *attempt) outcome.Level {
	if !r.policy.boostProgress {
		return 0
	}
	return threshold.PriorityBoost(a.completedCalls)
}

// slowdown returns the factor by which the self time at a target is multiplied.
func (r *run) slowdown(t *target) float64 {
	factor := 1.0
	if cold := t.coldSince + coldDuration - r.clock.now; t.coldSince > 0 && cold > 0 {
		factor = 1 + (coldFactor-1)*float64(cold)/float64(coldDuration)
	}
	deepest := t.spec == &r.graph.services[r.graph.deepest]
	if deepest && r.scenario.active(r.clock.now) && (!r.scenario.slowSingleTarget || t.index == 0) {
		factor *= r.scenario.workFactor
	}
	return factor
}

// processors returns the share of its processors that a target can use.
func (r *run) processors(t *target) float64 {
	deepest := t.spec == &r.graph.services[r.graph.deepest]
	if deepest && r.scenario.active(r.clock.now) {
		return r.scenario.processorShare
	}
	return 1
}

// reportedLoad returns the load that the load endpoint of a target reports.
func (r *run) reportedLoad(t *target) float64 {
	if r.scenario.slowSingleTarget && t.spec == &r.graph.services[r.graph.deepest] && t.index == 0 {
		return 0
	}
	return float64(t.heldSlots+len(t.backlog)) / float64(t.spec.slots)
}

// gamma returns a random factor with a mean of 1.
func (r *run) gamma() float64 {
	sum := 0.0
	for range gammaShape {
		sum += r.random.ExpFloat64()
	}
	return sum / gammaShape
}

// removeZone takes down all targets of zone 0.
func (r *run) removeZone() { r.forEachInZone(func(t *target) { t.up = false }) }

// restartZone starts the targets of zone 0 again; they are slow at first.
func (r *run) restartZone() { r.forEachInZone(r.restartCold) }

// restartCold starts a target that is slow at first and whose gate, if any, ramps up.
func (r *run) restartCold(t *target) {
	t.up = true
	t.coldSince = r.clock.now
	t.latency = 0
	if r.policy.gate {
		t.gate.StartRampUp(r.clock.time())
	}
}

// forEachLost calls do for the targets that the case takes down.
func (r *run) forEachLost(do func(*target)) {
	for _, t := range r.targets[r.graph.deepest][:r.scenario.lostTargets] {
		do(t)
	}
}

// forEachInZone calls do for all targets of zone 0.
func (r *run) forEachInZone(do func(*target)) {
	for _, list := range r.targets {
		for _, t := range list {
			if t.zone == 0 {
				do(t)
			}
		}
	}
}
