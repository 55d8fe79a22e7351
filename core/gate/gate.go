// Package gate is the admission control for one target: it decides which requests the
// target receives, and when.
//
// Model. A target processes as many requests concurrently as package limit allows;
// further requests wait in a short queue. Each request has a level, which consists of
// its class and, within the class, its cohort. A lower level is more important. All
// gates of a call graph see the same level for a root request, so services that are
// overloaded at the same time shed the same requests.
//
// Signal. The gate measures the standing queue delay of each window: the shortest queue
// length observed after a start, times the mean interval between starts. A burst that
// drains within the window therefore does not count. The gate also counts rejections
// and evictions caused by a full queue, and measures the mean utilization of the limit.
//
// Reaction. The gate admits levels up to a threshold. While the standing delay exceeds
// the target delay, the threshold falls to the point where the measured demand of the
// admitted levels fits the rate that the limit and the service time allow. One window
// sheds at most half of the admitted demand. While the delay is low, the threshold
// rises by half of the free capacity per service time, so a gate that served a tenth of
// its demand is fully open again after a few windows. An idle gate reopens even if no
// requests are offered. In the queue, more important levels start first. Within a level
// the newest request starts first during overload, because it has the most time left. A
// request that cannot meet its deadline is rejected immediately.
//
// Order of classes. Requests that are admitted by the least share of their operation
// (package leastshare) precede all classes. The queue never holds a level above the
// threshold: when the threshold falls, queued requests above it are evicted. A full
// queue evicts its least important level in favor of a more important one. A stale
// request is dropped only when no request of a lower class is left in the queue. A
// lower class is thus never kept or started while a higher class is rejected for lack
// of capacity.
//
// Work in progress. The calls of a root request get a priority boost within their class
// that grows with the number of calls already completed for it (see
// threshold.PriorityBoost). The boost applies to admission and to the queue order. The
// threshold is computed from the demand per level without the boost.
//
// A Gate must not be used concurrently. Its decisions do not allocate memory once the
// tables have grown to the number of requests that are present.
package gate

import (
	"time"

	"github.com/primrosemount/primrosemount/core/limit"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// A Gate admits requests to one target.
type Gate struct {
	config Config
	epoch  time.Time
	// latest is the latest time passed to any method, relative to epoch.
	latest  time.Duration
	limiter *limit.Limiter
	queue   queue
	// index maps the ID of each present request to its item in the queue's slab.
	index     map[uint64]int32
	estimates serviceTimes
	work      workLeft
	// serviceTime is the estimate over all operations.
	serviceTime estimate
	inFlight    int
	// queueCap is the maximum number of queued requests.
	queueCap int
	draining bool
	down     bool

	threshold threshold
	window    windowCounts
	// lastDelayRatio is the delayRatio of the last window.
	lastDelayRatio float64
	// nextExpiry is the earliest time at which a queued request may expire.
	nextExpiry time.Duration

	totals Totals
	// pending holds the events that the next Poll returns. events is the slice that the
	// last Poll returned; its memory is reused after the next one.
	pending []Event
	events  []Event
}

// windowCounts holds the counts of the current window.
type windowCounts struct {
	start  time.Duration
	offers int
	starts int
	// standingQueue is the shortest queue length observed after a start.
	standingQueue int
	// queueOverflow counts rejections and evictions for lack of queue space.
	queueOverflow int
	// utilization is the sum of utilizationSamples samples.
	utilization        float64
	utilizationSamples int
}

// New returns a Gate that admits all levels and has no requests.
func New(config Config, now time.Time) *Gate {
	config = config.withDefaults()
	g := &Gate{config: config, epoch: now, nextExpiry: never}
	config.Limit.Max = config.Slots
	g.limiter = limit.New(config.Limit)
	g.queueCap = config.Queue
	g.index = make(map[uint64]int32, config.Slots+config.Queue)
	g.queue.init()
	g.estimates = newServiceTimes()
	g.work = newWorkLeft()
	g.threshold.level = outcome.MaxLevel
	g.resetWindow(0)
	return g
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = limit.DefaultMax
	}
	c.Queue = queueSize(c.Slots, c.Queue)
	if c.TargetDelay <= 0 {
		c.TargetDelay = DefaultTargetDelay
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	return c
}

func queueSize(slots, queue int) int {
	if queue > 0 {
		return queue
	}
	return max(minQueueSize, slots)
}

// Offer requests admission for r. If the decision is Queue, a later call of Poll
// reports how the wait ended. An offer may also evict another queued request, which
// Poll reports as well.
func (g *Gate) Offer(now time.Time, r Request) Decision {
	at := g.advance(now)
	r.Level = min(r.Level, outcome.MaxLevel)
	g.window.offers++
	g.threshold.offeredByLevel[r.Level]++
	g.totals.Offered.add(r.Level)
	g.sampleUtilization()
	d := g.decide(at, r)
	if d.Kind == Refuse {
		g.totals.Refused.add(r.Level)
	}
	return d
}

// decide starts, queues or rejects a request.
func (g *Gate) decide(at time.Duration, r Request) Decision {
	if d := g.checkAdmission(at, r); d.Kind == Refuse {
		return d
	}
	if g.canStartNow(r.effectiveLevel()) {
		index := g.insert(at, r)
		g.start(index)
		return Decision{Kind: Start}
	}
	if !g.ensureQueueSlot(at, r.effectiveLevel()) {
		g.window.queueOverflow++
		return g.overloadedDecision(r.Level)
	}
	index := g.insert(at, r)
	g.enqueue(index)
	return Decision{Kind: Queue}
}

// checkAdmission makes the checks that do not depend on free capacity. It returns a
// rejection, or a zero Decision if r passes.
func (g *Gate) checkAdmission(at time.Duration, r Request) Decision {
	if g.down {
		return Decision{Kind: Refuse, Reason: outcome.TargetDown}
	}
	if g.draining {
		return Decision{Kind: Refuse, Reason: outcome.Draining}
	}
	if _, present := g.index[r.ID]; present {
		return Decision{Kind: Refuse, Reason: outcome.Internal}
	}
	if r.effectiveLevel() > g.threshold.level {
		return g.overloadedDecision(r.Level)
	}
	if at+g.expectedWait(r.effectiveLevel()) > g.latestStart(at, r.Operation, g.deadline(r)) {
		return Decision{Kind: Refuse, Reason: outcome.DeadlineUnmeetable}
	}
	return Decision{}
}

func (g *Gate) overloadedDecision(level outcome.Level) Decision {
	wait := retryAfter
	if level.Class() > g.threshold.level.Class() {
		wait = lowClassRetryAfter
	}
	return Decision{Kind: Refuse, Reason: outcome.Overloaded, RetryAfter: wait}
}

// deadline returns the deadline of r relative to epoch.
func (g *Gate) deadline(r Request) time.Duration {
	if r.Deadline.IsZero() {
		return never
	}
	return r.Deadline.Sub(g.epoch)
}

// latestStart returns the latest time at which a request can start and still meet its
// deadline.
func (g *Gate) latestStart(at time.Duration, operation uint32, deadline time.Duration) time.Duration {
	return deadline - g.estimates.lowerBound(operation, at)
}

// expectedWait estimates how long a new request at the level would be queued.
func (g *Gate) expectedWait(level outcome.Level) time.Duration {
	if g.canStartNow(level) {
		return 0
	}
	ahead := g.queue.countUpTo(level)
	if g.isOverloaded() && level > 0 {
		ahead = g.queue.countUpTo(level - 1)
	}
	return time.Duration(float64(ahead+1) * g.startInterval())
}

// startInterval estimates the time between two starts in nanoseconds.
func (g *Gate) startInterval() float64 {
	return g.serviceTime.mean / float64(g.limiter.Limit())
}

// canStartNow reports whether a new request at the level can start without waiting.
func (g *Gate) canStartNow(level outcome.Level) bool {
	if g.inFlight >= g.limiter.Limit() {
		return false
	}
	return g.queue.length == 0 || level < g.queue.highestPriority()
}

// isOverloaded reports whether the gate is shedding load. The newest request of a level
// then starts first.
func (g *Gate) isOverloaded() bool {
	return g.lastDelayRatio > 1 || g.threshold.level < outcome.MaxLevel
}

// ensureQueueSlot reports whether the queue can hold one more request of the level. If
// the queue is full, it evicts a request of a less important level or, during overload,
// the oldest request of the same level.
func (g *Gate) ensureQueueSlot(at time.Duration, level outcome.Level) bool {
	if g.queue.length < g.queueCap {
		return true
	}
	if g.queue.length == 0 {
		return false
	}
	lowestPriority := g.queue.lowestPriority()
	if lowestPriority < level || (lowestPriority == level && !g.isOverloaded()) {
		return false
	}
	g.window.queueOverflow++
	g.evict(at, g.queue.buckets[lowestPriority].head)
	return true
}

// insert adds an item for a request to the slab and the index. The item is not queued
// yet.
func (g *Gate) insert(at time.Duration, r Request) int32 {
	index := g.queue.alloc()
	deadline := g.deadline(r)
	g.queue.slab[index] = item{
		id:             r.ID,
		level:          r.Level,
		effectiveLevel: r.effectiveLevel(),
		operation:      r.Operation,
		arrived:        at,
		deadline:       deadline,
		prev:           noItem,
		next:           noItem,
		present:        true,
		expectedWork:   g.work.learned.Expected(at, r.Operation),
	}
	g.index[r.ID] = index
	return index
}

// enqueue adds an inserted item to the queue.
func (g *Gate) enqueue(index int32) {
	g.queue.push(index)
	g.nextExpiry = min(g.nextExpiry, g.expiry(index))
}

// expiry returns the time at which a newly queued item has to be checked for expiry.
func (g *Gate) expiry(index int32) time.Duration {
	it := &g.queue.slab[index]
	latestStart := g.latestStart(it.arrived, it.operation, it.deadline)
	return min(latestStart, it.arrived+g.config.MaxWait)
}

// start accounts for an item that is not in the queue as started at the target.
func (g *Gate) start(index int32) {
	g.inFlight++
	g.window.starts++
	it := &g.queue.slab[index]
	g.totals.Started.add(it.level)
	it.started = true
	it.startedAt = g.latest
	it.inFlight = g.inFlight
}

// Done reports that a started request ended. It ignores the ID of a request that was
// not started. Poll then reports which requests start next.
func (g *Gate) Done(now time.Time, id uint64, s Sample) {
	at := g.advance(now)
	index, ok := g.index[id]
	if !ok || !g.queue.slab[index].started {
		return
	}
	it := g.queue.slab[index]
	g.discard(index)
	g.inFlight--
	s.Operation = it.operation
	s.InFlight = it.inFlight
	g.updateEstimates(at, s)
	g.work.observe(at, s)
	g.limiter.Observe(now, s)
}

// updateEstimates adds a sample to the service-time estimates. The latency of a failed
// request is only a lower bound of its service time, so it counts only if it exceeds
// the estimate.
func (g *Gate) updateEstimates(at time.Duration, s Sample) {
	e := g.estimates.get(s.Operation, at)
	if s.Refused || e == nil || (s.Failed && float64(s.Latency) < e.mean) {
		return
	}
	e.add(at, s.Latency)
	g.serviceTime.add(at, s.Latency)
}

// discard removes an item that is not in the queue.
func (g *Gate) discard(index int32) {
	delete(g.index, g.queue.slab[index].id)
	g.queue.slab[index].present = false
	g.queue.release(index)
}

// Cancel removes a queued request. It returns false if the ID is not queued. A started
// request ends with Done.
func (g *Gate) Cancel(now time.Time, id uint64) bool {
	g.advance(now)
	index, ok := g.index[id]
	if !ok || g.queue.slab[index].started {
		return false
	}
	g.totals.Cancelled.add(g.queue.slab[index].level)
	g.queue.remove(index)
	g.discard(index)
	return true
}

// Poll returns the queued requests that start or are rejected now. The returned slice
// is valid until the next call of Poll.
func (g *Gate) Poll(now time.Time) []Event {
	at := g.advance(now)
	g.expire(at)
	g.startQueued(at)
	g.sampleUtilization()
	events := g.pending
	g.pending = g.events[:0]
	g.events = events
	return events
}

// NextWake returns the time at which Poll must be called even if nothing else happens.
// The zero time means that no call is needed.
func (g *Gate) NextWake(now time.Time) time.Time {
	if len(g.pending) > 0 || (g.queue.length > 0 && g.inFlight < g.limiter.Limit()) {
		return now
	}
	next := g.nextExpiry
	if g.queue.length > 0 || g.threshold.level < outcome.MaxLevel {
		next = min(next, g.window.start+g.config.Window)
	}
	if next == never {
		return time.Time{}
	}
	wake := g.epoch.Add(next)
	if earliest := now.Add(time.Millisecond); wake.Before(earliest) {
		return earliest
	}
	return wake
}

// Threshold returns the highest level that is admitted.
func (g *Gate) Threshold() outcome.Level { return g.threshold.level }

// InFlight returns the number of requests at the target.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of queued requests.
func (g *Gate) Queued() int { return g.queue.length }

// Limit returns the maximum number of requests that may be at the target.
func (g *Gate) Limit() int { return g.limiter.Limit() }

// SetCapacity sets the number of slots of the target and the size of the queue. A value
// of 0 selects the default. A queue that exceeds the new size shrinks as requests
// start, expire or are evicted.
func (g *Gate) SetCapacity(slots, queue int) {
	if slots <= 0 {
		slots = limit.DefaultMax
	}
	g.limiter.SetMax(slots)
	g.queueCap = queueSize(slots, queue)
}

// StartRampUp makes the limit grow from a small share of the slots, for a target that
// has just started or returned. It also resets the service-time estimates.
func (g *Gate) StartRampUp(now time.Time) {
	g.advance(now)
	g.limiter.StartRampUp(now)
	g.estimates = newServiceTimes()
	g.serviceTime = estimate{}
}

// SetDraining sets whether the target is draining. A draining gate rejects new and
// queued requests; Poll reports the queued ones. Started requests continue.
func (g *Gate) SetDraining(draining bool) {
	g.draining = draining
	if draining {
		g.rejectAll(g.latest, outcome.Draining)
	}
}

// SetDown sets whether the target is down. While it is, the gate rejects new and queued
// requests.
func (g *Gate) SetDown(down bool) {
	g.down = down
	if down {
		g.rejectAll(g.latest, outcome.TargetDown)
	}
}
