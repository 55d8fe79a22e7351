package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// GateFlow is what a gate did since its start.
type GateFlow struct {
	Admissions []AdmissionCount
	Runs       []RunCount
	// Busy is the sum of the times that requests were at the target.
	Busy time.Duration
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

// ObserveGateFlow registers the source of the gate's counters. flow is called at
// each scrape and must not block.
func (m *Metrics) ObserveGateFlow(flow func() GateFlow) error {
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
	_, busy := m.meter.Float64ObservableCounter("primrosemount.gate.busy",
		metric.WithUnit("s"),
		metric.WithDescription("Sum of the times that requests were at the target."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(flow().Busy.Seconds())
			return nil
		}))
	return errors.Join(admissions, runs, busy)
}
