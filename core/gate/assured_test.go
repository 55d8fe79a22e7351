package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// offeredRates are requests a second of each rank.
type offeredRates map[outcome.Class]int

// startedShares plays requests at steady rates against 20 slots of 10 ms, which take
// 2,000 a second, and returns the share of each rank that was started after the first
// second.
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

// Guards against assured requests that are shed for requests of a class.
func TestAssuredRequestsArePrioritizedOverAllClasses(t *testing.T) {
	shares := startedShares(offeredRates{outcome.Assured: 800, outcome.Critical: 3000, outcome.Sheddable: 500})
	require.Greater(t, shares[outcome.Assured], 0.98)
	require.InDelta(t, 0.4, shares[outcome.Critical], 0.04, "what is left of 2,000 for 3,000")
	require.Less(t, shares[outcome.Sheddable], 0.02)
}

// Guards against a queue of assured requests that is always full, so that each of
// them waits and many are evicted, where they alone are more than the target takes.
func TestThresholdShedsExcessAssuredRequests(t *testing.T) {
	shares := startedShares(offeredRates{outcome.Assured: 4000, outcome.Critical: 1000})
	require.InDelta(t, 0.5, shares[outcome.Assured], 0.04)
	require.Less(t, shares[outcome.Critical], 0.02)
}

// Guards against a gate that sheds all critical requests because its threshold falls
// through the levels of assured requests, which do not come.
func TestThresholdStaysWithinCriticalClassWithoutAssuredRequests(t *testing.T) {
	shares := startedShares(offeredRates{outcome.Critical: 20000})
	require.InDelta(t, 0.1, shares[outcome.Critical], 0.02)
}
