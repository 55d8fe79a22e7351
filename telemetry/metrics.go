// Package telemetry provides the metrics and the loggers of a node.
//
// Metrics are OpenTelemetry instruments that a Prometheus exporter serves. The number of
// label values is bounded: classes, outcomes and reasons are enums, and services beyond
// the first MaxServices are counted as OtherService.
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

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// MaxServices is the maximum number of services that have a separate label value.
	MaxServices = 1024
	// OtherService is the label value of all further services.
	OtherService = "other"
	// MaxLabelSets is the maximum number of label sets of one instrument. Measurements
	// beyond it are counted under the label otel_metric_overflow.
	MaxLabelSets = 8192
	// meterName is the name of the instrumentation scope.
	meterName = "github.com/primrosemount/primrosemount"
)

// durationBuckets holds the upper bounds of the histogram buckets in seconds. They range
// from a call over loopback, which takes 0.5 ms, to the longest deadlines in use.
var durationBuckets = []float64{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60}

// A GateSample is the state of the gate at one time.
type GateSample struct {
	InFlight  int64
	Waiting   int64
	Limit     int64
	Threshold int64
}

// A StreamSample is the offset up to which a node has read one stream of the log.
type StreamSample struct {
	Stream     string
	NextOffset uint64
}

// A ControlSample holds the counters of one kind of control message since the start.
type ControlSample struct {
	// Kind is one of a fixed set of names, so that the label is bounded.
	Kind     string
	Messages uint64
	Errors   uint64
	// BytesIn and BytesOut are the sizes of the encoded payloads received and sent.
	BytesIn  uint64
	BytesOut uint64
	// Processing is the time that the control task spent on the messages.
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

	mutex     sync.RWMutex
	services  map[string]bool
	labelSets map[labelKey]*labelSet
}

// labelKey identifies a label set of finished requests.
type labelKey struct {
	service string
	class   outcome.Class
	outcome outcome.Outcome
	reason  outcome.Reason
}

// labelSet holds the prepared options for one label set, so that counting a request
// allocates no memory, and the requests that have not been passed to the instruments.
type labelSet struct {
	count    []metric.AddOption
	duration []metric.RecordOption

	mutex   sync.Mutex
	pending []time.Duration
}

// maxPendingRequests is the number of requests of one label set that are passed to the
// instruments together. Looking up a label set in an instrument costs several times as
// much as counting one more request.
const maxPendingRequests = 64

// add adds a request and passes the pending ones on if there are enough of them.
func (p *labelSet) add(m *Metrics, elapsed time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pending = append(p.pending, elapsed)
	if len(p.pending) >= maxPendingRequests {
		p.flushLocked(m)
	}
}

// flush passes the pending requests to the instruments.
func (p *labelSet) flush(m *Metrics) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.flushLocked(m)
}

func (p *labelSet) flushLocked(m *Metrics) {
	if len(p.pending) == 0 {
		return
	}
	m.requests.Add(context.Background(), int64(len(p.pending)), p.count...)
	for _, elapsed := range p.pending {
		m.durations.Record(context.Background(), elapsed.Seconds(), p.duration...)
	}
	p.pending = p.pending[:0]
}

// NewMetrics returns metrics with a new registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: cannot create the metrics exporter; report this to the developers")
	}
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(MaxLabelSets))
	m := &Metrics{
		registry:  registry,
		provider:  provider,
		meter:     provider.Meter(meterName),
		services:  map[string]bool{},
		labelSets: map[labelKey]*labelSet{},
	}
	if err := m.createInstruments(); err != nil {
		return nil, errors.Wrap(err, "telemetry: cannot create the instruments; report this to the developers")
	}
	return m, nil
}

func (m *Metrics) createInstruments() error {
	return errors.Join(
		m.counter(&m.requests, "primrosemount.requests", "{request}", "Finished requests by outcome and reason."),
		m.counter(&m.retries, "primrosemount.retries", "{retry}", "Attempts after the first one."),
		m.counter(&m.logCalls, "primrosemount.log.calls", "{call}", "Calls of the platform's log service."),
		m.counter(&m.logLines, "primrosemount.log_lines.suppressed", "{line}", "Repeated log lines that were not written."),
		m.createDurationHistogram(),
	)
}

func (m *Metrics) counter(instrument *metric.Int64Counter, name, unit, description string) error {
	counter, err := m.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	*instrument = counter
	return err
}

func (m *Metrics) createDurationHistogram() error {
	histogram, err := m.meter.Float64Histogram("primrosemount.request.duration",
		metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to its outcome."),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	m.durations = histogram
	return err
}

// Handler returns a handler that serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	served := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.flush()
		served.ServeHTTP(w, r)
	})
}

// flush passes all finished requests to the instruments.
func (m *Metrics) flush() {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	for _, p := range m.labelSets {
		p.flush(m)
	}
}

// Close shuts down the instruments. Later measurements have no effect.
func (m *Metrics) Close() error {
	m.flush()
	return m.provider.Shutdown(context.Background())
}

// Request counts a finished request. reason is zero for completed requests.
func (m *Metrics) Request(service string, class outcome.Class, o outcome.Outcome, reason outcome.Reason, elapsed time.Duration) {
	m.labelSet(labelKey{service: service, class: class, outcome: o, reason: reason}).add(m, elapsed)
}

// labelSet returns the label set of a key. The first MaxServices services have a label set
// of their name, and further services that of OtherService.
func (m *Metrics) labelSet(key labelKey) *labelSet {
	m.mutex.RLock()
	p := m.labelSets[key]
	m.mutex.RUnlock()
	if p != nil {
		return p
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key.service = m.serviceLabel(key.service)
	return m.addLabelSet(key)
}

// serviceLabel returns the label value of a service: its name, or OtherService if
// MaxServices other services have a label. The caller must hold the mutex.
func (m *Metrics) serviceLabel(service string) string {
	if m.services[service] {
		return service
	}
	if len(m.services) >= MaxServices {
		return OtherService
	}
	m.services[service] = true
	return service
}

// addLabelSet returns the label set of a key and creates it if needed. The caller must hold
// the mutex.
func (m *Metrics) addLabelSet(key labelKey) *labelSet {
	if p := m.labelSets[key]; p != nil {
		return p
	}
	durationLabels := []attribute.KeyValue{
		attribute.String("service", key.service),
		attribute.String("class", key.class.String()),
	}
	countLabels := append(durationLabels[:2:2],
		attribute.String("outcome", key.outcome.String()),
		attribute.String("reason", reasonLabel(key.reason)))
	p := &labelSet{
		count:    []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(countLabels...))},
		duration: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(durationLabels...))},
	}
	m.labelSets[key] = p
	return p
}

func reasonLabel(reason outcome.Reason) string {
	if reason == 0 {
		return "none"
	}
	return reason.String()
}

// Retry counts an attempt after the first one of a call to the service.
func (m *Metrics) Retry(service string) {
	m.mutex.Lock()
	label := m.serviceLabel(service)
	m.mutex.Unlock()
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", label)))
}

// A LogResult is the result of a call to the log service.
type LogResult string

// Results of calls to the log service.
const (
	LogOK      LogResult = "ok"
	LogRefused LogResult = "refused"
	LogUnknown LogResult = "unknown"
	LogFailed  LogResult = "failed"
)

// LogAppend counts an append to a stream of the log.
func (m *Metrics) LogAppend(result LogResult) { m.countLogCall("append", result) }

// LogRead counts a read of a stream of the log.
func (m *Metrics) LogRead(result LogResult) { m.countLogCall("read", result) }

func (m *Metrics) countLogCall(operation string, result LogResult) {
	m.logCalls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", operation),
		attribute.String("result", string(result))))
}

// SuppressedLine counts a repeated log line that was not written.
func (m *Metrics) SuppressedLine() { m.logLines.Add(context.Background(), 1) }

// ObserveGate registers the gauges of the gate. sample is called at each scrape and must
// not block.
func (m *Metrics) ObserveGate(sample func() GateSample) error {
	return errors.Join(
		m.gauge("primrosemount.gate.in_flight", "{request}", "Requests in progress at the target.", func() int64 { return sample().InFlight }),
		m.gauge("primrosemount.gate.waiting", "{request}", "Requests in the queue of the gate.", func() int64 { return sample().Waiting }),
		m.gauge("primrosemount.gate.limit", "{request}", "Concurrency limit of the gate.", func() int64 { return sample().Limit }),
		m.gauge("primrosemount.gate.threshold", "{level}", "Highest level that the gate admits.", func() int64 { return sample().Threshold }),
	)
}

// ObserveMemory registers the gauges and counters of the memory of requests and responses.
// sample is called at each scrape.
func (m *Metrics) ObserveMemory(sample func() memory.Usage) error {
	held, err := m.meter.Int64ObservableGauge("primrosemount.memory.held", metric.WithUnit("By"),
		metric.WithDescription("Bytes held for requests and responses, by kind."))
	if err != nil {
		return err
	}
	refused, err := m.meter.Int64ObservableCounter("primrosemount.memory.refused", metric.WithUnit("{body}"),
		metric.WithDescription("Bodies for which no memory was left, by kind."))
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		usage := sample()
		for _, kind := range memory.Kinds() {
			label := metric.WithAttributes(attribute.String("kind", kind.String()))
			o.ObserveInt64(held, usage.Held[kind], label)
			o.ObserveInt64(refused, usage.Refused[kind], label)
		}
		return nil
	}, held, refused)
	return errors.Join(err,
		m.gauge("primrosemount.memory.limit", "By", "Bytes that requests and responses may hold.", func() int64 { return sample().Limit }),
		m.gauge("primrosemount.memory.peak", "By", "Most bytes that requests and responses have held.", func() int64 { return sample().Peak }))
}

// ObserveCertificate registers the gauge of the time at which the certificate of the node
// expires. expiry is called at each scrape.
func (m *Metrics) ObserveCertificate(expiry func() time.Time) error {
	return m.gauge("primrosemount.certificate.expiry", "s", "Unix time at which the certificate expires.", func() int64 { return expiry().Unix() })
}

// ObserveJournal registers the counter of dropped journal entries. dropped is called at
// each scrape.
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

// ObserveControl registers the counters of control messages. sample is called at each
// scrape.
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
		m.controlProcessing(sample),
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

func (m *Metrics) controlProcessing(sample func() []ControlSample) error {
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

// ObserveStreams registers the gauge of the offsets of the log's streams. sample is called
// at each scrape.
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
	return m.observableGauge(name, unit, description, func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	})
}

// gaugeIfKnown is gauge for a value that may be unknown, which is then left out.
func (m *Metrics) gaugeIfKnown(name, unit, description string, value func() *uint64) error {
	return m.observableGauge(name, unit, description, func(_ context.Context, o metric.Int64Observer) error {
		if known := value(); known != nil {
			o.Observe(int64(*known))
		}
		return nil
	})
}

func (m *Metrics) observableGauge(name, unit, description string, callback metric.Int64Callback) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description), metric.WithInt64Callback(callback))
	return err
}
