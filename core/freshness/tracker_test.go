package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/freshness"
)

// Guards against an age that shrinks without evidence, and against the age of
// another node's copy being taken for that of this node.
func TestAgeGrowsUntilCopyIsConfirmedAgain(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tracker := freshness.NewTracker(start)
	require.Equal(t, freshness.Unknown, tracker.Age(at(100)))
	tracker.ConfirmStore(at(100))
	tracker.StoreResponded(at(150))
	require.Equal(t, 400*time.Millisecond, tracker.Age(at(500)))
	tracker.ConfirmStore(at(50))
	require.Equal(t, 400*time.Millisecond, tracker.Age(at(500)), "an earlier time does not increase the age")
	tracker.ConfirmPeer(at(600), 200*time.Millisecond)
	require.Equal(t, 600*time.Millisecond, tracker.Age(at(1000)))
	require.Equal(t, 850*time.Millisecond, tracker.StoreAge(at(1000)), "a response of another node is not one of the store")
	tracker.ConfirmPeer(at(900), freshness.Unknown)
	require.Equal(t, 600*time.Millisecond, tracker.Age(at(1000)), "the copy of the other node was never confirmed")
	tracker.ConfirmPeer(at(900), -time.Second)
	require.Equal(t, 600*time.Millisecond, tracker.Age(at(1000)), "a negative age is ignored")
}

// Guards against a response of a store that has returned from a copy and that confirms an
// older version than other nodes have.
func TestSuspendedResponsesConfirmNothing(t *testing.T) {
	start := time.Now()
	tracker := freshness.NewTracker(start)
	tracker.ConfirmStore(start.Add(time.Second))
	tracker.Suspend(start.Add(3 * time.Second))
	tracker.ConfirmStore(start.Add(2 * time.Second))
	require.Equal(t, 3*time.Second, tracker.Age(start.Add(4*time.Second)))
	tracker.ConfirmPeer(start.Add(2*time.Second), 500*time.Millisecond)
	require.Equal(t, 2500*time.Millisecond, tracker.Age(start.Add(4*time.Second)), "other nodes confirm the copy")
	tracker.ConfirmStore(start.Add(3 * time.Second))
	require.Equal(t, time.Second, tracker.Age(start.Add(4*time.Second)))
}
