package threshold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Guards against a threshold that stays low after recovery.
func TestThresholdRisesToAllLevels(t *testing.T) {
	var c AgingThreshold
	c.Store(0, outcome.LevelOf(outcome.Critical, 0))
	require.Equal(t, outcome.LevelOf(outcome.Critical, 0), c.At(int64(HoldTime)))
	require.Equal(t, outcome.MaxLevel, c.At(int64(2*time.Second)))
}

// Guards against a call that is taken for needed by one coincidence, and against
// one that stays so after requests have succeeded without it.
func TestEvidenceFollowsRequests(t *testing.T) {
	operations := NewOperations(NewDownstream(start))
	called := Dependency{"d", "op"}
	finish := func(failed bool) bool {
		run := operations.Start("op", outcome.MaxLevel)
		run.CallRefused(called)
		run.Finish(start, failed)
		return operations.Essential(start, "op", called)
	}
	require.False(t, finish(true))
	require.True(t, finish(true))
	for n := 0; finish(false); n++ {
		require.Less(t, n, 10)
	}
	require.False(t, operations.Essential(start.Add(time.Hour), "op", called))
}

// Guards against a bad answer above its threshold that raises what is learned.
func TestObserve(t *testing.T) {
	d := NewDownstream(start)
	called := Dependency{"s", "op"}
	d.Observe(start, called, Response{Level: 400, Threshold: 200})
	require.EqualValues(t, 200, d.Threshold(start, called))
	require.NotNil(t, d.Admit(start, called, 201, false))
	require.Nil(t, d.Admit(start, called, 201, true))
	require.Nil(t, d.Admit(start, called, 200, false))
	d.Observe(start, called, Response{Level: 400})
	require.EqualValues(t, 200, d.Threshold(start, called))
	d.Observe(start, called, Response{Level: 150, Threshold: 300, Success: true})
	require.EqualValues(t, 225, d.Threshold(start, called))
	d.Observe(start, called, Response{Level: 400, Success: true})
	require.EqualValues(t, 400, d.Threshold(start, called))
}

func BenchmarkAdmitAndObserve(b *testing.B) {
	d := NewDownstream(start)
	called := Dependency{"orders", "place"}
	b.ReportAllocs()
	for b.Loop() {
		if d.Admit(start, called, 300, false) != nil {
			b.Fatal("refused")
		}
		d.Observe(start, called, Response{Level: 300, Threshold: 400, Success: true})
	}
}

func BenchmarkOperationThreshold(b *testing.B) {
	operations := NewOperations(NewDownstream(start))
	for _, service := range []string{"a", "b", "c", "d"} {
		for range 3 {
			run := operations.Start("op", outcome.MaxLevel)
			run.CallRefused(Dependency{service, "op"})
			run.Finish(start, true)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		operations.Threshold(start, "op", 400)
	}
}
