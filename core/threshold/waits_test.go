package threshold_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/threshold"
)

// Guards against calls that run at the same time and count twice, and against an open call
// that does not count.
func TestWaitedIsTheUnionOfCalls(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	run := threshold.NewOperations(threshold.NewDownstream(start)).Start("get", outcome.LevelOf(outcome.Normal, 0))
	require.Zero(t, run.Waited(at(0)))
	run.WaitStarted(at(5))
	run.WaitStarted(at(10))
	run.WaitEnded(at(20))
	run.WaitEnded(at(25))
	require.Equal(t, 20*time.Millisecond, run.Waited(at(40)))
	run.WaitStarted(at(50))
	require.Equal(t, 30*time.Millisecond, run.Waited(at(60)))
}
