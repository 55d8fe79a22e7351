package cost

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const workMean = 20 * time.Millisecond

// observeMany includes n requests of an operation, one per millisecond from at on, whose own
// work is half fixed and half exponential. It returns the time after the last one.
func observeMany(w *Work, random *rand.Rand, at time.Duration, n int, operation uint32, mean, calls time.Duration) time.Duration {
	for range n {
		at += time.Millisecond
		own := mean/2 + time.Duration(random.ExpFloat64()*float64(mean)/2)
		w.Observe(at, operation, own, calls)
	}
	return at
}

// Guards against waits for calls that count as own work: a target is not slow because the
// service behind it is.
func TestOwnWorkLeavesCallsOut(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	w := NewWork()
	at := observeMany(w, random, 0, 500, 1, workMean, 5*time.Millisecond)
	own, _ := w.Own(1)
	require.InEpsilon(t, float64(workMean), float64(own), 0.2)
	at = observeMany(w, random, at, 500, 1, workMean, 80*time.Millisecond)
	own, _ = w.Own(1)
	require.InEpsilon(t, float64(workMean), float64(own), 0.2)
	require.InDelta(t, 1, w.Speed(at), 0.3)
	require.InEpsilon(t, float64(100*time.Millisecond), w.Expected(at, 1), 0.2)
}

// Guards against a slow spell that shows only after it has ended, and against one that
// counts long after it.
func TestSpeedFollowsSlowSpell(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	w := NewWork()
	at := observeMany(w, random, 0, 2000, 1, workMean, 0)
	require.InDelta(t, 1, w.Speed(at), 0.3)
	at = observeMany(w, random, at, 40, 1, workMean*5/2, 0)
	require.Less(t, w.Speed(at), 0.75)
	require.Greater(t, w.Speed(at+3*time.Second), 0.9, "without samples, the spell is forgotten")
	at = observeMany(w, random, at, 600, 1, workMean, 0)
	require.Greater(t, w.Speed(at), 0.8)
}

// Guards against requests that have overrun their expectation and count as if they were
// about to end.
func TestOverrunRequestsHaveWorkLeft(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	w := NewWork()
	at := observeMany(w, random, 0, 2000, 1, workMean, 0)
	expected := w.Expected(at, 1)
	require.InDelta(t, expected-1e6, w.Left(expected, 1e6), 1)
	require.InEpsilon(t, 0.5*expected, w.Left(expected, 3*expected), 0.3, "the mean overrun of this law is half of the mean")
}

// Guards against memory that grows with the routes that come and go.
func TestGateOperationsAreBounded(t *testing.T) {
	w := NewWork()
	for n := range uint32(10 * maxGateOperations) {
		w.Observe(time.Duration(n)*time.Millisecond, n, workMean, 0)
	}
	require.Len(t, *w.byOperation.Load(), maxGateOperations)
	require.InEpsilon(t, float64(workMean), w.Expected(time.Minute, 10*maxGateOperations), 0.01, "an unknown operation has the mean cost")
	w.Observe(time.Hour, 1<<30, workMean, 0)
	require.Len(t, *w.byOperation.Load(), 1, "operations without samples are forgotten when there is no space")
}

// Guards against a copy of all operations for each request of an operation for which there
// is no space: 1,024 entries take longer to copy than the gate has for a request.
func TestFullGateCopiesNoOperations(t *testing.T) {
	w := NewWork()
	at := time.Minute
	for n := range uint32(maxGateOperations + 1) {
		w.Observe(at, n, workMean, 0)
	}
	allocated := testing.AllocsPerRun(100, func() { w.Observe(at, maxGateOperations+1, workMean, 0) })
	require.Zero(t, allocated)
}
