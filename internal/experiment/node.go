package experiment

import (
	"time"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// A threshold received with a response is used unchanged for thresholdHoldTime. After
// that, the sender raises it by one level every thresholdRaiseInterval until the next
// response arrives. The few requests of the added levels detect a recovery. Discarding
// the threshold at once would let all senders send all their requests at the same time.
const (
	thresholdHoldTime      = 100 * time.Millisecond
	thresholdRaiseInterval = 2 * time.Millisecond
)

// perHopAttempts is the number of attempts of each hop if the policy does not bound the
// retries of a root request.
const perHopAttempts = 3

// node sends calls. It is either an entry node, which receives root requests, or the
// node beside a target.
type node struct {
	run *run
	// observed holds the last threshold received for each operation, by index of the
	// target.
	observed map[*operation][]observed
	// leastShares tracks the least shares of the root requests that arrive at this
	// node.
	leastShares *leastshare.Tracker
	retries     retryPolicy
	router      router
}

// observed is a threshold with the time of the response that contained it.
type observed struct {
	threshold outcome.Level
	at        time.Duration
}

// now returns the highest level that the target presumably admits at a time. All levels
// are presumed admitted until a threshold is received.
func (o observed) now(at time.Duration) outcome.Level {
	if o.threshold == 0 {
		return outcome.MaxLevel
	}
	raised := max(0, at-o.at-thresholdHoldTime) / thresholdRaiseInterval
	return outcome.Level(min(int64(o.threshold)+int64(raised), int64(outcome.MaxLevel)))
}

// router chooses one of the targets to which a call may be sent. It is a simple model
// of core/route.
type router interface {
	pick(r *run, candidates []*target) *target
}

// retryPolicy decides about retries of failed calls. It is a simple model of
// core/retry.
type retryPolicy interface {
	// recordFirstAttempt counts a first attempt of a call.
	recordFirstAttempt()
	// allow reports whether a call that failed after the given number of attempts may
	// be retried. If so, it counts the retry against the bounds.
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

// recordArrival counts a root request and reports whether it is assured: admitted
// before the order of classes counts, because its operation is below its least share.
func (n *node) recordArrival(q *root) bool {
	if !n.run.policy.gate || n.run.policy.strictOrder {
		return false
	}
	return n.leastShares.RecordArrival(n.run.clock.time(), q.spec.op.name, leastshare.Default)
}

// recordResult reports the result of a root request to the least shares.
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

// send calls an operation at one of its targets and passes the final result to done.
func (n *node) send(a *attempt, op *operation, done func(result)) {
	n.retries.recordFirstAttempt()
	n.sendAttempt(a, op, nil, 1, done)
}

// sendAttempt makes one attempt. It avoids the target of the previous attempt.
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

// handleResponse records the threshold of a response and retries a failed call if the
// retry policy allows it.
func (n *node) handleResponse(a *attempt, op *operation, t *target, attempts int, res result, done func(result)) {
	n.recordThreshold(op, t, res.threshold)
	if res.ok || a.cancelled || !n.retries.allow(a.root, attempts, res) {
		done(res)
		return
	}
	n.sendAttempt(a, op, t, attempts+1, done)
}

// recordThreshold stores the threshold of an operation at a target.
func (n *node) recordThreshold(op *operation, t *target, threshold outcome.Level) {
	table := n.observed[op]
	if table == nil {
		table = make([]observed, len(n.run.targets[op.service]))
		n.observed[op] = table
	}
	table[t.index] = observed{threshold, n.run.clock.now}
}

// admits reports whether a target presumably admits a level for an operation.
func (n *node) admits(op *operation, index int, level outcome.Level) bool {
	table := n.observed[op]
	if !n.run.policy.gate || table == nil {
		return true
	}
	return level <= table[index].now(n.run.clock.now)
}

// choose selects a target that is up and presumably admits the request. It returns nil
// if there is none: the request is doomed, as it would certainly fail downstream.
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

// doomThreshold returns the highest level that any target of an operation presumably
// admits. Requests above it are doomed.
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

// operationThreshold returns the threshold that a target reports for an operation: the
// lowest of the threshold of its gate and the thresholds of the operations that it
// calls.
func (t *target) operationThreshold(op *operation) outcome.Level {
	level := t.gate.Threshold()
	for _, child := range op.calls {
		level = min(level, t.doomThreshold(child))
	}
	return level
}

// twoChoices selects the less loaded of two random targets.
type twoChoices struct {
	// useReportedLoad selects by the load that targets report instead of by their gates
	// and observed latency.
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

// load returns the reported load or an estimate of the time until a further request is
// completed: the requests at the gate times their latency, relative to the limit.
func (c twoChoices) load(r *run, t *target) float64 {
	if c.useReportedLoad {
		return r.reportedLoad(t)
	}
	busy := float64(t.gate.InFlight() + t.gate.Queued() + 1)
	return busy * (t.latency + float64(time.Millisecond)) / float64(t.gate.Limit())
}

// boundedRetries limits the retries of a root request to one allowance over all hops,
// and those of each sending node to a ratio of its first attempts.
type boundedRetries struct {
	tokens float64
}

// allowance is the maximum number of retries of a root request. The other values bound
// the retries on the edges of the call graph that start at a node: the node gains
// edgeRatio tokens with each first attempt, up to edgeTokens, and spends one token on
// each retry.
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

// perHopRetries gives each hop a fixed number of attempts, also for calls that may have
// been executed.
type perHopRetries struct{}

func (perHopRetries) recordFirstAttempt() {}

func (perHopRetries) allow(a *root, attempts int, res result) bool {
	if attempts >= perHopAttempts || res.reason == outcome.Cancelled {
		return false
	}
	a.retries++
	return true
}
