package once

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	testService   = "orders"
	testExecutor  = uint64(7)
	testRetention = time.Hour
)

var (
	testEpoch = time.Unix(1790000000, 0)
	contentA  = FingerprintOf(testService, "place", "clerk", []byte("a"))
	contentB  = FingerprintOf(testService, "place", "clerk", []byte("b"))
)

func testKey(executor uint64, issued time.Time, n uint64) string {
	k := Key{Service: testService, Executor: executor, Issued: issued}
	binary.BigEndian.PutUint64(k.Random[:], n)
	return k.String()
}

func ownKey(issued time.Time, n uint64) string { return testKey(testExecutor, issued, n) }

func newTable(config Config) *Table {
	config.Service = testService
	if config.Executor == 0 {
		config.Executor = testExecutor
	}
	return New(config, testEpoch)
}

func completed(body string) Result {
	return Result{Outcome: outcome.Completed, Status: 200, Body: []byte(body)}
}

func requireRefused(t *testing.T, d Decision, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	require.Equal(t, Refuse, d.Kind)
	require.Equal(t, o.String()+" "+r.String(), d.Err.Outcome.String()+" "+d.Err.Reason.String())
}

func run(t *testing.T, table *Table, now time.Time, key string, result Result) {
	t.Helper()
	require.Equal(t, Start, table.Begin(now, key, contentA, testRetention).Kind)
	require.True(t, table.Finish(now, key, result))
}

// Guards against a second start of a key in any state.
func TestKeyStartsOnce(t *testing.T) {
	table := newTable(Config{})
	key := ownKey(testEpoch, 1)
	require.Equal(t, Start, table.Begin(testEpoch, key, contentA, testRetention).Kind)
	require.Equal(t, Wait, table.Begin(testEpoch, key, contentA, testRetention).Kind)
	requireRefused(t, table.Begin(testEpoch, key, contentB, testRetention), outcome.NotRun, outcome.KeyConflict)
	require.True(t, table.Finish(testEpoch, key, completed("first")))
	require.False(t, table.Finish(testEpoch, key, completed("second")))
	d := table.Begin(testEpoch, key, contentA, testRetention)
	require.Equal(t, Replay, d.Kind)
	require.Equal(t, "first", string(d.Result.Body))
	require.Nil(t, d.Result.Err())
}

// Guards against a refusal that a delayed duplicate overturns.
func TestRefusalIsFinal(t *testing.T) {
	table := newTable(Config{})
	key := ownKey(testEpoch, 1)
	require.Equal(t, Start, table.Begin(testEpoch, key, contentA, testRetention).Kind)
	require.True(t, table.MarkNotStarted(testEpoch, key, outcome.EvictedFromQueue))
	d := table.Begin(testEpoch, key, contentA, testRetention)
	require.Equal(t, Replay, d.Kind)
	require.Equal(t, outcome.NotRun, d.Result.Err().Outcome)
	require.Equal(t, outcome.EvictedFromQueue, d.Result.Err().Reason)
	asked := ownKey(testEpoch, 2)
	require.Equal(t, outcome.NotRun, table.Resolve(testEpoch, asked, contentA).Result.Outcome)
	require.Equal(t, Replay, table.Begin(testEpoch, asked, contentA, testRetention).Kind)
}

// Guards against a key that starts again when its record has been dropped, and
// against a false proof that it never ran.
func TestKeyAfterRetention(t *testing.T) {
	table := newTable(Config{})
	ran, refused, unused := ownKey(testEpoch, 1), ownKey(testEpoch.Add(1), 2), ownKey(testEpoch.Add(2), 3)
	run(t, table, testEpoch.Add(time.Second), ran, completed("x"))
	run(t, table, testEpoch.Add(time.Second), refused, Result{Outcome: outcome.NotRun, Reason: outcome.Overloaded})
	afterWindow := testEpoch.Add(DefaultStartWindow + 2*time.Second)
	table.Expire(afterWindow)
	require.Equal(t, Replay, table.Begin(afterWindow, ran, contentA, testRetention).Kind)
	requireRefused(t, table.Begin(afterWindow, refused, contentA, testRetention), outcome.NotRun, outcome.KeyExpired)
	requireRefused(t, table.Begin(afterWindow, unused, contentA, testRetention), outcome.NotRun, outcome.KeyExpired)
	late := afterWindow.Add(testRetention)
	table.Expire(late)
	require.Zero(t, table.Records())
	require.Zero(t, table.Bytes())
	requireRefused(t, table.Begin(late, ran, contentA, testRetention), outcome.Unknown, outcome.KeyExpired)
	requireRefused(t, table.Begin(late, unused, contentA, testRetention), outcome.NotRun, outcome.KeyExpired)
}

// Guards against keys whose issuer has another clock.
func TestKeyFromTheFuture(t *testing.T) {
	table := newTable(Config{})
	near := testEpoch.Add(DefaultMaxClockSkew)
	run(t, table, testEpoch, ownKey(near, 1), completed("x"))
	far := ownKey(near.Add(1), 2)
	requireRefused(t, table.Begin(testEpoch, far, contentA, testRetention), outcome.Unknown, outcome.KeyMalformed)
	due := near.Add(DefaultStartWindow + testRetention)
	table.Expire(due.Add(-1))
	require.Equal(t, Replay, table.Begin(due.Add(-1), ownKey(near, 1), contentA, testRetention).Kind)
}

// Guards against a wall clock that is set while the node runs: only the
// monotonic reading counts.
func TestClockGoesBack(t *testing.T) {
	table := newTable(Config{})
	old := ownKey(testEpoch, 1)
	table.Expire(testEpoch.Add(DefaultStartWindow))
	requireRefused(t, table.Begin(testEpoch.Add(-time.Hour), old, contentA, testRetention), outcome.NotRun, outcome.KeyExpired)
}

func TestKeyOfAnotherExecutor(t *testing.T) {
	table := newTable(Config{})
	requireRefused(t, table.Begin(testEpoch, testKey(8, testEpoch, 1), contentA, 0), outcome.Unknown, outcome.ExecutorGone)
	other := Key{Service: "stock", Executor: testExecutor, Issued: testEpoch}.String()
	requireRefused(t, table.Begin(testEpoch, other, contentA, 0), outcome.NotRun, outcome.KeyMalformed)
	requireRefused(t, table.Begin(testEpoch, "x", contentA, 0), outcome.NotRun, outcome.KeyMalformed)
}

// Guards against a full table that forgets records, or whose refusal a delayed
// duplicate overturns when there is room again.
func TestFullTable(t *testing.T) {
	table := newTable(Config{MaxBytes: 10 * (recordBytes + answerReserveBytes)})
	issued := testEpoch
	n := uint64(0)
	d := Decision{Kind: Start}
	for d.Kind == Start {
		n++
		d = table.Begin(testEpoch, ownKey(issued, n), contentA, testRetention)
	}
	requireRefused(t, d, outcome.NotRun, outcome.Overloaded)
	require.LessOrEqual(t, table.Bytes(), table.config.MaxBytes)
	for i := uint64(1); i < n; i++ {
		require.True(t, table.MarkNotStarted(testEpoch, ownKey(issued, i), outcome.Overloaded))
	}
	requireRefused(t, table.Begin(testEpoch, ownKey(issued, n), contentA, testRetention), outcome.NotRun, outcome.Overloaded)
	later := issued.Add(1)
	for i := range n {
		require.Equal(t, Start, table.Begin(later, ownKey(later, i), contentA, testRetention).Kind)
		require.True(t, table.MarkNotStarted(later, ownKey(later, i), outcome.Overloaded))
	}
	for i := uint64(1); i <= n; i++ {
		require.NotEqual(t, Start, table.Begin(later, ownKey(issued, i), contentA, testRetention).Kind)
	}
}

// Guards against answers that exceed the bound, and against a record without
// its answer that passes for a whole one.
func TestLargeAnswer(t *testing.T) {
	table := newTable(Config{MaxResponseBytes: 10})
	run(t, table, testEpoch, ownKey(testEpoch, 1), completed("0123456789"))
	run(t, table, testEpoch, ownKey(testEpoch, 2), completed("0123456789a"))
	require.False(t, table.Begin(testEpoch, ownKey(testEpoch, 1), contentA, 0).Result.BodyOmitted)
	require.True(t, table.Begin(testEpoch, ownKey(testEpoch, 2), contentA, 0).Result.BodyOmitted)
	full := newTable(Config{MaxBytes: 2 * (recordBytes + answerReserveBytes), MaxResponseBytes: 1 << 20})
	run(t, full, testEpoch, ownKey(testEpoch, 1), completed(string(make([]byte, full.config.MaxBytes))))
	require.True(t, full.Begin(testEpoch, ownKey(testEpoch, 1), contentA, 0).Result.BodyOmitted)
}

func TestClosedTable(t *testing.T) {
	table := newTable(Config{})
	running := ownKey(testEpoch, 1)
	require.Equal(t, Start, table.Begin(testEpoch, running, contentA, testRetention).Kind)
	table.Close(testEpoch)
	requireRefused(t, table.Begin(testEpoch, ownKey(testEpoch, 2), contentA, 0), outcome.NotRun, outcome.Draining)
	require.Equal(t, Wait, table.Begin(testEpoch, running, contentA, testRetention).Kind)
	require.True(t, table.Finish(testEpoch, running, completed("x")))
	require.Equal(t, Replay, table.Begin(testEpoch, running, contentA, testRetention).Kind)
}

// leaving returns a closed table with n completed keys, one running, one
// refused and one dropped key, and the chunks of its handover.
func leaving(t *testing.T, n uint64) (*Table, time.Time, []*pb.HandoverRequest) {
	t.Helper()
	table := newTable(Config{ChunkBytes: 2 * (recordBytes + 1)})
	run(t, table, testEpoch, ownKey(testEpoch, 0), completed("x"))
	now := testEpoch.Add(2 * (DefaultStartWindow + testRetention))
	table.Expire(now)
	for i := range n {
		run(t, table, now, ownKey(now, i), completed("x"))
	}
	run(t, table, now, ownKey(now, n), Result{Outcome: outcome.NotRun, Reason: outcome.Overloaded})
	require.Equal(t, Start, table.Begin(now, ownKey(now, n+1), contentA, testRetention).Kind)
	table.Close(now)
	return table, now, chunksOf(table, now)
}

func chunksOf(table *Table, now time.Time) []*pb.HandoverRequest {
	var out []*pb.HandoverRequest
	for chunk := range table.Export(now) {
		out = append(out, chunk)
	}
	return out
}

// Guards against a successor that starts a key of the old incarnation, and
// against wrong proofs from a complete or incomplete table.
func TestHandover(t *testing.T) {
	old, now, chunks := leaving(t, 5)
	require.Greater(t, len(chunks), 2)
	require.False(t, old.Finish(now, ownKey(now, 6), completed("late")))
	next := newTable(Config{Executor: 8})
	for i := len(chunks) - 1; i >= 0; i-- {
		require.False(t, next.Adopted(testExecutor))
		if i < len(chunks)-1 {
			requireRefused(t, next.Begin(now, ownKey(now, 99), contentA, 0), outcome.Unknown, outcome.ExecutorGone)
		}
		require.True(t, next.Adopt(now, chunks[i]).Accepted)
		require.True(t, next.Adopt(now, chunks[i]).Accepted)
	}
	require.True(t, next.Adopted(testExecutor))
	for i := range uint64(5) {
		require.Equal(t, "x", string(next.Begin(now, ownKey(now, i), contentA, 0).Result.Body))
	}
	requireRefused(t, next.Begin(now, ownKey(now, 1), contentB, 0), outcome.NotRun, outcome.KeyConflict)
	requireRefused(t, next.Begin(now, ownKey(now, 5), contentA, 0), outcome.NotRun, outcome.Draining)
	require.Equal(t, outcome.Unknown, next.Begin(now, ownKey(now, 6), contentA, 0).Result.Outcome)
	requireRefused(t, next.Begin(now, ownKey(now, 99), contentA, 0), outcome.NotRun, outcome.Draining)
	requireRefused(t, next.Begin(now, ownKey(testEpoch, 0), contentA, 0), outcome.Unknown, outcome.KeyExpired)
	late := now.Add(DefaultStartWindow + testRetention)
	next.Expire(late)
	require.Zero(t, next.Records())
	require.Zero(t, next.Bytes())
	requireRefused(t, next.Begin(late, ownKey(now, 1), contentA, 0), outcome.Unknown, outcome.ExecutorGone)
}

// Guards against a repeated handover whose chunks differ from the first, which
// would leave a gap in a table that counts as complete.
func TestRepeatedHandoverHasSameChunks(t *testing.T) {
	old, now, first := leaving(t, 9)
	later := now.Add(DefaultStartWindow + testRetention)
	old.Expire(later)
	second := chunksOf(old, later)
	require.Len(t, second, len(first))
	for i := range first {
		require.Len(t, second[i].Records, len(first[i].Records))
		require.Equal(t, first[i].Last, second[i].Last)
	}
	next := newTable(Config{Executor: 8})
	for i := range first {
		from := first
		if i%2 == 1 {
			from = second
		}
		require.True(t, next.Adopt(now, from[i]).Accepted)
	}
	for i := range uint64(9) {
		require.NotEqual(t, outcome.NotRun, outcomeOf(next.Begin(now, ownKey(now, i), contentA, 0)))
	}
}

func outcomeOf(d Decision) outcome.Outcome {
	if d.Kind == Replay {
		return d.Result.Outcome
	}
	if d.Kind == Refuse {
		return d.Err.Outcome
	}
	return 0
}

// Guards against tables that are lost when a successor leaves in its turn.
func TestHandoverPassesAdoptedTables(t *testing.T) {
	_, now, chunks := leaving(t, 3)
	second := newTable(Config{Executor: 8})
	partial := newTable(Config{Executor: 9})
	for i, chunk := range chunks {
		require.True(t, second.Adopt(now, chunk).Accepted)
		if i == 0 {
			require.True(t, partial.Adopt(now, chunk).Accepted)
		}
	}
	for _, middle := range []*Table{second, partial} {
		middle.Close(now)
		third := newTable(Config{Executor: 10})
		for _, chunk := range chunksOf(middle, now) {
			require.True(t, third.Adopt(now, chunk).Accepted)
		}
		require.Equal(t, middle == second, third.Adopted(testExecutor))
		require.True(t, third.Adopted(middle.own.executor))
	}
}

// Guards against chunks that do not belong here or contradict each other.
func TestAdoptRefuses(t *testing.T) {
	_, now, chunks := leaving(t, 5)
	last := uint32(len(chunks) - 1)
	foreign := []*pb.KeyRecord{{Key: testKey(99, now, 1), Fingerprint: contentA[:]}}
	bad := []*pb.HandoverRequest{
		{Service: "stock", Incarnation: testExecutor},
		{Service: testService, Incarnation: 8},
		{Service: testService, Incarnation: testExecutor, Chunk: MaxChunks},
		{Service: testService, Incarnation: testExecutor, Records: foreign},
		{Service: testService, Incarnation: testExecutor, Records: []*pb.KeyRecord{{Key: "x"}}},
		{Service: testService, Incarnation: testExecutor, Records: []*pb.KeyRecord{{Key: ownKey(now, 1)}}},
		{Service: testService, Incarnation: testExecutor, Chunk: last + 1},
		{Service: testService, Incarnation: testExecutor, Chunk: 1, Last: true},
	}
	next := newTable(Config{Executor: 8})
	require.True(t, next.Adopt(now, chunks[last]).Accepted)
	before := next.Bytes()
	for i, request := range bad {
		require.NotEmpty(t, next.Adopt(now, request).Detail, "request %d", i)
	}
	require.Equal(t, before, next.Bytes())
	small := newTable(Config{Executor: 8, MaxBytes: recordBytes})
	require.Contains(t, small.Adopt(now, chunks[1]).Detail, "full")
	closed := newTable(Config{Executor: 8})
	closed.Close(now)
	require.Contains(t, closed.Adopt(now, chunks[0]).Detail, "leaving")
}
