package outcome

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Guards against a reason that is added to the schema without a remedy.
func TestEveryReasonHasRemedy(t *testing.T) {
	for value, name := range pb.Reason_name {
		if value == 0 {
			continue
		}
		_, ok := remedies[Reason(value)]
		require.True(t, ok, "reason %s has no remedy", name)
	}
}

// Guards against a cohort that outweighs the class in the order of shedding.
func TestLevelOrdersClassBeforeCohort(t *testing.T) {
	require.Less(t, LevelOf(Critical, Cohorts-1), LevelOf(Normal, 0))
	require.Less(t, LevelOf(Normal, Cohorts-1), LevelOf(Sheddable, 0))
	require.Equal(t, MaxLevel, LevelOf(Sheddable, Cohorts-1))
	require.Equal(t, Normal, LevelOf(Normal, 77).Class())
	require.Equal(t, uint32(77), LevelOf(Normal, 77).Cohort())
}

// Guards against an unspecified outcome that is read as proof of not run.
func TestUnspecifiedOutcomeIsUnknown(t *testing.T) {
	require.Equal(t, Unknown, FromProto(pb.Outcome_OUTCOME_UNSPECIFIED))
	require.Equal(t, Unknown, FromProto(pb.Outcome(99)))
}

// Guards against a retry of work that may have run.
func TestRetryableNeedsProofOrIdempotence(t *testing.T) {
	lost := New(Unknown, AnswerLost, "")
	require.False(t, lost.Retryable(false))
	require.True(t, lost.Retryable(true))
	require.True(t, New(NotRun, Overloaded, "").Retryable(false))
	require.False(t, New(NotRun, NotAllowed, "").Retryable(true))
}
