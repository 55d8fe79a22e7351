package route

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Guards against an explanation that differs from the choice, that hides why a target is
// not chosen, or that changes the state of the router.
func TestCandidatesTellChoiceAndRefusals(t *testing.T) {
	r := New(Config{Self: 1, Zone: "a", Region: "r1", Start: start, Policy: NearestCapacity})
	targets := append(fleet(2, "a", "b"), Target{Incarnation: 9, VM: "far\x1b[31m", Zone: "z", Region: "r2", Slots: 100})
	targets[0].VM, targets[1].VM, targets[2].VM, targets[3].VM = "a1", "a2", "b1", "b2"
	r.Update(start, "s", targets)
	now := start.Add(time.Second)
	report := Report{Threshold: outcome.MaxLevel, InFlight: 80, Limit: 100, WorkLeft: time.Second, Slots: 100, Speed: 1}
	r.Find(1).Report(now, report)
	report.InFlight, report.WorkLeft = 20, 200*time.Millisecond
	r.Find(2).Report(now, report)
	r.Find(3).Report(now, Report{Draining: true})
	r.Find(4).Report(now, Report{Threshold: 5})
	_, known := r.Candidates(now, "unknown", 0, Request{})
	require.False(t, known)
	c, known := r.Candidates(now, "s", 9, Request{Operation: "get", Bytes: 60_000})
	require.True(t, known)
	p, err := r.Place(now, "s", 9, Request{Operation: "get", Bytes: 60_000})
	require.Nil(t, err)
	require.Equal(t, p.Endpoint.Target().VM, c.Targets[0].VM)
	require.Equal(t, "a2", c.Targets[0].VM)
	require.False(t, c.OperationKnown)
	require.Equal(t, zoneShare*initialCost+60_000*zonePerByte, c.Surcharge)
	refusals := map[string]string{}
	for _, target := range c.Targets {
		refusals[target.VM] = target.Refusal
	}
	require.Empty(t, refusals["a1"])
	require.Equal(t, "draining", refusals["b1"])
	require.Equal(t, "admits levels up to 5", refusals["b2"])
	require.Contains(t, refusals["far\x1b[31m"], "another region")
	var text strings.Builder
	require.NoError(t, c.WriteText(&text))
	require.Contains(t, text.String(), "admits levels up to 5")
	require.Contains(t, text.String(), "not in force")
	require.NotContains(t, text.String(), "\x1b")
}
