package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// fullRouter returns a router with the largest fleet that the design allows
// for: 9,600 targets, of which 400 belong to the service "big" and the others
// to 769 services.
func fullRouter(policy Policy) *Router {
	r := New(Config{Self: 7, Zone: "z0", Region: "r0", Start: start, Policy: policy})
	id := uint64(1)
	add := func(name string, n int) {
		var targets []Target
		for range n {
			zone := id % 6
			targets = append(targets, Target{
				Incarnation: id,
				Zone:        fmt.Sprintf("z%d", zone),
				Region:      fmt.Sprintf("r%d", zone/2),
				Slots:       100,
			})
			id++
		}
		r.Update(start, name, targets)
	}
	add("big", 400)
	for i := range 769 {
		add(fmt.Sprintf("s%d", i), 11+(i*741/769)%2)
	}
	return r
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range []Policy{TwoChoices, RoundRobin, Random, LeastConnections, NearestCapacity, LeastWork} {
		b.Run(policy.String(), func(b *testing.B) {
			r := fullRouter(policy)
			b.ReportAllocs()
			for b.Loop() {
				pickOnce(b, r, "big", start.Add(time.Second))
			}
		})
	}
}

// BenchmarkPlace chooses among 400 targets of which those compared have reported their work
// and speed. The design allows 1 µs and no allocation.
func BenchmarkPlace(b *testing.B) {
	r := fullRouter(NearestCapacity)
	now := start.Add(time.Second)
	request := Request{Operation: "search", Bytes: 1000, TargetLatency: 100 * time.Millisecond, Remaining: time.Second}
	for n := range 2000 {
		reportOnce(b, r, now, request, n)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Place(now, "big", outcome.LevelOf(outcome.Normal, 9), request); err != nil {
			b.Fatal(err)
		}
	}
}

// reportOnce makes one call whose response reports the work of the target.
func reportOnce(b testing.TB, r *Router, now time.Time, request Request, n int) {
	p, err := r.Place(now, "big", outcome.LevelOf(outcome.Normal, 9), request)
	if err != nil {
		b.Fatal(err)
	}
	p.Begin()
	p.Report(now, Report{Threshold: outcome.MaxLevel, InFlight: n % 100, Limit: 100, WorkLeft: time.Duration(n%100) * 10 * time.Millisecond, Slots: 100,
		OwnWork: 20 * time.Millisecond, Speed: 1})
	p.End(now, Result{Latency: 20 * time.Millisecond, Outcome: outcome.Completed}, 1000)
}

// Guards against a placement that allocates.
func TestPlaceDoesNotAllocate(t *testing.T) {
	r := fullRouter(NearestCapacity)
	now := start.Add(time.Second)
	request := Request{Operation: "search", Bytes: 1000, TargetLatency: 100 * time.Millisecond, Remaining: time.Second}
	reportOnce(t, r, now, request, 1)
	require.Zero(t, testing.AllocsPerRun(1000, func() { reportOnce(t, r, now, request, 50) }))
}

func pickOnce(b *testing.B, r *Router, service string, now time.Time) *Endpoint {
	e, err := r.Pick(now, service, outcome.LevelOf(outcome.Normal, 9))
	if err != nil {
		b.Fatal(err)
	}
	return e
}

func BenchmarkPickParallel(b *testing.B) {
	r := fullRouter(TwoChoices)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			pickOnce(b, r, "big", start.Add(time.Second))
		}
	})
}

// BenchmarkCall advances the time with each call, so that it includes the
// comparisons of targets.
func BenchmarkCall(b *testing.B) {
	r := fullRouter(TwoChoices)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		e := pickOnce(b, r, "big", now)
		e.Begin()
		e.Report(now, Report{Threshold: outcome.MaxLevel, InFlight: 5, Limit: 100})
		e.End(now, Result{Latency: time.Millisecond, Outcome: outcome.Completed})
	}
}

// BenchmarkUpdateFleet also reports the memory that a router with the largest
// fleet retains.
func BenchmarkUpdateFleet(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := fullRouter(TwoChoices)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		fullRouter(TwoChoices)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-retained")
	runtime.KeepAlive(r)
}

// BenchmarkUpdateOneTarget removes and adds one of 400 targets in turn.
func BenchmarkUpdateOneTarget(b *testing.B) {
	r := fullRouter(TwoChoices)
	var targets []Target
	for _, e := range (*r.services.Load())["big"].view.Load().byIncarnation {
		targets = append(targets, e.target)
	}
	n := 0
	for b.Loop() {
		n++
		r.Update(start, "big", targets[n%2:])
	}
}

func BenchmarkFind(b *testing.B) {
	r := fullRouter(TwoChoices)
	b.ReportAllocs()
	for b.Loop() {
		if r.Find(9000) == nil {
			b.Fatal("not found")
		}
	}
}
