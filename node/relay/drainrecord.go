package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/targetstate"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// An acknowledgement that the target is draining binds later incarnations of this node
// too. A process keeps nothing when it is killed, so the acknowledgement is given once
// the announcement of the node, which says so, is held outside the process: by the
// store, which may lose it when it returns from a copy, and by another node, which returns
// it to the next incarnation. If one of them does not respond, the other one suffices after
// a while.
//
// Without the store, all that hold the drain may be killed at once. A node that starts and
// finds neither the store in service nor a holder that ran before it therefore does not
// take its record on the store, which may be older than the drain, and an announcement that
// may be late, for a proof that the target is in use.

const (
	// peerSufficesAfter is how long after a call of the target another node suffices.
	peerSufficesAfter = 350 * time.Millisecond
	// storeSufficesAfter is how long after the first call the store suffices. It is
	// longer than a call, so that only a repeated call is acknowledged because of the
	// store alone, which may lose the announcement.
	storeSufficesAfter = 1200 * time.Millisecond
	// drainRecordWait limits the wait. A target waits one second for a response.
	drainRecordWait = 750 * time.Millisecond
)

// ErrNotRecorded is returned for a drain that is in effect at this node, but that a
// later incarnation of it might not know of.
var ErrNotRecorded = errors.New("relay: the drain is in effect but neither the store nor another node holds it yet; repeat the call")

// drainWaiter waits until an announcement of this node is held outside the process.
type drainWaiter struct {
	revision uint64
	// peerSuffices and storeSuffices are when one holder suffices.
	peerSuffices  time.Time
	storeSuffices time.Time
	expires       time.Time
	recorded      chan struct{}
}

// awaitDrainRecorded waits until the current announcement of this node, which says that a
// target is draining, is held outside the process. It must not be called by the task.
func (t *membersTask) awaitDrainRecorded(targetID string) error {
	started := time.Now()
	waiter := drainWaiter{peerSuffices: started.Add(peerSufficesAfter), expires: started.Add(drainRecordWait), recorded: make(chan struct{})}
	timeout := time.NewTimer(drainRecordWait)
	defer timeout.Stop()
	select {
	case t.events <- func() {
		waiter.revision = t.self.GetRevision()
		waiter.storeSuffices = t.firstDrainCall(targetID, started).Add(storeSufficesAfter)
		t.drainWaiters = append(t.drainWaiters, waiter)
		t.drainUnsent = true
	}:
	case <-timeout.C:
		return ErrNotRecorded
	}
	select {
	case <-waiter.recorded:
		return nil
	case <-timeout.C:
		return ErrNotRecorded
	}
}

// notifyDrainWaiters ends the waits for announcements that are held elsewhere by now,
// and drops those that have expired.
func (t *membersTask) notifyDrainWaiters(now time.Time) {
	t.drainWaiters = slices.DeleteFunc(t.drainWaiters, func(w drainWaiter) bool {
		if t.isRecorded(w, now) {
			close(w.recorded)
			return true
		}
		return now.After(w.expires)
	})
}

// isRecorded reports whether the announcement that a waiter waits for is held outside the
// process.
func (t *membersTask) isRecorded(w drainWaiter, now time.Time) bool {
	byStore, byPeer := t.published >= w.revision, t.heldByPeer >= w.revision
	if byStore {
		return byPeer || !t.hasOthers() || now.After(w.storeSuffices)
	}
	// The store may still have the last announcement of an earlier incarnation that was
	// stopped, which the next one would rely on, until it has one of this incarnation.
	return byPeer && now.After(w.peerSuffices) && t.published > 0
}

// survivorLead is how much longer than this node another one must have run to have heard the
// earlier incarnation of this node. Nodes that were killed at the same time start within a
// shorter time of each other.
const survivorLead = 5 * time.Second

// drainMemory is what a starting node knows about who remembers the drains that its earlier
// incarnation acknowledged.
type drainMemory struct {
	// storeFailed is set if the store did not respond to the first reads. It may not have
	// responded to the earlier incarnation either.
	storeFailed bool
	// survivor is set if a holder that ran before this node was started has responded.
	survivor bool
}

// mayBeLost reports whether a drain may have been acknowledged of which nobody knows any
// more. Announcements that were sent before such a drain have arrived after
// targetstate.MaxDelay.
func (m drainMemory) mayBeLost(uptime time.Duration) bool {
	return m.storeFailed && !m.survivor && uptime < targetstate.MaxDelay
}

// noteSurvivor records that the node at an address, which has run for the given time, has
// responded.
func (t *membersTask) noteSurvivor(address string, uptime time.Duration) {
	if uptime-time.Since(t.started) > survivorLead && t.isHolder(address) {
		t.memory.survivor = true
	}
}

// firstDrainCall returns when a target was first announced to be draining, for a call at
// now.
func (t *membersTask) firstDrainCall(targetID string, now time.Time) time.Time {
	if t.drainTarget != targetID || t.drainCalled.IsZero() {
		t.drainTarget, t.drainCalled = targetID, now
	}
	return t.drainCalled
}

// sendDrain passes the announcement of a drain at once on to the nodes that the next
// incarnation of this node asks.
func (t *membersTask) sendDrain(ctx context.Context) {
	if !t.drainUnsent {
		return
	}
	t.drainUnsent = false
	for _, holder := range t.roster.Holders(t.vm, t.self.GetZone()) {
		t.syncWith(ctx, holder.GetAddress(), "")
	}
}

// notePeerHolds records that the node at an address has received an announcement of this
// node. Only holders count, because the next incarnation does not ask other nodes.
func (t *membersTask) notePeerHolds(address string, sent *pb.RelayMember) {
	if sent.GetIncarnation() == t.self.GetIncarnation() && sent.GetRevision() > t.heldByPeer && t.isHolder(address) {
		t.heldByPeer = sent.GetRevision()
	}
}

// applyEarlierDrain applies what an announcement of an earlier incarnation of this node
// says about targets that are draining. The store may hold an older one if it did not
// respond at the time.
func (t *membersTask) applyEarlierDrain(m *pb.RelayMember) {
	if m.GetTargetLeaving() && m.GetTargetId() != "" {
		t.recordDraining(announcementOf(m))
	}
	if drained := drainedOf(m); len(drained) > 0 {
		t.recordDrained(drained)
	}
}

// drainedOf returns the other targets that have drained according to an announcement.
func drainedOf(m *pb.RelayMember) []targetstate.Incarnation {
	var drained []targetstate.Incarnation
	for _, d := range m.GetDrainedTargets() {
		drained = append(drained, targetstate.Incarnation{TargetID: d.GetTargetId(), StartMillis: d.GetBornMillis()})
	}
	return drained
}

// drainedTargets is the inverse of drainedOf.
func drainedTargets(drained []targetstate.Incarnation) []*pb.DrainedTarget {
	var targets []*pb.DrainedTarget
	for _, d := range drained {
		targets = append(targets, &pb.DrainedTarget{TargetId: d.TargetID, BornMillis: d.StartMillis})
	}
	return targets
}
