package relay

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/telemetry"
)

// loadLogInterval is the minimum time between two log lines about the load of the
// gate.
const loadLogInterval = time.Second

// runResult classifies the result of a request that was sent to the target.
type runResult uint8

// Results of requests at the target.
const (
	// runSucceeded is a complete response other than a server error.
	runSucceeded runResult = iota
	// runCallFailed is a failure of a request one of whose calls had failed. The
	// work done for the request is wasted.
	runCallFailed
	// runFailed is a failure of the target, or an incomplete or missing response.
	runFailed
	runResultCount
)

// runCounts counts requests at the target by result.
type runCounts [runResultCount]uint64

func resultOf(result targetResult, callFailed bool) runResult {
	switch {
	case result.outcome == outcome.Completed && result.status < http.StatusInternalServerError:
		return runSucceeded
	case callFailed:
		return runCallFailed
	default:
		return runFailed
	}
}

// runSummary summarizes a request that was sent to the target when it ends.
type runSummary struct {
	result runResult
	// completedCalls is the number of calls completed on behalf of the request.
	completedCalls uint32
	// targetTime is the time from the first byte sent to the last byte received.
	targetTime time.Duration
}

// gateTotals holds cumulative counters since the start of the gate.
type gateTotals struct {
	gate gate.Totals
	runs runCounts
	// wastedCalls is the number of calls that were completed on behalf of requests
	// that failed.
	wastedCalls uint64
	// targetTime is the total time that requests spent at the target.
	targetTime time.Duration
}

// loadMeter counts results and keeps the totals as of the last report.
type loadMeter struct {
	since time.Time
	// finished holds the part of the totals that is counted when requests end.
	finished gateTotals
	// reported holds the totals as of the last load interval. Metrics read it as
	// well.
	reported atomic.Pointer[gateTotals]
}

func (m *loadMeter) add(end runSummary) {
	m.finished.runs[end.result]++
	m.finished.targetTime += end.targetTime
	if end.result != runSucceeded {
		m.finished.wastedCalls += uint64(end.completedCalls)
	}
}

// totals returns the current totals.
func (t *gateTask) totals() *gateTotals {
	totals := t.load.finished
	totals.gate = t.gate.Totals()
	return &totals
}

// since returns the difference to earlier totals of the same gate.
func (t *gateTotals) since(earlier *gateTotals) gateTotals {
	return gateTotals{
		gate:        t.gate.Since(earlier.gate),
		runs:        t.runs.minus(earlier.runs),
		wastedCalls: t.wastedCalls - earlier.wastedCalls,
		targetTime:  t.targetTime - earlier.targetTime,
	}
}

// logLoad closes a load interval after at least loadLogInterval and logs its load
// if the gate refused requests or calls were wasted in it.
func (t *gateTask) logLoad(now time.Time) {
	span := now.Sub(t.load.since)
	if span < loadLogInterval {
		return
	}
	after := t.totals()
	delta := after.since(t.load.reported.Load())
	if delta.gate.Refused.Sum() > 0 || delta.wastedCalls > 0 {
		t.logger.Info("The load of the gate.", append(t.loadFields(delta), zap.Duration("span", span),
			zap.Float64("busy", float64(delta.gate.Busy)/float64(span)), zap.Float64("at_target", float64(delta.targetTime)/float64(span)))...)
	}
	t.load.since = now
	t.load.reported.Store(after)
}

func (c runCounts) minus(other runCounts) runCounts {
	for result := range c {
		c[result] -= other[result]
	}
	return c
}

func (t *gateTask) loadFields(delta gateTotals) []zap.Field {
	return []zap.Field{
		classCounts("offered", delta.gate.Offered), classCounts("started", delta.gate.Started), classCounts("refused", delta.gate.Refused),
		zap.Uint64("answered", delta.runs[runSucceeded]), zap.Uint64("call_failed", delta.runs[runCallFailed]),
		zap.Uint64("failed", delta.runs[runFailed]), zap.Uint64("wasted_calls", delta.wastedCalls),
		zap.Int("limit", t.gate.Limit()), zap.Int("queued", t.gate.Queued()), zap.Duration("service_time", t.gate.ServiceTime()),
		zap.Uint16("threshold", uint16(t.gate.Threshold())),
	}
}

// classCounts returns a log field with the counts of assured requests and of the
// classes critical, normal and sheddable, in this order.
func classCounts(name string, counts gate.Counts) zap.Field {
	return zap.Uint64s(name, counts[:])
}

// sample returns the state of the gate for metrics.
func (t *gateTask) sample() telemetry.GateSample {
	view := t.view.Load()
	return telemetry.GateSample{
		InFlight:  int64(view.inFlight),
		Waiting:   int64(view.queued),
		Limit:     int64(view.limit),
		Threshold: int64(view.threshold),
	}
}

// flow returns the totals as of the last load interval for metrics.
func (t *gateTask) flow() telemetry.GateCounters {
	total := t.load.reported.Load()
	flow := telemetry.GateCounters{
		Busy:        total.gate.Busy,
		AtTarget:    total.targetTime,
		WastedCalls: total.wastedCalls,
		Runs: []telemetry.RunCount{
			{Result: "answered", Count: total.runs[runSucceeded]},
			{Result: "call_failed", Count: total.runs[runCallFailed]},
			{Result: "failed", Count: total.runs[runFailed]},
		},
	}
	for class := outcome.Assured; class <= outcome.Sheddable; class++ {
		flow.Admissions = append(flow.Admissions,
			telemetry.AdmissionCount{Class: class, Decision: "started", Count: total.gate.Started[class]},
			telemetry.AdmissionCount{Class: class, Decision: "refused", Count: total.gate.Refused[class]},
			telemetry.AdmissionCount{Class: class, Decision: "cancelled", Count: total.gate.Cancelled[class]})
	}
	return flow
}
