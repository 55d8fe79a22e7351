package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// target is a target under full demand: as many requests are in flight as the
// limit allows. Own work is shared by a number of processors; each request also
// waits downstream and on a disk, which no concurrency makes slower.
type target struct {
	processors float64
	cpu        time.Duration
	disk       time.Duration
	downstream time.Duration
	// hidden tells that the downstream time is not reported.
	downstreamUnknown bool
	// demand bounds the requests in flight; 0: no bound.
	demand int
	// refuseAbove is the concurrency at which the target refuses; 0: never.
	refuseAbove int
}

// seeds is the number of random runs of each test.
const seeds = 20

// drive lets a target run for a time and returns the mean limit of the last
// quarter. Samples have exponential own times.
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
	own := float64(model.cpu)*model.slowdown(inFlight) + float64(model.disk)
	own *= random.ExpFloat64()
	s := Sample{Latency: time.Duration(own) + model.downstream, InFlight: inFlight}
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

// Guards against a limit far above the knee of a target that announces more
// slots than it can use: throughput would stay, but latency would grow.
func TestLimitFindsKneeBelowSlots(t *testing.T) {
	for seed := range uint64(seeds) {
		l, now, random := newRun(160, seed)
		model := target{processors: 40, cpu: 10 * time.Millisecond}
		model.demand = 20
		drive(l, now, 2*time.Second, model, random)
		model.demand = 0
		limit := drive(l, now, 10*time.Second, model, random)
		require.Greater(t, limit, 40.0, "seed %d: slots of the target stay unused", seed)
		require.Less(t, limit, 80.0, "seed %d: the target is overloaded", seed)
	}
}

// Guards against a fall of the limit when a deep service is slow, with and
// without known downstream time.
func TestSlowDownstreamKeepsLimit(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, downstreamUnknown := range []bool{false, true} {
			l, now, random := newRun(160, seed)
			model := target{processors: 160, cpu: 5 * time.Millisecond, downstream: 5 * time.Millisecond, downstreamUnknown: downstreamUnknown}
			drive(l, now, 2*time.Second, model, random)
			model.downstream = 100 * time.Millisecond
			limit := drive(l, now, 10*time.Second, model, random)
			require.Greater(t, limit, 0.9*160, "seed %d hidden %v", seed, downstreamUnknown)
		}
	}
}

// Guards against a limit that stays low after a disk, not concurrency, made the
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
		require.Greater(t, limit, 0.9*50, "seed %d: after it", seed)
	}
}

// Guards against a throttled processor that is taken for a slow disk, and
// against a slow return to the slots afterwards.
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
		require.Greater(t, l.Limit(), 128, "seed %d: 2 s after it", seed)
	}
}

// Guards against a change of the mix of operations that is taken for overload.
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

// Guards against a limit that keeps hitting a target that refuses.
func TestRefusalsLowerLimit(t *testing.T) {
	l, now, random := newRun(100, 1)
	model := target{processors: 100, cpu: 10 * time.Millisecond, refuseAbove: 30}
	limit := drive(l, now, 10*time.Second, model, random)
	require.Less(t, limit, 33.0)
	require.Greater(t, limit, 20.0)
}

// Guards the ramp-up of a cold target: few requests first, all slots after the
// ramp-up time, monotonic in between.
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
