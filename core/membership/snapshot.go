package membership

import (
	"maps"
	"slices"
	"unsafe"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// mapEntryBytes is the approximate cost of one map entry with an 8-byte key
// and an 8-byte value, including the empty slots of the table.
const mapEntryBytes = 32

// Snapshot is an immutable view of the member table. All methods are safe for
// concurrent use. Returned slices and members must not be modified.
type Snapshot struct {
	next     uint64
	count    int
	members  parts[*Member]
	services map[string][]*Member
	zones    map[string][]*Member
	gone     parts[*pb.Leave]
	buried   int
}

// Snapshot returns an immutable view of the present state.
func (s *State) Snapshot() *Snapshot {
	if s.view != nil && s.view.next == s.next {
		return s.view
	}
	s.view = &Snapshot{
		next:     s.next,
		count:    s.table.count,
		members:  s.table.members.share(),
		services: s.table.services.share(),
		zones:    s.table.zones.share(),
		gone:     s.goneBy.share(),
		buried:   len(s.gone),
	}
	return s.view
}

// Next returns the offset after the last record in the snapshot.
func (s *Snapshot) Next() uint64 { return s.next }

// Len returns the number of members.
func (s *Snapshot) Len() int { return s.count }

// Member returns a present member.
func (s *Snapshot) Member(incarnation uint64) (*Member, bool) {
	return s.members.get(incarnation)
}

// Service returns the members of a service in the order of incarnations.
func (s *Snapshot) Service(name string) []*Member { return s.services[name] }

// Zone returns the members in a zone in the order of incarnations.
func (s *Snapshot) Zone(name string) []*Member { return s.zones[name] }

// Zones returns the names of the zones that have members, in order.
func (s *Snapshot) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }

// Services returns the names of the services that have members, in order.
func (s *Snapshot) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

// All calls yield for every member until it returns false; the order is not defined.
func (s *Snapshot) All(yield func(*Member) bool) {
	for _, list := range s.zones {
		for _, m := range list {
			if !yield(m) {
				return
			}
		}
	}
}

// Retired tells whether an incarnation has left, was evicted or was replaced, and
// which successor holds its keys; 0 means none.
func (s *Snapshot) Retired(incarnation uint64) (successor uint64, gone bool) {
	l, ok := s.gone.get(incarnation)
	return l.GetSuccessor(), ok
}

// maxHandovers bounds a chain of successors, which a faulty record could
// close to a loop.
const maxHandovers = 16

// KeyHolder follows the successors of a gone incarnation to the present member
// that holds its keys.
func (s *Snapshot) KeyHolder(incarnation uint64) (*Member, bool) {
	for range maxHandovers {
		if m, ok := s.Member(incarnation); ok {
			return m, true
		}
		successor, gone := s.Retired(incarnation)
		if !gone || successor == 0 {
			return nil, false
		}
		incarnation = successor
	}
	return nil, false
}

// Bytes returns the approximate memory of the table.
func (s *Snapshot) Bytes() int {
	perMember := int(unsafe.Sizeof(Member{})) + mapEntryBytes + 2*int(unsafe.Sizeof(uintptr(0)))
	total := s.count * perMember
	s.All(func(m *Member) bool {
		total += len(m.VM) + len(m.Address)
		return true
	})
	return total + s.buried*(int(unsafe.Sizeof(pb.Leave{}))+mapEntryBytes)
}
