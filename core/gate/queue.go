package gate

import (
	"math/bits"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// levels is the number of queue buckets: one for each level.
const levelCount = int(outcome.MaxLevel) + 1

// wordBits is the number of levels in one word of the bitmap.
const wordBits = 64

// none marks the end of a list.
const noItem = int32(-1)

// item is one request that is queued or started. Items live in a slab and are
// linked by index, so that no decision allocates.
type item struct {
	id uint64
	// level is that of the root request, place the one that orders the queue.
	level          outcome.Level
	effectiveLevel outcome.Level
	operation      uint32
	started        bool
	// inFlight is the number of started requests at its start, with itself.
	inFlight int
	arrived  time.Duration
	deadline time.Duration
	prev     int32
	next     int32
}

// bucket is the list of one level, oldest first.
type bucket struct {
	head int32
	tail int32
}

// queue holds the waiting requests ordered by level. It finds the best and the
// worst level by a bitmap and counts the requests ahead of a level by a Fenwick
// tree.
type queue struct {
	slab    []item
	free    []int32
	buckets [levelCount]bucket
	bitmap  [(levelCount + wordBits - 1) / wordBits]uint64
	counts  [levelCount + 1]int32
	length  int
}

func (q *queue) init() {
	for level := range q.buckets {
		q.buckets[level] = bucket{noItem, noItem}
	}
}

// alloc returns the index of an unused item. The slab grows until it holds the
// largest number of requests that were present at one time.
func (q *queue) alloc() int32 {
	if n := len(q.free); n > 0 {
		index := q.free[n-1]
		q.free = q.free[:n-1]
		return index
	}
	q.slab = append(q.slab, item{})
	return int32(len(q.slab) - 1)
}

func (q *queue) release(index int32) {
	q.free = append(q.free, index)
}

// push appends an item to the bucket of its level.
func (q *queue) push(index int32) {
	it := &q.slab[index]
	b := &q.buckets[it.effectiveLevel]
	it.prev, it.next = b.tail, noItem
	if b.tail == noItem {
		b.head = index
		q.bitmap[it.effectiveLevel/wordBits] |= 1 << (it.effectiveLevel % wordBits)
	} else {
		q.slab[b.tail].next = index
	}
	b.tail = index
	q.addCount(it.effectiveLevel, 1)
}

// remove takes an item out of its bucket.
func (q *queue) remove(index int32) {
	it := &q.slab[index]
	b := &q.buckets[it.effectiveLevel]
	if it.prev == noItem {
		b.head = it.next
	} else {
		q.slab[it.prev].next = it.next
	}
	if it.next == noItem {
		b.tail = it.prev
	} else {
		q.slab[it.next].prev = it.prev
	}
	if b.head == noItem {
		q.bitmap[it.effectiveLevel/wordBits] &^= 1 << (it.effectiveLevel % wordBits)
	}
	q.addCount(it.effectiveLevel, -1)
}

func (q *queue) addCount(level outcome.Level, change int32) {
	q.length += int(change)
	for i := int(level) + 1; i <= levelCount; i += i & -i {
		q.counts[i] += change
	}
}

// upTo returns the number of queued requests at the level or a better one.
func (q *queue) countUpTo(level outcome.Level) int {
	sum := int32(0)
	for i := int(level) + 1; i > 0; i -= i & -i {
		sum += q.counts[i]
	}
	return int(sum)
}

// best returns the best level that is queued. The queue must not be empty.
func (q *queue) highestPriority() outcome.Level {
	for w, word := range q.bitmap {
		if word != 0 {
			return outcome.Level(w*wordBits + bits.TrailingZeros64(word))
		}
	}
	return outcome.MaxLevel
}

// worst returns the worst level that is queued. The queue must not be empty.
func (q *queue) lowestPriority() outcome.Level {
	for w := len(q.bitmap) - 1; w >= 0; w-- {
		if word := q.bitmap[w]; word != 0 {
			return outcome.Level(w*wordBits + wordBits - 1 - bits.LeadingZeros64(word))
		}
	}
	return 0
}
