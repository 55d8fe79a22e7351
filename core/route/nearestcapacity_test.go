package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/route"
)

const capacityService = "prices"

var capacityStart = time.Unix(1000, 0)

// capacityRouter returns a router in zone a with two targets in zone a and two
// in zone b, of 10 slots each.
func capacityRouter() *route.Router {
	r := route.New(route.Config{Self: 1, Zone: "a", Region: "r", Seed: 1, Start: capacityStart, Policy: route.NearestCapacity})
	r.Update(capacityStart, capacityService, []route.Target{
		{Incarnation: 1, VM: "a1", Zone: "a", Region: "r", Address: "a1:1", Slots: 10},
		{Incarnation: 2, VM: "a2", Zone: "a", Region: "r", Address: "a2:1", Slots: 10},
		{Incarnation: 3, VM: "b1", Zone: "b", Region: "r", Address: "b1:1", Slots: 10},
		{Incarnation: 4, VM: "b2", Zone: "b", Region: "r", Address: "b2:1", Slots: 10},
	})
	return r
}

// report sets the number of requests that each target reports.
func report(r *route.Router, inFlight map[uint64]int) {
	for incarnation, n := range inFlight {
		r.Find(incarnation).Report(capacityStart, route.Report{Threshold: outcome.MaxLevel, InFlight: n, Limit: 10})
	}
}

// picks returns how often each VM is chosen in 400 picks, without sending
// calls.
func picks(t *testing.T, r *route.Router) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range 400 {
		e, none := r.Pick(capacityStart, capacityService, 0)
		require.Nil(t, none)
		counts[e.Target().VM]++
	}
	return counts
}

// Guards against traffic between zones, which costs money, while the node's
// own zone has free capacity.
func TestOwnZoneIsUsedWhileItHasFreeCapacity(t *testing.T) {
	r := capacityRouter()
	report(r, map[uint64]int{1: 7, 2: 3, 3: 0, 4: 0})
	require.Equal(t, map[string]int{"a2": 400}, picks(t, r))
}

// Guards against calls that queue in a full zone while another zone is idle.
func TestFullZoneSpillsOver(t *testing.T) {
	r := capacityRouter()
	report(r, map[uint64]int{1: 12, 2: 11, 3: 4, 4: 2})
	require.Equal(t, map[string]int{"b2": 400}, picks(t, r))
}

// Guards against calls that go from a full zone to one that is equally full.
func TestEquallyFullZonesKeepTheirCalls(t *testing.T) {
	r := capacityRouter()
	report(r, map[uint64]int{1: 12, 2: 11, 3: 11, 4: 11})
	counts := picks(t, r)
	require.Equal(t, 400, counts["a2"])
}

// Guards against preferring a target that refuses quickly and therefore
// reports a low occupancy.
func TestRefusingTargetHasNoFreeCapacity(t *testing.T) {
	r := capacityRouter()
	refusing := r.Find(1)
	for range 20 {
		refusing.Begin()
		refusing.End(capacityStart, route.Result{Latency: time.Millisecond, Outcome: outcome.NotRun, Reason: outcome.TargetRefused})
	}
	report(r, map[uint64]int{1: 0, 2: 5, 3: 0, 4: 0})
	require.Zero(t, picks(t, r)["a1"])
}
