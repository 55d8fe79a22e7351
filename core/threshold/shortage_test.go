package threshold

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Guards against an age that begins anew when the threshold rises to all levels for a
// moment, against one that outlasts the shortage, and against reports of earlier
// versions, which carry no age, being taken for the end or the begin of a shortage.
func TestShortageHasAge(t *testing.T) {
	s := NewShortages()
	called := Dependency{"s", "op"}
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	require.Zero(t, s.Observe(at(0), called, outcome.MaxLevel, 0))
	require.Zero(t, s.Observe(at(0), called, 0, time.Second), "without a threshold nothing is known")
	require.Zero(t, s.Observe(at(100), called, 300, 0), "a report without an age begins a shortage")
	require.Equal(t, 700*time.Millisecond, s.Observe(at(800), called, 300, 0))
	require.Equal(t, 800*time.Millisecond, s.Observe(at(900), called, outcome.MaxLevel, 0))
	require.Equal(t, 2*time.Second, s.Observe(at(1000), called, 300, 2*time.Second), "another node has known it for longer")
	require.Equal(t, 2500*time.Millisecond, s.Observe(at(1500), called, 300, time.Second), "a node that has restarted knows less")
	require.Equal(t, 3400*time.Millisecond, s.Age(at(2400), called))
	require.Zero(t, s.Age(at(2600), called))
}

// Guards against shortages of operations that no longer exist and take up all the space,
// so that later shortages have no age.
func TestEndedShortagesMakeRoom(t *testing.T) {
	s := NewShortages()
	for i := range maxOperations {
		s.Observe(start, Dependency{"s", strconv.Itoa(i)}, 300, 0)
	}
	called, later := Dependency{"s", "new"}, start.Add(shortageGap+time.Millisecond)
	s.Observe(later, called, 300, 0)
	require.Equal(t, 500*time.Millisecond, s.Observe(later.Add(500*time.Millisecond), called, 300, 0))
	require.Len(t, s.byCall, 1)
}

// Guards against more operations than the limit.
func TestShortagesAreBounded(t *testing.T) {
	s := NewShortages()
	for i := range maxOperations + 1 {
		s.Observe(start, Dependency{"s", strconv.Itoa(i)}, 300, 0)
	}
	require.Len(t, s.byCall, maxOperations)
}

// fixedLimits limits all calls to a level.
type fixedLimits struct {
	enabled bool
	level   outcome.Level
}

func (f *fixedLimits) Enabled() bool                             { return f.enabled }
func (f *fixedLimits) Limit(time.Time, Dependency) outcome.Level { return f.level }

// Guards against limits that apply while they are disabled, and against the failures of
// requests above a limit closing the operation for the levels that the limit admits.
func TestCallLimitLowersOperationThreshold(t *testing.T) {
	limits := &fixedLimits{level: 200}
	operations := NewOperations(NewDownstream(start))
	operations.LimitCalls(limits)
	finish := func(level outcome.Level, failed bool) {
		run := operations.Start("op", level)
		run.CallStarted(Dependency{"s", "op"})
		if failed {
			run.CallFailed()
		}
		run.Finish(start, failed)
	}
	for range 2 * minCalls {
		finish(400, false)
	}
	require.Equal(t, outcome.MaxLevel, operations.Threshold(start, "op", 0))
	require.False(t, operations.Doomed(start, "op", 201))
	limits.enabled = true
	require.EqualValues(t, 200, operations.Threshold(start, "op", 0))
	require.EqualValues(t, 150, operations.Threshold(start, "op", 150))
	require.Equal(t, outcome.MaxLevel, operations.Threshold(start, "other", 0))
	require.True(t, operations.Doomed(start, "op", 201))
	require.False(t, operations.Doomed(start, "op", 200))
	for range 4 * minRequests {
		finish(400, true)
	}
	require.EqualValues(t, 200, operations.Threshold(start, "op", 0))
}
