package quota

import (
	"slices"
	"time"
)

// A holder of a part of a quota that is cut off is not told that another member has taken
// its place. Its right to the part therefore ends ContactTTL after its last contact, and a
// member that joins waits until all who may hold its part have learned of it or have lost
// their right.
//
// Contact is either with a majority of the witnesses, which know the same candidates, or
// with the store, directly or through other nodes. The former keeps the right while the
// store is down for all, and the latter while most witnesses are gone. A member that joins
// needs both: its announcement on the store, which holders in contact with the store read,
// and a majority of the witnesses, which no other majority lacks completely.

const (
	// ContactTTL is how long a holder uses its part after its last contact. A short time
	// makes a machine that is cut off refuse earlier, and a long one makes a member that
	// joins meanwhile wait. It has to exceed viewSpread, as contact with other views does
	// not count.
	ContactTTL = 5 * time.Second
	// viewSpread is how long a change of the members on the store takes to reach all nodes
	// that are in contact with the store.
	viewSpread = 2 * time.Second
	// quorumTimeout is how long a node that joins waits for a majority of the witnesses
	// after all holders that depend on the store have lost their right. It is longer than
	// machines are cut off; after it, the witnesses count as gone for good.
	quorumTimeout = 30 * time.Second
)

// elapsed returns the time between two times by the steady clock, or by the time of day if
// that is longer: the steady clock does not run while a machine is suspended. From the zero
// time it is the longest duration.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// contactRight is what the right of a holder to its part depends on.
type contactRight struct {
	// quorumAt and storeAt are the latest times as of which this node was in contact with
	// a majority of the witnesses and with the store.
	quorumAt, storeAt time.Time
	// storeSince is when the present contact with the store began. What has changed before
	// it may not be known yet for viewSpread.
	storeSince time.Time
}

// confirmQuorum records contact with a majority of the witnesses.
func (c *contactRight) confirmQuorum(at time.Time) { c.quorumAt = later(c.quorumAt, at) }

// confirmStore records contact with the store.
func (c *contactRight) confirmStore(at time.Time) {
	if !at.After(c.storeAt) {
		return
	}
	if elapsed(c.storeAt, at) >= ContactTTL {
		c.storeSince = at
	}
	c.storeAt = at
}

// valid reports whether the holder may use its part.
func (c *contactRight) valid(now time.Time) bool {
	if elapsed(c.quorumAt, now) < ContactTTL {
		return true
	}
	return elapsed(c.storeAt, now) < ContactTTL && now.Sub(c.storeSince) >= viewSpread
}

// joining is the state of a node that may not use its part yet, because others may hold it.
type joining struct {
	// announced is when the store acknowledged the announcement of this node, quorum when
	// a majority of the witnesses first knew it, and told when all predecessors did. They
	// are zero before.
	announced, quorum, told time.Time
}

// effective returns when no one else holds the part of a node that started at a time, and
// false if that is not known yet.
func (j *joining) effective(start time.Time, delay time.Duration) (time.Time, bool) {
	earliest := start.Add(delay)
	if !j.told.IsZero() {
		return later(earliest, j.told.Add(LeaseTTL)), true
	}
	if j.announced.IsZero() {
		return time.Time{}, false
	}
	byStore := later(earliest, j.announced.Add(viewSpread+ContactTTL+LeaseTTL))
	if j.quorum.IsZero() {
		return byStore.Add(quorumTimeout), true
	}
	return later(byStore, j.quorum.Add(ContactTTL+LeaseTTL)), true
}

// A Contact is what the exchanges of an entry have shown about the view in force.
type Contact struct {
	// Quorum is the latest time as of which a majority of the witnesses was known to have
	// the same candidates, or zero.
	Quorum time.Time
	// Told is the latest time as of which all members that may have had a part of this
	// node before it joined were known to, or zero.
	Told time.Time
}

// Contact returns the contact of this node with others. It must not be called before
// SetView.
func (e *Entry) Contact() Contact {
	e.mu.RLock()
	defer e.mu.RUnlock()
	witnesses := e.view.witnesses()
	return Contact{Quorum: e.confirmedBy(witnesses, len(witnesses)/2+1), Told: e.confirmedBy(e.view.first, len(e.view.first))}
}

// confirmedBy returns the latest time as of which at least count of the members have
// confirmed the view, or zero. The lock is held.
func (e *Entry) confirmedBy(vms []string, count int) time.Time {
	var times []time.Time
	for _, vm := range vms {
		if at, ok := e.confirmed[vm]; ok {
			times = append(times, at)
		}
	}
	if len(times) < count || count == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[count-1]
}

// SetJoining sets whether this node may not use its part yet, so that it asks those that
// may hold it.
func (e *Entry) SetJoining(joining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.joining == joining {
		return
	}
	e.joining = joining
	if e.view != nil {
		e.regular = e.view.asked(joining)
	}
}

// SetContact records the contact of this node: with others, and the time as of which it was
// in contact with the store, which is zero if it never was.
func (o *Owner) SetContact(contact Contact, storeAsOf time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.right.confirmStore(storeAsOf)
	o.right.confirmQuorum(contact.Quorum)
	if o.joining.quorum.IsZero() {
		o.joining.quorum = contact.Quorum
	}
	if o.joining.told.IsZero() {
		o.joining.told = contact.Told
	}
}

// SetAnnounced records when the store acknowledged that this node is a member.
func (o *Owner) SetAnnounced(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.joining.announced.IsZero() {
		o.joining.announced = at
	}
}

// Joining reports whether this node may not use its part yet, because others may hold it.
func (o *Owner) Joining(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prune(now)
	return len(o.epochs) > 0 && o.epochs[0].view == nil
}

// InContact reports whether this node may use its parts.
func (o *Owner) InContact(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.right.valid(now)
}
