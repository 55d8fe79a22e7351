package retry

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playOperation records calls of an operation for a time: one first call and later calls per
// interval. It returns the time after the last one.
func playOperation(l *Limiter, now time.Time, operation string, later, times int) time.Time {
	for range times {
		for call := range later + 1 {
			l.RecordFirstAttempt(now, Send{Level: 200, Effective: 200, Operation: operation, ChildCall: true, CompletedCalls: uint32(call)})
		}
		now = now.Add(updateInterval)
	}
	return now
}

// Guards against operations of removed routes that take up all the space: the number of calls
// of later operations was unknown for ever, so that the retries that their root requests need
// were not counted.
func TestUnusedOperationsMakeRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(now, NewWindowBudget(now, 0.2, 10))
	for i := range maxOperations {
		now = playOperation(l, now, strconv.Itoa(i), 0, 1)
	}
	playOperation(l, now.Add(time.Minute), "new", 3, 20)
	require.True(t, l.demand.operations["new"].many())
	require.LessOrEqual(t, len(l.demand.operations), maxOperations)
	require.InDelta(t, 3, l.demand.operations["new"].laterCalls(), 0.01)
}

// Guards against operations in use that are forgotten for new ones.
func TestUsedOperationsStayKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(now, NewWindowBudget(now, 0.2, 10))
	for i := range 2 * maxOperations {
		now = playOperation(l, now, "used", 3, 1)
		playOperation(l, now, strconv.Itoa(i), 0, 1)
	}
	require.True(t, l.demand.operations["used"].many())
	require.LessOrEqual(t, len(l.demand.operations), maxOperations)
}
