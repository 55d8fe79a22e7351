package route

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

var start = time.Unix(1000, 0)

// fleet returns n targets per zone of one region with 100 slots each.
func fleet(perZone int, zones ...string) []Target {
	var targets []Target
	for _, zone := range zones {
		for range perZone {
			id := uint64(len(targets) + 1)
			targets = append(targets, Target{Incarnation: id, Zone: zone, Region: "r1", Slots: 100})
		}
	}
	return targets
}

// Guards against a Pick that allocates or finds no target.
func TestPickDoesNotAllocate(t *testing.T) {
	r := New(Config{Self: 7, Zone: "a", Region: "r1", Start: start})
	r.Update(start, "stock", fleet(100, "a", "b", "c"))
	allocs := testing.AllocsPerRun(1000, func() {
		e, err := r.Pick(start, "stock", outcome.LevelOf(outcome.Normal, 5), 3, 4)
		if err != nil {
			t.Fatal(err)
		}
		e.Begin()
		e.End(start, Result{Latency: time.Millisecond, Outcome: outcome.Completed})
	})
	require.Zero(t, allocs)
}

// Guards against a lost count or a data race when targets change during calls;
// run with -race.
func TestCountsSurviveConcurrentUse(t *testing.T) {
	r := New(Config{Self: 7, Zone: "a", Region: "r1", Start: start})
	targets := fleet(4, "a", "b")
	r.Update(start, "s", targets)
	var workers sync.WaitGroup
	for worker := range 8 {
		workers.Go(func() { useRouter(r, worker) })
	}
	for n := range 200 {
		r.Update(start.Add(time.Duration(n)*time.Millisecond), "s", targets[:4+n%5])
	}
	r.Update(start.Add(time.Second), "s", targets)
	workers.Wait()
	require.Equal(t, []string{"s"}, r.Services())
	r.Each("s", func(e *Endpoint) { require.Zero(t, e.Status(start).InFlight) })
}

// useRouter makes calls with results of all kinds.
func useRouter(r *Router, worker int) {
	results := []Result{
		{Outcome: outcome.Completed},
		{Outcome: outcome.Completed, ErrorResponse: true},
		{Outcome: outcome.Unknown, Reason: outcome.AnswerLost},
		{Outcome: outcome.NotRun, Reason: outcome.Overloaded},
		{Outcome: outcome.NotRun, Reason: outcome.TargetDown},
		{Outcome: outcome.Unknown, Reason: outcome.Cancelled},
	}
	for n := range 2000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		e, err := r.Pick(now, "s", outcome.LevelOf(outcome.Normal, uint32(n)))
		if err != nil {
			continue
		}
		e.Begin()
		e.Report(now, Report{Threshold: outcome.Level(200 + n%400), InFlight: n % 10, Limit: 10})
		e.End(now, results[(n+worker)%len(results)])
	}
}
