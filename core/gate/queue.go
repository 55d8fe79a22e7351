package gate

import (
	"math/bits"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// levelCount is the number of queue buckets, one per level.
const levelCount = int(outcome.MaxLevel) + 1

// wordBits is the number of levels per word of the bitmap.
const wordBits = 64

// noItem marks the end of a list.
const noItem = int32(-1)

// An item is a request that is queued or started. Items are stored in a slab and linked
// by index, so that decisions do not allocate.
type item struct {
	id uint64
	// level is the level of the root request. effectiveLevel includes the priority
	// boost and determines the queue order.
	level          outcome.Level
	effectiveLevel outcome.Level
	operation      uint32
	started        bool
	// inFlight is the number of started requests when this one started, including
	// itself.
	inFlight int
	// expectedWork is the time in nanoseconds for which the request was expected, on its
	// arrival, to occupy a slot.
	expectedWork float64
	startedAt    time.Duration
	// present is set while the item holds a request.
	present  bool
	arrived  time.Duration
	deadline time.Duration
	prev     int32
	next     int32
}

// A bucket is the list of queued items of one level, oldest first.
type bucket struct {
	head int32
	tail int32
}

// A queue holds the waiting requests ordered by level. A bitmap finds the most and the
// least important queued level, and a Fenwick tree counts the requests ahead of a
// level.
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

// alloc returns the index of an unused item. The slab grows to the largest number of
// requests that were present at the same time.
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

// remove removes an item from its bucket.
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

// countUpTo returns the number of queued requests at the level or a more important one.
func (q *queue) countUpTo(level outcome.Level) int {
	sum := int32(0)
	for i := int(level) + 1; i > 0; i -= i & -i {
		sum += q.counts[i]
	}
	return int(sum)
}

// highestPriority returns the most important queued level, which is the lowest number.
// The queue must not be empty.
func (q *queue) highestPriority() outcome.Level {
	for w, word := range q.bitmap {
		if word != 0 {
			return outcome.Level(w*wordBits + bits.TrailingZeros64(word))
		}
	}
	return outcome.MaxLevel
}

// lowestPriority returns the least important queued level, which is the highest number.
// The queue must not be empty.
func (q *queue) lowestPriority() outcome.Level {
	for w := len(q.bitmap) - 1; w >= 0; w-- {
		if word := q.bitmap[w]; word != 0 {
			return outcome.Level(w*wordBits + wordBits - 1 - bits.LeadingZeros64(word))
		}
	}
	return 0
}
