package spread

import (
	"fmt"
	"testing"

	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

func newMemberTable(n int) *membership.Snapshot {
	s := membership.NewState()
	for i := range n {
		m := testMember(i, 6, uint64(i+1)*0x9e3779b97f4a7c15)
		record := &pb.MembersRecord{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: m}}}
		_, _ = s.Apply(s.Next(), membership.BatchRecord([]*pb.MembersRecord{record}))
	}
	return s.Snapshot()
}

func forMembers(b *testing.B, run func(members *membership.Snapshot)) {
	for _, n := range []int{300, 1200, 4800, 9600} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			members := newMemberTable(n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				run(members)
			}
		})
	}
}

// BenchmarkRefresh measures choosing the readers and partners after a change of
// the member table.
func BenchmarkRefresh(b *testing.B) {
	forMembers(b, func(members *membership.Snapshot) {
		Partners(members, 1, "zone-1")
		Readers(members, "zone-1")
	})
}

// BenchmarkCheckpointRank measures computing the rank of a reader while a
// checkpoint is due.
func BenchmarkCheckpointRank(b *testing.B) {
	forMembers(b, func(members *membership.Snapshot) {
		CheckpointRank(members, "catalogue", 7, 1)
	})
}
