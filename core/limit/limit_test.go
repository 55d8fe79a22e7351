package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// target models a target under full demand, with as many requests in flight as the
// limit allows. The processing time is shared by a number of processors. Each request
// also waits for downstream calls and for a disk, whose times do not depend on the
// concurrency.
type target struct {
	processors float64
	cpu        time.Duration
	disk       time.Duration
	downstream time.Duration
	// downstreamUnknown is set if the downstream time is not reported.
	downstreamUnknown bool
	// demand is the maximum number of requests in flight; 0 means no maximum.
	demand int
	// refuseAbove is the concurrency above which the target rejects requests; 0 means
	// never.
	refuseAbove int
}

// seeds is the number of random runs per test.
const seeds = 20

// drive simulates a target for a period and returns the mean limit of the last quarter.
// Self times are exponentially distributed.
func drive(l *Limiter, now *time.Time, length time.Duration, model target, random *rand.Rand) float64 {
	end := now.Add(length)
	total, count := 0.0, 0
	for now.Before(end) {
		inFlight := l.Limit()
		if model.demand > 0 {
			inFlight = min(inFlight, model.demand)
		}
		s := model.sample(inFlight, random)
		mean := model.mean(inFlight)
		*now = now.Add(mean / time.Duration(inFlight))
		l.Observe(*now, s)
		if end.Sub(*now) < length/4 {
			total += float64(l.Limit())
			count++
		}
	}
	return total / float64(count)
}

func (model target) slowdown(inFlight int) float64 {
	return max(1, float64(inFlight)/model.processors)
}

func (model target) mean(inFlight int) time.Duration {
	return time.Duration(float64(model.cpu)*model.slowdown(inFlight)) + model.disk + model.downstream
}

func (model target) sample(inFlight int, random *rand.Rand) Sample {
	selfTime := float64(model.cpu)*model.slowdown(inFlight) + float64(model.disk)
	selfTime *= random.ExpFloat64()
	s := Sample{Latency: time.Duration(selfTime) + model.downstream, InFlight: inFlight}
	if !model.downstreamUnknown {
		s.Downstream = model.downstream
	}
	s.Refused = model.refuseAbove > 0 && inFlight > model.refuseAbove
	return s
}

func newRun(slots int, seed uint64) (*Limiter, *time.Time, *rand.Rand) {
	now := time.Unix(1000, 0)
	return New(Config{Max: slots}), &now, rand.New(rand.NewPCG(seed, 1))
}

// Guards against a limit far above the knee of a target that announces more slots than
// it can use. The throughput would be the same, but the latency would grow.
func TestLimitFindsKneeBelowSlots(t *testing.T) {
	for seed := range uint64(seeds) {
		l, now, random := newRun(160, seed)
		model := target{processors: 40, cpu: 10 * time.Millisecond}
		model.demand = 20
		drive(l, now, 2*time.Second, model, random)
		model.demand = 0
		limit := drive(l, now, 10*time.Second, model, random)
		require.Greater(t, limit, 40.0, "seed %d: the target has unused slots", seed)
		require.Less(t, limit, 80.0, "seed %d: the target is overloaded", seed)
	}
}

// Guards against a reduced limit while a downstream service is slow, both with known
// and unknown downstream time.
func TestSlowDownstreamKeepsLimit(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, downstreamUnknown := range []bool{false, true} {
			l, now, random := newRun(160, seed)
			model := target{processors: 160, cpu: 5 * time.Millisecond, downstream: 5 * time.Millisecond, downstreamUnknown: downstreamUnknown}
			drive(l, now, 2*time.Second, model, random)
			model.downstream = 100 * time.Millisecond
			limit := drive(l, now, 10*time.Second, model, random)
			require.Greater(t, limit, 0.9*160, "seed %d, downstream time unknown %v", seed, downstreamUnknown)
		}
	}
}

// Guards against a limit that stays low after a disk, not the concurrency, made the
// target slow, and after the target is fast again.
func TestSlowDiskKeepsLimit(t *testing.T) {
	for seed := range uint64(seeds) {
		l, now, random := newRun(50, seed)
		model := target{processors: 50, cpu: time.Millisecond, disk: 10 * time.Millisecond}
		drive(l, now, 2*time.Second, model, random)
		model.disk = 100 * time.Millisecond
		limit := drive(l, now, 60*time.Second, model, random)
		require.Greater(t, limit, 0.9*50, "seed %d: while slow", seed)
		model.disk = 10 * time.Millisecond
		limit = drive(l, now, 4*time.Second, model, random)
		require.Greater(t, limit, 0.9*50, "seed %d: after the slowdown", seed)
	}
}

// Guards against mistaking a throttled processor for a slow disk, and against a slow
// return to the full number of slots afterward.
func TestThrottledProcessorLowersLimit(t *testing.T) {
	for seed := range uint64(seeds) {
		l, now, random := newRun(160, seed)
		model := target{processors: 160, cpu: 10 * time.Millisecond}
		drive(l, now, 2*time.Second, model, random)
		model.processors = 16
		limit := drive(l, now, 20*time.Second, model, random)
		require.Less(t, limit, 60.0, "seed %d: while throttled", seed)
		require.Greater(t, limit, 16.0, "seed %d: while throttled", seed)
		model.processors = 160
		drive(l, now, 2*time.Second, model, random)
		require.Greater(t, l.Limit(), 128, "seed %d: 2 s after the throttling", seed)
	}
}

// Guards against mistaking a change in the mix of operations for overload.
func TestChangeOfOperationMixKeepsLimit(t *testing.T) {
	for seed := range uint64(seeds) {
		l, now, random := newRun(100, seed)
		cheap := target{processors: 100, cpu: time.Millisecond, demand: 40}
		drive(l, now, time.Second, cheap, random)
		for range 5000 {
			s := Sample{Latency: 20 * time.Millisecond, InFlight: 40}
			s.Operation = 1
			*now = now.Add(time.Millisecond)
			l.Observe(*now, s)
		}
		require.Equal(t, 100, l.Limit(), "seed %d", seed)
	}
}

// Guards against a limit that keeps exceeding the concurrency at which the target
// rejects requests.
func TestRefusalsLowerLimit(t *testing.T) {
	l, now, random := newRun(100, 1)
	model := target{processors: 100, cpu: 10 * time.Millisecond, refuseAbove: 30}
	limit := drive(l, now, 10*time.Second, model, random)
	require.Less(t, limit, 33.0)
	require.Greater(t, limit, 20.0)
}

// Guards the ramp-up of a cold target: it starts with few requests, reaches all slots
// after the ramp-up time and never decreases in between.
func TestRampUp(t *testing.T) {
	l, now, _ := newRun(200, 1)
	l.StartRampUp(*now)
	require.Equal(t, 20, l.Limit())
	last := 0
	for range 30 {
		*now = now.Add(100 * time.Millisecond)
		l.Advance(*now)
		require.GreaterOrEqual(t, l.Limit(), last)
		last = l.Limit()
	}
	require.Equal(t, 200, l.Limit())
	l.SetMax(80)
	require.Equal(t, 80, l.Limit())
	l.SetMax(120)
	require.Equal(t, 120, l.Limit())
}
