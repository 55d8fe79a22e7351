package freshness

import "time"

const (
	// directMembers is the number of members of a zone up to which each node
	// follows the store itself. Then no node learns of a change through another one
	// while the store serves it, and a change costs one read of each node. Above
	// it, some nodes read for the others, because reads of all nodes would exceed
	// what the store serves.
	directMembers = 32

	// waitPercent is the wait of a read that nobody relies on, in percent of the
	// bound. A read that the store swallowed ends before its node has been served
	// again for much longer than the bound.
	waitPercent = 125
	// reliedPercent is the wait of a reader on which other nodes rely. Its answers
	// are their evidence that they missed nothing.
	reliedPercent = 15
	// comparePercent is the time between two comparisons of a node that relies on
	// others.
	comparePercent = 25
	// slackPercent is how long a read may take beyond its wait before it counts as
	// unanswered.
	slackPercent = 50
	// patiencePercent is the age of the copy above which a node no longer relies on
	// others. It leaves time for a read of its own within the bound, and for one
	// reader without an answer between two with one.
	patiencePercent = 70
)

// Rules are the times that follow from the bound within which an acknowledged
// change has to be in force at each node that the store serves.
type Rules struct{ PropagationBound time.Duration }

// ZoneRole is the place of a node among the members of its zone.
type ZoneRole struct {
	// Members counts the members of the zone that have not stopped.
	Members int
	// Reader tells that the others rely on this node if the zone is large.
	Reader bool
}

// ReliesOnReaders tells whether a node learns of changes through others.
func (s ZoneRole) ReliesOnReaders() bool { return s.Members > directMembers && !s.Reader }

// ReadsStore tells whether a node whose copy has an age follows the store itself.
func (r Rules) ReadsStore(s ZoneRole, age time.Duration) bool {
	return !s.ReliesOnReaders() || age > r.part(patiencePercent)
}

// PollWait returns how long a read waits for a change.
func (r Rules) PollWait(s ZoneRole) time.Duration {
	if s.Reader && s.Members > directMembers {
		return r.part(reliedPercent)
	}
	return r.part(waitPercent)
}

// CompareInterval returns the time between two comparisons of a node that relies on others.
func (r Rules) CompareInterval() time.Duration { return r.part(comparePercent) }

// PollGrace returns how long a read may take beyond its wait.
func (r Rules) PollGrace() time.Duration { return r.part(slackPercent) }

// StoreOverdue tells whether the store has left a node that follows it without an
// answer, given the age of the latest one.
func (r Rules) StoreOverdue(s ZoneRole, storeAge time.Duration) bool {
	return storeAge > r.PollWait(s)+r.PollGrace()
}

func (r Rules) part(percent int64) time.Duration {
	return r.PropagationBound * time.Duration(percent) / 100
}
