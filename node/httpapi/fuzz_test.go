package httpapi

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/wire"
)

// maxDetailBytes bounds the error detail: a quoted value, whose escaping may
// take four bytes for each byte, and the surrounding text.
const maxDetailBytes = 4*maxQuotedBytes + 256

// FuzzParseHeaders guards against header values that cause a panic, that are
// accepted as a different value, or that are refused without a bounded,
// printable reason.
func FuzzParseHeaders(f *testing.F) {
	f.Fuzz(func(t *testing.T, deadline, attempt, allowance, root string) {
		header := http.Header{}
		header.Set(wire.DeadlineHeader, deadline)
		header.Set(wire.AttemptHeader, attempt)
		header.Set(wire.RetryAllowanceHeader, allowance)
		header.Set(wire.RootHeader, root)
		parsed, err := parseHeaders(header)
		if err != nil {
			require.Equal(t, outcome.NotRun, err.Outcome)
			require.Equal(t, outcome.BadRequest, err.Reason)
			require.True(t, utf8.ValidString(err.Detail))
			require.LessOrEqual(t, len(err.Detail), maxDetailBytes)
			return
		}
		requireDeadline(t, deadline, parsed.deadline)
		requireCount(t, attempt, parsed.attempt)
		requireCount(t, allowance, parsed.remaining)
		require.Equal(t, allowance != "", parsed.hasRemaining)
		require.Equal(t, strings.ToLower(root), hex.EncodeToString(parsed.rootID))
		require.Contains(t, []int{0, outcome.RootIDBytes}, len(parsed.rootID))
	})
}

func requireDeadline(t *testing.T, text string, parsed time.Duration) {
	if text == "" {
		require.Zero(t, parsed)
		return
	}
	require.Positive(t, parsed)
}

func requireCount(t *testing.T, text string, parsed uint32) {
	if text == "" {
		require.Zero(t, parsed)
		return
	}
	want, err := strconv.ParseUint(text, 10, 32)
	require.NoError(t, err)
	require.Equal(t, uint32(want), parsed)
}
