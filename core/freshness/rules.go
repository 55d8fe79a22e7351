package freshness

import "time"

const (
	// maxDirectMembers is the maximum number of members of a zone for which
	// each node reads the store itself. In such a zone, no node depends on
	// another one for changes while the store serves it, and a change costs one
	// read per node. In a larger zone, a few readers read on behalf of the
	// others, because reads by all nodes would exceed the capacity of the
	// store.
	maxDirectMembers = 32

	// pollWaitPercent is the long-poll wait of a node on which no other relies,
	// in percent of the propagation bound. The wait is only a little longer
	// than the bound: if the store loses a read during an outage, the read
	// times out soon after the store serves the node again.
	pollWaitPercent = 125
	// readerPollWaitPercent is the long-poll wait of a reader on which other
	// nodes rely. It is short, because only the responses to the reader show
	// the other nodes that they have not missed a change.
	readerPollWaitPercent = 15
	// compareIntervalPercent is the time between two comparisons of a node that
	// relies on readers. In a comparison, the node queries a reader for a newer
	// version.
	compareIntervalPercent = 25
	// pollGracePercent is the time that a read may take beyond its long-poll
	// wait before it counts as overdue.
	pollGracePercent = 50
	// maxReliedAgePercent is the age of the local copy above which a node reads
	// the store itself instead of relying on readers. The rest of the bound
	// leaves time for that read. The value allows for one comparison that gets
	// no response between two that do.
	maxReliedAgePercent = 70
)

// Rules derives all intervals and age limits from the propagation bound, the
// time within which an acknowledged change must take effect at each node that
// the store serves.
type Rules struct{ PropagationBound time.Duration }

// A ZoneRole is the role of a node among the members of its zone.
type ZoneRole struct {
	// Members is the number of members of the zone that have not stopped.
	Members int
	// Reader is true if the node is one of the readers of its zone, which read
	// the store on behalf of the others. The others rely on them only if the
	// zone has more than maxDirectMembers members.
	Reader bool
}

// ReliesOnReaders reports whether a node learns of changes from the readers of
// its zone.
func (role ZoneRole) ReliesOnReaders() bool { return role.Members > maxDirectMembers && !role.Reader }

// ReadsStore reports whether a node reads the store itself, given the age of
// its local copy.
func (r Rules) ReadsStore(role ZoneRole, age time.Duration) bool {
	return !role.ReliesOnReaders() || age > r.percentOfBound(maxReliedAgePercent)
}

// Wait returns how long a read of the store waits for a change (long polling).
func (r Rules) Wait(role ZoneRole) time.Duration {
	if role.Reader && role.Members > maxDirectMembers {
		return r.percentOfBound(readerPollWaitPercent)
	}
	return r.percentOfBound(pollWaitPercent)
}

// Compare returns the time between two comparisons of a node that relies on
// readers.
func (r Rules) Compare() time.Duration { return r.percentOfBound(compareIntervalPercent) }

// PollGrace returns the time that a read may take beyond its Wait before it
// counts as overdue.
func (r Rules) PollGrace() time.Duration { return r.percentOfBound(pollGracePercent) }

// StoreOverdue reports whether the store should have responded by now to a node
// that reads it, given the time since its latest response.
func (r Rules) StoreOverdue(role ZoneRole, storeAge time.Duration) bool {
	return storeAge > r.Wait(role)+r.PollGrace()
}

func (r Rules) percentOfBound(percent int64) time.Duration {
	return r.PropagationBound * time.Duration(percent) / 100
}
