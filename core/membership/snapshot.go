package membership

import (
	"maps"
	"slices"
	"unsafe"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// mapEntryBytes is the approximate memory of one map entry with an 8-byte key
// and an 8-byte value, including its share of the unused slots of the map.
const mapEntryBytes = 32

// A Snapshot is an immutable view of the member table. All methods are safe for
// concurrent use. Returned slices and members must not be modified.
type Snapshot struct {
	next         uint64
	count        int
	members      shardedMap[*Member]
	services     map[string][]*Member
	zones        map[string][]*Member
	retired      shardedMap[*pb.Leave]
	retiredCount int
}

// Snapshot returns an immutable view of the current state.
func (s *State) Snapshot() *Snapshot {
	if s.view != nil && s.view.next == s.next {
		return s.view
	}
	s.view = &Snapshot{
		next:         s.next,
		count:        s.table.count,
		members:      s.table.members.snapshot(),
		services:     s.table.services.snapshot(),
		zones:        s.table.zones.snapshot(),
		retired:      s.retiredIndex.snapshot(),
		retiredCount: len(s.retired),
	}
	return s.view
}

// Next returns the offset after the last record that the snapshot includes.
func (s *Snapshot) Next() uint64 { return s.next }

// Len returns the number of members.
func (s *Snapshot) Len() int { return s.count }

// Member returns the member with the given incarnation.
func (s *Snapshot) Member(incarnation uint64) (*Member, bool) {
	return s.members.get(incarnation)
}

// Service returns the members that run a service, ordered by incarnation.
func (s *Snapshot) Service(name string) []*Member { return s.services[name] }

// Zone returns the members in a zone, ordered by incarnation.
func (s *Snapshot) Zone(name string) []*Member { return s.zones[name] }

// Zones returns the names of the zones that have members, in sorted order.
func (s *Snapshot) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }

// Services returns the names of the services that have members, in sorted
// order.
func (s *Snapshot) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

// All calls yield for each member, in no particular order, until yield returns
// false.
func (s *Snapshot) All(yield func(*Member) bool) {
	for _, list := range s.zones {
		for _, m := range list {
			if !yield(m) {
				return
			}
		}
	}
}

// Retired reports whether an incarnation has left, was evicted or was replaced.
// It also returns the successor that holds the idempotency keys of that
// incarnation, or 0 if there is none.
func (s *Snapshot) Retired(incarnation uint64) (successor uint64, retired bool) {
	l, ok := s.retired.get(incarnation)
	return l.GetSuccessor(), ok
}

// maxHandovers is the maximum number of successors that KeyHolder follows,
// because faulty records could form a cycle.
const maxHandovers = 16

// KeyHolder follows the successors of a retired incarnation to the current
// member that holds its idempotency keys.
func (s *Snapshot) KeyHolder(incarnation uint64) (*Member, bool) {
	for range maxHandovers {
		if m, ok := s.Member(incarnation); ok {
			return m, true
		}
		successor, retired := s.Retired(incarnation)
		if !retired || successor == 0 {
			return nil, false
		}
		incarnation = successor
	}
	return nil, false
}

// Bytes returns the approximate memory of the table in bytes.
func (s *Snapshot) Bytes() int {
	perMember := int(unsafe.Sizeof(Member{})) + mapEntryBytes + 2*int(unsafe.Sizeof(uintptr(0)))
	total := s.count * perMember
	s.All(func(m *Member) bool {
		total += len(m.VM) + len(m.Address)
		return true
	})
	return total + s.retiredCount*(int(unsafe.Sizeof(pb.Leave{}))+mapEntryBytes)
}
