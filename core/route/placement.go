package route

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// A Placement is the choice of a target for one request. If its policy is not LeastWork,
// it holds only the endpoint.
type Placement struct {
	Endpoint *Endpoint
	// Second is the target with the second lowest score, or nil.
	Second *Endpoint

	need         need
	best         estimate
	secondScore  float64
	byWork       bool
	explained    time.Duration
	expectedWork int64
	// reportedAt is when the target had last reported as of Begin.
	reportedAt int64
	// lowestOccupancy is the lowest occupancy of the targets that were compared so far.
	lowestOccupancy float64
}

// Place chooses a target by LeastWork, whatever the policy of the router is. Otherwise it
// is like Pick.
func (r *Router) Place(now time.Time, name string, level outcome.Level, request Request, exclude ...uint64) (Placement, *outcome.Error) {
	s, q, unknown := r.query(now, name, level, exclude)
	if unknown != nil {
		return Placement{}, unknown
	}
	v := s.view.Load()
	p := s.leastWork(v, q, s.needOf(request))
	if p.Endpoint == nil {
		return p, v.refusal(q)
	}
	p.byWork = true
	p.need.operation = s.operations.Get(q.at, request.Operation)
	p.explained = time.Duration(p.best.explained)
	p.expectedWork = int64(p.best.slot)
	return p, nil
}

// offer replaces the choice if the endpoint has a lower score.
func (p *Placement) offer(e *Endpoint, x *estimate) {
	if occupancy := x.occupancy(); p.Endpoint == nil || occupancy < p.lowestOccupancy {
		p.lowestOccupancy = occupancy
	}
	switch {
	case p.Endpoint == nil:
		p.Endpoint, p.best = e, *x
	case x.score < p.best.score:
		p.Second, p.secondScore = p.Endpoint, p.best.score
		p.Endpoint, p.best = e, *x
	case p.Second == nil || x.score < p.secondScore:
		p.Second, p.secondScore = e, x.score
	}
}

// only makes the endpoint the choice without comparison. The endpoint may be nil.
func (p Placement) only(e *Endpoint, at int64) Placement {
	p.Endpoint, p.Second = e, nil
	if e != nil {
		e.estimate(&p.best, at, &p.need, 0)
	}
	return p
}

// Begin records that the request is about to be sent. Each Begin must be followed by one
// End.
func (p *Placement) Begin() {
	p.Endpoint.Begin()
	if p.byWork {
		l := p.Endpoint.learned()
		p.reportedAt = l.reportedAt.Load()
		l.inFlightWork.Add(p.expectedWork)
		l.sentWork.Add(p.expectedWork)
		l.sentRequests.Add(1)
	}
}

// Report records the state that the gate of the target reported with the response to this
// request.
func (p *Placement) Report(now time.Time, report Report) {
	p.Endpoint.Report(now, report)
	if p.byWork && report.OwnWork > 0 {
		s := p.Endpoint.service
		s.operations.Learn(s.clock.nanos(now), p.need.operation, &p.Endpoint.learned().speed, float64(report.OwnWork))
	}
}

// End records the result of the request. bytes is the size of request and response.
func (p *Placement) End(now time.Time, result Result, bytes int) {
	if p.byWork {
		p.endWork()
		p.learn(p.Endpoint.service.clock.nanos(now), &result, bytes)
	}
	p.Endpoint.End(now, result)
}

// endWork removes the request from what the node has in flight. Without a report since
// Begin, it also removes it from what was sent since the report.
func (p *Placement) endWork() {
	l := p.Endpoint.learned()
	l.inFlightWork.Add(-p.expectedWork)
	if l.reportedAt.Load() == p.reportedAt {
		l.sentWork.Add(-p.expectedWork)
		l.sentRequests.Add(-1)
	}
}

// maxComparedMultiple clips the latency by which targets are compared, as a multiple of
// the mean latency of the service. It exceeds slowFactor, so that slow targets are
// ejected, but not targets with few very long requests.
const maxComparedMultiple = 4

// learn compares the result with what was expected. It also sets how the latency is
// compared with that of requests of other operations.
func (p *Placement) learn(at int64, result *Result, bytes int) {
	verdict := classify(*result)
	latency := float64(result.Latency)
	expected := float64(p.explained) + p.need.operation.Calls()
	late := result.Reason == outcome.DeadlineExceeded && latency > expected
	if verdict != verdictGood && !late {
		return
	}
	all := p.Endpoint.service.operations.All()
	if !result.Unrepresentative {
		p.Endpoint.learned().addBias(at, latency-expected, p.need.mean)
	}
	if !late && !result.Unrepresentative {
		p.Endpoint.service.totals.add(expected, latency)
		unexplained := latency - float64(p.explained)
		p.need.operation.Finished(at, latency, unexplained, float64(bytes))
		if p.need.operation != all {
			all.Finished(at, latency, unexplained, float64(bytes))
		}
	}
	if mean := p.need.operation.Latency(); mean > 0 {
		result.scale, result.limit = all.Latency()/mean, maxComparedMultiple*all.Latency()
	}
}

// maxBiasMultiple clips the deviation of one latency from the expected one, as a multiple
// of the mean cost of the service. A few requests that take seven times as long must not
// keep a sender from a target.
const maxBiasMultiple = 3

// addBias includes a deviation of a latency from the expected one.
func (l *load) addBias(at int64, deviation, mean float64) {
	limit := maxBiasMultiple * mean
	clipped := min(max(deviation, -limit), limit)
	l.bias.Add(at, clipped, biasWeight)
	l.longBias.Add(at, clipped, longBiasWeight)
}
