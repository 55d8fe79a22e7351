package once

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// The load of the tests below: calls with responses of 10 KiB at a rate of 25
// per second, and a table of 12 MiB.
const (
	pressureTableBytes    = 12 << 20
	pressureCalls         = 8_000
	pressureResponseBytes = 10 << 10
	pressureInterval      = 40 * time.Millisecond
)

// pressureTime returns the time of call i.
func pressureTime(i int) time.Time { return testEpoch.Add(time.Duration(i) * pressureInterval) }

// Guards against a table that is full of responses and therefore refuses new
// keys for the whole retention time. Outcomes must be kept, and so must the
// most recent responses.
func TestResponsesAreEvictedBeforeKeysAreRefused(t *testing.T) {
	table := newTable(Config{MaxBytes: pressureTableBytes})
	refused, complete := 0, 0
	for i := range pressureCalls {
		key := ownKey(pressureTime(i), uint64(i))
		if table.Begin(pressureTime(i), key, fingerprintA, testRetention).Kind != Start {
			refused++
			continue
		}
		table.Finish(pressureTime(i), key, completed(string(make([]byte, pressureResponseBytes))))
		require.LessOrEqual(t, table.Bytes(), table.config.MaxBytes)
	}
	now := pressureTime(pressureCalls)
	for i := range pressureCalls {
		d := table.Begin(now, ownKey(pressureTime(i), uint64(i)), fingerprintA, testRetention)
		require.Equal(t, Replay, d.Kind, i)
		require.Equal(t, outcome.Completed, d.Result.Outcome)
		require.Equal(t, uint32(200), d.Result.Status)
		if d.Result.BodyOmitted {
			require.Zero(t, complete, "an older response was kept")
			continue
		}
		complete++
		require.Len(t, d.Result.Body, pressureResponseBytes)
	}
	t.Logf("%d calls: %d refused, %d with a complete response, %d bytes", pressureCalls, refused, complete, table.Bytes())
	require.Zero(t, refused)
	require.GreaterOrEqual(t, int64(complete)*pressureResponseBytes, table.responseQuota()/2)
}

// Guards against a record that is evicted while retries of its caller are still
// likely, and against an evicted key that starts again or is reported as not
// run.
func TestRecordsAreEvictedByAge(t *testing.T) {
	const capacity = 20
	table := newTable(Config{MaxBytes: capacity * recordBytes})
	old, unused := ownKey(testEpoch, 0), ownKey(testEpoch, 99)
	run(t, table, testEpoch, old, completed(""))
	young := testEpoch.Add(DefaultMinEvictionAge)
	n := uint64(0)
	d := Decision{Kind: Start}
	for now := testEpoch.Add(time.Second); d.Kind == Start; n++ {
		key := ownKey(now, n+1)
		d = table.Begin(now, key, fingerprintA, testRetention)
		table.Finish(now, key, completed(""))
		require.Less(t, n, uint64(capacity))
	}
	requireRefused(t, d, outcome.NotRun, outcome.Overloaded)
	require.Equal(t, DefaultMinEvictionAge-time.Second, d.Err.RetryAfter)
	require.Equal(t, Replay, table.Begin(young.Add(-1), old, fingerprintA, testRetention).Kind)

	for i := range uint64(5) {
		later := young.Add(time.Minute)
		run(t, table, later, ownKey(later, 200+i), completed(""))
	}
	for _, key := range []string{old, unused} {
		requireRefused(t, table.Begin(young.Add(time.Minute), key, fingerprintA, testRetention), outcome.Unknown, outcome.KeyExpired)
	}
	require.LessOrEqual(t, table.Bytes(), table.config.MaxBytes)
}

// Guards against an operation that runs twice because its running record was
// evicted.
func TestRunningRecordsAreNotEvicted(t *testing.T) {
	table := newTable(Config{MaxBytes: 4 * (recordBytes + responseReserveBytes)})
	for i := range uint64(4) {
		require.Equal(t, Start, table.Begin(testEpoch, ownKey(testEpoch, i), fingerprintA, 0).Kind)
	}
	later := testEpoch.Add(DefaultStartWindow / 2)
	requireRefused(t, table.Begin(later, ownKey(later, 9), fingerprintA, 0), outcome.NotRun, outcome.Overloaded)
	for i := range uint64(4) {
		require.Equal(t, Wait, table.Begin(later, ownKey(testEpoch, i), fingerprintA, 0).Kind)
	}
}

// Guards against a decision that loses its response while the owner of the
// table is still writing it to the caller.
func TestDecisionKeepsEvictedResponse(t *testing.T) {
	table := newTable(Config{MaxBytes: pressureTableBytes})
	key := ownKey(testEpoch, 0)
	run(t, table, testEpoch, key, completed("whole"))
	d := table.Begin(testEpoch, key, fingerprintA, 0)
	table.evictResponse()
	require.Equal(t, "whole", string(d.Result.Body))
	require.True(t, table.Begin(testEpoch, key, fingerprintA, 0).Result.BodyOmitted)
	require.Zero(t, table.totalResponseBytes)
	require.EqualValues(t, recordBytes, table.Bytes())
}

// Guards against a handover that evicts outcomes of the successor, and against
// a refused chunk for which responses were evicted all the same.
func TestHandoverEvictsNoOutcome(t *testing.T) {
	_, now, chunks := closedTable(t, 5)
	next := newTable(Config{Executor: 8, MaxBytes: 10 * recordBytes})
	for i := range uint64(6) {
		run(t, next, now, testKey(8, now, i), completed("x"))
	}
	accepted := 0
	for _, chunk := range chunks {
		before := next.Bytes()
		if next.Adopt(now, chunk).Accepted {
			accepted++
			continue
		}
		require.Equal(t, before, next.Bytes())
	}
	require.Less(t, accepted, len(chunks))
	for i := range uint64(6) {
		require.Equal(t, Replay, next.Begin(now, testKey(8, now, i), fingerprintA, 0).Kind)
	}
}

// Guards against dropped records that stay in memory behind a response with a
// long retention.
func TestResponseQueueIsCompacted(t *testing.T) {
	table := newTable(Config{})
	long := ownKey(testEpoch, 0)
	require.Equal(t, Start, table.Begin(testEpoch, long, fingerprintA, DefaultMaxRetention).Kind)
	require.True(t, table.Finish(testEpoch, long, completed("x")))
	const calls = 20_000
	now := testEpoch
	for i := range uint64(calls) {
		now = now.Add(time.Second)
		key := ownKey(now, i+1)
		table.Begin(now, key, fingerprintA, 0)
		table.Finish(now, key, completed("x"))
		table.Expire(now)
	}
	require.Less(t, len(table.responses.records), 4*int(DefaultStartWindow/time.Second))
}
