package telemetry

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/outcome"
)

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 200, recorder.Code)
	return recorder.Body.String()
}

func newMetrics(t *testing.T) *Metrics {
	t.Helper()
	m, err := NewMetrics()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, m.Close()) })
	return m
}

// Guards against renamed metrics and labels, which would break the users' dashboards.
func TestMetricNames(t *testing.T) {
	m := newMetrics(t)
	m.Request("orders", outcome.Critical, outcome.NotRun, outcome.Overloaded, 3*time.Millisecond)
	m.Retry("orders")
	m.LogAppend(LogUnknown)
	m.SuppressedLine()
	require.NoError(t, m.ObserveGate(func() GateSample { return GateSample{InFlight: 7, Limit: 9} }))
	require.NoError(t, m.ObserveConfiguration(func() ConfigurationSample {
		return ConfigurationSample{Version: 6, Age: 2 * time.Second, StoreAge: 3 * time.Second, StoreEra: proto.Uint64(4)}
	}))
	require.NoError(t, m.ObserveCertificate(func() time.Time { return time.Unix(12, 0) }))
	require.NoError(t, m.ObserveJournal(func() uint64 { return 5 }))
	require.NoError(t, m.ObserveStreams(func() []StreamSample { return []StreamSample{{"members", 4}} }))
	require.NoError(t, m.ObserveControl(func() []ControlSample {
		return []ControlSample{{Kind: "tick", Messages: 3, Errors: 1, BytesIn: 8, BytesOut: 9, Processing: 2 * time.Second}}
	}))
	require.NoError(t, m.ObserveQuotas(func() QuotaSample {
		return QuotaSample{Admitted: 5, Exceeded: 4, Unknown: 3, Exchanged: 2, Failed: 1}
	}))
	got := scrape(t, m)
	for _, want := range []string{
		`primrosemount_quota_decisions_total{result="admitted"} 5`,
		`primrosemount_quota_decisions_total{result="exceeded"} 4`,
		`primrosemount_quota_decisions_total{result="unknown"} 3`,
		`primrosemount_quota_exchanges_total{result="answered"} 2`,
		`primrosemount_quota_exchanges_total{result="failed"} 1`,
		`primrosemount_requests_total{class="critical",outcome="not_run",reason="overloaded",service="orders"} 1`,
		`primrosemount_request_duration_seconds_bucket{class="critical",service="orders",le="0.005"} 1`,
		`primrosemount_retries_total{service="orders"} 1`,
		`primrosemount_log_calls_total{operation="append",result="unknown"} 1`,
		`primrosemount_log_lines_suppressed_total 1`,
		`primrosemount_gate_in_flight 7`,
		`primrosemount_gate_limit 9`,
		`primrosemount_configuration_version 6`,
		`primrosemount_configuration_age_milliseconds 2000`,
		`primrosemount_configuration_store_age_milliseconds 3000`,
		`primrosemount_store_era 4`,
		`primrosemount_certificate_expiry_seconds 12`,
		`primrosemount_journal_dropped_total 5`,
		`primrosemount_stream_next_offset{stream="members"} 4`,
		`primrosemount_control_messages_total{kind="tick"} 3`,
		`primrosemount_control_errors_total{kind="tick"} 1`,
		`primrosemount_control_received_bytes_total{kind="tick"} 8`,
		`primrosemount_control_sent_bytes_total{kind="tick"} 9`,
		`primrosemount_control_processing_seconds_total{kind="tick"} 2`,
		`go_goroutines`,
	} {
		require.Contains(t, got, want)
	}
}

// Guards against an unbounded number of label values for services.
func TestServiceLabelsAreBounded(t *testing.T) {
	m := newMetrics(t)
	for i := range MaxServices + 50 {
		m.Request(fmt.Sprintf("s%d", i), outcome.Normal, outcome.Completed, 0, 0)
	}
	got := scrape(t, m)
	require.Equal(t, MaxServices+1, strings.Count(got, "primrosemount_requests_total{"))
	require.Contains(t, got, `primrosemount_requests_total{class="normal",outcome="completed",reason="none",service="other"} 50`)
}

// Guards against lines without the name of their part, and against an unlimited number of
// repeated lines.
func TestLogger(t *testing.T) {
	var output bytes.Buffer
	suppressed := 0
	logger, err := NewLogger("info", WithOutput(zapcore.AddSync(&output)), WithSuppressed(func() { suppressed++ }))
	require.NoError(t, err)
	gate := Named(logger, PartGate)
	gate.Debug("not written")
	for range 100 {
		gate.Warn("the limit fell", zap.Int("to", 4))
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	require.Len(t, lines, lineFirst)
	require.Regexp(t, `^\S+ warn gate: the limit fell {"to": 4}$`, lines[0])
	require.Equal(t, 100-lineFirst, suppressed)

	_, err = NewLogger("loud")
	require.ErrorContains(t, err, "use debug, info, warn or error")
}

func BenchmarkRequest(b *testing.B) {
	m, err := NewMetrics()
	require.NoError(b, err)
	b.ReportAllocs()
	for range b.N {
		m.Request("orders", outcome.Critical, outcome.Completed, 0, time.Millisecond)
	}
}

// Guards against renamed metrics of placements, and against times in another unit.
func TestPlacementMetricNames(t *testing.T) {
	m := newMetrics(t)
	require.NoError(t, m.ObservePlacements(func() PlacementCounters {
		return PlacementCounters{Responses: 3, Expected: 2 * time.Second, Measured: 4 * time.Second, Deviation: 2500 * time.Millisecond}
	}))
	text := scrape(t, m)
	for _, line := range []string{
		"primrosemount_placement_responses_total 3",
		"primrosemount_placement_expected_seconds_total 2",
		"primrosemount_placement_measured_seconds_total 4",
		"primrosemount_placement_deviation_seconds_total 2.5",
	} {
		require.Contains(t, text, line)
	}
}
