package telemetry_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/telemetry"
)

// safeBuffer is a buffer that is safe for concurrent use by the writer's goroutine and the
// test.
type safeBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Guards against events that are not one JSON object per line with the fields part and
// message.
func TestEventsAreOneJSONObjectPerLine(t *testing.T) {
	output := &safeBuffer{}
	logger, stop, err := telemetry.NewEventLogger(output, func() {})
	require.NoError(t, err)
	telemetry.Named(logger, telemetry.PartEntry).Info("The request failed.", zap.String("request", "id-1"))
	stop()
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	require.Len(t, lines, 1)
	var event map[string]string
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &event))
	require.Equal(t, "entry", event["part"])
	require.Equal(t, "id-1", event["request"])
	require.Equal(t, "The request failed.", event["message"])
}

// Guards against requests that are delayed because nothing reads the standard output, and
// against dropped lines that are not counted.
func TestLoggingDoesNotWaitForBlockedOutput(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	var suppressed atomic.Int64
	logger, stop, err := telemetry.NewEventLogger(writer, func() { suppressed.Add(1) })
	require.NoError(t, err)
	started := time.Now()
	const lines = 20000
	for i := range lines {
		logger.Info("line " + string(rune('a'+i%26)) + strings.Repeat("x", i%97))
	}
	stop()
	require.Less(t, time.Since(started), 5*time.Second)
	require.Positive(t, suppressed.Load())
}

// Guards against an unlimited number of lines with the same message, and against
// suppressed lines that are not counted.
func TestRepeatedEventsAreSampled(t *testing.T) {
	output := &safeBuffer{}
	var suppressed atomic.Int64
	logger, stop, err := telemetry.NewEventLogger(output, func() { suppressed.Add(1) })
	require.NoError(t, err)
	const lines = 1000
	for range lines {
		logger.Info("The request failed.")
	}
	stop()
	written := strings.Count(output.String(), "\n")
	require.Less(t, written, lines/2)
	require.Equal(t, int64(lines), int64(written)+suppressed.Load())
}
