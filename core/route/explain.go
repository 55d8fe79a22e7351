package route

import (
	"math"
	"sync/atomic"
	"time"
)

// placementTotals sums the errors of the expected latencies. Its fields are in nanoseconds.
type placementTotals struct {
	count, expected, measured, deviation atomic.Int64
}

func (t *placementTotals) add(expected, measured float64) {
	t.count.Add(1)
	t.expected.Add(int64(expected))
	t.measured.Add(int64(measured))
	t.deviation.Add(int64(math.Abs(measured - expected)))
}

// PlacementTotals compares the expected and the measured latencies of the requests that
// were placed by LeastWork and got a complete response.
type PlacementTotals struct {
	Responses uint64
	// Expected and Measured are the sums of the latencies, and Deviation is the sum of
	// the absolute differences.
	Expected, Measured, Deviation time.Duration
}

// PlacementTotals returns the totals since the start of the router.
func (r *Router) PlacementTotals() PlacementTotals {
	t := &r.totals
	return PlacementTotals{
		Responses: uint64(t.count.Load()),
		Expected:  time.Duration(t.expected.Load()),
		Measured:  time.Duration(t.measured.Load()),
		Deviation: time.Duration(t.deviation.Load()),
	}
}

// An Explanation tells what a placement was based on.
type Explanation struct {
	VM string `json:"vm"`
	// Cost is the expected own work at a target of mean speed, learned from CostSamples
	// reports, of which the latest is CostAge old.
	Cost        time.Duration `json:"cost_ns"`
	CostSamples uint32        `json:"cost_samples"`
	CostAge     time.Duration `json:"cost_age_ns"`
	// Calls is the expected wait for calls to deeper services.
	Calls time.Duration `json:"calls_ns"`
	// Speed is the speed of the target now, learned from SpeedSamples reports, of which
	// the latest is SpeedAge old.
	Speed        float64       `json:"speed"`
	SpeedSamples uint32        `json:"speed_samples"`
	SpeedAge     time.Duration `json:"speed_age_ns"`
	// WorkLeft, Requests and Slots are the estimated load of the target. ReportAge is
	// the age of the report that they are based on, and negative if there is none.
	WorkLeft  time.Duration `json:"work_left_ns"`
	Requests  float64       `json:"requests"`
	Slots     float64       `json:"slots"`
	ReportAge time.Duration `json:"report_age_ns"`
	// Wait is the expected time until a slot is free, and Score the result of the
	// comparison; the lowest score is chosen.
	Wait  time.Duration `json:"wait_ns"`
	Score time.Duration `json:"score_ns"`
	// Second is the VM with the second lowest score, SecondScore, or empty.
	Second      string        `json:"second,omitempty"`
	SecondScore time.Duration `json:"second_score_ns,omitempty"`
}

// ByWork reports whether the target was chosen by LeastWork.
func (p *Placement) ByWork() bool { return p.byWork }

// Explain returns what a placement by LeastWork was based on.
func (p *Placement) Explain(now time.Time) Explanation {
	x := p.Endpoint.explain(p.Endpoint.service.clock.nanos(now), &p.need, &p.best)
	if p.Second != nil {
		x.Second, x.SecondScore = p.Second.target.VM, time.Duration(p.secondScore)
	}
	return x
}

// explain returns what an estimate was based on.
func (e *Endpoint) explain(at int64, n *need, best *estimate) Explanation {
	x := Explanation{
		VM: e.target.VM, Cost: time.Duration(n.own), CostSamples: n.operation.Samples(), CostAge: ageOf(n.operation.Samples(), n.operation.Age(at)),
		Calls: time.Duration(n.calls), Speed: best.speed, SpeedSamples: e.learned().speed.Samples(), SpeedAge: ageOf(e.learned().speed.Samples(), e.learned().speed.Age(at)),
		WorkLeft: time.Duration(best.work), Requests: best.requests, Slots: best.slots, ReportAge: unknownAge,
		Wait: time.Duration(best.wait), Score: time.Duration(best.score),
	}
	if reported := e.learned().reportedAt.Load(); reported > 0 {
		x.ReportAge = time.Duration(max(at-reported, 0))
	}
	return x
}

// unknownAge is the age of what is not known.
const unknownAge = time.Duration(-1)

func ageOf(samples uint32, age time.Duration) time.Duration {
	if samples == 0 {
		return unknownAge
	}
	return age
}
