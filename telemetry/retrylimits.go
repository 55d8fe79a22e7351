package telemetry

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// A RetryLimitSample is the state of the retry limit of one called service.
type RetryLimitSample struct {
	Service string
	// Level is the highest level whose calls get retries.
	Level int64
	// RefusalShare is the share of sends that targets of the service refuse.
	RefusalShare float64
	// RetriesLeft is the number of retries that the budget permits.
	RetriesLeft float64
}

// ObserveRetryLimits registers the gauges of the retry limits of the called services.
// sample is called at each scrape. Services beyond the first MaxServices are omitted.
func (m *Metrics) ObserveRetryLimits(sample func() []RetryLimitSample) error {
	level, levelErr := m.meter.Int64ObservableGauge("primrosemount.retry_limit.level", metric.WithUnit("{level}"),
		metric.WithDescription("Highest level whose calls to the service get retries."))
	refused, refusedErr := m.meter.Float64ObservableGauge("primrosemount.retry_limit.refused_share",
		metric.WithDescription("Share of sends that targets of the service refuse."))
	left, leftErr := m.meter.Float64ObservableGauge("primrosemount.retry_limit.retries_left", metric.WithUnit("{retry}"),
		metric.WithDescription("Retries to the service that the budget permits."))
	if err := errors.Join(levelErr, refusedErr, leftErr); err != nil {
		return err
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		samples := sample()
		for _, s := range samples[:min(len(samples), MaxServices)] {
			label := metric.WithAttributes(attribute.String("service", s.Service))
			o.ObserveInt64(level, s.Level, label)
			o.ObserveFloat64(refused, s.RefusalShare, label)
			o.ObserveFloat64(left, s.RetriesLeft, label)
		}
		return nil
	}, level, refused, left)
	return err
}
