package once

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Guards against a second spelling of the same key, which would get a second
// record and a second execution.
func FuzzParseKey(f *testing.F) {
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			require.Equal(t, outcome.NotRun, err.Outcome)
			require.Equal(t, outcome.KeyMalformed, err.Reason)
			return
		}
		require.Equal(t, s, k.String())
	})
}

// Guards against messages of a faulty peer that make a table exceed its memory
// limit, start a key of another incarnation, or modify its own keys. Both
// messages go to the same table, so that their chunks can contradict each
// other.
func FuzzAdopt(f *testing.F) {
	f.Fuzz(func(t *testing.T, first, second []byte) {
		table := newTable(Config{Executor: 8, MaxBytes: 8 << 10, MaxAdopted: 2})
		own := testKey(8, testEpoch, 1)
		run(t, table, testEpoch, own, completed("own"))
		for _, data := range [][]byte{first, second} {
			adoptIfValid(t, table, data)
		}
		require.Equal(t, "own", string(table.Begin(testEpoch, own, fingerprintA, 0).Result.Body))
		table.Expire(testEpoch.Add(4 * DefaultMaxRetention))
		require.Zero(t, table.Records())
		require.Zero(t, table.Bytes())
	})
}

// adoptIfValid sends data to the table if it decodes as a handover message, and
// checks the response and the memory charge.
func adoptIfValid(t *testing.T, table *Table, data []byte) {
	request := new(pb.HandoverRequest)
	if proto.Unmarshal(data, request) != nil {
		return
	}
	before := table.Bytes()
	response := table.Adopt(testEpoch, request)
	require.LessOrEqual(t, table.Bytes(), table.config.MaxBytes)
	require.NotEqual(t, response.Accepted, response.Detail != "")
	if !response.Accepted {
		require.Equal(t, before, table.Bytes())
		return
	}
	require.True(t, table.Adopt(testEpoch, request).Accepted)
	for _, r := range request.GetRecords() {
		require.NotEqual(t, Start, table.Begin(testEpoch, r.GetKey(), fingerprintA, 0).Kind)
	}
}
