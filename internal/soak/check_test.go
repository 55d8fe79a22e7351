package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is the start time of the histories in these tests.
var start = time.Unix(5000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// served returns a request that was served correctly, and its arrival at a target.
func served(id string, route Route, vm int, at time.Duration) (*Attempt, Arrival) {
	a := newAttempt(id, route, 1, vm, 1)
	a.Sent, a.Ended, a.Status, a.ResponseBody, a.Sealed = after(at), after(at+10*time.Millisecond), 200, responseBodyFor(id), true
	return a, Arrival{
		ID: id, TargetID: "t-1", VM: 1, Service: route.service(), At: after(at + 5*time.Millisecond),
		Method: a.Method, Target: a.Target, Body: a.Body, Caller: serviceOf(vm), Deadline: a.Deadline - 5*time.Millisecond, Ran: true,
	}
}

func rules(findings []Finding) []string {
	names := make([]string, 0, len(findings))
	for _, f := range findings {
		names = append(names, f.Rule)
	}
	return names
}

// Guards against checks that cannot fail: each case violates one guarantee in an
// otherwise valid history, and exactly the check of that guarantee must report it.
func TestCheckFindsEachViolation(t *testing.T) {
	cases := map[string]func(h *History, a *Attempt, arrival *Arrival){
		"MIXED":   func(_ *History, a *Attempt, _ *Arrival) { a.ResponseBody = responseBodyFor("other") },
		"UNASKED": func(_ *History, _ *Attempt, arrival *Arrival) { arrival.Body = "three sacks" },
		"ROUTE":   func(_ *History, _ *Attempt, arrival *Arrival) { arrival.Service = "elsewhere" },
		"TWICE":   func(h *History, _ *Attempt, arrival *Arrival) { h.Arrivals = append(h.Arrivals, *arrival) },
		"REFUSED": func(_ *History, a *Attempt, _ *Arrival) { a.Status, a.Sealed = 503, false },
		"DENIED":  func(_ *History, a *Attempt, _ *Arrival) { a.Status, a.Sealed = 404, false },
		"BUDGET":  func(_ *History, a *Attempt, arrival *Arrival) { arrival.Deadline = a.Deadline + time.Second },
		"LOST":    func(_ *History, a *Attempt, _ *Arrival) { a.Status = 0 },
		"DRAIN": func(h *History, _ *Attempt, arrival *Arrival) {
			h.drainNotice(DrainNotice{TargetID: arrival.TargetID, Acked: arrival.At.Add(-drainTimeout - time.Millisecond)})
		},
		"RECOVER": func(h *History, a *Attempt, _ *Arrival) {
			h.FaultsEnded, a.Status = a.Sent.Add(-RecoveryBound), 502
			later, arrival := served("r-2", RouteView, 0, 2*time.Minute)
			h.attempt(later)
			h.arrival(arrival)
		},
		"ENDS": func(h *History, _ *Attempt, _ *Arrival) { h.unexpectedExit("a node") },
	}
	for rule, violate := range cases {
		t.Run(rule, func(t *testing.T) {
			h := &History{}
			a, arrival := served("r-1", RouteOrder, 0, time.Minute)
			h.attempt(a)
			violate(h, a, &arrival)
			h.arrival(arrival)
			require.Equal(t, []string{rule}, rules(Check(h)))
		})
	}
}

// Guards against findings in a history that violates no guarantee.
func TestCheckAcceptsValidHistory(t *testing.T) {
	h := &History{FaultsEnded: start}
	for i, route := range []Route{RouteView, RouteOrder, RoutePrice, RouteDebit} {
		a, arrival := served(string(rune('a'+i)), route, i, time.Minute)
		h.attempt(a)
		h.arrival(arrival)
	}
	require.Empty(t, Check(h))
}

// Guards against checks that miss nodes which apply a configuration too late, or
// return to an older one.
func TestCheckFindsStaleConfiguration(t *testing.T) {
	h := &History{}
	h.change(Change{Generation: 1, Sent: start, Acked: start})
	h.change(Change{Generation: 2, Sent: after(time.Minute), Acked: after(time.Minute)})
	probe := func(id string, generation, status int, at time.Duration) {
		a := newAttempt(id, RouteGeneration, generation, 1, 1)
		a.Sent, a.Ended, a.Status = after(at), after(at+time.Millisecond), status
		if status == 200 {
			a.ResponseBody, a.Sealed = responseBodyFor(id), true
		}
		h.attempt(a)
	}
	probe("in time", 1, 200, time.Minute+configApply)
	probe("new", 2, 200, time.Minute+configApply)
	require.Empty(t, Check(h))
	probe("back", 1, 200, time.Minute+configApply-time.Second+downgradeSlack)
	require.Empty(t, Check(h), "the new generation was not served before")
	probe("late", 2, 404, 2*time.Minute)
	probe("old", 1, 200, 2*time.Minute)
	require.Equal(t, []string{"CONFIG", "CONFIG", "CONFIG"}, rules(Check(h)))
}

// Guards against findings from rules with a time bound while a VM is disturbed or has
// not had settleTime to recover.
func TestCheckExemptsDisturbedVM(t *testing.T) {
	h := &History{}
	a, arrival := served("r-1", RouteView, 0, time.Minute)
	a.Status = 0
	h.attempt(a)
	h.arrival(arrival)
	h.Disturbances = []*Disturbance{{Kind: NodeKill, VM: 1, From: after(50 * time.Second), To: after(58 * time.Second)}}
	require.Empty(t, Check(h))
	h.Disturbances[0].To = after(time.Minute - settleTime - time.Millisecond)
	require.Equal(t, []string{"LOST"}, rules(Check(h)))
}

// Guards against a check that misses retries in excess of the retry budget, or
// reports retries within it.
func TestCheckBudgetWindows(t *testing.T) {
	h := &History{}
	for i := range budgetSlack + 2 {
		a, arrival := served("r-"+string(rune('A'+i)), RouteView, 0, time.Duration(i)*10*time.Millisecond)
		h.attempt(a)
		h.arrival(arrival)
		h.arrival(arrival)
	}
	require.Empty(t, Check(h), "50 retries are within 48 plus a fifth of 50 requests")
	for i := range budgetSlack {
		_, arrival := served("r-"+string(rune('A'+i)), RouteView, 0, time.Second)
		h.arrival(arrival)
	}
	require.Contains(t, rules(Check(h)), "BUDGET")
}

// Guards against findings about requests that failed because the soak process itself
// did not run, and against a stall that hides violations which it cannot explain.
func TestCheckExemptsRunnerStalls(t *testing.T) {
	h := &History{FaultsEnded: start}
	a, arrival := served("r-1", RouteView, 0, time.Minute)
	a.Status, a.Ended = 504, a.Sent.Add(7*time.Second)
	h.attempt(a)
	h.arrival(arrival)
	later, after := served("r-2", RouteOrder, 0, 2*time.Minute)
	h.attempt(later)
	h.arrival(after)
	require.Equal(t, []string{"RECOVER"}, rules(Check(h)))
	h.Disturbances = []*Disturbance{{Kind: RunnerStalled, VM: allVMs, From: a.Sent, To: a.Ended}}
	require.Empty(t, Check(h))
	require.Equal(t, 7*time.Second, h.maxStall())
	h.Disturbances[0].To = after.At
	h.arrival(after)
	require.Contains(t, rules(Check(h)), "TWICE", "a stall does not explain a second run")
}
