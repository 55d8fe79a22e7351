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

// loadPeriod is the time between two lines about the load of the gate.
const loadPeriod = time.Second

// runResult is what became of a request that was sent to the target.
type runResult uint8

// Results of requests at the target.
const (
	// runAnswered is a whole answer that is no failure of the server.
	runAnswered runResult = iota
	// runCallFailed is a failure after a call of the request had failed: the work
	// done for it is wasted.
	runCallFailed
	// runFailed is a failure of the target, or none or no whole answer.
	runFailed
	runResults
)

// runCounts counts requests at the target by result.
type runCounts [runResults]uint64

func resultOf(result targetResult, callFailed bool) runResult {
	switch {
	case result.outcome == outcome.Completed && result.status < http.StatusInternalServerError:
		return runAnswered
	case callFailed:
		return runCallFailed
	default:
		return runFailed
	}
}

// runEnd is what is known about a request that was sent to the target when it ends.
type runEnd struct {
	result runResult
	// completedCalls counts the calls that were completed for the request.
	completedCalls uint32
	// atTarget is the time from the first byte sent to the last byte of the answer.
	atTarget time.Duration
}

// gateTotals is what the gate did since its start.
type gateTotals struct {
	gate gate.Totals
	runs runCounts
	// wastedCalls counts the calls that were completed for requests that failed.
	wastedCalls uint64
	// atTarget is the sum of the times that the target had requests.
	atTarget time.Duration
}

// loadMeter counts results and keeps what the last line about the load covered.
type loadMeter struct {
	since time.Time
	// ends holds what the ends of requests add to the totals.
	ends gateTotals
	// covered is read by metrics, too.
	covered atomic.Pointer[gateTotals]
}

func (m *loadMeter) add(end runEnd) {
	m.ends.runs[end.result]++
	m.ends.atTarget += end.atTarget
	if end.result != runAnswered {
		m.ends.wastedCalls += uint64(end.completedCalls)
	}
}

// totals returns what the gate did until now.
func (t *gateTask) totals() *gateTotals {
	totals := t.load.ends
	totals.gate = t.gate.Totals()
	return &totals
}

// since returns what was added to earlier totals of the same gate.
func (t *gateTotals) since(earlier *gateTotals) gateTotals {
	return gateTotals{
		gate:        t.gate.Since(earlier.gate),
		runs:        t.runs.minus(earlier.runs),
		wastedCalls: t.wastedCalls - earlier.wastedCalls,
		atTarget:    t.atTarget - earlier.atTarget,
	}
}

// measureLoad writes a line about each second in which the gate refused requests
// or calls were wasted.
func (t *gateTask) measureLoad(now time.Time) {
	span := now.Sub(t.load.since)
	if span < loadPeriod {
		return
	}
	after := t.totals()
	added := after.since(t.load.covered.Load())
	if added.gate.Refused.Sum() > 0 || added.wastedCalls > 0 {
		t.logger.Info("The load of the gate.", append(t.loadFields(added), zap.Duration("span", span),
			zap.Float64("busy", float64(added.gate.Busy)/float64(span)), zap.Float64("at_target", float64(added.atTarget)/float64(span)))...)
	}
	t.load.since = now
	t.load.covered.Store(after)
}

func (c runCounts) minus(other runCounts) runCounts {
	for result := range c {
		c[result] -= other[result]
	}
	return c
}

func (t *gateTask) loadFields(added gateTotals) []zap.Field {
	return []zap.Field{
		classCounts("offered", added.gate.Offered), classCounts("started", added.gate.Started), classCounts("refused", added.gate.Refused),
		zap.Uint64("answered", added.runs[runAnswered]), zap.Uint64("call_failed", added.runs[runCallFailed]),
		zap.Uint64("failed", added.runs[runFailed]), zap.Uint64("wasted_calls", added.wastedCalls),
		zap.Int("limit", t.gate.Limit()), zap.Int("queued", t.gate.Queued()), zap.Duration("service_time", t.gate.ServiceTime()),
		zap.Uint16("threshold", uint16(t.gate.Threshold())),
	}
}

// classCounts is a field with the numbers of assured requests and of the critical,
// the normal and the sheddable class.
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

// flow returns what the gate did until the last second, for metrics.
func (t *gateTask) flow() telemetry.GateCounters {
	total := t.load.covered.Load()
	flow := telemetry.GateCounters{
		Busy:        total.gate.Busy,
		AtTarget:    total.atTarget,
		WastedCalls: total.wastedCalls,
		Runs: []telemetry.RunCount{
			{Result: "answered", Count: total.runs[runAnswered]},
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
