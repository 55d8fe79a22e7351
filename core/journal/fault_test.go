package journal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Guards against a caller whose faulty requests push refusals of critical
// requests out of the journal.
func TestFaultsOfCallersDoNotPushOutImportantEntries(t *testing.T) {
	for _, o := range []outcome.Outcome{outcome.NotRun, outcome.Unknown} {
		fault := Entry{Root: RootID{1}, Class: outcome.Critical, Outcome: o, Reason: outcome.BadRequest}
		require.Equal(t, Notable, PriorityOf(fault))
	}
	refusal := Entry{Root: RootID{1}, Class: outcome.Critical, Outcome: outcome.NotRun, Reason: outcome.Overloaded}
	require.Equal(t, Important, PriorityOf(refusal))
}
