package route

import (
	"time"

	"github.com/primrosemount/primrosemount/core/cost"
)

// docs/design/placement.md compares these weights with others.
const (
	// ownSamples and otherSamples are the numbers of targets of the node's own zone and
	// of the other zones that are compared. The more targets of other zones are compared,
	// the more requests leave their zone without being faster.
	ownSamples   = 6
	otherSamples = 3
	// One in refreshDivisor requests goes to a random target of the node's own zone, unless
	// one of another zone is better. A target whose speed was misjudged while it got few
	// requests would otherwise get none at low load, and the estimate would not change.
	refreshDivisor = 32
	// serviceWeight is the weight of the own work at a target in its score. Below 1,
	// slow targets get a part of the load before the fast ones are nearly full.
	serviceWeight = 0.1
	// pressureWeight sets the price of a slot, which is what a request costs others: its
	// time in the slot times pressureWeight times the fourth power of the occupancy.
	pressureWeight = 1.5
	// kneeOccupancy is the occupancy above which targets slow down, and kneeWeight the
	// additional price of a slot per occupancy above it.
	kneeOccupancy = 0.92
	kneeWeight    = 10
	// occupancyNoise bounds a random addition to the occupancy of a target, for what
	// other senders have sent since the report. Without it, senders with the same view
	// choose the same target.
	occupancyNoise = 0.1
	// zoneRoundTrip is the time by which a round trip to another zone is longer.
	zoneRoundTrip = 2800 * time.Microsecond
	// zoneShare and zonePerByte are the surcharge of another zone for the traffic: a
	// multiple of the cost of a mean request, so that it is comparable with the price of
	// a slot, and a time per byte, which is 15 ms at 60,000 bytes, the mean of large
	// bodies. With a smaller share, requests leave their zone without being faster.
	zoneShare   = 2
	zonePerByte = 250 * time.Nanosecond
	// The surcharge falls from its full value at an occupancy of shortageFrom of the
	// best target in the node's own zone, where requests queue, to none at shortageTo.
	shortageFrom = 1.1
	shortageTo   = 1.6
	// initialCost is the cost of a mean request until a response of the service is
	// known. It keeps the price of a slot comparable with the network time.
	initialCost = 10 * time.Millisecond
	// lateWeight and overdueWeight are the weights of the time after the target latency
	// and after the deadline in a score.
	lateWeight    = 3
	overdueWeight = 10
)

// A Request describes a request for which a target is chosen.
type Request struct {
	// Operation is the operation that is called.
	Operation string
	// Bytes is the size of the body.
	Bytes int
	// TargetLatency is the time within which the response has its full value, and
	// Remaining the time until the deadline; zero if there is none.
	TargetLatency time.Duration
	Remaining     time.Duration
}

// need is what a request needs, as learned for its operation.
type need struct {
	operation *cost.Operation
	// own is the own work at a target of mean speed, calls the expected wait for calls,
	// and mean the cost of a mean request of the service, in nanoseconds.
	own, calls, mean float64
	// bytes is the expected size of request and response.
	bytes                 float64
	targetLatency, remain float64
}

// needOf returns the need of a request. Without samples of its operation, it is that of
// a mean request of the service.
func (s *service) needOf(r Request) need {
	operation, all := s.operations.Find(r.Operation), s.operations.All()
	n := need{operation: operation, own: operation.Own(), calls: operation.Calls()}
	n.mean = all.Own() + all.Calls()
	if n.mean <= 0 {
		n.mean = all.Latency()
	}
	if n.mean <= 0 {
		n.mean = float64(initialCost)
	}
	if n.own <= 0 {
		// Nodes of earlier versions do not report the own work.
		n.own = operation.Latency()
	}
	if n.own <= 0 {
		n.own = n.mean
	}
	n.bytes = max(operation.Bytes(), float64(r.Bytes))
	n.targetLatency, n.remain = float64(r.TargetLatency), float64(r.Remaining)
	return n
}

// An estimate is what the sender expects of a request at one target. Times are in
// nanoseconds.
type estimate struct {
	backlog
	speed float64
	// wait is the expected time until a slot is free, slot the time in the slot, and
	// explained the expected latency without waits for calls.
	wait, slot, explained float64
	score                 float64
}

// leastWork chooses the target with the lowest score among some targets of the node's
// own zone and some of the other zones.
func (s *service) leastWork(v *view, q query, n need) Placement {
	p := Placement{need: n}
	shortage, ownSamples := 1.0, ownSamples
	if s.placed.Add(1)%refreshDivisor == 0 {
		ownSamples = 1
	}
	if v.preferOwnZone {
		if trial := q.place(&p, v.ownZone, 0, ownSamples); trial != nil {
			return p.only(trial, q.at)
		}
		if p.Endpoint != nil {
			shortage = shortageAt(p.lowestOccupancy)
		}
	}
	surcharge := n.zoneSurcharge(shortage)
	others, samples := v.otherZones, otherSamples
	if !v.preferOwnZone {
		others, samples = v.close, ownSamples
	}
	if trial := q.place(&p, others, surcharge, samples); trial != nil {
		return p.only(trial, q.at)
	}
	if p.Endpoint != nil {
		return p
	}
	return p.only(s.scan(v, q), q.at)
}

// zoneSurcharge returns the surcharge of another zone, given the shortage of the own zone.
func (n *need) zoneSurcharge(shortage float64) float64 {
	return (1 - shortage) * (zoneShare*n.mean + n.bytes*float64(zonePerByte))
}

// shortageAt returns the shortage of a zone, between 0 and 1, given the lowest occupancy
// of its targets.
func shortageAt(occupancy float64) float64 {
	return min(max((occupancy-shortageFrom)/(shortageTo-shortageFrom), 0), 1)
}

// place offers up to the given number of usable targets of the pool to the placement. If it
// claims the trial call of a target, it returns that target immediately.
func (q *query) place(p *Placement, pool []*Endpoint, surcharge float64, samples int) *Endpoint {
	if len(pool) == 0 {
		return nil
	}
	i, left := q.draw.intN(len(pool)), samples
	for range len(pool) {
		e := pool[i]
		if i++; i == len(pool) {
			i = 0
		}
		switch q.fit(e) {
		case fitTrial:
			return e
		case fitYes:
			var x estimate
			e.estimate(&x, q.at, &p.need, occupancyNoise*q.draw.fraction())
			x.score += surcharge
			p.offer(e, &x)
			if left--; left == 0 {
				return nil
			}
		}
	}
	return nil
}

// estimate sets x to what is expected of a request at the target. Failures and refusals
// raise the score. unknown is added to the occupancy.
func (e *Endpoint) estimate(x *estimate, at int64, n *need, unknown float64) {
	fresh := e.learned().freshness(at)
	x.speed = e.learned().presentSpeed(fresh)
	slowness := 1 / x.speed
	x.backlog = e.backlog(at, n.mean*slowness, fresh)
	x.wait = x.backlog.wait()
	own := n.own * slowness
	x.slot = own + n.calls
	x.explained = x.wait + own
	if e.tier != tierOwnZone {
		x.explained += float64(zoneRoundTrip)
	}
	bias := e.learned().usualBias(at, n.mean)
	occupancy := x.occupancy() + unknown
	if bias > 0 {
		// A longer latency than expected means more requests than reported.
		occupancy += bias / x.slot
	}
	x.score = x.explained - (1-serviceWeight)*own + bias + x.slot*price(occupancy) + n.lateness(x.explained+n.calls+bias)
	failed, refused := e.failed.load(), e.refused.load()
	if failed > 0 || refused > 0 {
		outcomes := e.freshness(at, costHalfAge)
		good := max((1-outcomes*failed)*(1-outcomes*refused), minGoodShare)
		x.score /= good * good
	}
}

// price returns what the time of a request in a slot costs others, relative to that
// time.
func price(occupancy float64) float64 {
	squared := occupancy * occupancy
	return pressureWeight*squared*squared + kneeWeight*max(occupancy-kneeOccupancy, 0)
}

// lateness returns the surcharge for a response after the target latency or after the
// deadline.
func (n *need) lateness(completion float64) float64 {
	late := 0.0
	if n.targetLatency > 0 {
		late += lateWeight * max(completion-n.targetLatency, 0)
	}
	if n.remain > 0 {
		late += overdueWeight * max(completion-n.remain, 0)
	}
	return late
}
