package gate

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// startQueued fills free slots from the queue.
func (g *Gate) startQueued(at time.Duration) {
	for g.queue.length > 0 && g.inFlight < g.limiter.Limit() {
		index := g.pick()
		it := &g.queue.slab[index]
		if at > g.startBy(at, it.op, it.deadline) {
			g.refuse(at, index, Decision{Kind: Refuse, Reason: outcome.DeadlineUnmeetable})
			continue
		}
		g.queue.remove(index)
		g.start(index)
		g.report(at, index, Decision{Kind: Start})
	}
	g.window.standing = min(g.window.standing, g.queue.length)
}

// pick returns the item that starts next.
func (g *Gate) pick() int32 {
	b := g.queue.buckets[g.queue.best()]
	if g.overload() {
		return b.tail
	}
	return b.head
}

// refuse removes a queued item and reports it.
func (g *Gate) refuse(at time.Duration, index int32, d Decision) {
	g.queue.remove(index)
	g.report(at, index, d)
	g.forget(index)
}

// evict refuses a queued item for lack of room.
func (g *Gate) evict(at time.Duration, index int32) {
	d := g.overloaded(g.queue.slab[index].level)
	d.Reason = outcome.EvictedFromQueue
	g.refuse(at, index, d)
}

func (g *Gate) report(at time.Duration, index int32, d Decision) {
	it := &g.queue.slab[index]
	if d.Kind == Refuse {
		g.totals.Refused.add(it.level)
	}
	g.pending = append(g.pending, Event{ID: it.id, Decision: d, Waited: at - it.arrived})
}

// expire refuses queued requests that cannot meet their deadline or are stale.
// It goes from the worst level up. A request is stale only if no worse class is
// left in the queue.
func (g *Gate) expire(at time.Duration) {
	if at < g.nextExpiry {
		return
	}
	g.nextExpiry = never
	left := outcome.Class(0)
	for level := levels - 1; level >= 0; level-- {
		class := outcome.Level(level).Class()
		index := g.queue.buckets[level].head
		for index != none {
			next := g.queue.slab[index].next
			if g.expireOne(at, index, left > class) {
				left = max(left, class)
			}
			index = next
		}
	}
}

// expireOne refuses an item if it is due, and reports whether it is kept.
func (g *Gate) expireOne(at time.Duration, index int32, worseLeft bool) bool {
	it := &g.queue.slab[index]
	startBy := g.startBy(at, it.op, it.deadline)
	if at > startBy {
		g.refuse(at, index, Decision{Kind: Refuse, Reason: outcome.DeadlineUnmeetable})
		return false
	}
	stale := it.arrived + g.config.MaxWait
	if at >= stale && !worseLeft {
		g.evict(at, index)
		return false
	}
	if stale <= at {
		stale = at + g.config.Window
	}
	g.nextExpiry = min(g.nextExpiry, startBy+1, stale)
	return true
}

// flush refuses the whole queue.
func (g *Gate) flush(at time.Duration, reason outcome.Reason) {
	for g.queue.length > 0 {
		index := g.queue.buckets[g.queue.worst()].head
		g.refuse(at, index, Decision{Kind: Refuse, Reason: reason})
	}
}
