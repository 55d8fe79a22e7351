package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/threshold"
)

const (
	// entries is the number of nodes at which outside requests arrive.
	entries = 4
	// attemptDeadline is the deadline of one attempt of a caller.
	attemptDeadline = time.Second
	// patience is the time after which an answer is of no use to the caller.
	callerTimeout = 3 * time.Second
	// shape of the gamma distribution of own work; its deviation is half of the
	// mean.
	gammaShape = 4
)

// root is one root request with everything that the measurement needs.
type root struct {
	spec    *rootSpec
	cohort  uint32
	arrival time.Duration
	// retries counts all attempts beyond the first, on all hops and by the
	// caller.
	retries int
	resends int
	good    bool
	// latency is the time from the arrival to the complete answer.
	latency time.Duration
	work    time.Duration
	entry   *node
}

// attempt is one attempt of the caller at a root request.
type attempt struct {
	root      *root
	deadline  time.Duration
	cancelled bool
	finished  bool
	// assured tells that the least share of the operation admits the request.
	assured bool
	// completed counts the calls that were completed for the request.
	completedCalls uint32
	// open holds the calls in progress, the deepest last.
	activeCalls []*call
	// working tells that the deepest call does own work since workFrom.
	working  bool
	workFrom time.Duration
}

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
	scratch  []*target
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

// replay executes arrivals until some time after the trigger.
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

// arrive schedules the first arrival, which schedules the next one.
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

func (r *run) startRoot(a arrival) {
	q := &root{spec: a.spec, cohort: a.cohort, arrival: a.at}
	q.entry = r.entries[r.random.IntN(len(r.entries))]
	r.roots = append(r.roots, q)
	r.attempt(q)
}

// attempt lets the caller send a root request once.
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

// expired ends an attempt at its deadline. With control, the calls in progress
// are cancelled; without, they go on.
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

// answered is the end of an attempt as the caller sees it.
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
	r.resend(q, res)
}

// resend lets the caller send again after a wait with jitter.
func (r *run) resend(q *root, res result) {
	if q.resends >= r.scenario.resends || r.clock.now-q.arrival > callerTimeout {
		return
	}
	q.resends++
	wait := max(r.scenario.backoff, res.retryAfter)
	if r.scenario.resends > 1 {
		wait = r.scenario.backoff // a hard retrier ignores Retry-After
	}
	wait = time.Duration(float64(wait) * (0.5 + r.random.Float64()))
	r.clock.after(wait, func() {
		if r.policy.boundRetries && q.retries >= allowance {
			return // the entry refuses: retry bound
		}
		q.retries++
		r.attempt(q)
	})
}

// level returns the level of a request. Without cohorts each gate sees another
// one.
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

// lead returns the number of levels that the next call of a request is ahead.
func (r *run) priorityBoost(a *attempt) outcome.Level {
	if !r.policy.boostProgress {
		return 0
	}
	return threshold.PriorityBoost(a.completedCalls)
}

// slowdown returns the factor on own work at a target.
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

// processors returns the share of processors that a target has.
func (r *run) processors(t *target) float64 {
	deepest := t.spec == &r.graph.services[r.graph.deepest]
	if deepest && r.scenario.active(r.clock.now) {
		return r.scenario.processorShare
	}
	return 1
}

// reportedLoad is what the load endpoint of a target says.
func (r *run) reportedLoad(t *target) float64 {
	if r.scenario.slowSingleTarget && t.spec == &r.graph.services[r.graph.deepest] && t.index == 0 {
		return 0
	}
	return float64(t.heldSlots+len(t.backlog)) / float64(t.spec.slots)
}

// gamma draws a factor with mean 1.
func (r *run) gamma() float64 {
	sum := 0.0
	for range gammaShape {
		sum += r.random.ExpFloat64()
	}
	return sum / gammaShape
}

// zoneLeaves takes all targets of zone 0 away.
func (r *run) removeZone() { r.forEachInZone(func(t *target) { t.up = false }) }

// zoneReturns brings them back cold.
func (r *run) restartZone() { r.forEachInZone(r.restartCold) }

func (r *run) restartCold(t *target) {
	t.up = true
	t.coldSince = r.clock.now
	t.latency = 0
	if r.policy.gate {
		t.gate.StartRampUp(r.clock.time())
	}
}

// eachLost visits the targets that the case takes away.
func (r *run) forEachLost(do func(*target)) {
	for _, t := range r.targets[r.graph.deepest][:r.scenario.lostTargets] {
		do(t)
	}
}

func (r *run) forEachInZone(do func(*target)) {
	for _, list := range r.targets {
		for _, t := range list {
			if t.zone == 0 {
				do(t)
			}
		}
	}
}
