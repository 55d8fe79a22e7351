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
// harm. The caller must not change the slice.
func (r *Roster) Readers(zone string) []*pb.RelayMember { return r.zone(zone).readers }

// ZoneSize returns the number of members of a zone that have not stopped.
func (r *Roster) ZoneSize(zone string) int { return r.zone(zone).size }

// zoneView is what is worked out about a zone once for each change of the view.
type zoneView struct {
	readers []*pb.RelayMember
	size    int
}

func (r *Roster) zone(name string) zoneView {
	view, known := r.zones[name]
	if !known {
		view = r.viewOf(name)
		r.zones[name] = view
	}
	return view
}

// ranked is a member with its place in the order.
type ranked struct {
	rank   uint64
	member *pb.RelayMember
}

func (r *Roster) viewOf(zone string) zoneView {
	var members []ranked
	for _, m := range r.members {
		if m.GetZone() == zone && !m.GetStopped() {
			members = append(members, ranked{rank: xxhash.Sum64String(m.GetVm()), member: m})
		}
	}
	slices.SortFunc(members, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.member.GetVm(), b.member.GetVm()))
	})
	readers := make([]*pb.RelayMember, 0, readerCount(len(members)))
	for _, m := range members[:min(readerCount(len(members)), len(members))] {
		readers = append(readers, m.member)
	}
	return zoneView{readers: readers, size: len(members)}
}

func readerCount(members int) int {
	return max(leastReaders, (members+membersPerReader-1)/membersPerReader)
}
