package route

import (
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
