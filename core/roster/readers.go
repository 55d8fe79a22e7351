package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// minReaders is the minimum number of readers of a zone. With two, one may
	// fail and the others still receive changes at once.
	minReaders = 2
	// membersPerReader is the maximum number of members per reader of a zone.
	// It limits the comparisons that a reader answers each second.
	membersPerReader = 16
)

// Readers returns the readers of a zone, in the order in which other nodes
// contact them. Readers are the members that read the platform's store on
// behalf of their zone. Each node determines them from its own view. If views
// differ, a zone temporarily has additional readers, which costs a few more
// reads of the store but is otherwise harmless. The caller must not modify the
// slice.
func (r *Roster) Readers(zone string) []*pb.RelayMember { return r.zone(zone).readers }

// ZoneSize returns the number of members of a zone that have not stopped.
func (r *Roster) ZoneSize(zone string) int { return r.zone(zone).size }

// Primaries returns the readers on which the other members of a zone rely for the
// configuration. The remaining readers, if any, take over when one of them has stopped;
// meanwhile they follow the members only. The caller must not modify the slice.
func (r *Roster) Primaries(zone string) []*pb.RelayMember {
	view := r.zone(zone)
	return view.readers[:min(primaryCount(view.size), len(view.readers))]
}

// maxHolders is the maximum number of nodes that hold what a node has announced until it
// has reached the others.
const maxHolders = 2

// Holders returns the nodes that first receive what the node on a VM announces, and that
// its next incarnation asks for it: the first readers of its zone or, if it is the only
// member of its zone, of all members. A node and its next incarnation determine the same
// ones if their views agree.
func (r *Roster) Holders(vm, zone string) []*pb.RelayMember {
	others := func(m *pb.RelayMember) bool { return m.GetVm() != vm && !m.GetStopped() }
	holders := r.rank(func(m *pb.RelayMember) bool { return others(m) && m.GetZone() == zone })
	if len(holders) == 0 {
		holders = r.rank(others)
	}
	return holders[:min(maxHolders, len(holders))]
}

// zoneView is derived from the members of a zone. It is computed once after
// each change of the roster.
type zoneView struct {
	readers []*pb.RelayMember
	size    int
}

func (r *Roster) zone(name string) zoneView {
	view, known := r.zones[name]
	if !known {
		view = r.computeZone(name)
		r.zones[name] = view
	}
	return view
}

// rankedMember is a member with its rank in the order of readers, which is the
// hash of the name of its VM.
type rankedMember struct {
	rank   uint64
	member *pb.RelayMember
}

func (r *Roster) computeZone(zone string) zoneView {
	members := r.rank(func(m *pb.RelayMember) bool { return m.GetZone() == zone && !m.GetStopped() })
	return zoneView{readers: slices.Clone(members[:min(readerCount(len(members)), len(members))]), size: len(members)}
}

// rank returns the members that match, in the order of readers.
func (r *Roster) rank(matches func(*pb.RelayMember) bool) []*pb.RelayMember {
	var ranked []rankedMember
	for _, m := range r.members {
		if matches(m) {
			ranked = append(ranked, rankedMember{rank: xxhash.Sum64String(m.GetVm()), member: m})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.member.GetVm(), b.member.GetVm()))
	})
	members := make([]*pb.RelayMember, 0, len(ranked))
	for _, m := range ranked {
		members = append(members, m.member)
	}
	return members
}

func readerCount(members int) int { return max(minReaders, primaryCount(members)) }

func primaryCount(members int) int { return (members + membersPerReader - 1) / membersPerReader }
