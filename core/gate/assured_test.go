package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// offeredRates maps each class, including outcome.Assured, to its requests per second.
type offeredRates map[outcome.Class]int

// startedShares offers requests at constant rates to a target with 20 slots and a
// service time of 10 ms, which can serve 2,000 requests per second. It returns the
// share of requests of each class that started, not counting the first second.
func startedShares(rates offeredRates) map[outcome.Class]float64 {
	const (
		serviceTime = 10 * time.Millisecond
		warmUp      = time.Second
		measured    = 5 * time.Second
	)
	start := time.Unix(1000, 0)
	r := &traceRunner{now: start, gate: New(Config{Slots: 20}, start), levels: map[uint64]outcome.Level{}, started: map[outcome.Class]int{}}
	offered := map[outcome.Class]int{}
	due := map[outcome.Class]float64{}
	const step = 100 * time.Microsecond
	for ; r.now.Before(start.Add(warmUp + measured)); r.now = r.now.Add(step) {
		r.finish(serviceTime)
		if r.now.Sub(start) == warmUp {
			r.started, offered = map[outcome.Class]int{}, map[outcome.Class]int{}
		}
		for class := outcome.Assured; class <= outcome.Sheddable; class++ {
			for due[class] += float64(rates[class]) * step.Seconds(); due[class] >= 1; due[class]-- {
				offered[class]++
				r.lastID++
				level := outcome.LevelOf(class, uint32(r.lastID*37))
				r.levels[r.lastID] = level
				if r.gate.Offer(r.now, Request{ID: r.lastID, Level: level, Deadline: r.now.Add(time.Second)}).Kind == Start {
					r.recordStart(r.lastID, r.now, serviceTime)
				}
			}
		}
	}
	shares := map[outcome.Class]float64{}
	for class, n := range offered {
		shares[class] = float64(r.started[class]) / float64(n)
	}
	return shares
}

// Guards against assured requests being shed in favor of requests of a class.
func TestAssuredRequestsArePrioritizedOverAllClasses(t *testing.T) {
	shares := startedShares(offeredRates{outcome.Assured: 800, outcome.Critical: 3000, outcome.Sheddable: 500})
	require.Greater(t, shares[outcome.Assured], 0.98)
	require.InDelta(t, 0.4, shares[outcome.Critical], 0.04, "1,200 of 2,000 requests per second are left for 3,000")
	require.Less(t, shares[outcome.Sheddable], 0.02)
}

// Guards against a permanently full queue when assured requests alone exceed the
// capacity: without shedding by the threshold, every assured request waits and many are
// evicted.
func TestThresholdShedsExcessAssuredRequests(t *testing.T) {
	shares := startedShares(offeredRates{outcome.Assured: 4000, outcome.Critical: 1000})
	require.InDelta(t, 0.5, shares[outcome.Assured], 0.04)
	require.Less(t, shares[outcome.Critical], 0.02)
}

// Guards against a gate that sheds all critical requests because its threshold falls
// into the levels of assured requests although none arrive.
func TestThresholdStaysWithinCriticalClassWithoutAssuredRequests(t *testing.T) {
	shares := startedShares(offeredRates{outcome.Critical: 20000})
	require.InDelta(t, 0.1, shares[outcome.Critical], 0.02)
}
