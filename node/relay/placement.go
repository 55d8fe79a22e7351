package relay

import (
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// speedUnit is the number of units of GateReport.speed_permille in a speed of 1.
const speedUnit = 1000

// placesByCost reports whether the configuration in force calls for placement by cost.
func (c *configuration) placesByCost() bool {
	table := c.table.Load()
	return table != nil && table.Features.PlaceByCost
}

// reportWork adds the work that the target has left, and the own work of a route, to a
// report if the configuration calls for placement by cost.
func (r *receiver) reportWork(report *pb.GateReport, route string, view *gateView) {
	if !r.config.placesByCost() {
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
