package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/primrosemount/primrosemount/core/cost"
)

const (
	// biasWeight is the weight of a response in the bias of a target. About the latest
	// 16 responses count.
	biasWeight = 1.0 / 16
	// biasHalfAge is the age of the latest response at which the bias has a quarter of
	// its weight, so that a target is tried again.
	biasHalfAge = time.Second
	// biasPrior is the number of responses that the assumption of no bias counts for.
	biasPrior = 8
	// biasTolerance is the bias, as a share of the mean cost, that is ignored, because
	// costs vary from request to request.
	biasTolerance = 0.25
	// longBiasWeight, longBiasPrior and longBiasTolerance are the same for the bias over
	// about the latest 64 responses. It varies less, so it also shows a target that
	// reports too little work.
	longBiasWeight    = 1.0 / 64
	longBiasPrior     = 32
	longBiasTolerance = 0.1
	// residualShare is the expected work that is left of a request of which nothing else
	// is known, as a share of its cost.
	residualShare = 0.5
	// normalizeMargin is the deviation of the mean speed from 1 from which the speeds
	// are normalized.
	normalizeMargin = 0.01
)

// load holds the work that a target has left, as reported by its gate and as sent by this
// node, and how fast the target is. All fields are atomic.
type load struct {
	// reportedAt is when the gate last reported its work, or zero if it never did.
	reportedAt atomic.Int64
	// work is the reported work in nanoseconds, requests the reported number of requests
	// in flight and queued, and slots the number of slots.
	work, requests, slots atomicFloat
	// present is the reported speed of the target relative to its own mean.
	present atomicFloat
	// sentWork and sentRequests is what this node has sent since the report.
	sentWork, sentRequests atomic.Int64
	// inFlightWork is the expected work of the calls in flight from this node.
	inFlightWork atomic.Int64
	// speed is the mean speed relative to the other targets.
	speed cost.Speed
	// bias is the mean difference between measured and expected latency, in
	// nanoseconds. It corrects reports that are not true and work of which the gate does
	// not know.
	bias cost.Average
	// longBias is the same over more responses, so that smaller deviations show.
	longBias cost.Average
}

// report records the work that the gate reported. The report includes what this node had
// sent before.
func (l *load) report(at int64, report Report) {
	if report.WorkLeft <= 0 || report.Slots <= 0 {
		return
	}
	l.work.store(float64(report.WorkLeft))
	l.requests.store(float64(report.InFlight))
	l.slots.store(float64(report.Slots))
	l.present.store(report.Speed)
	l.sentWork.Store(0)
	l.sentRequests.Store(0)
	l.reportedAt.Store(at)
}

// presentSpeed returns the speed of the target now, relative to the mean of its service.
// fresh is the weight of the report.
func (l *load) presentSpeed(fresh float64) float64 {
	speed := l.speed.Value()
	if now := l.present.load(); now > 0 && now != 1 && fresh > 0 {
		speed = cost.Bounded(speed * (1 + fresh*(cost.Bounded(now)-1)))
	}
	return speed
}

// freshness returns the weight of the latest report about the work, which falls from 1
// toward 0 with its age. It is 0 if there is none.
func (l *load) freshness(at int64) float64 {
	reported := l.reportedAt.Load()
	if reported == 0 {
		return 0
	}
	return freshnessOf(at, reported, reportHalfAge)
}

// freshnessOf returns a weight that falls from 1 toward 0 with the age of a time and is
// one half at halfAge.
func freshnessOf(at, from int64, halfAge time.Duration) float64 {
	return float64(halfAge) / float64(int64(halfAge)+max(at-from, 0))
}

// meanLoad is the mean load of the targets of a service whose reports are fresh. The
// estimate of a target moves toward it as the report of the target ages.
type meanLoad struct{ occupancy, workPerSlot atomicFloat }

// backlog is the estimated load of one target.
type backlog struct {
	// requests is the number of requests at the target and in its queue, work the time
	// for which they will continue to occupy a slot, in nanoseconds.
	requests, work float64
	slots          float64
}

// backlog estimates the load of the target. requestCost is the cost of a mean request at
// this target, and fresh the weight of its report. What this node has in flight is a lower
// bound.
func (e *Endpoint) backlog(at int64, requestCost, fresh float64) backlog {
	if fresh == 0 {
		return e.backlogWithoutWork(at, requestCost)
	}
	l := e.learned()
	slots := max(l.slots.load(), 1)
	mean := &e.service.mean
	b := backlog{
		requests: fresh*l.requests.load() + (1-fresh)*mean.occupancy.load()*slots + float64(l.sentRequests.Load()),
		work:     fresh*l.work.load() + (1-fresh)*mean.workPerSlot.load()*slots + float64(l.sentWork.Load()),
		slots:    slots,
	}
	b.requests = max(b.requests, float64(e.inFlight.Load()))
	b.work = max(b.work, residualShare*float64(l.inFlightWork.Load()))
	return b
}

// backlogWithoutWork estimates the load of a target whose gate has not reported any work:
// a new target, or one with an earlier version of the node. It uses the reported
// occupancy, as NearestCapacity does.
func (e *Endpoint) backlogWithoutWork(at int64, requestCost float64) backlog {
	reported, share := e.hint.load()
	occupied := float64(share) / permille
	fresh := freshnessOf(at, reported, reportHalfAge)
	if reported == 0 {
		fresh = 0
	}
	occupied = fresh*occupied + (1-fresh)*e.service.mean.occupancy.load()
	requests := max(occupied*e.slots, float64(e.inFlight.Load()))
	return backlog{requests: requests, work: requests * residualShare * requestCost, slots: e.slots}
}

// wait returns the expected time until a further request gets a slot, in nanoseconds.
func (b backlog) wait() float64 {
	ahead := b.requests + 1 - b.slots
	if ahead <= 0 || b.requests <= 0 {
		return 0
	}
	return ahead * b.work / b.requests / b.slots
}

// occupancy returns the requests per slot, including one more.
func (b backlog) occupancy() float64 { return (b.requests + 1) / b.slots }

// usualBias returns by how much the target usually exceeds the expected latency, in
// nanoseconds, given the cost of a mean request. Deviations within the tolerance are
// ignored.
func (l *load) usualBias(at int64, mean float64) float64 {
	bias := max(biasOf(&l.bias, biasTolerance*mean, biasPrior), biasOf(&l.longBias, longBiasTolerance*mean, longBiasPrior))
	if bias <= 0 {
		return 0
	}
	fresh := float64(biasHalfAge) / float64(biasHalfAge+l.bias.Age(at))
	return bias * fresh * fresh
}

// biasOf returns by how much a bias exceeds the tolerance, given the number of responses
// that the assumption of no bias counts for.
func biasOf(bias *cost.Average, tolerance, prior float64) float64 {
	excess := bias.Value() - tolerance
	if excess <= 0 {
		return 0
	}
	n := float64(bias.Samples())
	return excess * n / (n + prior)
}

// updateLoad updates the mean load of the targets and keeps their mean speed at 1.
func (s *service) updateLoad(v *view, at int64) {
	var occupancy, work, speed, n, learned float64
	for _, e := range v.close {
		l := e.workLoad.Load()
		if l == nil {
			continue
		}
		reported := l.reportedAt.Load()
		if reported == 0 || e.state(at) != stateOpen {
			continue
		}
		weight := freshnessOf(at, reported, reportHalfAge)
		slots := max(l.slots.load(), 1)
		occupancy += weight * l.requests.load() / slots
		work += weight * l.work.load() / slots
		n += weight
		if l.speed.Samples() > 0 {
			speed += l.speed.Value()
			learned++
		}
	}
	if n > 0 {
		s.mean.occupancy.store(occupancy / n)
		s.mean.workPerSlot.store(work / n)
	}
	if learned > 1 && math.Abs(speed/learned-1) > normalizeMargin {
		s.operations.Normalize(speed/learned, v.eachSpeed)
	}
}

// eachSpeed calls f for the speed of each target of the service.
func (v *view) eachSpeed(f func(*cost.Speed)) {
	for _, e := range v.byIncarnation {
		if l := e.workLoad.Load(); l != nil {
			f(&l.speed)
		}
	}
}
