package gate

import (
	"time"

	"github.com/primrosemount/primrosemount/core/cost"
)

// workRefresh is the age from which the sum of the work left is computed again. The sum
// takes time in proportion to the requests that are present.
const workRefresh = time.Millisecond

// workLeft estimates the work that the target has left.
type workLeft struct {
	learned *cost.Work
	// left is the sum as of computed, and present the number of requests in it.
	left     float64
	present  int
	computed time.Duration
}

func newWorkLeft() workLeft { return workLeft{learned: cost.NewWork()} }

// observe learns from a request that ended with a representative response.
func (w *workLeft) observe(at time.Duration, s Sample) {
	if s.Refused || s.Failed || s.Unrepresentative {
		return
	}
	w.learned.Observe(at, s.Operation, max(s.Latency-s.Downstream, 0), s.Downstream)
}

// A Work is the work that a target has left and how fast it does it.
type Work struct {
	// Left is the expected time for which the requests in flight and in the queue will
	// continue to occupy a slot of this target, summed over the requests.
	Left time.Duration
	// Speed is the speed of the target now, relative to its own mean.
	Speed float64
}

// Work returns the work left at the latest time passed to the gate, at most workRefresh
// old.
func (g *Gate) Work() Work {
	w := &g.work
	if len(g.index) != w.present || g.latest-w.computed >= workRefresh {
		w.left, w.present, w.computed = g.sumWork(), len(g.index), g.latest
	}
	return Work{Left: time.Duration(w.left), Speed: w.learned.Speed(g.latest)}
}

// OwnWork returns the mean time for which a request of an operation occupies a slot of
// this target without its waits for calls, or 0 if it is unknown. Unlike the other
// methods, it may be called concurrently with any method.
func (g *Gate) OwnWork(operation uint32) time.Duration {
	own, _ := g.work.learned.Own(operation)
	return own
}

// sumWork returns the expected work less the work done, in nanoseconds.
func (g *Gate) sumWork() float64 {
	sum := 0.0
	for i := range g.queue.slab {
		it := &g.queue.slab[i]
		switch {
		case !it.present:
		case it.started:
			sum += g.work.learned.Left(it.expectedWork, float64(g.latest-it.startedAt))
		default:
			sum += it.expectedWork
		}
	}
	return sum
}
