package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// answers returns a fault that answers each call with the result after a time.
func answers(after time.Duration, result Result) fault {
	return func() (time.Duration, Result, bool) { return after, result, false }
}

// scenarios are faults of the first targets.
var scenarios = []struct {
	name  string
	bad   uint64
	fault fault
}{
	{"slow", 1, func() (time.Duration, Result, bool) { return 20 * simService, Result{}, true }},
	{"lying", 1, answers(100*time.Microsecond, Result{Outcome: outcome.NotRun, Reason: outcome.Overloaded})},
	{"fast failing", 1, answers(100*time.Microsecond, Result{Outcome: outcome.Completed, ErrorResponse: true})},
	{"crashed", 1, answers(0, Result{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed})},
	{"paused", 1, answers(time.Minute, Result{Outcome: outcome.Completed})},
	{"zone crashed", 2, answers(0, Result{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed})},
}

var evenCallers = []string{"a", "b", "c", "d", "a", "b", "c", "d"}

// The 8 targets serve 6,400 calls/s; the offered load is 60 % of it, which the
// 7 healthy targets can serve. Goals of the design: 99 % good while demand fits
// the capacity, and recovery within 5 s to 95 % of the earlier goodput.
//
// Guards against a lone bad target that keeps attracting calls, and against a
// target that does not get its share back.
func TestTwoChoicesWithstandsBadTargets(t *testing.T) {
	const rate = 0.6 * 8 * simSlots * float64(time.Second/simService)
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			good := map[Policy]float64{}
			for _, policy := range []Policy{TwoChoices, RoundRobin, Random, LeastConnections} {
				s := newSim(42, policy, evenCallers)
				s.run(rate, sc.bad, sc.fault)
				t.Logf("%-17s %v", policy, &s.tally)
				good[policy] = s.tally.share(phaseFault)
				if policy == TwoChoices {
					requireRecovered(t, s)
				}
			}
			require.GreaterOrEqual(t, good[TwoChoices], 0.99)
			for policy, share := range good {
				require.GreaterOrEqual(t, good[TwoChoices], share, "%v", policy)
			}
		})
	}
}

// requireRecovered compares goodput from 5 s after the fault with the earlier one.
func requireRecovered(t *testing.T, s *sim) {
	t.Helper()
	before := s.tally.goodput(time.Second, faultFrom)
	after := s.tally.goodput(faultUntil+5*time.Second, simEnd)
	require.Greater(t, after, 0.95*before)
	for _, r := range s.routers {
		r.Each("s", func(e *Endpoint) {
			require.Equal(t, "open", e.Status(start.Add(simEnd)).State)
		})
	}
}

// Guards against an ejection of healthy targets whose latency varies or that all
// shed load. Goal of the design: 90 % of the goodput that capacity allows.
func TestHealthyTargetsAreNotEjected(t *testing.T) {
	const capacity = 8 * simSlots * float64(time.Second/simService)
	for seed := range uint64(4) {
		load := []float64{0.8, 1.3}[seed%2]
		s := newSim(seed, TwoChoices, evenCallers)
		s.observe(func(e Event) { t.Errorf("seed %d, %v: %v ejected for being %v", seed, s.now, e.Target, e.Cause) })
		s.run(load*capacity, 0, nil)
		goodput := s.tally.goodput(time.Second, simEnd)
		t.Logf("load %.0f %%: goodput %.1f %% of capacity", 100*load, 100*goodput/capacity)
		require.Greater(t, goodput, 0.9*min(load, 1)*capacity)
	}
}

// Two thirds of the callers are in zone a, whose 2 of 8 targets can serve 25 %
// of the load. Guards against a zone preference that overloads the own zone.
func TestSpillOverWhenOwnZoneIsOverloaded(t *testing.T) {
	const rate = 0.7 * 8 * simSlots * float64(time.Second/simService)
	callers := []string{"a", "a", "a", "a", "b", "c"}
	for _, policy := range []Policy{TwoChoices, RoundRobin, Random, LeastConnections} {
		s := newSim(42, policy, callers)
		s.run(rate, 0, nil)
		t.Logf("%-17s %v", policy, &s.tally)
		if policy == TwoChoices {
			require.GreaterOrEqual(t, s.tally.share(phaseBefore), 0.99)
			require.GreaterOrEqual(t, s.tally.share(phaseFault), 0.99)
		}
	}
}
