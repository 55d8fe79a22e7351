package outcome

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Guards against adding a reason to the schema without a remedy.
func TestEveryReasonHasRemedy(t *testing.T) {
	for value, name := range pb.Reason_name {
		if value == 0 {
			continue
		}
		_, ok := remedies[Reason(value)]
		require.True(t, ok, "reason %s has no remedy", name)
	}
}

// Guards against a cohort that outweighs the class in the shedding order.
func TestLevelOrdersClassBeforeCohort(t *testing.T) {
	require.Less(t, LevelOf(Critical, Cohorts-1), LevelOf(Normal, 0))
	require.Less(t, LevelOf(Normal, Cohorts-1), LevelOf(Sheddable, 0))
	require.Equal(t, MaxLevel, LevelOf(Sheddable, Cohorts-1))
	require.Equal(t, Normal, LevelOf(Normal, 77).Class())
	require.Equal(t, uint32(77), LevelOf(Normal, 77).Cohort())
}

// Guards against treating an unspecified outcome as proof that the operation did not
// run.
func TestUnspecifiedOutcomeIsUnknown(t *testing.T) {
	require.Equal(t, Unknown, FromProto(pb.Outcome_OUTCOME_UNSPECIFIED))
	require.Equal(t, Unknown, FromProto(pb.Outcome(99)))
}

// Guards against retrying a non-idempotent operation that may have run.
func TestRetryableNeedsProofOrIdempotence(t *testing.T) {
	lost := New(Unknown, AnswerLost, "")
	require.False(t, lost.Retryable(false))
	require.True(t, lost.Retryable(true))
	require.True(t, New(NotRun, Overloaded, "").Retryable(false))
	require.False(t, New(NotRun, NotAllowed, "").Retryable(true))
}

// Guards against accepting a status that HTTP does not define, or one that ends HTTP on
// the connection.
func TestStatusOfResponse(t *testing.T) {
	for status := -1; status <= 1000; status++ {
		require.Equal(t, status >= 200 && status <= 599, IsFinalStatus(status), status)
		require.Equal(t, status >= 100 && status <= 199 && status != 101, IsInterimStatus(status), status)
	}
}

// Guards against levels of other nodes that wrap to more important ones, and against a
// level that is unknown (0) becoming known.
func TestLevelFromOtherNodeIsBounded(t *testing.T) {
	for value, want := range map[uint32]Level{0: 0, 1: 1, 300: 300, uint32(MaxLevel): MaxLevel, uint32(MaxLevel) + 1: MaxLevel, 1 << 16: MaxLevel, 1<<16 + 1: MaxLevel, 1<<32 - 1: MaxLevel} {
		require.Equal(t, want, LevelFromProto(value), "value %d", value)
	}
}
