package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// leastReaders is the number of readers of a zone; one may fail without a
	// wait for the others.
	leastReaders = 2
	// membersPerReader bounds the comparisons that a reader answers each second.
	membersPerReader = 16
)

// Readers returns the members of a zone that follow the platform's store for
// the others, in the order in which they are asked. Each node works them out
// from its view. Views that differ lead to some more readers, which does no
// harm.
func (r *Roster) Readers(zone string) []*pb.RelayMember {
	var members []*pb.RelayMember
	for _, m := range r.members {
		if m.GetZone() == zone && !m.GetStopped() {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *pb.RelayMember) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.GetVm(), b.GetVm()))
	})
	return members[:min(readerCount(len(members)), len(members))]
}

func readerCount(members int) int {
	return max(leastReaders, (members+membersPerReader-1)/membersPerReader)
}

// rank orders the members of a zone independently of their names' order.
func rank(m *pb.RelayMember) uint64 { return xxhash.Sum64String(m.GetVm()) }
