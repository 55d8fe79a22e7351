// Package roster merges the announcements of all nodes into one view of the
// members.
//
// Model. Each member is one node with the target beside it. Only the node
// itself creates its announcements. The newest announcement of a node takes
// precedence: the one with the highest incarnation, and then the highest
// revision. Announcements reach a node through the platform's store and through
// other nodes, in any order and more than once. Merging is commutative and
// idempotent, so all nodes arrive at the same view.
//
// If a node receives an announcement about itself that is newer than its own,
// for example because its clock was set back before a restart, it announces
// itself again with a higher incarnation.
//
// A Roster is not safe for concurrent use.
package roster

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// A Roster is the merged view of all members. The zero value is not usable;
// call New.
type Roster struct {
	members map[string]*pb.RelayMember
	// digest is the sum of the hashes of the current announcements.
	digest uint64
	// changes is the number of announcements that changed the view. changedAt
	// holds, for each member, the value of changes at its latest change.
	changes   uint64
	changedAt map[string]uint64
	// drained holds, by VM, the latest announcement that tells of a drain of which a later
	// one does not.
	drained map[string]*pb.RelayMember
	// zones caches the views of zones since the latest change.
	zones map[string]zoneView
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		members:   make(map[string]*pb.RelayMember),
		changedAt: make(map[string]uint64),
		drained:   make(map[string]*pb.RelayMember),
		zones:     make(map[string]zoneView),
	}
}

// Merge adds an announcement and reports whether it changed the view.
// Announcements that are invalid or not newer than the known one are ignored.
func (r *Roster) Merge(m *pb.RelayMember) bool {
	if validate(m) != nil {
		return false
	}
	known, ok := r.members[m.GetVm()]
	if ok && !Newer(m, known) {
		return r.mergeEarlierDrain(m, known)
	}
	if ok {
		r.digest -= AnnouncementHash(known)
		if lacksDrain(m, known) {
			r.drained[m.GetVm()] = known
		}
	}
	if !lacksDrain(m, r.drained[m.GetVm()]) {
		delete(r.drained, m.GetVm())
	}
	r.digest += AnnouncementHash(m)
	r.changes++
	r.changedAt[m.GetVm()] = r.changes
	r.members[m.GetVm()] = m
	clear(r.zones)
	return true
}

// mergeEarlierDrain keeps an announcement that is older than the known one if it tells of
// a drain of which the known one does not. It reports whether the members that may receive
// new requests may have changed.
func (r *Roster) mergeEarlierDrain(m, known *pb.RelayMember) bool {
	if r.drained[m.GetVm()] != nil || !lacksDrain(known, m) {
		return false
	}
	r.drained[m.GetVm()] = m
	return true
}

// Changes returns the number of announcements that have changed the view.
func (r *Roster) Changes() uint64 { return r.changes }

// ChangedSince returns the members that have changed since Changes returned the
// given number, in no particular order.
func (r *Roster) ChangedSince(changes uint64) []*pb.RelayMember {
	var members []*pb.RelayMember
	for vm, at := range r.changedAt {
		if at > changes {
			members = append(members, r.members[vm])
		}
	}
	return members
}

// Newer reports whether a is a newer announcement than b.
func Newer(a, b *pb.RelayMember) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetRevision() > b.GetRevision()
}

// Get returns the current announcement of the node on a VM, or nil if there is
// none.
func (r *Roster) Get(vm string) *pb.RelayMember { return r.members[vm] }

// EarlierDrain returns an announcement of an earlier incarnation of the node on a VM which
// tells of a drain that the current announcement does not tell of, although it may concern
// its target. Draining is final for an incarnation of a target: a node that has been killed
// does not know what it had announced last. Otherwise it returns nil.
func (r *Roster) EarlierDrain(vm string) *pb.RelayMember {
	return r.drained[vm]
}

// targetDrained reports whether the target of the current announcement of a node is known
// to be draining from an earlier announcement.
func (r *Roster) targetDrained(m *pb.RelayMember) bool {
	earlier := r.drained[m.GetVm()]
	return earlier != nil && (leavingMayBeTarget(m, earlier) || slices.ContainsFunc(earlier.GetDrainedTargets(), func(d *pb.DrainedTarget) bool {
		return isTarget(m, d)
	}))
}

// lacksDrain reports whether an announcement does not tell of a drain that an earlier one
// tells of, and that may concern its target.
func lacksDrain(m, earlier *pb.RelayMember) bool {
	return leavingMayBeTarget(m, earlier) && !m.GetTargetLeaving() || slices.ContainsFunc(earlier.GetDrainedTargets(), func(d *pb.DrainedTarget) bool {
		return mayStillArrive(m, d) && !tellsOf(m, d)
	})
}

// leavingMayBeTarget reports whether an earlier announcement says that its target is
// draining, and that may be the target of a later one: it is the same incarnation of the
// target, or the node does not know its target yet.
func leavingMayBeTarget(m, earlier *pb.RelayMember) bool {
	return earlier.GetTargetLeaving() &&
		(m.GetTargetId() == "" || m.GetTargetId() == earlier.GetTargetId() && m.GetTargetBornMillis() == earlier.GetTargetBornMillis())
}

// mayStillArrive reports whether announcements of a target that has drained could make a
// node use it. Those of a target that started before the present one are outdated.
func mayStillArrive(m *pb.RelayMember, d *pb.DrainedTarget) bool {
	later := m.GetTargetId() != "" && d.GetBornMillis() > 0 && m.GetTargetBornMillis() > d.GetBornMillis()
	return !later
}

// tellsOf reports whether an announcement tells that a target has drained.
func tellsOf(m *pb.RelayMember, d *pb.DrainedTarget) bool {
	return m.GetTargetLeaving() && isTarget(m, d) || slices.ContainsFunc(m.GetDrainedTargets(), func(known *pb.DrainedTarget) bool {
		return known.GetTargetId() == d.GetTargetId() && known.GetBornMillis() == d.GetBornMillis()
	})
}

// isTarget reports whether a target that has drained is that of an announcement. A drain
// without a start time applies to the target ID.
func isTarget(m *pb.RelayMember, d *pb.DrainedTarget) bool {
	return m.GetTargetId() == d.GetTargetId() && (d.GetBornMillis() == 0 || m.GetTargetBornMillis() == d.GetBornMillis())
}

// Len returns the number of members.
func (r *Roster) Len() int { return len(r.members) }

// Members returns all current announcements, ordered by VM.
func (r *Roster) Members() []*pb.RelayMember {
	return slices.SortedFunc(maps.Values(r.members), func(a, b *pb.RelayMember) int {
		return cmp.Compare(a.GetVm(), b.GetVm())
	})
}

// ByService returns, by service, the members that may receive new requests:
// those that have a target and are not known to be draining.
func (r *Roster) ByService() map[string][]*pb.RelayMember {
	services := make(map[string][]*pb.RelayMember)
	for _, m := range r.Members() {
		if m.GetTargetId() == "" || m.GetDraining() || r.targetDrained(m) {
			continue
		}
		services[m.GetService()] = append(services[m.GetService()], m)
	}
	return services
}

// Digest returns a hash of the view. Equal views have equal digests.
func (r *Roster) Digest() uint64 { return r.digest }

// AnnouncementHash returns a hash of the VM, incarnation and revision, which
// together identify an announcement. The digest of a view is the sum of those of its
// announcements.
func AnnouncementHash(m *pb.RelayMember) uint64 {
	return hash(m.GetVm(), m.GetIncarnation(), m.GetRevision())
}

// Identity returns a number that identifies one incarnation of one node. The
// incarnation alone does not, because it is the start time of the node, and
// many nodes may start at the same time.
func Identity(vm string, incarnation uint64) uint64 { return hash(vm, incarnation) }

const uint64Bytes = 8

func hash(vm string, numbers ...uint64) uint64 {
	key := make([]byte, 0, len(vm)+uint64Bytes*len(numbers))
	for _, number := range numbers {
		key = binary.LittleEndian.AppendUint64(key, number)
	}
	return xxhash.Sum64(append(key, vm...))
}
