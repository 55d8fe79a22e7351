// Package roster merges what nodes announce about themselves into one view of
// all members.
//
// Model. Each member is one node with the target beside it. A node alone
// announces itself; the newest announcement of a node counts, by incarnation
// and then by revision. Announcements reach a node through the platform's store
// and through other nodes, in any order and more than once; merging them is
// commutative and idempotent, so all nodes come to the same view.
//
// A node that finds an announcement about itself which is newer than its own,
// for example because its clock went back before a restart, takes a higher
// incarnation and announces itself again.
//
// A Roster is owned by one goroutine.
package roster

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Roster is the merged view. The zero value is not usable; call New.
type Roster struct {
	members map[string]*pb.RelayMember
	// digest is the sum of the hashes of all announcements.
	digest uint64
	// changes counts the announcements that changed the view; changed holds the
	// count at the latest change of each member.
	changes uint64
	changed map[string]uint64
	// zones holds what was worked out about zones since the latest change.
	zones map[string]zoneView
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		members: make(map[string]*pb.RelayMember),
		changed: make(map[string]uint64),
		zones:   make(map[string]zoneView),
	}
}

// Merge takes in one announcement and reports whether it changed the view.
// Announcements that name no member to use are ignored.
func (r *Roster) Merge(m *pb.RelayMember) bool {
	if check(m) != nil {
		return false
	}
	known, ok := r.members[m.GetVm()]
	if ok && !Newer(m, known) {
		return false
	}
	if ok {
		r.digest -= hashOf(known)
	}
	r.digest += hashOf(m)
	r.changes++
	r.changed[m.GetVm()] = r.changes
	r.members[m.GetVm()] = m
	clear(r.zones)
	return true
}

// Changes returns how many announcements changed the view so far.
func (r *Roster) Changes() uint64 { return r.changes }

// ChangedSince returns the members that changed after the view had the number of
// changes, in no particular order.
func (r *Roster) ChangedSince(changes uint64) []*pb.RelayMember {
	var members []*pb.RelayMember
	for vm, at := range r.changed {
		if at > changes {
			members = append(members, r.members[vm])
		}
	}
	return members
}

// Newer tells whether a is a later announcement than b.
func Newer(a, b *pb.RelayMember) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetRevision() > b.GetRevision()
}

// Get returns the announcement of a VM, or nil.
func (r *Roster) Get(vm string) *pb.RelayMember { return r.members[vm] }

// Len returns the number of members.
func (r *Roster) Len() int { return len(r.members) }

// Members returns all announcements ordered by VM.
func (r *Roster) Members() []*pb.RelayMember {
	return slices.SortedFunc(maps.Values(r.members), func(a, b *pb.RelayMember) int {
		return cmp.Compare(a.GetVm(), b.GetVm())
	})
}

// ByService returns the members that may get new work, by service: those with
// a target that does not leave.
func (r *Roster) ByService() map[string][]*pb.RelayMember {
	services := make(map[string][]*pb.RelayMember)
	for _, m := range r.Members() {
		if m.GetTargetId() == "" || m.GetDraining() {
			continue
		}
		services[m.GetService()] = append(services[m.GetService()], m)
	}
	return services
}

// Digest returns a hash of the view; equal views have equal digests.
func (r *Roster) Digest() uint64 { return r.digest }

// hashOf returns the hash of what names one announcement.
func hashOf(m *pb.RelayMember) uint64 { return hash(m.GetVm(), m.GetIncarnation(), m.GetRevision()) }

// Identity names one life of one node. Its incarnation alone does not: it is the
// time of its start, and many nodes may start at the same moment.
func Identity(vm string, incarnation uint64) uint64 { return hash(vm, incarnation) }

const uint64Bytes = 8

func hash(vm string, numbers ...uint64) uint64 {
	key := make([]byte, 0, len(vm)+uint64Bytes*len(numbers))
	for _, number := range numbers {
		key = binary.LittleEndian.AppendUint64(key, number)
	}
	return xxhash.Sum64(append(key, vm...))
}
