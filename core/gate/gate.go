// Package gate decides which requests one target gets, and when.
//
// Model. A target processes as many requests as package limit allows; the rest
// wait in a short queue. Each request has a level: its class and, within the
// class, its cohort. All gates of a call graph see the same level of a root
// request, so services that are overloaded together shed the same requests.
//
// Signal. The standing queue delay of a window: the shortest queue that was
// left after a start, times the mean time between starts. A burst that drains
// within the window does not count. Refusals and evictions for lack of room and
// the share of the limit that is in use complete the picture.
//
// Reaction. The gate admits levels up to a threshold. While the standing delay
// exceeds the target delay, the threshold falls to where the counted demand of
// the admitted levels fits the rate that limit and service time allow, by at
// most half of the admitted demand per window. While the delay is low, the
// threshold rises by half of the free capacity per service time, so a gate that
// served a tenth of its demand is open again after some windows; an idle gate
// reopens even without offers. Inside the queue better levels start first, and
// newest first within a level while overloaded, because the newest request has
// the most time left. A request that cannot meet its deadline is refused at
// once.
//
// Order of classes. Requests that the least share of their operation assures come
// before all classes (package leastshare). The queue never holds a level above the
// threshold: when the threshold falls, what is above it is evicted. A full queue
// evicts its worst level for a better one. A stale request is dropped only after
// everything below its class. So a lower class is never kept or started while a
// higher one is refused for lack of room.
//
// Begun work. Calls of root requests of which more is done have a lead within their
// class (package threshold, PriorityBoost). It counts for admission and queue order; the
// threshold is found from the demand by level.
//
// A Gate is owned by one goroutine. Decisions do not allocate once the tables
// have grown to the number of requests that are present.
package gate

import (
	"time"

	"github.com/primrosemount/primrosemount/core/limit"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// Gate admits requests to one target.
type Gate struct {
	config Config
	epoch  time.Time
	// latest is the latest time that the gate was told, since epoch.
	latest    time.Duration
	limiter   *limit.Limiter
	queue     queue
	index     map[uint64]int32
	estimates [operations]estimate
	// service is the estimate over all operations.
	service  estimate
	inFlight int
	queueCap int
	draining bool
	down     bool

	threshold threshold
	window    tally
	// lastExcess is the excess of the last window.
	lastExcess float64
	// nextExpiry is the earliest time at which a queued request may expire.
	nextExpiry time.Duration

	totals  Totals
	pending []Event
	events  []Event
}

// tally counts within the current window.
type tally struct {
	start      time.Duration
	offers     int
	starts     int
	standing   int
	lackedRoom int
	use        float64
	useSamples int
}

// New returns an open gate without requests.
func New(config Config, now time.Time) *Gate {
	config = config.withDefaults()
	g := &Gate{config: config, epoch: now, nextExpiry: never}
	config.Limit.Max = config.Slots
	g.limiter = limit.New(config.Limit)
	g.queueCap = config.Queue
	g.index = make(map[uint64]int32, config.Slots+config.Queue)
	g.queue.init()
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
	return max(leastQueue, slots)
}

// Offer asks for admission. After Queue, Poll reports the end of the wait. An
// offer may evict another request, which Poll reports as well.
func (g *Gate) Offer(now time.Time, r Request) Decision {
	at := g.tick(now)
	r.Level = min(r.Level, outcome.MaxLevel)
	g.window.offers++
	g.threshold.seen[r.Level]++
	g.totals.Offered.add(r.Level)
	g.sampleUse()
	d := g.decide(at, r)
	if d.Kind == Refuse {
		g.totals.Refused.add(r.Level)
	}
	return d
}

func (g *Gate) decide(at time.Duration, r Request) Decision {
	if d := g.refusal(at, r); d.Kind == Refuse {
		return d
	}
	if g.mayStartNow(r.place()) {
		index := g.insert(at, r)
		g.start(index)
		return Decision{Kind: Start}
	}
	if !g.makeRoom(at, r.place()) {
		g.window.lackedRoom++
		return g.overloaded(r.Level)
	}
	index := g.insert(at, r)
	g.enqueue(index)
	return Decision{Kind: Queue}
}

// refusal checks everything that refuses a request before it needs room.
func (g *Gate) refusal(at time.Duration, r Request) Decision {
	if g.down {
		return Decision{Kind: Refuse, Reason: outcome.TargetDown}
	}
	if g.draining {
		return Decision{Kind: Refuse, Reason: outcome.Draining}
	}
	if _, present := g.index[r.ID]; present {
		return Decision{Kind: Refuse, Reason: outcome.Internal}
	}
	if r.place() > g.threshold.level {
		return g.overloaded(r.Level)
	}
	if at+g.wait(r.place()) > g.startBy(at, r.Operation, g.deadline(r)) {
		return Decision{Kind: Refuse, Reason: outcome.DeadlineUnmeetable}
	}
	return Decision{}
}

func (g *Gate) overloaded(level outcome.Level) Decision {
	wait := retryAfter
	if level.Class() > g.threshold.level.Class() {
		wait = lowClassRetryAfter
	}
	return Decision{Kind: Refuse, Reason: outcome.Overloaded, RetryAfter: wait}
}

// deadline returns the deadline of a request on the clock of the gate.
func (g *Gate) deadline(r Request) time.Duration {
	if r.Deadline.IsZero() {
		return never
	}
	return r.Deadline.Sub(g.epoch)
}

// startBy returns the latest start that can meet a deadline.
func (g *Gate) startBy(at time.Duration, operation uint32, deadline time.Duration) time.Duration {
	return deadline - g.estimates[operation%operations].least(at)
}

// wait estimates the time in the queue at a level.
func (g *Gate) wait(level outcome.Level) time.Duration {
	if g.mayStartNow(level) {
		return 0
	}
	ahead := g.queue.upTo(level)
	if g.overload() && level > 0 {
		ahead = g.queue.upTo(level - 1)
	}
	return time.Duration(float64(ahead+1) * g.interval())
}

// interval estimates the time between two starts in nanoseconds.
func (g *Gate) interval() float64 {
	return g.service.mean / float64(g.limiter.Limit())
}

// mayStartNow reports whether a request at the level would be next.
func (g *Gate) mayStartNow(level outcome.Level) bool {
	if g.inFlight >= g.limiter.Limit() {
		return false
	}
	return g.queue.length == 0 || level < g.queue.best()
}

// overload reports whether the newest request of a level starts first.
func (g *Gate) overload() bool {
	return g.lastExcess > 1 || g.threshold.level < outcome.MaxLevel
}

// makeRoom makes sure that one more request fits into the queue. It evicts a
// worse level, or an older request of the same level while overloaded.
func (g *Gate) makeRoom(at time.Duration, level outcome.Level) bool {
	if g.queue.length < g.queueCap {
		return true
	}
	if g.queue.length == 0 {
		return false
	}
	worst := g.queue.worst()
	if worst < level || (worst == level && !g.overload()) {
		return false
	}
	g.window.lackedRoom++
	g.evict(at, g.queue.buckets[worst].head)
	return true
}

func (g *Gate) insert(at time.Duration, r Request) int32 {
	index := g.queue.alloc()
	deadline := g.deadline(r)
	g.queue.slab[index] = item{
		id:       r.ID,
		level:    r.Level,
		place:    r.place(),
		op:       r.Operation,
		arrived:  at,
		deadline: deadline,
		prev:     none,
		next:     none,
	}
	g.index[r.ID] = index
	return index
}

func (g *Gate) enqueue(index int32) {
	g.queue.push(index)
	g.nextExpiry = min(g.nextExpiry, g.expiry(index))
}

// expiry returns the time at which a queued item must be looked at again.
func (g *Gate) expiry(index int32) time.Duration {
	it := &g.queue.slab[index]
	startBy := g.startBy(it.arrived, it.op, it.deadline)
	return min(startBy, it.arrived+g.config.MaxWait)
}

// start hands an item that is not in the queue to the target.
func (g *Gate) start(index int32) {
	g.inFlight++
	g.window.starts++
	it := &g.queue.slab[index]
	g.totals.Started.add(it.level)
	it.started = true
	it.inFlight = g.inFlight
}

// Done reports the end of a started request. An id that is not started is
// ignored. Poll then reports what starts next.
func (g *Gate) Done(now time.Time, id uint64, s Sample) {
	at := g.tick(now)
	index, ok := g.index[id]
	if !ok || !g.queue.slab[index].started {
		return
	}
	it := g.queue.slab[index]
	g.forget(index)
	g.inFlight--
	s.Operation = it.op
	s.InFlight = it.inFlight
	g.learn(at, s)
	g.limiter.Observe(now, s)
}

// learn updates the estimates of the service time. The latency of a failed
// request is a lower bound, so it counts only if it is above the estimate.
func (g *Gate) learn(at time.Duration, s Sample) {
	e := &g.estimates[s.Operation%operations]
	if s.Refused || (s.Failed && float64(s.Latency) < e.mean) {
		return
	}
	e.add(at, s.Latency)
	g.service.add(at, s.Latency)
}

// forget drops an item that is not in the queue.
func (g *Gate) forget(index int32) {
	delete(g.index, g.queue.slab[index].id)
	g.queue.release(index)
}

// Cancel removes a queued request. It returns false if the id is not queued; a
// started request ends by Done.
func (g *Gate) Cancel(now time.Time, id uint64) bool {
	g.tick(now)
	index, ok := g.index[id]
	if !ok || g.queue.slab[index].started {
		return false
	}
	g.totals.Cancelled.add(g.queue.slab[index].level)
	g.queue.remove(index)
	g.forget(index)
	return true
}

// Poll returns the queued requests that start or are refused now. The next
// call of Poll reuses the slice.
func (g *Gate) Poll(now time.Time) []Event {
	at := g.tick(now)
	g.expire(at)
	g.startQueued(at)
	g.sampleUse()
	events := g.pending
	g.pending = g.events[:0]
	g.events = events
	return events
}

// NextWake returns the time at which Poll must be called even if nothing else
// happens; zero means never.
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

// Queued returns the number of requests that wait.
func (g *Gate) Queued() int { return g.queue.length }

// Limit returns the number of requests that may be at the target.
func (g *Gate) Limit() int { return g.limiter.Limit() }

// SetCapacity sets the slots of the target and the size of the queue; 0 selects
// the default. A queue that is now too long shrinks by later decisions.
func (g *Gate) SetCapacity(slots, queue int) {
	if slots <= 0 {
		slots = limit.DefaultMax
	}
	g.limiter.SetMax(slots)
	g.queueCap = queueSize(slots, queue)
}

// StartRampUp lets the limit grow from a small share of the slots, for a cold
// or returning target. Estimates of the service time start again.
func (g *Gate) StartRampUp(now time.Time) {
	g.tick(now)
	g.limiter.StartRampUp(now)
	g.estimates = [operations]estimate{}
	g.service = estimate{}
}

// SetDraining refuses new and queued requests while set; Poll reports the
// queued ones. Started requests go on.
func (g *Gate) SetDraining(draining bool) {
	g.draining = draining
	if draining {
		g.flush(g.latest, outcome.Draining)
	}
}

// SetDown refuses new and queued requests while the target is down.
func (g *Gate) SetDown(down bool) {
	g.down = down
	if down {
		g.flush(g.latest, outcome.TargetDown)
	}
}
