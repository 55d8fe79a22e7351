package spread

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemount/primrosemount/core/membership"
)

const (
	// ReadersPerZone is the number of nodes in each zone that poll the log. Two
	// may fail at once before the zone depends on records from other zones.
	ReadersPerZone = 3
	// SameZonePartners and FarPartners are the numbers of partners in the own zone
	// and in other zones. Twelve keep 9,600 nodes connected when a third of
	// the partners has failed.
	SameZonePartners  = 6
	OtherZonePartners = 6
	// Fanout is the number of partners to which a new record is pushed. Records
	// that no push brings come with the comparison of positions.
	Fanout = 3
	// MaxMessageBytes bounds the records in one message.
	MaxMessageBytes = 64 << 10
)

// rank is the rendezvous weight of a member for a salt.
func rank(salt, incarnation uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], salt)
	binary.LittleEndian.PutUint64(key[8:], incarnation)
	return xxhash.Sum64(key[:])
}

// top collects the n members with the highest weights.
type top struct {
	n     int
	items []weighted
}

type weighted struct {
	weight uint64
	member *membership.Member
}

func (t *top) add(weight uint64, m *membership.Member) {
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

func (t *top) members() []*membership.Member {
	list := make([]*membership.Member, len(t.items))
	for i, item := range t.items {
		list[i] = item.member
	}
	return list
}

// Readers returns the readers of a zone, highest weight first.
func Readers(members *membership.Snapshot, zone string) []*membership.Member {
	t := top{n: ReadersPerZone}
	salt := xxhash.Sum64String(zone)
	for _, m := range members.Zone(zone) {
		t.add(rank(salt, m.Incarnation), m)
	}
	return t.members()
}

// IsReader tells whether a node is a reader of its zone. A zone without
// members has no readers yet, so every node of it reads.
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

// Partners returns the peers with which a node compares positions: some of
// its zone and some of others, chosen by rendezvous hash, so that a change of
// the table changes few of them. Where there is only one zone all are near.
func Partners(members *membership.Snapshot, self uint64, zone string) []*membership.Member {
	near := top{n: SameZonePartners + OtherZonePartners}
	far := top{n: SameZonePartners + OtherZonePartners}
	for m := range members.All {
		if m.Incarnation == self {
			continue
		}
		if m.Zone == zone {
			near.add(rank(self, m.Incarnation), m)
		} else {
			far.add(rank(self, m.Incarnation), m)
		}
	}
	return mix(near.members(), far.members())
}

// mix takes NearPartners and FarPartners and fills up from the other list.
func mix(near, far []*membership.Member) []*membership.Member {
	const all = SameZonePartners + OtherZonePartners
	nearCount := min(len(near), max(SameZonePartners, all-len(far)))
	farCount := min(len(far), all-nearCount)
	partners := slices.Clone(near[:nearCount])
	return append(partners, far[:farCount]...)
}

// CheckpointRank returns the turn of a node to write the checkpoint of a
// stream at this position: 0 writes first, others wait in case it does not. It
// returns -1 for a node that is no reader.
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
