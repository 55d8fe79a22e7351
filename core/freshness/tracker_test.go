package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/freshness"
)

// Guards against an age that shrinks without evidence, and against ages of other
// nodes that are taken for the own one.
func TestAgeGrowsUntilItIsConfirmedAgain(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tracker := freshness.NewTracker(start)
	require.Equal(t, freshness.Unknown, tracker.Age(at(100)))
	tracker.ConfirmStore(at(100))
	tracker.StoreResponded(at(150))
	require.Equal(t, 400*time.Millisecond, tracker.Age(at(500)))
	tracker.ConfirmStore(at(50))
	require.Equal(t, 400*time.Millisecond, tracker.Age(at(500)), "an earlier moment takes nothing back")
	tracker.ConfirmPeer(at(600), 200*time.Millisecond)
	require.Equal(t, 600*time.Millisecond, tracker.Age(at(1000)))
	require.Equal(t, 850*time.Millisecond, tracker.StoreAge(at(1000)), "another node is not the store")
	tracker.ConfirmPeer(at(900), freshness.Unknown)
	require.Equal(t, 600*time.Millisecond, tracker.Age(at(1000)), "the other node knows nothing")
	tracker.ConfirmPeer(at(900), -time.Second)
	require.Equal(t, 600*time.Millisecond, tracker.Age(at(1000)), "an age below zero is no evidence")
}
