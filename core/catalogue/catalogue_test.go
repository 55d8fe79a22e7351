package catalogue

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

func testID(n uint64) []byte {
	id := make([]byte, ChangeIDBytes)
	binary.LittleEndian.PutUint64(id, n)
	return id
}

func testEntry(service, owner string) *pb.Entry {
	return &pb.Entry{Service: service, Owner: owner, Operations: []*pb.Operation{{Name: "read", Idempotent: true}}}
}

func testChange(id uint64, service, operator string, base uint64) *pb.Change {
	return &pb.Change{Id: testID(id), Operator: operator, Service: service, BaseRevision: base, Entry: testEntry(service, operator)}
}

func apply(t require.TestingT, s *State, c *pb.Change) *pb.ChangeResult {
	effect, err := s.Apply(s.Next(), ChangeRecord(c))
	require.NoError(t, err)
	return effect.Result
}

// Guards against a validation that stops at the first problem or that does not
// name the field.
func TestValidateReportsAllProblems(t *testing.T) {
	entry := &pb.Entry{
		Service:        "Stock!",
		Class:          9,
		Limits:         &pb.Limits{RequestBytes: 1 << 40, Drain: durationpb.New(-time.Second)},
		Operations:     []*pb.Operation{{Name: "a"}, {Name: "a", Deadline: durationpb.New(48 * time.Hour), LeastShare: proto.Float64(-0.1)}},
		AllowedCallers: []string{"orders", "", "orders"},
		Deadline:       durationpb.New(0),
		Retry:          &pb.RetryPolicy{Allowance: 1000, EdgeRatio: math.NaN()},
		Objective:      &pb.Objective{Goodput: 1.5},
		KeyRetention:   durationpb.New(48 * time.Hour),
		DrainingVms:    []string{"vm 1"},
		LeastShare:     proto.Float64(2),
	}
	var invalid *ValidationError
	require.True(t, errors.As(Validate(entry), &invalid))
	var fields []string
	for _, p := range invalid.Problems {
		fields = append(fields, p.Field)
		require.NotEmpty(t, p.Remedy)
	}
	require.Equal(t, []string{
		"service", "owner", "class", "limits.request_bytes", "limits.drain",
		"operations[1].name", "operations[1].deadline", "operations[1].least_share",
		"allowed_callers[1]", "allowed_callers[2]", "deadline",
		"retry.allowance", "retry.edge_ratio", "objective.goodput", "key_retention", "draining_vms[0]", "least_share",
	}, fields)
	require.NoError(t, Validate(testEntry("stock", "ops")))
	require.Error(t, Validate(nil))
}

// Guards against two concurrent changes that are both accepted, and against a
// rejected change whose result does not name the accepted one.
func TestStaleChangeReportsWinner(t *testing.T) {
	s := NewState()
	require.True(t, apply(t, s, testChange(1, "stock", "ops", 0)).GetAccepted())
	require.True(t, apply(t, s, testChange(2, "stock", "ops", 1)).GetAccepted())
	lost := apply(t, s, testChange(3, "stock", "ops", 1))
	require.False(t, lost.GetAccepted())
	require.Equal(t, "ops", lost.GetWinner())
	require.Equal(t, testID(2), lost.GetWinnerChangeId())
	require.Equal(t, uint64(2), s.Snapshot().Revision("stock"))
}

// Guards against changes of an entry by operators who do not own it.
func TestOnlyOwnerMayChange(t *testing.T) {
	s := NewState()
	require.False(t, apply(t, s, &pb.Change{Id: testID(1), Operator: "eve", Service: "stock", Entry: testEntry("stock", "ops")}).GetAccepted())
	require.True(t, apply(t, s, testChange(2, "stock", "ops", 0)).GetAccepted())
	stolen := apply(t, s, testChange(3, "stock", "eve", 2))
	require.False(t, stolen.GetAccepted())
	require.Contains(t, stolen.GetDetail(), `"ops"`)
	transfer := &pb.Change{Id: testID(4), Operator: "ops", Service: "stock", BaseRevision: 2, Entry: testEntry("stock", "eve")}
	require.True(t, apply(t, s, transfer).GetAccepted())
	require.True(t, apply(t, s, testChange(5, "stock", "eve", 4)).GetAccepted())
}

// Guards against a late or repeated creation that restores a deleted entry,
// even when the ID of the creation is no longer among the recent results.
func TestDeletedEntryStaysDeleted(t *testing.T) {
	s := NewState()
	create := testChange(1, "stock", "ops", 0)
	require.True(t, apply(t, s, create).GetAccepted())
	require.True(t, apply(t, s, &pb.Change{Id: testID(2), Operator: "ops", Service: "stock", BaseRevision: 1}).GetAccepted())
	require.Nil(t, apply(t, s, create))
	revision := uint64(0)
	for i := range uint64(MaxRecentResults) {
		require.True(t, apply(t, s, testChange(100+i, "other", "ops", revision)).GetAccepted())
		revision = s.Snapshot().Revision("other")
	}
	require.False(t, apply(t, s, create).GetAccepted())
	_, ok := s.Snapshot().Service("stock")
	require.False(t, ok)
	require.True(t, apply(t, s, testChange(3, "stock", "ops", s.Snapshot().Revision("stock"))).GetAccepted())
}

// Guards against tombstones and results that grow without bound.
func TestResultsAndTombstonesAreBounded(t *testing.T) {
	s := NewState()
	for i := range uint64(MaxTombstones + 10) {
		service := fmt.Sprintf("s%d", i)
		require.True(t, apply(t, s, testChange(2*i, service, "ops", 0)).GetAccepted())
		require.True(t, apply(t, s, &pb.Change{Id: testID(2*i + 1), Operator: "ops", Service: service, BaseRevision: s.Next()}).GetAccepted())
	}
	require.Len(t, s.tombstones, MaxTombstones)
	require.Len(t, s.recent, MaxRecentResults)
	require.Len(t, s.resultByID, MaxRecentResults)
	require.Zero(t, s.Snapshot().Revision("s0"))
	require.NotZero(t, s.Snapshot().Revision(fmt.Sprintf("s%d", MaxTombstones)))
}

// Guards against a catalogue that exceeds the memory planned for it at each
// node, and against a size that differs after a restore.
func TestCatalogueBytesAreBounded(t *testing.T) {
	s := NewState()
	large := func(i int) *pb.Change {
		c := testChange(uint64(i), fmt.Sprintf("s%d", i), "ops", 0)
		for j := range 250 {
			c.Entry.AllowedCallers = append(c.Entry.AllowedCallers, fmt.Sprintf("caller-%0200d", j))
		}
		return c
	}
	accepted := 0
	for apply(t, s, large(accepted)).GetAccepted() {
		accepted++
	}
	require.InDelta(t, MaxCatalogueBytes, s.entryBytes, 60_000)
	restored, err := Restore(s.Encode())
	require.NoError(t, err)
	require.Equal(t, s.entryBytes, restored.entryBytes)
	remove := &pb.Change{Id: testID(1e6), Operator: "ops", Service: "s0", BaseRevision: s.Snapshot().Revision("s0")}
	require.True(t, apply(t, s, remove).GetAccepted())
	require.True(t, apply(t, s, large(1000)).GetAccepted())
}

// drawRecord draws a record with one of a few services, operators and IDs, so
// that changes often conflict.
func drawRecord(t *rapid.T, s *State) []byte {
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "junk")
	case 1:
		return s.CheckpointRecord()
	}
	service := rapid.SampledFrom([]string{"a", "b", "c", "Bad"}).Draw(t, "service")
	c := testChange(rapid.Uint64Range(0, 30).Draw(t, "id"), service, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "operator"), 0)
	if rapid.Bool().Draw(t, "current") {
		c.BaseRevision = s.Snapshot().Revision(service)
	}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		c.Entry = nil
	}
	return ChangeRecord(c)
}

// Guards against a state that depends on the offset at which a reader starts,
// and against a revision that decreases.
func TestStateIsTheSameFromEveryStartOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete := NewState()
		var records [][]byte
		var states [][]byte
		revisions := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			states = append(states, complete.Encode())
			records = append(records, drawRecord(t, complete))
			_, err := complete.Apply(complete.Next(), records[len(records)-1])
			require.NoError(t, err)
			view := complete.Snapshot()
			for _, service := range []string{"a", "b", "c"} {
				require.GreaterOrEqual(t, view.Revision(service), revisions[service])
				revisions[service] = view.Revision(service)
			}
		}
		start := rapid.IntRange(0, len(records)-1).Draw(t, "start")
		resumed, err := Restore(states[start])
		require.NoError(t, err)
		for offset := start; offset < len(records); offset++ {
			_, err := resumed.Apply(uint64(offset), StripCheckpoint(records[offset]))
			require.NoError(t, err)
		}
		require.Equal(t, complete.Encode(), resumed.Encode())
		require.Equal(t, complete.Snapshot().Services(), resumed.Snapshot().Services())
	})
}

// Guards against an undetected gap between records and against a record that is
// applied twice.
func TestGapAndRepeatedRecord(t *testing.T) {
	s := NewState()
	_, err := s.Apply(1, ChangeRecord(testChange(1, "stock", "ops", 0)))
	require.ErrorIs(t, err, ErrGap)
	require.Zero(t, s.Next())
	apply(t, s, testChange(1, "stock", "ops", 0))
	effect, err := s.Apply(0, ChangeRecord(testChange(2, "other", "ops", 0)))
	require.NoError(t, err)
	require.Zero(t, effect)
	require.Equal(t, 1, s.Snapshot().Len())
}

// Guards against defaults that are not applied, callers that are allowed by
// mistake, and lookups that allocate memory.
func TestSnapshotLookups(t *testing.T) {
	s := NewState()
	entry := testEntry("stock", "ops")
	entry.Class = pb.Class_CLASS_CRITICAL
	entry.LeastShare = proto.Float64(0.3)
	entry.Operations = append(entry.Operations, &pb.Operation{
		Name: "view", Class: pb.Class_CLASS_SHEDDABLE, Deadline: durationpb.New(time.Second), LeastShare: proto.Float64(0),
	})
	entry.AllowedCallers = []string{"orders"}
	entry.DrainingVms = []string{"vm-1"}
	apply(t, s, &pb.Change{Id: testID(1), Operator: "ops", Service: "stock", Entry: entry})
	open := testEntry("calendar", "ops")
	open.AllowedCallers = []string{AnyExternalCaller}
	apply(t, s, &pb.Change{Id: testID(2), Operator: "ops", Service: "calendar", Entry: open})
	view := s.Snapshot()
	stock, _ := view.Service("stock")
	calendar, _ := view.Service("calendar")
	read, _ := stock.Operation("read")
	seen, _ := stock.Operation("view")
	require.Equal(t, Operation{Name: "read", Idempotent: true, Class: outcome.Critical, Deadline: DefaultDeadline, LeastShare: 0.3}, *read)
	require.Equal(t, Operation{Name: "view", Class: outcome.Sheddable, Deadline: time.Second, LeastShare: 0}, *seen)
	other, _ := calendar.Operation("read")
	require.Equal(t, leastshare.Default, other.LeastShare)
	require.True(t, stock.Draining("vm-1"))
	require.True(t, view.Allowed(stock, "orders"))
	require.False(t, view.Allowed(stock, "calendar"))
	require.False(t, view.Allowed(stock, ""))
	require.True(t, view.Allowed(calendar, "browser"))
	require.True(t, view.Allowed(calendar, ""))
	require.False(t, view.Allowed(calendar, "stock"), "an internal service must be named")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		found, _ := view.Service("stock")
		_, _ = found.Operation("read")
		_ = view.Allowed(found, "orders")
	}))
}
