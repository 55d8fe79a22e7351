package journal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Guards against a caller whose invalid requests evict entries about refused
// critical requests.
func TestCallerErrorsDoNotEvictImportantEntries(t *testing.T) {
	for _, o := range []outcome.Outcome{outcome.NotRun, outcome.Unknown} {
		callerError := Entry{Root: RootID{1}, Class: outcome.Critical, Outcome: o, Reason: outcome.BadRequest}
		require.Equal(t, Notable, PriorityOf(callerError))
	}
	refusal := Entry{Root: RootID{1}, Class: outcome.Critical, Outcome: outcome.NotRun, Reason: outcome.Overloaded}
	require.Equal(t, Important, PriorityOf(refusal))
}
