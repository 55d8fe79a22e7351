package route

import (
	"math"
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
	// lowestOccupancy is the lowest occupancy of the targets that were compared so far.
	lowestOccupancy float64
}

// Place chooses a target by LeastWork, whatever the policy of the router is. Otherwise it
// is like Pick.
func (r *Router) Place(now time.Time, name string, level outcome.Level, request Request, exclude ...uint64) (Placement, *outcome.Error) {
	s := (*r.services.Load())[name]
	if s == nil {
		return Placement{}, outcome.New(outcome.NotRun, outcome.NoTarget, "no target of the service is known")
	}
	q := query{
		at:      r.clock.nanos(now),
		level:   level,
		exclude: exclude,
		draw:    draw(s.random.next()),
		panic:   s.panic.Load(),
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
		p.best = e.estimate(at, &p.need)
	}
	return p
}

// Begin records that the request is about to be sent. Each Begin must be followed by one
// End.
func (p *Placement) Begin() {
	p.Endpoint.Begin()
	if p.byWork {
		l := &p.Endpoint.load
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
		s.operations.Learn(s.clock.nanos(now), p.need.operation, &p.Endpoint.load.speed, float64(report.OwnWork))
	}
}

// End records the result of the request. bytes is the size of request and response.
func (p *Placement) End(now time.Time, result Result, bytes int) {
	if p.byWork {
		p.Endpoint.load.inFlightWork.Add(-p.expectedWork)
		result.scale = p.learn(p.Endpoint.service.clock.nanos(now), result, bytes)
	}
	p.Endpoint.End(now, result)
}

// learn compares the result with what was expected. It returns the factor from the latency
// of the operation to that of a mean operation, or 0 if it is unknown.
func (p *Placement) learn(at int64, result Result, bytes int) float64 {
	verdict := classify(result)
	latency := float64(result.Latency)
	expected := float64(p.explained) + p.need.operation.Calls()
	late := result.Reason == outcome.DeadlineExceeded && latency > expected
	if verdict != verdictGood && !late {
		return 0
	}
	p.Endpoint.load.addBias(at, latency-expected, p.need.mean)
	if late {
		return 0
	}
	all := p.Endpoint.service.operations.All()
	unexplained := latency - float64(p.explained)
	p.need.operation.Finished(at, latency, unexplained, float64(bytes))
	if p.need.operation != all {
		all.Finished(at, latency, unexplained, float64(bytes))
	}
	if mean := p.need.operation.Latency(); mean > 0 {
		return all.Latency() / mean
	}
	return 0
}

// maxBiasMultiple clips the deviation of one latency from the expected one, as a multiple
// of the mean cost of the service.
const maxBiasMultiple = 10

// addBias includes a deviation of a latency from the expected one.
func (l *load) addBias(at int64, deviation, mean float64) {
	limit := maxBiasMultiple * mean
	l.bias.Add(at, math.Min(math.Max(deviation, -limit), limit), biasWeight)
}
