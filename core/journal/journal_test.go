package journal

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

var start = time.Unix(1_000, 0)

func root(n byte) RootID { return RootID{4: n, 15: 1} }

func refused(n byte, class outcome.Class) Entry {
	return Entry{Root: root(n), Target: "vm", Outcome: outcome.NotRun, Reason: outcome.Overloaded, Class: class}
}

// Guards against answers that mix requests, or come in another order.
func TestByRootAndTarget(t *testing.T) {
	j := New(Config{MaxEntries: 100, SampleEvery: 1})
	for i := range 30 {
		e := Entry{Root: root(byte(i%3 + 1)), Target: "vm" + string(rune('a'+i%2)), Outcome: outcome.Completed}
		j.Record(start.Add(time.Duration(i)), e)
	}
	found := j.ByRoot(root(2), 4)
	require.Len(t, found, 4)
	require.Equal(t, start.Add(28), found[3].Time)
	require.Equal(t, start.Add(19), found[0].Time)
	require.Len(t, j.ByTarget("vma", 0), 15)
	require.Empty(t, j.ByTarget("vmz", 0))
}

// Guards against a flood of sheddable refusals or completed requests that hides
// a refused booking or an unknown outcome.
func TestImportantEntriesOutliveFlood(t *testing.T) {
	j := New(Config{MaxEntries: 64, SampleEvery: 1})
	j.Record(start, refused(1, outcome.Critical))
	j.Record(start, Entry{Root: root(2), Outcome: outcome.Unknown, Class: outcome.Sheddable})
	for range 1_000 {
		j.Record(start, refused(3, outcome.Sheddable))
		j.Record(start, Entry{Root: root(4), Outcome: outcome.Completed})
	}
	require.Len(t, j.ByRoot(root(1), 0), 1)
	require.Len(t, j.ByRoot(root(2), 0), 1)
	require.NotEmpty(t, j.ByRoot(root(4), 0))
	require.Equal(t, uint64(2_002-64), j.Dropped().Total())
	require.Zero(t, j.Dropped().Evicted[Important])
}

// Guards against a choice of samples that differs between nodes or leaves a
// request half recorded.
func TestSamplingFollowsRootID(t *testing.T) {
	kept := 0
	for i := range 256 {
		a, b := New(Config{MaxEntries: 10}), New(Config{MaxEntries: 10})
		id := RootID{3: byte(i), 15: 1}
		for _, j := range []*Journal{a, b} {
			j.Record(start, Entry{Root: id, Event: "routed"})
			j.Record(start, Entry{Root: id, Outcome: outcome.Completed})
		}
		require.Equal(t, a.Len(), b.Len())
		require.Contains(t, []int{0, 2}, a.Len())
		kept += a.Len() / 2
	}
	require.Equal(t, 256/DefaultSampleEvery, kept)
}

// Guards against memory that long details hold.
func TestDetailIsCut(t *testing.T) {
	j := New(Config{MaxEntries: 1})
	e := refused(1, outcome.Normal)
	e.Detail = strings.Repeat("é", 300)
	j.Record(start, e)
	require.Equal(t, strings.Repeat("é", MaxDetailBytes/2), j.ByRoot(root(1), 0)[0].Detail)
}

// Guards against lost fields in the schema form.
func TestProto(t *testing.T) {
	e := refused(1, outcome.Critical)
	e.Time = start
	p := e.Proto("node-1")
	require.Equal(t, "node-1", p.Node)
	require.Equal(t, pb.Reason_REASON_OVERLOADED, p.Reason)
	require.Equal(t, start.UnixNano(), p.TimeUnixNanos)
	require.Nil(t, Entry{}.Proto("n").RootId)
}

// Guards against a journal that exceeds its bound, loses count, or pushes out an
// important entry while lower ranks hold more than their reserve.
func TestBoundProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 40).Draw(t, "capacity")
		j := New(Config{MaxEntries: capacity, SampleEvery: 1})
		steps := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 200).Draw(t, "ranks")
		for i, rank := range steps {
			lower := j.queues[Ordinary].length + j.queues[Notable].length
			before := j.Dropped().Evicted[Important]
			j.Record(start, entryOf(Priority(rank), byte(i)))
			require.Equal(t, uint64(i+1), uint64(j.Len())+j.Dropped().Total())
			require.LessOrEqual(t, j.Len(), capacity)
			if j.Dropped().Evicted[Important] > before {
				require.LessOrEqual(t, lower, 2*(capacity/reservedShare))
			}
		}
	})
}

func entryOf(rank Priority, n byte) Entry {
	switch rank {
	case Important:
		return refused(n, outcome.Critical)
	case Notable:
		return refused(n, outcome.Sheddable)
	}
	return Entry{Root: root(n), Outcome: outcome.Completed}
}

func BenchmarkRecord(b *testing.B) {
	j := New(Config{MaxEntries: 4096})
	entries := []Entry{refused(1, outcome.Critical), refused(2, outcome.Sheddable), {Root: root(3), Outcome: outcome.Completed}}
	b.ReportAllocs()
	for i := range b.N {
		j.Record(start, entries[i%len(entries)])
	}
}
