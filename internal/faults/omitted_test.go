package faults

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/wire"
)

// Guards against a replay of an operation whose response was too large to store that
// is returned as a success with a shorter body, which the caller would take for the
// complete response.
func TestOmittedResponseIsAProblem(t *testing.T) {
	const answerBytes = once.DefaultMaxResponseBytes + 1
	running := startFleet(t, orders(time.Millisecond, answerBytes, "a"), entries("a"))
	client := &http.Client{}
	defer client.CloseIdleConnections()
	own := running.InstancesOf(serviceName)[0].Node.CallersAddress()
	other := running.InstancesOf("front")[0].Node.CallersAddress()
	keys, err := issueKeys(client, other, 1)
	require.NoError(t, err)

	first, err := post(context.Background(), client, other, bookPath, "large", keys[0])
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.status, string(first.body))
	require.Greater(t, len(first.body), answerBytes)

	for _, address := range []string{own, other} {
		replayed, err := post(context.Background(), client, address, bookPath, "large", keys[0])
		require.NoError(t, err)
		require.Equal(t, http.StatusGone, replayed.status, string(replayed.body))
		require.Equal(t, wire.ProblemType, replayed.header.Get("Content-Type"))
		require.Equal(t, "completed", replayed.problem.Outcome)
		require.Equal(t, "too_large", replayed.problem.Reason)
		require.NotEmpty(t, replayed.problem.Detail)
		require.Equal(t, omittedRemedy, replayed.problem.Remedy)
		require.NotEmpty(t, replayed.problem.RequestID)
		require.Empty(t, replayed.header.Get(wire.NextKeyHeader))
	}
	require.Equal(t, 1, running.Ledger.Begun(execution("large")))
}

// omittedRemedy is the remedy in the problem document. It must not advise a smaller
// request body, which would not help.
const omittedRemedy = "do not repeat the operation; read its state"
