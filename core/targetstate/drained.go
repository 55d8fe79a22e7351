package targetstate

import "slices"

// An Incarnation identifies one start of a target.
type Incarnation struct {
	TargetID string
	// StartMillis is the start time in Unix milliseconds, or 0 if it is unknown.
	StartMillis int64
}

// includes reports whether an incarnation is this one. One that was recorded without its
// start time stands for all with its target ID.
func (i Incarnation) includes(other Incarnation) bool {
	return i.TargetID == other.TargetID && (i.StartMillis == other.StartMillis || i.StartMillis == 0)
}

// maxDrained limits the number of incarnations that are known to have drained. Their
// announcements arrive seconds late at most, so that few of them matter at a time.
const maxDrained = 8

// drainedIncarnation is an incarnation that has drained.
type drainedIncarnation struct {
	Incarnation
	// replaced is set if it was the current one and another one took its place.
	replaced bool
}

// drainedSet holds incarnations that have drained. The zero value is empty.
type drainedSet struct{ members []drainedIncarnation }

// find returns the member that includes an incarnation, or nil.
func (d *drainedSet) find(i Incarnation) *drainedIncarnation {
	for n := range d.members {
		known := &d.members[n]
		if known.includes(i) {
			return known
		}
	}
	return nil
}

// add adds an incarnation. If there are too many, the one that was added first is removed.
func (d *drainedSet) add(i Incarnation, replaced bool) {
	if i.TargetID == "" {
		return
	}
	if known := d.find(i); known != nil {
		known.replaced = known.replaced || replaced
		return
	}
	if len(d.members) == maxDrained {
		d.members = slices.Delete(d.members, 0, 1)
	}
	d.members = append(d.members, drainedIncarnation{i, replaced})
}

// incarnations returns the members.
func (d *drainedSet) incarnations() []Incarnation {
	var all []Incarnation
	for _, member := range d.members {
		all = append(all, member.Incarnation)
	}
	return all
}
