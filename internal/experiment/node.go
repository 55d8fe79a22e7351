package experiment

import (
	"time"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// A threshold that came with an answer holds for learnedFor. After it the sender
// raises it by one level every learnedStep, until another answer comes. The few
// requests of these levels detect recovery. To forget the threshold at once
// would let all callers send everything at the same time.
const (
	thresholdHoldTime      = 100 * time.Millisecond
	thresholdRaiseInterval = 2 * time.Millisecond
)

// looseAttempts is the number of attempts of each hop without a retry bound.
const unboundedAttempts = 3

// node sends calls: an entry, or the node beside a target.
type node struct {
	run *run
	// learned holds the last threshold of each operation at each target.
	observed map[*operation][]observed
	// shares holds the least shares of root requests that arrive here.
	leastShares *leastshare.Tracker
	retries     retryPolicy
	router      router
}

type observed struct {
	threshold outcome.Level
	at        time.Duration
}

// now returns the level that is believed to be admitted. Nothing learned admits
// everything.
func (l observed) now(at time.Duration) outcome.Level {
	if l.threshold == 0 {
		return outcome.MaxLevel
	}
	raised := max(0, at-l.at-thresholdHoldTime) / thresholdRaiseInterval
	return outcome.Level(min(int64(l.threshold)+int64(raised), int64(outcome.MaxLevel)))
}

// router chooses among the targets that may be tried. The stand-in is replaced
// by core/route.
type router interface {
	pick(r *run, candidates []*target) *target
}

// retryPolicy decides about retries of calls that were not run. The stand-in is
// replaced by core/retry.
type retryPolicy interface {
	// first counts a first attempt of a call.
	recordFirstAttempt()
	// allow reports whether a call that failed after the given number of
	// attempts may be sent again, and charges the retry.
	allow(a *root, attempts int, res result) bool
}

func (n *node) init(r *run) {
	n.run = r
	n.leastShares = leastshare.New()
	n.observed = make(map[*operation][]observed)
	n.router = twoChoices{useReportedLoad: !r.policy.gate}
	n.retries = &boundedRetries{}
	if !r.policy.boundRetries {
		n.retries = perHopRetries{}
	}
}

// arrive takes in a root request and tells whether its least share assures it.
func (n *node) recordArrival(q *root) bool {
	if !n.run.policy.gate || n.run.policy.strictOrder {
		return false
	}
	return n.leastShares.RecordArrival(n.run.clock.time(), q.spec.op.name, leastshare.Default)
}

// ended takes in what became of a root request.
func (n *node) recordResult(a *attempt, res result) {
	rootResult := leastshare.Failed
	switch {
	case res.ok:
		rootResult = leastshare.Served
	case res.notRun:
		rootResult = leastshare.Refused
	}
	n.leastShares.RecordResult(n.run.clock.time(), a.root.spec.op.name, a.assured, rootResult)
}

// send calls an operation at some target and reports the final result.
func (n *node) send(a *attempt, op *operation, done func(result)) {
	n.retries.recordFirstAttempt()
	n.sendAttempt(a, op, nil, 1, done)
}

// try makes one attempt. The target that refused the last one is avoided.
func (n *node) sendAttempt(a *attempt, op *operation, avoid *target, attempts int, done func(result)) {
	priorityBoost := n.run.priorityBoost(a)
	t := n.choose(a, op, avoid)
	if t == nil {
		done(result{reason: outcome.DoomedDownstream, notRun: true, retryAfter: n.run.scenario.backoff})
		return
	}
	hopDelay := n.run.graph.hopDelay
	n.run.clock.after(hopDelay, func() {
		if a.cancelled {
			return
		}
		c := &call{attempt: a, op: op, priorityBoost: priorityBoost}
		c.reply = func(res result) {
			n.run.clock.after(hopDelay, func() { n.handleResponse(a, op, t, attempts, res, done) })
		}
		t.offerCall(c)
	})
}

// answered learns from an answer and tries again where that is allowed.
func (n *node) handleResponse(a *attempt, op *operation, t *target, attempts int, res result, done func(result)) {
	n.recordThreshold(op, t, res.threshold)
	if res.ok || a.cancelled || !n.retries.allow(a.root, attempts, res) {
		done(res)
		return
	}
	n.sendAttempt(a, op, t, attempts+1, done)
}

// learn stores the threshold of an operation at a target.
func (n *node) recordThreshold(op *operation, t *target, threshold outcome.Level) {
	table := n.observed[op]
	if table == nil {
		table = make([]observed, len(n.run.targets[op.service]))
		n.observed[op] = table
	}
	table[t.index] = observed{threshold, n.run.clock.now}
}

// admits reports whether a target is believed to admit a level.
func (n *node) admits(op *operation, index int, level outcome.Level) bool {
	table := n.observed[op]
	if !n.run.policy.gate || table == nil {
		return true
	}
	return level <= table[index].now(n.run.clock.now)
}

// choose picks a target that is up and believed to admit the request; nil means
// that the request is doomed.
func (n *node) choose(a *attempt, op *operation, avoid *target) *target {
	level := n.run.level(a).Boosted(n.run.priorityBoost(a))
	candidates := n.run.scratch[:0]
	for i, t := range n.run.targets[op.service] {
		if t.up && t != avoid && n.admits(op, i, level) {
			candidates = append(candidates, t)
		}
	}
	n.run.scratch = candidates
	if len(candidates) == 0 {
		return nil
	}
	return n.router.pick(n.run, candidates)
}

// doomThreshold returns the highest level that any target of an operation is
// believed to admit.
func (n *node) doomThreshold(op *operation) outcome.Level {
	table := n.observed[op]
	if table == nil {
		return outcome.MaxLevel
	}
	highest := outcome.Level(0)
	for i, t := range n.run.targets[op.service] {
		if t.up {
			highest = max(highest, table[i].now(n.run.clock.now))
		}
	}
	return highest
}

// operationThreshold returns what a target reports for an operation: the lowest
// of its own threshold and those of the calls that the operation makes.
func (t *target) operationThreshold(op *operation) outcome.Level {
	level := t.gate.Threshold()
	for _, child := range op.calls {
		level = min(level, t.doomThreshold(child))
	}
	return level
}

// twoChoices picks the better of two random targets.
type twoChoices struct {
	// byReport trusts the load that targets report instead of what is observed.
	useReportedLoad bool
}

func (c twoChoices) pick(r *run, candidates []*target) *target {
	a := candidates[r.random.IntN(len(candidates))]
	b := candidates[r.random.IntN(len(candidates))]
	if c.load(r, b) < c.load(r, a) {
		return b
	}
	return a
}

func (c twoChoices) load(r *run, t *target) float64 {
	if c.useReportedLoad {
		return r.reportedLoad(t)
	}
	busy := float64(t.gate.InFlight() + t.gate.Queued() + 1)
	return busy * (t.latency + float64(time.Millisecond)) / float64(t.gate.Limit())
}

// boundedRetries holds all retries of a root request within one allowance and
// those of the edge within a ratio of first attempts.
type boundedRetries struct {
	tokens float64
}

// Bounds of retries.
const (
	allowance  = 2
	edgeRatio  = 0.1
	edgeTokens = 20.0
)

func (b *boundedRetries) recordFirstAttempt() { b.tokens = min(edgeTokens, b.tokens+edgeRatio) }

func (b *boundedRetries) allow(a *root, _ int, res result) bool {
	if !res.notRun || a.retries >= allowance || b.tokens < 1 {
		return false
	}
	a.retries++
	b.tokens--
	return true
}

// looseRetries gives each hop its own attempts, whatever the reason.
type perHopRetries struct{}

func (perHopRetries) recordFirstAttempt() {}

func (perHopRetries) allow(a *root, attempts int, res result) bool {
	if attempts >= unboundedAttempts || res.reason == outcome.Cancelled {
		return false
	}
	a.retries++
	return true
}
