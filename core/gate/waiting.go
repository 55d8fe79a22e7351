package gate

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// startQueued starts queued requests while the limit allows it.
func (g *Gate) startQueued(at time.Duration) {
	for g.queue.length > 0 && g.inFlight < g.limiter.Limit() {
		index := g.nextItem()
		it := &g.queue.slab[index]
		if at > g.latestStart(at, it.operation, it.deadline) {
			g.refuse(at, index, Decision{Kind: Refuse, Reason: outcome.DeadlineUnmeetable})
			continue
		}
		g.queue.remove(index)
		g.start(index)
		g.addEvent(at, index, Decision{Kind: Start})
	}
	g.window.standingQueue = min(g.window.standingQueue, g.queue.length)
}

// nextItem returns the queued item that starts next.
func (g *Gate) nextItem() int32 {
	b := g.queue.buckets[g.queue.highestPriority()]
	if g.isOverloaded() {
		return b.tail
	}
	return b.head
}

// refuse removes a queued item and reports its rejection.
func (g *Gate) refuse(at time.Duration, index int32, d Decision) {
	g.queue.remove(index)
	g.addEvent(at, index, d)
	g.discard(index)
}

// evict rejects a queued item for lack of capacity.
func (g *Gate) evict(at time.Duration, index int32) {
	d := g.overloadedDecision(g.queue.slab[index].level)
	d.Reason = outcome.EvictedFromQueue
	g.refuse(at, index, d)
}

func (g *Gate) addEvent(at time.Duration, index int32, d Decision) {
	it := &g.queue.slab[index]
	if d.Kind == Refuse {
		g.totals.Refused.add(it.level)
	}
	g.pending = append(g.pending, Event{ID: it.id, Decision: d, Waited: at - it.arrived})
}

// expire rejects queued requests that cannot meet their deadline or are stale. It
// checks the least important levels first. A stale request is rejected only if no
// request of a lower class remains in the queue.
func (g *Gate) expire(at time.Duration) {
	if at < g.nextExpiry {
		return
	}
	g.nextExpiry = never
	keptClass := outcome.Class(0)
	for level := levelCount - 1; level >= 0; level-- {
		class := outcome.Level(level).Class()
		index := g.queue.buckets[level].head
		for index != noItem {
			next := g.queue.slab[index].next
			if g.expireItem(at, index, keptClass > class) {
				keptClass = max(keptClass, class)
			}
			index = next
		}
	}
}

// expireItem rejects an item if it is due. It reports whether the item stays in the
// queue.
func (g *Gate) expireItem(at time.Duration, index int32, lowerClassKept bool) bool {
	it := &g.queue.slab[index]
	latestStart := g.latestStart(at, it.operation, it.deadline)
	if at > latestStart {
		g.refuse(at, index, Decision{Kind: Refuse, Reason: outcome.DeadlineUnmeetable})
		return false
	}
	staleAt := it.arrived + g.config.MaxWait
	if at >= staleAt && !lowerClassKept {
		g.evict(at, index)
		return false
	}
	if staleAt <= at {
		staleAt = at + g.config.Window
	}
	g.nextExpiry = min(g.nextExpiry, latestStart+1, staleAt)
	return true
}

// rejectAll rejects all queued requests.
func (g *Gate) rejectAll(at time.Duration, reason outcome.Reason) {
	for g.queue.length > 0 {
		index := g.queue.buckets[g.queue.lowestPriority()].head
		g.refuse(at, index, Decision{Kind: Refuse, Reason: reason})
	}
}
