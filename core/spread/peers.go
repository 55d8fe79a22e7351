package spread

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemount/primrosemount/core/membership"
)

const (
	// ReadersPerZone is the number of nodes in each zone that poll the log. Two
	// of them may fail at the same time before the zone depends on records from
	// other zones.
	ReadersPerZone = 3
	// SameZonePartners and OtherZonePartners are the numbers of partners of a
	// node in its own zone and in other zones. Twelve partners keep 9,600 nodes
	// connected when a third of them has failed.
	SameZonePartners  = 6
	OtherZonePartners = 6
	// Fanout is the number of partners to which a new record is pushed. A node
	// that no push reaches receives the record when it next exchanges stream
	// positions.
	Fanout = 3
	// MaxMessageBytes is the maximum total size of the records in one message.
	MaxMessageBytes = 64 << 10
)

// rank returns the weight of a member in rendezvous hashing: of all candidates
// for a salt, those with the highest weights are chosen.
func rank(salt, incarnation uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], salt)
	binary.LittleEndian.PutUint64(key[8:], incarnation)
	return xxhash.Sum64(key[:])
}

// topMembers collects the n members with the highest weights.
type topMembers struct {
	n     int
	items []weighted
}

type weighted struct {
	weight uint64
	member *membership.Member
}

func (t *topMembers) add(weight uint64, m *membership.Member) {
	if len(t.items) == t.n && weight <= t.items[t.n-1].weight {
		return
	}
	at, _ := slices.BinarySearchFunc(t.items, weight, func(w weighted, target uint64) int {
		if w.weight > target {
			return -1
		}
		return 1
	})
	t.items = slices.Insert(t.items, at, weighted{weight, m})
	if len(t.items) > t.n {
		t.items = t.items[:t.n]
	}
}

func (t *topMembers) members() []*membership.Member {
	list := make([]*membership.Member, len(t.items))
	for i, item := range t.items {
		list[i] = item.member
	}
	return list
}

// Readers returns the readers of a zone, highest weight first.
func Readers(members *membership.Snapshot, zone string) []*membership.Member {
	t := topMembers{n: ReadersPerZone}
	salt := xxhash.Sum64String(zone)
	for _, m := range members.Zone(zone) {
		t.add(rank(salt, m.Incarnation), m)
	}
	return t.members()
}

// IsReader reports whether a node is a reader of its zone. While the member
// table contains no node of the zone, every node of the zone is a reader.
func IsReader(members *membership.Snapshot, zone string, incarnation uint64) bool {
	readers := Readers(members, zone)
	if len(readers) == 0 {
		return true
	}
	return slices.ContainsFunc(readers, func(m *membership.Member) bool { return m.Incarnation == incarnation })
}

// AllReaders returns the readers of all zones.
func AllReaders(members *membership.Snapshot) []*membership.Member {
	var all []*membership.Member
	for _, zone := range members.Zones() {
		all = append(all, Readers(members, zone)...)
	}
	return all
}

// Partners returns the peers with which a node exchanges stream positions, some
// from its own zone and some from other zones. They are chosen by rendezvous
// hashing, so that a change of the member table changes few of them. If there
// is only one zone, all of them are from that zone.
func Partners(members *membership.Snapshot, self uint64, zone string) []*membership.Member {
	sameZone := topMembers{n: SameZonePartners + OtherZonePartners}
	otherZone := topMembers{n: SameZonePartners + OtherZonePartners}
	for m := range members.All {
		if m.Incarnation == self {
			continue
		}
		if m.Zone == zone {
			sameZone.add(rank(self, m.Incarnation), m)
		} else {
			otherZone.add(rank(self, m.Incarnation), m)
		}
	}
	return combine(sameZone.members(), otherZone.members())
}

// combine takes SameZonePartners and OtherZonePartners members from the two
// lists. If one list is too short, the difference is taken from the other.
func combine(sameZone, otherZone []*membership.Member) []*membership.Member {
	const total = SameZonePartners + OtherZonePartners
	sameCount := min(len(sameZone), max(SameZonePartners, total-len(otherZone)))
	otherCount := min(len(otherZone), total-sameCount)
	partners := slices.Clone(sameZone[:sameCount])
	return append(partners, otherZone[:otherCount]...)
}

// CheckpointRank returns the rank of a node among all readers for writing the
// next checkpoint of a stream. The node with rank 0 writes it, and the others
// wait in case it does not. The turn is a number that differs from one
// checkpoint to the next, such as the offset that the last one covers, and
// varies the order. CheckpointRank returns -1 for a node that is not a reader.
func CheckpointRank(members *membership.Snapshot, stream string, turn, self uint64) int {
	salt := xxhash.Sum64String(stream) ^ turn
	own := rank(salt, self)
	position := 0
	reader := false
	for _, m := range AllReaders(members) {
		if m.Incarnation == self {
			reader = true
		}
		if rank(salt, m.Incarnation) > own {
			position++
		}
	}
	if !reader {
		return -1
	}
	return position
}
