package gate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/limit"
	"github.com/primrosemount/primrosemount/core/outcome"
)

var workStart = time.Unix(1000, 0)

// workGate returns a gate of 2 slots whose operation 1 takes 10 ms, and operation 2 40 ms of
// which 30 ms are waits for calls. It also returns the time.
func workGate(t *testing.T) (*gate.Gate, time.Time) {
	t.Helper()
	g, now := gate.New(gate.Config{Slots: 2, Limit: limit.Config{Fixed: true}}, workStart), workStart
	for n := range uint64(40) {
		operation, sample := uint32(1), gate.Sample{Latency: 10 * time.Millisecond}
		if n%2 == 1 {
			operation, sample = 2, gate.Sample{Latency: 40 * time.Millisecond, Downstream: 30 * time.Millisecond}
		}
		require.Equal(t, gate.Start, g.Offer(now, gate.Request{ID: n, Operation: operation}).Kind)
		now = now.Add(sample.Latency)
		g.Done(now, n, sample)
	}
	return g, now
}

func left(g *gate.Gate) float64 { return float64(g.Work().Left) / float64(time.Millisecond) }

// Guards against work left that counts requests instead of their work, that leaves out the
// queue or the waits for calls, and that keeps counting the work that is done.
func TestWorkLeftIsExpectedLessDone(t *testing.T) {
	g, now := workGate(t)
	require.Zero(t, left(g))
	g.Offer(now, gate.Request{ID: 100, Operation: 2})
	require.InDelta(t, 40, left(g), 0.1)
	g.Offer(now, gate.Request{ID: 101, Operation: 1})
	require.Equal(t, gate.Queue, g.Offer(now, gate.Request{ID: 102, Operation: 1}).Kind)
	require.InDelta(t, 60, left(g), 0.1)
	now = now.Add(4 * time.Millisecond)
	g.Poll(now)
	require.InDelta(t, 52, left(g), 0.1, "two requests run, and the queued one waits")
	g.Done(now, 100, gate.Sample{Latency: 4 * time.Millisecond, Failed: true})
	g.Poll(now)
	require.InDelta(t, 16, left(g), 0.1, "6 ms of the running one and 10 ms of the one that starts")
}

// Guards against requests that have overrun their expectation and count as done.
func TestOverrunRequestHasWorkLeft(t *testing.T) {
	g, now := workGate(t)
	g.Offer(now, gate.Request{ID: 100, Operation: 1})
	now = now.Add(time.Second)
	g.Poll(now)
	require.InDelta(t, 5, left(g), 0.1)
}

// Guards against costs that are learned from requests that ended early or late for reasons
// other than their work: failures, refusals, cancelled requests, lost responses, error
// responses and failed calls.
func TestUnrepresentativeRequestsDoNotTeachCosts(t *testing.T) {
	for name, sample := range map[string]gate.Sample{
		"refused":              {Latency: time.Millisecond, Refused: true},
		"lost or cancelled":    {Latency: 5 * time.Second, Failed: true},
		"error or failed call": {Latency: time.Millisecond, Unrepresentative: true},
	} {
		g, now := workGate(t)
		for n := range uint64(200) {
			g.Offer(now, gate.Request{ID: 1000 + n, Operation: 1})
			now = now.Add(sample.Latency)
			g.Done(now, 1000+n, sample)
			g.Poll(now)
		}
		require.Equal(t, 10*time.Millisecond, g.OwnWork(1), name)
		require.InDelta(t, 1, g.Work().Speed, 0.01, name)
	}
}

// Guards against own work that includes the waits for calls, and against a report about an
// operation that is not known.
func TestOwnWorkOfOperations(t *testing.T) {
	g, _ := workGate(t)
	require.Equal(t, 10*time.Millisecond, g.OwnWork(1))
	require.Equal(t, 10*time.Millisecond, g.OwnWork(2))
	require.Zero(t, g.OwnWork(3))
}

// Guards against decisions of the gate that allocate because of the work left.
func TestWorkLeftDoesNotAllocate(t *testing.T) {
	g, now := workGate(t)
	id := uint64(1000)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		id++
		g.Offer(now, gate.Request{ID: id, Operation: 1, Level: outcome.LevelOf(outcome.Normal, 0)})
		now = now.Add(10 * time.Millisecond)
		g.Work()
		g.Done(now, id, gate.Sample{Latency: 10 * time.Millisecond})
		g.Poll(now)
	}))
}
