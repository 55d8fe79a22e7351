package telemetry

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// A QuotaSample holds the counts of quota decisions and exchanges since the start.
type QuotaSample struct {
	// Admitted, Exceeded and Unknown count root requests of accounts with a quota.
	Admitted, Exceeded, Unknown int64
	// Exchanged and Failed count exchanges with owners of quotas.
	Exchanged, Failed int64
}

// ObserveQuotas registers the counters of quotas. sample is called at each scrape.
func (m *Metrics) ObserveQuotas(sample func() QuotaSample) error {
	return errors.Join(
		m.resultCounter("primrosemount.quota.decisions", "{request}", "Root requests of accounts with a quota, by decision.", func(observe func(string, int64)) {
			s := sample()
			observe("admitted", s.Admitted)
			observe("exceeded", s.Exceeded)
			observe("unknown", s.Unknown)
		}),
		m.resultCounter("primrosemount.quota.exchanges", "{message}", "Exchanges with owners of quotas, by result.", func(observe func(string, int64)) {
			s := sample()
			observe("answered", s.Exchanged)
			observe("failed", s.Failed)
		}),
	)
}

// resultCounter registers a counter with one value for each of a fixed set of results.
func (m *Metrics) resultCounter(name, unit, description string, values func(observe func(result string, value int64))) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			values(func(result string, value int64) {
				o.Observe(value, metric.WithAttributes(attribute.String("result", result)))
			})
			return nil
		}))
	return err
}
