// Package telemetry holds the metrics and the logger of a node.
//
// Metrics are OpenTelemetry instruments that a Prometheus exporter serves. The
// labels are bounded: classes, outcomes and reasons are enums, and services
// beyond MaxServices are counted as OtherService.
package telemetry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// MaxServices is the number of services that get labels of their own.
	MaxServices = 1024
	// OtherService is the label of services beyond MaxServices.
	OtherService = "other"
	// MaxLabelSets bounds the label sets of one instrument; what exceeds it is
	// counted under the label otel_metric_overflow.
	MaxLabelSets = 8192
	// meterName names the instrumentation scope.
	meterName = "github.com/primrosemount/primrosemount"
)

// durationBounds are the upper bounds of histogram buckets in seconds. They
// cover the 0.5 ms of a call on loopback to the longest deadlines in use.
var durationBounds = []float64{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60}

// GateSample is the state of the gate at one moment.
type GateSample struct {
	InFlight  int64
	Waiting   int64
	Limit     int64
	Threshold int64
}

// StreamSample is how far a node has read one stream of the log.
type StreamSample struct {
	Stream     string
	NextOffset uint64
}

// ControlSample is what one kind of control message has cost since the start.
type ControlSample struct {
	// Kind is one of a fixed set of names.
	Kind     string
	Messages uint64
	Errors   uint64
	// BytesIn and BytesOut are encoded payload.
	BytesIn    uint64
	BytesOut   uint64
	Processing time.Duration
}

// Metrics holds the instruments of a node. It is safe for concurrent use.
type Metrics struct {
	registry  *prometheus.Registry
	provider  *sdk.MeterProvider
	meter     metric.Meter
	requests  metric.Int64Counter
	durations metric.Float64Histogram
	retries   metric.Int64Counter
	logCalls  metric.Int64Counter
	logLines  metric.Int64Counter

	mutex    sync.RWMutex
	services map[string]bool
	points   map[pointKey]*point
}

// pointKey names one set of labels of a finished request.
type pointKey struct {
	service string
	class   outcome.Class
	outcome outcome.Outcome
	reason  outcome.Reason
}

// point holds the prepared labels, so that a request costs no allocation.
type point struct {
	count    []metric.AddOption
	duration []metric.RecordOption
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: no exporter; report this to the developers")
	}
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(MaxLabelSets))
	m := &Metrics{
		registry: registry,
		provider: provider,
		meter:    provider.Meter(meterName),
		services: map[string]bool{},
		points:   map[pointKey]*point{},
	}
	if err := m.createInstruments(); err != nil {
		return nil, errors.Wrap(err, "telemetry: no instrument; report this to the developers")
	}
	return m, nil
}

func (m *Metrics) createInstruments() error {
	return errors.Join(
		m.counter(&m.requests, "primrosemount.requests", "{request}", "Finished requests by outcome and reason."),
		m.counter(&m.retries, "primrosemount.retries", "{retry}", "Attempts after the first one."),
		m.counter(&m.logCalls, "primrosemount.log.calls", "{call}", "Calls of the platform's log service."),
		m.counter(&m.logLines, "primrosemount.log_lines.suppressed", "{line}", "Repeated log lines that were not written."),
		m.createDurations(),
	)
}

func (m *Metrics) counter(target *metric.Int64Counter, name, unit, description string) error {
	counter, err := m.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	*target = counter
	return err
}

func (m *Metrics) createDurations() error {
	histogram, err := m.meter.Float64Histogram("primrosemount.request.duration",
		metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to its outcome."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	m.durations = histogram
	return err
}

// Handler serves the metrics in the format of Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close releases the instruments; later calls have no effect.
func (m *Metrics) Close() error {
	return m.provider.Shutdown(context.Background())
}

// Request counts a finished request. reason is zero for completed requests.
func (m *Metrics) Request(service string, class outcome.Class, o outcome.Outcome, reason outcome.Reason, took time.Duration) {
	p := m.point(pointKey{service: service, class: class, outcome: o, reason: reason})
	m.requests.Add(context.Background(), 1, p.count...)
	m.durations.Record(context.Background(), took.Seconds(), p.duration...)
}

func (m *Metrics) point(key pointKey) *point {
	m.mutex.RLock()
	p := m.points[key]
	m.mutex.RUnlock()
	if p != nil {
		return p
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key.service = m.boundedService(key.service)
	return m.addPoint(key)
}

// boundedService returns service, or OtherService if there are too many. The
// caller holds the mutex.
func (m *Metrics) boundedService(service string) string {
	if m.services[service] {
		return service
	}
	if len(m.services) >= MaxServices {
		return OtherService
	}
	m.services[service] = true
	return service
}

func (m *Metrics) addPoint(key pointKey) *point {
	if p := m.points[key]; p != nil {
		return p
	}
	short := []attribute.KeyValue{
		attribute.String("service", key.service),
		attribute.String("class", key.class.String()),
	}
	long := append(short[:2:2],
		attribute.String("outcome", key.outcome.String()),
		attribute.String("reason", reasonLabel(key.reason)))
	p := &point{
		count:    []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(long...))},
		duration: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(short...))},
	}
	m.points[key] = p
	return p
}

func reasonLabel(reason outcome.Reason) string {
	if reason == 0 {
		return "none"
	}
	return reason.String()
}

// Retry counts an attempt after the first one of a call to service.
func (m *Metrics) Retry(service string) {
	m.mutex.Lock()
	label := m.boundedService(service)
	m.mutex.Unlock()
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", label)))
}

// LogResult is the result of a call of the log service.
type LogResult string

// Results of calls of the log service.
const (
	LogOK      LogResult = "ok"
	LogRefused LogResult = "refused"
	LogUnknown LogResult = "unknown"
	LogFailed  LogResult = "failed"
)

// LogAppend counts an append to a stream of the log.
func (m *Metrics) LogAppend(result LogResult) { m.logCall("append", result) }

// LogRead counts a read of a stream of the log.
func (m *Metrics) LogRead(result LogResult) { m.logCall("read", result) }

func (m *Metrics) logCall(operation string, result LogResult) {
	m.logCalls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", operation),
		attribute.String("result", string(result))))
}

// SuppressedLine counts a repeated log line that was not written.
func (m *Metrics) SuppressedLine() { m.logLines.Add(context.Background(), 1) }

// ObserveGate registers the source of the gate's gauges. sample is called at
// each scrape and must not block.
func (m *Metrics) ObserveGate(sample func() GateSample) error {
	return errors.Join(
		m.gauge("primrosemount.gate.in_flight", "{request}", "Requests in progress at the target.", func() int64 { return sample().InFlight }),
		m.gauge("primrosemount.gate.waiting", "{request}", "Requests in the queue of the gate.", func() int64 { return sample().Waiting }),
		m.gauge("primrosemount.gate.limit", "{request}", "Concurrency limit of the gate.", func() int64 { return sample().Limit }),
		m.gauge("primrosemount.gate.threshold", "{level}", "Highest level that the gate admits.", func() int64 { return sample().Threshold }),
	)
}

// ObserveCertificate registers the source of the time at which the certificate
// of the node expires.
func (m *Metrics) ObserveCertificate(expiry func() time.Time) error {
	return m.gauge("primrosemount.certificate.expiry", "s", "Unix time at which the certificate expires.", func() int64 { return expiry().Unix() })
}

// ObserveJournal registers the source of the number of dropped journal entries.
func (m *Metrics) ObserveJournal(dropped func() uint64) error {
	_, err := m.meter.Int64ObservableCounter("primrosemount.journal.dropped",
		metric.WithUnit("{entry}"),
		metric.WithDescription("Journal entries dropped because of the bound or by sampling."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(dropped()))
			return nil
		}))
	return err
}

// ObserveControl registers the source of the counters of control messages.
func (m *Metrics) ObserveControl(sample func() []ControlSample) error {
	return errors.Join(
		m.controlCounter("primrosemount.control.messages", "{message}", "Control messages.", sample,
			func(s ControlSample) uint64 { return s.Messages }),
		m.controlCounter("primrosemount.control.errors", "{message}", "Control messages that failed.", sample,
			func(s ControlSample) uint64 { return s.Errors }),
		m.controlCounter("primrosemount.control.received", "By", "Payload of control messages received.", sample,
			func(s ControlSample) uint64 { return s.BytesIn }),
		m.controlCounter("primrosemount.control.sent", "By", "Payload of control messages sent.", sample,
			func(s ControlSample) uint64 { return s.BytesOut }),
		m.controlTime(sample),
	)
}

func (m *Metrics) controlCounter(name, unit, description string, sample func() []ControlSample, value func(ControlSample) uint64) error {
	_, err := m.meter.Int64ObservableCounter(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, s := range sample() {
				o.Observe(int64(value(s)), metric.WithAttributes(attribute.String("kind", s.Kind)))
			}
			return nil
		}))
	return err
}

func (m *Metrics) controlTime(sample func() []ControlSample) error {
	_, err := m.meter.Float64ObservableCounter("primrosemount.control.processing",
		metric.WithUnit("s"),
		metric.WithDescription("Time that the control task spent on messages."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, s := range sample() {
				o.Observe(s.Processing.Seconds(), metric.WithAttributes(attribute.String("kind", s.Kind)))
			}
			return nil
		}))
	return err
}

// ObserveStreams registers the source of the offsets of the log's streams.
func (m *Metrics) ObserveStreams(sample func() []StreamSample) error {
	_, err := m.meter.Int64ObservableGauge("primrosemount.stream.next_offset",
		metric.WithDescription("Offset after the last record in the state of the node."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, s := range sample() {
				o.Observe(int64(s.NextOffset), metric.WithAttributes(attribute.String("stream", s.Stream)))
			}
			return nil
		}))
	return err
}

func (m *Metrics) gauge(name, unit, description string, value func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	return err
}
