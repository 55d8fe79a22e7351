package spread

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// joinRecord returns a record in which a node joins.
func joinRecord(incarnation uint64) []byte {
	return membership.BatchRecord([]*pb.MembersRecord{{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: testMember(int(incarnation), 2, incarnation)}}}})
}

// newReturningLog returns a log in its first era with a number of joins, and a replica
// that has applied them.
func newReturningLog(t *testing.T, joins int) (*writer, *reader) {
	w := &writer{fold: &MembersFold{State: membership.NewState()}, era: 1}
	for i := range joins {
		w.append(joinRecord(uint64(i + 1)))
	}
	r := &reader{replica: membersReplica()}
	require.NoError(t, finish(r, w))
	require.Equal(t, uint64(joins), r.replica.Next())
	return w, r
}

// Guards against a replica that goes on at its offset although the log has given it out
// again, and against one that gives up a log that has lost nothing.
func TestReplicaContinuesIfLogHasLostNothing(t *testing.T) {
	w, r := newReturningLog(t, 20)
	w.era = 2
	w.append(joinRecord(21))
	require.NoError(t, r.read(w, 100))
	require.True(t, r.replica.Verifying())
	require.Equal(t, uint64(20), r.replica.Next(), "nothing is applied before the records are compared")
	require.NoError(t, r.read(w, 100))
	require.False(t, r.replica.Verifying())
	require.Equal(t, w.era, r.replica.Era())
	require.NoError(t, finish(r, w))
	require.Equal(t, uint64(21), r.replica.Next())
}

// Guards against records that the log has lost and that stay lost, so that replicas which
// start later have another state.
func TestReplicaReturnsLostRecords(t *testing.T) {
	for _, lost := range []int{1, 5, 20} {
		w, r := newReturningLog(t, 20)
		all := w.records
		w.records, w.era = w.records[:20-lost:20-lost], 2
		require.NoError(t, r.read(w, 100))
		require.NoError(t, r.read(w, 100))
		records, end := r.replica.LostRecords()
		require.Equal(t, uint64(20-lost), end)
		require.Len(t, records, lost)
		for i, data := range records {
			require.Equal(t, all[20-lost+i].Data, data)
		}
		w.records = all
		require.NoError(t, r.read(w, 100))
		require.NoError(t, r.read(w, 100))
		require.NoError(t, r.lastErr)
		require.False(t, r.replica.Verifying())
		none, _ := r.replica.LostRecords()
		require.Empty(t, none)
	}
}

// Guards against replicas that apply records of a later era on top of others that had the
// same offsets before.
func TestReplicaAppliesNothingOfDivergedLog(t *testing.T) {
	w, r := newReturningLog(t, 20)
	w.records, w.era = w.records[:18:18], 2
	for i := range 5 {
		w.records = append(w.records, Record{Offset: uint64(18 + i), Data: joinRecord(uint64(100 + i))})
	}
	for range 4 {
		require.NoError(t, r.read(w, 100))
	}
	require.ErrorIs(t, r.lastErr, ErrLogDiverged)
	require.Equal(t, uint64(20), r.replica.Next())
	records, _ := r.replica.LostRecords()
	require.Empty(t, records)
	require.NotEqual(t, w.era, r.replica.Era())
}
