package once

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// The load of the pressure tests: calls with answers of 10 KB at 25 a second,
// and a table of 12 MiB.
const (
	pressureBytes    = 12 << 20
	pressureCalls    = 8_000
	pressureAnswer   = 10 << 10
	pressureInterval = 40 * time.Millisecond
)

func pressureTime(i int) time.Time { return testEpoch.Add(time.Duration(i) * pressureInterval) }

// Guards against a table that refuses bookings for the whole retention time
// because answers fill it: outcomes must stay, and the latest answers too.
func TestAnswersAreDroppedBeforeKeysAreRefused(t *testing.T) {
	table := newTable(Config{MaxBytes: pressureBytes})
	refused, whole := 0, 0
	for i := range pressureCalls {
		key := ownKey(pressureTime(i), uint64(i))
		if table.Begin(pressureTime(i), key, contentA, testRetention).Kind != Start {
			refused++
			continue
		}
		table.Finish(pressureTime(i), key, completed(string(make([]byte, pressureAnswer))))
		require.LessOrEqual(t, table.Bytes(), table.config.MaxBytes)
	}
	now := pressureTime(pressureCalls)
	for i := range pressureCalls {
		d := table.Begin(now, ownKey(pressureTime(i), uint64(i)), contentA, testRetention)
		require.Equal(t, Replay, d.Kind, i)
		require.Equal(t, outcome.Completed, d.Result.Outcome)
		require.Equal(t, uint32(200), d.Result.Status)
		if d.Result.BodyOmitted {
			require.Zero(t, whole, "an older answer stayed")
			continue
		}
		whole++
		require.Len(t, d.Result.Body, pressureAnswer)
	}
	t.Logf("%d calls: %d refused, %d with a whole answer, %d bytes", pressureCalls, refused, whole, table.Bytes())
	require.Zero(t, refused)
	require.GreaterOrEqual(t, int64(whole)*pressureAnswer, table.guaranteed()/2)
}

// Guards against a record that is dropped for lack of memory while retries of
// its caller are likely, and against a dropped key that starts again or is said
// to be not run.
func TestRecordsAreDroppedByAge(t *testing.T) {
	const room = 20
	table := newTable(Config{MaxBytes: room * recordBytes})
	old, unused := ownKey(testEpoch, 0), ownKey(testEpoch, 99)
	run(t, table, testEpoch, old, completed(""))
	young := testEpoch.Add(DefaultMinEvictionAge)
	n := uint64(0)
	d := Decision{Kind: Start}
	for now := testEpoch.Add(time.Second); d.Kind == Start; n++ {
		key := ownKey(now, n+1)
		d = table.Begin(now, key, contentA, testRetention)
		table.Finish(now, key, completed(""))
		require.Less(t, n, uint64(room))
	}
	requireRefused(t, d, outcome.NotRun, outcome.Overloaded)
	require.Equal(t, DefaultMinEvictionAge-time.Second, d.Err.RetryAfter)
	require.Equal(t, Replay, table.Begin(young.Add(-1), old, contentA, testRetention).Kind)

	for i := range uint64(5) {
		later := young.Add(time.Minute)
		run(t, table, later, ownKey(later, 200+i), completed(""))
	}
	for _, key := range []string{old, unused} {
		requireRefused(t, table.Begin(young.Add(time.Minute), key, contentA, testRetention), outcome.Unknown, outcome.KeyExpired)
	}
	require.LessOrEqual(t, table.Bytes(), table.config.MaxBytes)
}

// Guards against an operation that runs again because its running record was
// dropped for lack of memory.
func TestRunningRecordsStay(t *testing.T) {
	table := newTable(Config{MaxBytes: 4 * (recordBytes + answerReserveBytes)})
	for i := range uint64(4) {
		require.Equal(t, Start, table.Begin(testEpoch, ownKey(testEpoch, i), contentA, 0).Kind)
	}
	later := testEpoch.Add(DefaultStartWindow / 2)
	requireRefused(t, table.Begin(later, ownKey(later, 9), contentA, 0), outcome.NotRun, outcome.Overloaded)
	for i := range uint64(4) {
		require.Equal(t, Wait, table.Begin(later, ownKey(testEpoch, i), contentA, 0).Kind)
	}
}

// Guards against a decision whose answer disappears while its owner still
// writes it to the caller.
func TestDecisionKeepsItsAnswer(t *testing.T) {
	table := newTable(Config{MaxBytes: pressureBytes})
	key := ownKey(testEpoch, 0)
	run(t, table, testEpoch, key, completed("whole"))
	d := table.Begin(testEpoch, key, contentA, 0)
	table.dropAnswer()
	require.Equal(t, "whole", string(d.Result.Body))
	require.True(t, table.Begin(testEpoch, key, contentA, 0).Result.BodyOmitted)
	require.Zero(t, table.answers)
	require.EqualValues(t, recordBytes, table.Bytes())
}

// Guards against a handover that pushes outcomes of the successor out, and
// against a refused chunk that still costs answers.
func TestHandoverDropsNoOutcome(t *testing.T) {
	_, now, chunks := leaving(t, 5)
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
		require.Equal(t, Replay, next.Begin(now, testKey(8, now, i), contentA, 0).Kind)
	}
}

// Guards against dropped records that stay in memory behind an answer with a
// long retention.
func TestAnswerQueueStaysShort(t *testing.T) {
	table := newTable(Config{})
	long := ownKey(testEpoch, 0)
	require.Equal(t, Start, table.Begin(testEpoch, long, contentA, DefaultMaxRetention).Kind)
	require.True(t, table.Finish(testEpoch, long, completed("x")))
	const calls = 20_000
	now := testEpoch
	for i := range uint64(calls) {
		now = now.Add(time.Second)
		key := ownKey(now, i+1)
		table.Begin(now, key, contentA, 0)
		table.Finish(now, key, completed("x"))
		table.Expire(now)
	}
	require.Less(t, len(table.answered.records), 4*int(DefaultStartWindow/time.Second))
}
