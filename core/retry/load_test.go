package retry_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/threshold"
)

// load plays requests through entry -> A -> B -> C -> D on a fake clock. Clients are spread
// over 16 entries. A, B and C have one node per weight. The nodes of C own the retry budget for D. A kind of
// root request makes chains of one call to B, one to C and four to D; a direct kind sends
// one request to D. Thresholds, budgets and limiters are those of the product.
type load struct {
	random   *rand.Rand
	now      time.Time
	events   events
	kinds    []*kind
	entries  []*node
	services [3][]*node
	weights  []float64
	limited  bool
	// timeout is the time that clients allow for a request.
	timeout time.Duration
	// refuse decides whether a target of D refuses an attempt of a level.
	refuse func(now time.Time, level outcome.Level) bool
	// dGate is the threshold of the gates of D.
	dGate func(now time.Time) outcome.Level
	// retryAfter returns the wait that a refused client is told.
	retryAfter func(l *load, q *request) time.Duration
}

// kind is a kind of root request and its results.
type kind struct {
	name      string
	class     outcome.Class
	perSecond float64
	chains    int // 0: one request to D
	counts
}

// counts holds the results of the counted period. runs and wasted count the requests
// that targets ran, and those that belong to failed root requests.
type counts struct{ arrived, served, failed, gaveUp, returned, refusedAgain, runs, wasted int }

type node struct {
	downstream *threshold.Downstream
	operations *threshold.Operations
	shortages  *threshold.Shortages
	budget     *retry.WindowBudget
	limiter    *retry.Limiter
	shares     *leastshare.Tracker
}

type request struct {
	entry     *node
	kind      *kind
	level     outcome.Level
	trial     bool
	counted   bool
	completed uint32
	runs      int
	deadline  time.Time
	sends     int
}

type result struct {
	ok, notRun bool
	threshold  outcome.Level
	shortage   time.Duration
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (c *counts) add(o counts) {
	c.arrived, c.served, c.failed, c.gaveUp = c.arrived+o.arrived, c.served+o.served, c.failed+o.failed, c.gaveUp+o.gaveUp
	c.returned, c.refusedAgain, c.runs, c.wasted = c.returned+o.returned, c.refusedAgain+o.refusedAgain, c.runs+o.runs, c.wasted+o.wasted
}

// total returns the sum of the counts of all kinds, and the share of the worth of all
// requests that was served. A critical request is worth 3 sheddable ones.
func (l *load) total() (sum counts, worth float64) {
	served, asked := 0.0, 0.0
	for _, k := range l.kinds {
		sum.add(k.counts)
		each := 1.0
		if k.class == outcome.Critical {
			each = 3
		}
		served, asked = served+each*float64(k.served), asked+each*float64(k.arrived)
	}
	return sum, served / asked
}

const (
	hop        = time.Millisecond
	entryCount = 16
	// maxSends is how often a client sends a request that is refused.
	maxSends = 3
)

func newLoad(seed uint64, limited bool, weights []float64, kinds ...*kind) *load {
	l := &load{random: rand.New(rand.NewPCG(seed, 1)), now: windowStart, kinds: kinds, weights: weights, limited: limited, timeout: 2 * time.Second, retryAfter: retryAfterBefore,
		refuse: func(time.Time, outcome.Level) bool { return false }, dGate: func(time.Time) outcome.Level { return outcome.MaxLevel }}
	for range entryCount {
		l.entries = append(l.entries, l.newNode())
	}
	for service := range l.services {
		for range weights {
			l.services[service] = append(l.services[service], l.newNode())
		}
	}
	return l
}

func (l *load) newNode() *node {
	n := &node{downstream: threshold.NewDownstream(l.now), budget: retry.NewWindowBudget(l.now, 0.17, 1), shortages: threshold.NewShortages(), shares: leastshare.New()}
	n.operations = threshold.NewOperations(n.downstream)
	n.limiter = retry.NewLimiter(l.now, n.budget)
	if l.limited {
		n.operations.LimitCalls(n)
	}
	return n
}

// Enabled implements threshold.CallLimits.
func (n *node) Enabled() bool { return true }

// Limit implements threshold.CallLimits.
func (n *node) Limit(now time.Time, called threshold.Dependency) outcome.Level {
	if called.Service != "D" {
		return outcome.MaxLevel
	}
	return n.limiter.State(now).Level
}

func (l *load) after(d time.Duration, do func()) { heap.Push(&l.events, event{l.now.Add(d), do}) }

// play runs the load for a time. Root requests that arrive from countFrom on are counted
// until countTo.
func (l *load) play(length time.Duration, countFrom, countTo time.Duration) {
	start := l.now
	for _, k := range l.kinds {
		l.arrive(k, start.Add(length), start.Add(countFrom), start.Add(countTo))
	}
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.do()
	}
}

func (l *load) arrive(k *kind, end, countFrom, countTo time.Time) {
	if !l.now.Before(end) {
		return
	}
	q := &request{kind: k, entry: l.entries[l.random.IntN(entryCount)], deadline: l.now.Add(l.timeout), counted: !l.now.Before(countFrom) && l.now.Before(countTo)}
	if q.counted {
		k.arrived++
	}
	l.send(q)
	l.after(time.Duration(l.random.ExpFloat64()/k.perSecond*float64(time.Second)), func() { l.arrive(k, end, countFrom, countTo) })
}

// send sends an attempt of a client. It has a new identifier and therefore a new level.
func (l *load) send(q *request) {
	q.sends++
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], l.random.Uint64())
	class := q.kind.class
	if q.entry.shares.RecordArrival(l.now, q.kind.name, leastshare.Default) {
		class = outcome.Assured
	}
	q.level, q.trial, q.completed, q.runs = outcome.LevelOf(class, l.random.Uint32()), threshold.IsTrial(id[:]), 0, 0
	service := 0
	if q.kind.chains == 0 {
		service = len(l.services)
	}
	l.call(q.entry, nil, service, q, func(r result) { l.finish(q, r) })
}

// finish counts the result of a client's attempt. A refused client comes back.
func (l *load) finish(q *request, r result) {
	again := q.sends > 1
	q.entry.shares.RecordResult(l.now, q.kind.name, q.level.Class() == outcome.Assured, shareResult(r))
	if !r.ok && r.notRun {
		wait := min(l.retryAfter(l, q), q.deadline.Sub(l.now)/3)
		if q.counted && again {
			q.kind.refusedAgain++
		}
		if q.sends < maxSends {
			if q.counted {
				q.kind.returned++
			}
			l.after(wait, func() { l.send(q) })
			return
		}
		if q.counted {
			q.kind.gaveUp++
		}
		return
	}
	if !q.counted {
		return
	}
	q.kind.runs += q.runs
	if r.ok {
		q.kind.served++
		return
	}
	q.kind.failed++
	q.kind.wasted += q.runs
}

func shareResult(r result) leastshare.Result {
	switch {
	case r.ok:
		return leastshare.Served
	case r.notRun:
		return leastshare.Refused
	default:
		return leastshare.Failed
	}
}

// call sends a request to a service; run is the calling request, nil for a client.
func (l *load) call(from *node, run *threshold.Run, service int, q *request, done func(result)) {
	called := threshold.Dependency{Service: string(rune('A' + service)), Operation: q.kind.name}
	level := q.level.Boosted(threshold.PriorityBoost(q.completed))
	if run != nil {
		run.CallStarted(called)
	}
	respond := func(r result) {
		l.observe(from, run, called, q, level, r)
		done(r)
	}
	if refused := from.downstream.Admit(l.now, called, level, q.trial); refused != nil {
		from.shortages.Observe(l.now, called, from.downstream.Threshold(l.now, called), 0)
		if run != nil {
			run.CallRefused(called)
			run.CallFailed()
		}
		done(result{notRun: true})
		return
	}
	if service == len(l.services) {
		from.budget.RecordFirstAttempt(l.now)
		from.limiter.RecordFirstAttempt(l.now, l.sendOf(q, level, run))
		l.attempt(from, run, q, level, 1, respond)
		return
	}
	l.forward(run, called, service, q, level, 1, respond)
}

// forward sends a request to a node of A, B or C. A node that cannot finish a call
// refuses it, and another one may have more of its budget left.
func (l *load) forward(run *threshold.Run, called threshold.Dependency, service int, q *request, level outcome.Level, tries int, respond func(result)) {
	l.after(hop, func() {
		to := l.pick(service)
		reply := func(r result) {
			r.threshold = to.operations.Threshold(l.now, q.kind.name, outcome.MaxLevel)
			r.shortage = to.shortages.Observe(l.now, threshold.Dependency{Operation: q.kind.name}, r.threshold, 0)
			l.after(hop, func() { respond(r) })
		}
		switch doomed := !q.trial && to.operations.Doomed(l.now, q.kind.name, level); {
		case doomed && run != nil && tries < 3:
			l.after(hop, func() { l.forward(run, called, service, q, level, tries+1, respond) })
		case doomed:
			reply(result{notRun: true})
		default:
			l.serve(to, service, q, func(ok bool) { reply(result{ok: ok}) })
		}
	})
}

func (l *load) sendOf(q *request, level outcome.Level, run *threshold.Run) retry.Send {
	return retry.Send{Level: q.level, Effective: level, CompletedCalls: q.completed, Operation: q.kind.name, ChildCall: run != nil}
}

func (l *load) observe(from *node, run *threshold.Run, called threshold.Dependency, q *request, level outcome.Level, r result) {
	observed := threshold.Response{Level: level, Threshold: r.threshold, Success: r.ok, Prompt: l.limited}
	if q.trial {
		observed.Level = 0
	}
	from.downstream.Observe(l.now, called, observed)
	from.shortages.Observe(l.now, called, r.threshold, r.shortage)
	switch {
	case run == nil:
	case r.ok:
		run.CallCompleted(0)
		q.completed++
	default:
		run.CallFailed()
		if r.notRun {
			run.CallRefused(called)
		}
	}
}

// pick chooses a node of a service by the weights.
func (l *load) pick(service int) *node {
	point := l.random.Float64()
	for i, weight := range l.weights {
		if point < weight {
			return l.services[service][i]
		}
		point -= weight
	}
	return l.services[service][0]
}

// serve runs a request at a target of A, B or C, which makes its calls one after the
// other and fails with the first that fails.
func (l *load) serve(at *node, service int, q *request, done func(ok bool)) {
	calls := []int{q.kind.chains, 1, 4}[service]
	run := at.operations.Start(q.kind.name, q.level)
	q.runs++
	var next func(i int)
	next = func(i int) {
		if i == calls {
			run.Finish(l.now, false)
			done(true)
			return
		}
		l.call(at, run, service+1, q, func(r result) {
			if !r.ok {
				run.Finish(l.now, true)
				done(false)
				return
			}
			next(i + 1)
		})
	}
	next(0)
}

// attempt sends a call to a target of D and repeats it after refusals.
func (l *load) attempt(from *node, run *threshold.Run, q *request, level outcome.Level, tries int, done func(result)) {
	l.after(2*hop, func() {
		admits := l.dGate(l.now)
		if level > admits {
			done(result{notRun: true, threshold: admits})
			return
		}
		refused := l.refuse(l.now, q.level)
		from.limiter.RecordResult(l.now, q.level, refused)
		if !refused {
			q.runs++
			done(result{ok: true, threshold: admits})
			return
		}
		if tries < 8 && l.spend(from, run, q, level) {
			l.attempt(from, run, q, level, tries+1, done)
			return
		}
		done(result{notRun: true, threshold: admits})
	})
}

func (l *load) spend(from *node, run *threshold.Run, q *request, level outcome.Level) bool {
	if l.limited {
		return from.limiter.Spend(l.now, l.sendOf(q, level, run))
	}
	return from.budget.Spend(l.now, retry.Kind{Class: q.level.Class(), ChildCall: run != nil})
}

// retryAfterBefore is the wait that entries told before it depended on the shortage.
func retryAfterBefore(l *load, _ *request) time.Duration {
	return 150*time.Millisecond + time.Duration(l.random.Int64N(int64(350*time.Millisecond)))
}
