package freshness

import "time"

const (
	// maxDirectMembers is the maximum number of members of a zone for which
	// each node reads the store itself. In such a zone, no node depends on
	// another one for changes while the store serves it. In a larger zone, a
	// few readers read on behalf of the others, which takes fewer calls, even
	// though readers read more often to show that the store still responds.
	maxDirectMembers = 7

	// pollWaitPercent is the long-poll wait of a node on which no other relies,
	// in percent of the propagation bound. The wait is only a little longer
	// than the bound: if the store loses a read during an outage, the read
	// times out soon after the store serves the node again.
	pollWaitPercent = 125
	// evidenceIntervalPercent is the age of the copy of a reader at which the store
	// responds to it again. Only these responses show the nodes that rely on the
	// reader that they have not missed a change.
	evidenceIntervalPercent = 35
	// compareIntervalPercent is the time between two comparisons of a node that
	// relies on readers. In a comparison, the node queries a reader for a newer
	// version.
	compareIntervalPercent = 25
	// pausePercent is the time after a change for which a node does not read. It
	// combines changes in quick succession into one read.
	pausePercent = 15
	// pollGracePercent is the time that a read may take beyond its long-poll
	// wait before it counts as overdue. Both together stay below 150 percent of the
	// bound: that long after connections have gone silent, nodes have to be current.
	pollGracePercent = 20
	// eraComparePercent is how long a node compares with other nodes, in percent of
	// the propagation bound, before it relies on responses of the store again after the
	// store has returned from a copy. A version that any node has reaches all others in
	// this time if each compares with another one every quarter of a second, and
	// together with the interval of the reader's evidence it stays below
	// maxReliedAgePercent.
	eraComparePercent = 40
	// maxReliedAgePercent is the age of the local copy above which a node reads
	// the store itself instead of relying on readers. It is more than the interval
	// of the reader's evidence, a pause and the interval of the comparisons
	// together. The rest of the bound leaves time to notice the age and for that
	// read.
	maxReliedAgePercent = 80
)

// Rules derives all intervals and age limits from the propagation bound, the
// time within which an acknowledged change must take effect at each node that
// the store serves.
type Rules struct{ PropagationBound time.Duration }

// A ZoneRole is the role of a node among the members of its zone.
type ZoneRole struct {
	// Members is the number of members of the zone that have not stopped.
	Members int
	// Reader is true if the node is one of the primary readers of its zone, which
	// read the store on behalf of the others. The others rely on them only if the
	// zone has more than maxDirectMembers members.
	Reader bool
}

// hasReaders reports whether some nodes of the zone read on behalf of the others.
func (role ZoneRole) hasReaders() bool { return role.Members > maxDirectMembers }

// ReliesOnReaders reports whether a node learns of changes from the readers of
// its zone.
func (role ZoneRole) ReliesOnReaders() bool { return role.hasReaders() && !role.Reader }

// ReadsStore reports whether a node reads the store itself, given the age of
// its local copy.
func (r Rules) ReadsStore(role ZoneRole, age time.Duration) bool {
	return !role.ReliesOnReaders() || age > r.percentOfBound(maxReliedAgePercent)
}

// Wait returns how long a read of the store waits for a change (long polling).
func (r Rules) Wait(role ZoneRole) time.Duration {
	if role.isReliedOn() {
		return r.percentOfBound(evidenceIntervalPercent)
	}
	return r.percentOfBound(pollWaitPercent)
}

// NextWait is Wait for a read of a copy of the given age. A read that returned a change
// shows the copy to be complete only as of its start, so a reader on which others rely
// waits less for the next one.
func (r Rules) NextWait(role ZoneRole, age time.Duration) time.Duration {
	if !role.isReliedOn() {
		return r.Wait(role)
	}
	return max(r.Wait(role)-age, 0)
}

// isReliedOn reports whether other nodes rely on the copy of the node.
func (role ZoneRole) isReliedOn() bool { return role.hasReaders() && role.Reader }

// Pause returns the time for which a node does not read after a change.
func (r Rules) Pause() time.Duration { return r.percentOfBound(pausePercent) }

// Compare returns the time between two comparisons of a node that relies on
// readers.
func (r Rules) Compare() time.Duration { return r.percentOfBound(compareIntervalPercent) }

// PollGrace returns the time that a read may take beyond its Wait before it
// counts as overdue.
func (r Rules) PollGrace() time.Duration { return r.percentOfBound(pollGracePercent) }

// EraCompare returns how long a node compares with other nodes after the store has
// returned from a copy.
func (r Rules) EraCompare() time.Duration { return r.percentOfBound(eraComparePercent) }

// StoreOverdue reports whether the store should have responded by now to a node
// that reads it, given the time since its latest response.
func (r Rules) StoreOverdue(role ZoneRole, storeAge time.Duration) bool {
	return storeAge > r.Wait(role)+r.PollGrace()
}

func (r Rules) percentOfBound(percent int64) time.Duration {
	return r.PropagationBound * time.Duration(percent) / 100
}
