package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Logs in the format of nodes. An order failed because a gate that had begun to shed
// rejected its nested call, and because another node did not respond.
const (
	entryLog = `{"level":"info","time":"2026-12-04T10:00:00Z","part":"node","message":"The node has started.","vm":"vm-1","peers":"10.0.0.1:7000"}
not a line of a node
{"level":"info","time":"2026-12-04T10:00:05.3Z","part":"entry","message":"The request failed.","request":"a1","service":"orders","outcome":"unknown","reason":"deadline_exceeded","took":"2s"}
{"level":"info","time":"2026-12-04T10:00:05.2Z","part":"peers","message":"A node gave no answer.","request":"a1","address":"10.0.0.9:7000"}
{"level":"info","time":"2026-12-04T10:00:05.2Z","part":"entry","message":"The request failed.","request":"a12","outcome":"unknown"}
{"level":"info","time":"2026-12-04T09:00:00Z","part":"control","message":"A configuration is in force.","version":3}
`
	gateLog = `{"level":"info","time":"2026-12-04T10:00:00Z","part":"node","message":"The node has started.","vm":"vm-2","peers":"10.0.0.2:7000"}
{"level":"info","time":"2026-12-04T10:00:05.1Z","part":"gate","message":"The request was refused at the gate.","request":"a1.7","reason":"overloaded","in_flight":24,"limit":24}
{"level":"info","time":"2026-12-04T10:00:05.05Z","part":"gate","message":"The gate changes what it admits.","threshold":460,"before":511}
`
)

// logFiles writes each content to a file and returns the --logs arguments.
func logFiles(t *testing.T, contents ...string) []string {
	args := make([]string, 0, 2*len(contents))
	for i, content := range contents {
		name := filepath.Join(t.TempDir(), string(rune('a'+i))+".log")
		require.NoError(t, os.WriteFile(name, []byte(content), 0o600))
		args = append(args, "--logs", name)
	}
	return args
}

// Guards against a trace that omits nested calls, other nodes or the state changes that
// caused a decision, that includes other requests, or that is not sorted by time.
func TestExplainFromLogs(t *testing.T) {
	files := logFiles(t, entryLog, gateLog)
	for _, id := range []string{"a1", "a1.7"} {
		code, stdout, stderr := runCommand(t, append([]string{"explain", "--request", id}, files...)...)
		require.Equal(t, ExitOK, code, stderr)
		last := -1
		for _, part := range []string{"The gate changes what it admits.", "refused at the gate", "gave no answer", "The request failed."} {
			at := strings.Index(stdout, part)
			require.Greater(t, at, last, part)
			last = at
		}
		require.Contains(t, stdout, "reason=overloaded in_flight=24 limit=24")
		require.Contains(t, stdout, "vm-2")
		require.Contains(t, stdout, "3 lines about the request and its calls.")
		require.Contains(t, stdout, "The node at 10.0.0.9:7000 did not respond and its log was not given; add it with --logs.")
		require.NotContains(t, stdout, "a12")
		require.NotContains(t, stdout, "A configuration is in force.")
	}
}

// Guards against missing lines that look like a request without problems.
func TestExplainFromLogsReportsMissingLines(t *testing.T) {
	code, stdout, _ := runCommand(t, append([]string{"explain", "--request", "zz"}, logFiles(t, entryLog)...)...)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stdout, "No line contains the request zz.")
	code, stdout, _ = runCommand(t, append([]string{"explain", "--request", "a1.7"}, logFiles(t, gateLog)...)...)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "No line reports that a1 failed")
}

// Guards against a long line of another program after which the rest of the log is missing.
func TestExplainSkipsLinesThatAreTooLong(t *testing.T) {
	long := strings.Repeat("x", 3*maxLogLineBytes) + "\n"
	for _, content := range []string{long + entryLog, entryLog + long, entryLog + strings.TrimSuffix(long, "\n")} {
		code, stdout, stderr := runCommand(t, append([]string{"explain", "--request", "a1"}, logFiles(t, content)...)...)
		require.Equal(t, ExitOK, code, stderr)
		require.Contains(t, stdout, "The request failed.")
		require.Contains(t, stdout, "1 lines of the log of vm-1 are longer than 1048576 bytes")
	}
}

// Guards against incomplete arguments that are accepted.
func TestExplainRejectsIncompleteArguments(t *testing.T) {
	for _, args := range [][]string{
		{"explain", "--logs", "x.log"},
		{"explain", "--logs", "x.log", "--target", "vm", "--request", "a1"},
		{"explain", "--logs", "no such file", "--request", "a1"},
	} {
		code, _, stderr := runCommand(t, args...)
		require.Equal(t, ExitUsage, code, args)
		require.NotEmpty(t, stderr)
	}
}
