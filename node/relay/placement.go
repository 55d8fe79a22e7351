package relay

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// speedUnit is the number of units of GateReport.speed_permille in a speed of 1.
	speedUnit = 1000
	// placementLogInterval is the minimum time between two log lines about placements.
	// A line for each request would cost more than the placement.
	placementLogInterval = time.Second
)

// placing chooses targets as the configuration in force calls for.
type placing struct {
	config *configuration
	logger *zap.Logger
	// loggedAt is the time of the latest log line, in nanoseconds since 1970.
	loggedAt atomic.Int64
}

// choose chooses a target for a request and records the choice in it. Targets that were
// tried before are not chosen.
func (d *dispatcher) choose(o *outgoing, tried []uint64) (*route.Endpoint, *outcome.Error) {
	now, service := time.Now(), o.message.GetService()
	if !d.placing.config.placesByCost() {
		endpoint, err := d.router.Pick(now, service, 0, tried...)
		o.placement = route.Placement{Endpoint: endpoint}
		return endpoint, err
	}
	placement, err := d.router.Place(now, service, 0, route.Request{
		Operation:     o.route.Name,
		Bytes:         len(o.message.GetBody()),
		TargetLatency: o.route.TargetLatency,
		Remaining:     o.deadline.Sub(now),
	}, tried...)
	o.placement = placement
	if err == nil {
		d.placing.log(o, now)
	}
	return placement.Endpoint, err
}

// log writes a log line about the placement of a request, if there was none within
// placementLogInterval.
func (p *placing) log(o *outgoing, now time.Time) {
	last := p.loggedAt.Load()
	if now.UnixNano()-last < int64(placementLogInterval) || !p.loggedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	x := o.placement.Explain(now)
	p.logger.Info("A request was placed.", append(requestFields(o.message),
		zap.String("vm", x.VM), zap.Duration("cost", x.Cost), zap.Uint32("cost_samples", x.CostSamples), zap.Duration("cost_age", x.CostAge),
		zap.Duration("calls", x.Calls), zap.Duration("work_left", x.WorkLeft), zap.Float64("requests", x.Requests), zap.Float64("slots", x.Slots),
		zap.Duration("report_age", x.ReportAge), zap.Float64("speed", x.Speed), zap.Uint32("speed_samples", x.SpeedSamples),
		zap.Duration("speed_age", x.SpeedAge), zap.Duration("wait", x.Wait), zap.Duration("score", x.Score),
		zap.String("second", x.Second), zap.Duration("second_score", x.SecondScore))...)
}

// placements returns the errors of the expected latencies for metrics.
func (d *dispatcher) placements() telemetry.PlacementCounters {
	t := d.router.PlacementTotals()
	return telemetry.PlacementCounters{Responses: t.Responses, Expected: t.Expected, Measured: t.Measured, Deviation: t.Deviation}
}

// placesByCost reports whether the configuration in force calls for placement by cost.
func (c *configuration) placesByCost() bool {
	table := c.table.Load()
	return table != nil && table.Features.PlaceByCost
}

// reportWork adds the work that the target has left, and the own work of a route, to a
// report if the configuration calls for placement by cost. A view from before that has no
// work.
func (r *receiver) reportWork(report *pb.GateReport, route string, view *gateView) {
	if !r.config.placesByCost() || view.work == (gate.Work{}) {
		return
	}
	report.Slots = uint32(view.limit)
	// At least one microsecond, because 0 means that the work is not known.
	report.WorkLeftMicros = uint64(max(view.work.Left/time.Microsecond, 1))
	if number, known := r.numbering.known(route); known {
		report.ServiceTimeMicros = uint64(r.gate.gate.OwnWork(number) / time.Microsecond)
	}
	report.SpeedPermille = uint32(speedUnit * view.work.Speed)
}
