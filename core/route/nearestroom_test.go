package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/route"
)

const roomService = "prices"

var roomStart = time.Unix(1000, 0)

// roomRouter returns a router in zone a with two targets in zone a and two in
// zone b, of 10 slots each.
func roomRouter() *route.Router {
	r := route.New(route.Config{Self: 1, Zone: "a", Region: "r", Seed: 1, Start: roomStart, Policy: route.NearestCapacity})
	r.Update(roomStart, roomService, []route.Target{
		{Incarnation: 1, VM: "a1", Zone: "a", Region: "r", Address: "a1:1", Slots: 10},
		{Incarnation: 2, VM: "a2", Zone: "a", Region: "r", Address: "a2:1", Slots: 10},
		{Incarnation: 3, VM: "b1", Zone: "b", Region: "r", Address: "b1:1", Slots: 10},
		{Incarnation: 4, VM: "b2", Zone: "b", Region: "r", Address: "b2:1", Slots: 10},
	})
	return r
}

// report tells the router how many requests are at each target.
func report(r *route.Router, inFlight map[uint64]int) {
	for incarnation, n := range inFlight {
		r.Find(incarnation).Report(roomStart, route.Report{Threshold: outcome.MaxLevel, InFlight: n, Limit: 10})
	}
}

// picks counts the choices by VM without sending anything.
func picks(t *testing.T, r *route.Router) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range 400 {
		e, none := r.Pick(roomStart, roomService, 0)
		require.Nil(t, none)
		counts[e.Target().VM]++
	}
	return counts
}

// Guards against paid bytes between zones while the own zone has room.
func TestOwnZoneIsUsedWhileItHasRoom(t *testing.T) {
	r := roomRouter()
	report(r, map[uint64]int{1: 7, 2: 3, 3: 0, 4: 0})
	require.Equal(t, map[string]int{"a2": 400}, picks(t, r))
}

// Guards against calls that queue in a full zone beside an idle one.
func TestFullZoneSpillsOver(t *testing.T) {
	r := roomRouter()
	report(r, map[uint64]int{1: 12, 2: 11, 3: 4, 4: 2})
	require.Equal(t, map[string]int{"b2": 400}, picks(t, r))
}

// Guards against calls that leave a full zone for one that is as full.
func TestEquallyFullZonesKeepTheirCalls(t *testing.T) {
	r := roomRouter()
	report(r, map[uint64]int{1: 12, 2: 11, 3: 11, 4: 11})
	counts := picks(t, r)
	require.Equal(t, 400, counts["a2"])
}

// Guards against a target that refuses quickly and looks idle because of it.
func TestRefusingTargetHasNoRoom(t *testing.T) {
	r := roomRouter()
	refusing := r.Find(1)
	for range 20 {
		refusing.Begin()
		refusing.End(roomStart, route.Result{Latency: time.Millisecond, Outcome: outcome.NotRun, Reason: outcome.TargetRefused})
	}
	report(r, map[uint64]int{1: 0, 2: 5, 3: 0, 4: 0})
	require.Zero(t, picks(t, r)["a1"])
}
