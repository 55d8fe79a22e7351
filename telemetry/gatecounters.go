package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// GateCounters holds the counters of a gate since its start.
type GateCounters struct {
	Admissions []AdmissionCount
	Runs       []RunCount
	// Busy is the sum over all requests of the time from their start to their end at
	// the gate, and AtTarget the sum of the time for which they were at the target.
	Busy     time.Duration
	AtTarget time.Duration
	// WastedCalls is the number of calls that were completed on behalf of requests
	// that then failed.
	WastedCalls uint64
}

// An AdmissionCount is the number of requests of one class with one admission decision.
type AdmissionCount struct {
	Class outcome.Class
	// Decision is one of a fixed set of names, so that the label is bounded.
	Decision string
	Count    uint64
}

// A RunCount is the number of requests that were sent to the target and had one result.
type RunCount struct {
	// Result is one of a fixed set of names, so that the label is bounded.
	Result string
	Count  uint64
}

// ObserveGateCounters registers the counters of the gate. The function counters is called
// at each scrape and must not block.
func (m *Metrics) ObserveGateCounters(counters func() GateCounters) error {
	_, admissions := m.meter.Int64ObservableCounter("primrosemount.gate.admissions",
		metric.WithUnit("{request}"),
		metric.WithDescription("Requests that asked for admission, by class and decision."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, a := range counters().Admissions {
				o.Observe(int64(a.Count), metric.WithAttributes(
					attribute.String("class", a.Class.String()), attribute.String("decision", a.Decision)))
			}
			return nil
		}))
	_, runs := m.meter.Int64ObservableCounter("primrosemount.target.runs",
		metric.WithUnit("{request}"),
		metric.WithDescription("Requests that were sent to the target, by result."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, r := range counters().Runs {
				o.Observe(int64(r.Count), metric.WithAttributes(attribute.String("result", r.Result)))
			}
			return nil
		}))
	_, wasted := m.meter.Int64ObservableCounter("primrosemount.target.wasted_calls",
		metric.WithUnit("{call}"),
		metric.WithDescription("Calls that were completed for requests of the target that failed."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(counters().WastedCalls))
			return nil
		}))
	busy := m.durationCounter("primrosemount.gate.busy", "Sum of the times from the start of requests to their end at the gate.",
		func() time.Duration { return counters().Busy })
	atTarget := m.durationCounter("primrosemount.gate.target", "Sum of the times that the target had requests.",
		func() time.Duration { return counters().AtTarget })
	return errors.Join(admissions, runs, wasted, busy, atTarget)
}

// durationCounter registers a counter of time in seconds.
func (m *Metrics) durationCounter(name, description string, sum func() time.Duration) error {
	_, err := m.meter.Float64ObservableCounter(name,
		metric.WithUnit("s"),
		metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(sum().Seconds())
			return nil
		}))
	return err
}
