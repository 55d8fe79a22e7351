package experiment

import "time"

// event is one scheduled event of the virtual clock. The sequence number orders events
// of the same time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// clock executes events in the order of their virtual time.
type clock struct {
	now      time.Duration
	sequence uint64
	heap     []event
}

// epoch is the wall clock time that corresponds to virtual time zero for the core
// types.
var epoch = time.Unix(1_000_000, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after schedules run after the given delay.
func (c *clock) after(wait time.Duration, run func()) {
	c.sequence++
	c.push(event{c.now + max(0, wait), c.sequence, run})
}

// runUntil executes the events up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= end {
		e := c.pop()
		c.now = e.at
		e.run()
	}
}

func (c *clock) less(i, j int) bool {
	a, b := &c.heap[i], &c.heap[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.sequence < b.sequence
}

// push and pop implement a binary heap of values. container/heap would allocate an
// interface value for each event.
func (c *clock) push(e event) {
	c.heap = append(c.heap, e)
	i := len(c.heap) - 1
	for i > 0 && c.less(i, (i-1)/2) {
		c.heap[i], c.heap[(i-1)/2] = c.heap[(i-1)/2], c.heap[i]
		i = (i - 1) / 2
	}
}

func (c *clock) pop() event {
	top := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && c.less(child+1, child) {
			child++
		}
		if !c.less(child, i) {
			return top
		}
		c.heap[i], c.heap[child] = c.heap[child], c.heap[i]
		i = child
	}
}
