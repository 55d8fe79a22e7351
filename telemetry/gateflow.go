package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// GateCounters is what a gate did since its start.
type GateCounters struct {
	Admissions []AdmissionCount
	Runs       []RunCount
	// Busy is the sum of the times from the start of requests to their end at the
	// gate, AtTarget that of the times that the target had them.
	Busy     time.Duration
	AtTarget time.Duration
	// WastedCalls counts the calls that were completed for requests that failed.
	WastedCalls uint64
}

// AdmissionCount counts requests of a class by what the gate decided.
type AdmissionCount struct {
	Class outcome.Class
	// Decision is one of a fixed set of names.
	Decision string
	Count    uint64
}

// RunCount counts requests that were sent to the target by what became of them.
type RunCount struct {
	// Result is one of a fixed set of names.
	Result string
	Count  uint64
}

// ObserveGateCounters registers the source of the gate's counters. flow is called at
// each scrape and must not block.
func (m *Metrics) ObserveGateCounters(flow func() GateCounters) error {
	_, admissions := m.meter.Int64ObservableCounter("primrosemount.gate.admissions",
		metric.WithUnit("{request}"),
		metric.WithDescription("Requests that asked for admission, by class and decision."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, a := range flow().Admissions {
				o.Observe(int64(a.Count), metric.WithAttributes(
					attribute.String("class", a.Class.String()), attribute.String("decision", a.Decision)))
			}
			return nil
		}))
	_, runs := m.meter.Int64ObservableCounter("primrosemount.target.runs",
		metric.WithUnit("{request}"),
		metric.WithDescription("Requests that were sent to the target, by result."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, r := range flow().Runs {
				o.Observe(int64(r.Count), metric.WithAttributes(attribute.String("result", r.Result)))
			}
			return nil
		}))
	_, wasted := m.meter.Int64ObservableCounter("primrosemount.target.wasted_calls",
		metric.WithUnit("{call}"),
		metric.WithDescription("Calls that were completed for requests of the target that failed."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(flow().WastedCalls))
			return nil
		}))
	busy := m.observeSeconds("primrosemount.gate.busy", "Sum of the times from the start of requests to their end at the gate.",
		func() time.Duration { return flow().Busy })
	atTarget := m.observeSeconds("primrosemount.gate.target", "Sum of the times that the target had requests.",
		func() time.Duration { return flow().AtTarget })
	return errors.Join(admissions, runs, wasted, busy, atTarget)
}

// observeSeconds registers a counter of time.
func (m *Metrics) observeSeconds(name, description string, sum func() time.Duration) error {
	_, err := m.meter.Float64ObservableCounter(name,
		metric.WithUnit("s"),
		metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(sum().Seconds())
			return nil
		}))
	return err
}
