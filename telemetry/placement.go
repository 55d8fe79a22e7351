package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
)

// PathPlacement is the path of the page of the metrics listener that tells where a request
// would go now. Its parameters are service, operation, bytes, target_latency, remaining and
// format, which is text or json.
const PathPlacement = "/placement"

// PlacementCounters compares the expected and the measured latencies of requests that were
// placed by their cost.
type PlacementCounters struct {
	Responses uint64
	// Expected and Measured are the sums of the latencies, and Deviation is the sum of
	// the absolute differences.
	Expected, Measured, Deviation time.Duration
}

// ObservePlacements registers the counters of the errors of placements. The function
// counters is called at each scrape and must not block.
func (m *Metrics) ObservePlacements(counters func() PlacementCounters) error {
	_, responses := m.meter.Int64ObservableCounter("primrosemount.placement.responses",
		metric.WithUnit("{response}"),
		metric.WithDescription("Complete responses to requests that were placed by their cost."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(counters().Responses))
			return nil
		}))
	return errors.Join(responses,
		m.durationCounter("primrosemount.placement.expected", "Sum of the latencies that were expected of requests placed by their cost.",
			func() time.Duration { return counters().Expected }),
		m.durationCounter("primrosemount.placement.measured", "Sum of the latencies that were measured of requests placed by their cost.",
			func() time.Duration { return counters().Measured }),
		m.durationCounter("primrosemount.placement.deviation", "Sum of the absolute differences between expected and measured latencies.",
			func() time.Duration { return counters().Deviation }))
}
