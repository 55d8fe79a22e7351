package relay

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/telemetry"
)

// loadedGate returns a gate task with one slot. The test applies its events itself.
func loadedGate(now time.Time) (*gateTask, *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	task := newGateTask("a", "s", func(string) int { return 0 }, zap.New(core), func(gateView) {})
	task.load.since = now
	task.gate.SetDown(false)
	return task, lines
}

// Guards against an overload whose cause cannot be determined from logs and
// metrics: too few slots in use, refused requests, or wasted work.
func TestLoadOfRefusingGateIsLoggedAndMeasured(t *testing.T) {
	now := time.Now().Add(time.Second)
	task, lines := loadedGate(now)
	require.Equal(t, gate.Start, task.gate.Offer(now, gate.Request{ID: 1, Level: outcome.LevelOf(outcome.Critical, 0)}).Kind)
	refused := gate.Request{ID: 2, Level: outcome.LevelOf(outcome.Sheddable, 0), Deadline: now.Add(-time.Millisecond)}
	require.Equal(t, gate.Refuse, task.gate.Offer(now, refused).Kind)
	end := now.Add(loadLogInterval / 2)
	task.gate.Done(end, 1, gate.Sample{Latency: loadLogInterval / 2})
	task.load.add(runSummary{result: runCallFailed, completedCalls: 7, targetTime: loadLogInterval / 4})
	task.advance(now.Add(loadLogInterval))

	found := lines.FilterMessage("The load of the gate.").All()
	require.Len(t, found, 1)
	fields := found[0].ContextMap()
	require.Equal(t, []any{uint64(0), uint64(1), uint64(0), uint64(0)}, fields["started"])
	require.Equal(t, []any{uint64(0), uint64(0), uint64(0), uint64(1)}, fields["refused"])
	require.Equal(t, uint64(1), fields["call_failed"])
	require.InDelta(t, 0.5, fields["busy"], 0.01)
	require.InDelta(t, 0.25, fields["at_target"], 0.01)
	require.Equal(t, uint64(7), fields["wasted_calls"])

	metrics, err := telemetry.NewMetrics()
	require.NoError(t, err)
	require.NoError(t, metrics.ObserveGateCounters(task.flow))
	page := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(page, httptest.NewRequestWithContext(context.Background(), "GET", "/metrics", nil))
	require.Contains(t, page.Body.String(), `primrosemount_gate_admissions_total{class="sheddable",decision="refused"} 1`)
	require.Contains(t, page.Body.String(), `primrosemount_target_runs_total{result="call_failed"} 1`)
	require.Contains(t, page.Body.String(), `primrosemount_gate_busy_seconds_total 0.5`)
	require.Contains(t, page.Body.String(), `primrosemount_gate_target_seconds_total 0.25`)
	require.Contains(t, page.Body.String(), `primrosemount_target_wasted_calls_total 7`)
}

// Guards against log lines about the load of gates that refuse nothing.
func TestGateWithoutRefusalsLogsNoLoad(t *testing.T) {
	now := time.Now()
	task, lines := loadedGate(now)
	task.advance(now.Add(2 * loadLogInterval))
	require.Empty(t, lines.FilterMessage("The load of the gate.").All())
}
