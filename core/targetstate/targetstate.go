// Package targetstate tracks the announcements of the one target beside a node
// and decides whether the node may send work to it.
//
// Announcements can arrive late, out of order, from an earlier incarnation of
// the target or from another target. An incarnation is identified by the target
// ID and its start time. Within an incarnation the announcement with the
// highest sequence number applies, and draining is final: a target that has
// announced that it is draining gets no new work, even if a delayed
// announcement with state ready arrives afterward.
//
// The announcement of a drain may also come before any other of its incarnation, because
// these are late. It is kept beside the current announcement: an incarnation that is known
// to have drained is never used again, and takes nothing from a later one.
//
// A node that has just started may not have been notified that the target is
// draining. It therefore does not use the target until one of two conditions
// holds. Either [State.Restore] has provided what an earlier incarnation of the
// node published, or the target has announced itself twice with increasing
// sequence numbers, which a draining target does not do.
//
// A target may start again with an earlier start time, because its clock was ahead
// before. Its announcements then look like delayed ones of an earlier incarnation.
// Delayed announcements end, so that several of them with increasing sequence
// numbers, while the current incarnation is silent, are those of a new one. If the current
// one drains, it is silent in any case, and they count once no delayed ones can arrive.
//
// A State is not safe for concurrent use; it is owned by one goroutine.
package targetstate

import (
	"time"

	"github.com/cockroachdb/errors"
)

// A Phase is the lifecycle phase that the target announces.
type Phase uint8

// Phases of a target.
const (
	// Unknown means that no valid announcement has been received.
	Unknown Phase = iota
	// Ready targets accept new work.
	Ready
	// Draining targets finish their work and accept no new work.
	Draining
)

// An Announcement is one message of the target about its state.
type Announcement struct {
	TargetID string
	// StartMillis is the start time of the incarnation in Unix milliseconds, or
	// 0 if it was not announced.
	StartMillis int64
	Address     string
	Service     string
	Zone        string
	Version     string
	// Slots is the number of requests that the target processes concurrently.
	Slots    int
	Phase    Phase
	Sequence uint64
	// ColdRemaining is the remaining time in which the target is slow after its
	// start.
	ColdRemaining time.Duration
}

// Incarnation returns the incarnation that an announcement is of.
func (a Announcement) Incarnation() Incarnation {
	return Incarnation{TargetID: a.TargetID, StartMillis: a.StartMillis}
}

// Errors for announcements that are not applied. Match them with errors.Is.
var (
	// ErrWrongTarget marks an announcement for another address or service.
	ErrWrongTarget = errors.New("the announcement is not of the target beside this node; send it to the node at its own address")
	// ErrOutdated marks an announcement of an earlier incarnation or with a
	// sequence number that is not higher than that of the current one.
	ErrOutdated = errors.New("a later announcement was already taken in; nothing is to be done")
	// ErrDrainIgnored marks an outdated announcement of draining that is not in effect,
	// so that it must not be acknowledged. It matches ErrOutdated too.
	ErrDrainIgnored error = drainIgnoredError{}
)

// maxSilentAnnouncements is the number of announcements with an earlier start time, and
// with increasing sequence numbers, after which they are taken for those of a new
// incarnation if the current one has sent none in between.
const maxSilentAnnouncements = 3

// MaxDelay is how late an announcement may arrive.
const MaxDelay = 10 * time.Second

// minSilence is how long the current incarnation must have sent nothing before another one
// with an earlier start time takes its place. Several late announcements may arrive between
// two heartbeats, which are about 1.5 s apart.
const minSilence = 3 * time.Second

// drainIgnoredError is the type of ErrDrainIgnored.
type drainIgnoredError struct{}

// Error implements error.
func (drainIgnoredError) Error() string {
	return "the draining announcement is older than the current state of the target and was not applied; repeat it with a higher sequence number"
}

// Unwrap returns the kind of the error.
func (drainIgnoredError) Unwrap() error { return ErrOutdated }

// A State is the state of the target beside a node, as far as the node has
// observed it.
type State struct {
	address string
	service string
	// current is the latest applicable announcement.
	current Announcement
	// confirmed is set when the node may act on the current announcement.
	confirmed bool
	// restored is set when Restore has provided what earlier incarnations of
	// the node published.
	restored bool
	// announcements counts the announcements of the current incarnation that
	// were applied.
	announcements int
	// earlier is the latest announcement with an earlier start time, and
	// earlierAnnouncements counts those since the latest one of the current
	// incarnation.
	earlier              Announcement
	earlierAnnouncements int
	// drained holds the other incarnations that are known to have drained.
	drained drainedSet
	// now is the time of the latest call of Advance, announcedAt that of the latest
	// announcement of the current incarnation, and drainingSince that as of which it was
	// known to drain.
	now, announcedAt, drainingSince time.Time
}

// New returns the state of the target at the address, without an announcement.
func New(address, service string) *State {
	return &State{address: address, service: service}
}

// Advance sets the time for the calls that follow.
func (s *State) Advance(now time.Time) { s.now = now }

// Reconfigure sets the address and the service. If one of them changes, the
// state is reset.
func (s *State) Reconfigure(address, service string) {
	if address == s.address && service == s.service {
		return
	}
	s.address, s.service = address, service
	s.current, s.confirmed, s.announcements, s.earlierAnnouncements = Announcement{}, false, 0, 0
	s.drained = drainedSet{}
}

// Restore applies the announcement that an earlier incarnation of this node
// published. A zero announcement means that the store has none. If final is
// set, it is the last announcement that the earlier incarnation applied, so the
// target is used without waiting for its next announcement.
func (s *State) Restore(published Announcement, final bool) {
	s.restored = true
	if published.Phase == Draining && s.RecordDraining(published) {
		return
	}
	if published.TargetID != "" && s.supersedes(published) {
		if s.sameIncarnation(published) && s.current.Phase == Draining || s.drained.find(published.Incarnation()) != nil {
			// The target has begun to drain since the announcement was
			// published.
			published.Phase = Draining
			s.drainingSince = s.now
		}
		if !s.sameIncarnation(published) {
			s.keepDrained()
		}
		s.current = published
		s.current.Address, s.current.Service = s.address, s.service
		s.confirmed = final || published.Phase == Draining
		return
	}
	s.confirmed = s.current.TargetID != ""
}

// Apply applies one announcement and reports whether the state changed. It returns
// ErrWrongTarget, ErrOutdated or ErrDrainIgnored if the announcement is not applied.
// Unless ErrDrainIgnored is returned, an outdated announcement of draining is in effect
// nevertheless.
func (s *State) Apply(a Announcement) (bool, error) {
	if a.Address != s.address || a.Service != s.service {
		return false, ErrWrongTarget
	}
	drained := s.drained.find(a.Incarnation())
	switch {
	case drained != nil && (drained.replaced || !s.supersedes(a)):
		return false, ErrOutdated
	case drained != nil:
		drained.StartMillis = a.StartMillis
		a.Phase = Draining
	case !s.supersedes(a) && !s.isRestartWithEarlierClock(a):
		if a.Phase == Draining && !(s.current.Phase == Draining && s.current.TargetID == a.TargetID) {
			return false, ErrDrainIgnored
		}
		return false, ErrOutdated
	}
	s.earlierAnnouncements, s.announcedAt = 0, s.now
	same := s.sameIncarnation(a)
	if same && s.current.Phase == Draining {
		a.Phase = Draining
	}
	if !same {
		s.announcements = 0
	}
	s.announcements++
	before, confirmedBefore := s.current, s.confirmed
	if !same {
		s.keepDrained()
	}
	if a.Phase == Draining && !(same && before.Phase == Draining) {
		s.drainingSince = s.now
	}
	s.current = a
	s.confirmed = s.confirmed && same || s.restored || a.Phase == Draining || s.announcements > 1
	return !same || before.Phase != a.Phase || before.Slots != a.Slots || s.confirmed != confirmedBefore, nil
}

// isRestartWithEarlierClock counts the announcements of an incarnation with an earlier
// start time than the current one, and reports whether it is a new one.
func (s *State) isRestartWithEarlierClock(a Announcement) bool {
	if a.StartMillis <= 0 || a.StartMillis >= s.current.StartMillis {
		return false
	}
	if s.current.Phase == Draining && s.now.Sub(s.drainingSince) < MaxDelay {
		// Whoever drains is silent, so that the silence proves nothing.
		return false
	}
	sameAsBefore := a.TargetID == s.earlier.TargetID && a.StartMillis == s.earlier.StartMillis
	switch {
	case !sameAsBefore || s.earlierAnnouncements == 0:
		s.earlierAnnouncements = 0
	case a.Sequence <= s.earlier.Sequence:
		return false
	}
	s.earlier = a
	s.earlierAnnouncements++
	return s.earlierAnnouncements >= maxSilentAnnouncements && s.now.Sub(s.announcedAt) >= minSilence
}

// Leave records that an incarnation of the target is draining and reports whether the
// current announcement changed. A start time of 0 means that it is unknown.
//
// If the incarnation is the current one, or has started later, the target takes no new
// work. Otherwise the current one is not affected, and the incarnation is not used when an
// announcement of it arrives late. ErrDrainIgnored is returned if the incarnation has the
// ID of the current one and an earlier start time: it may have ended long ago, or be the
// target after a restart with an earlier clock, to which the requests would still be sent.
func (s *State) Leave(left Incarnation) (bool, error) {
	return s.leave(Announcement{TargetID: left.TargetID, StartMillis: left.StartMillis})
}

// leave is Leave for an incarnation of which more may be known than its name.
func (s *State) leave(a Announcement) (bool, error) {
	left := a.Incarnation()
	switch {
	case s.drained.find(left) != nil:
		return false, nil
	case s.current.TargetID == "", s.startedBefore(left):
		s.replace(a)
		return true, nil
	case left.TargetID != s.current.TargetID:
		s.drained.add(left, false)
		return false, nil
	case left.StartMillis != 0 && s.current.StartMillis != 0 && left.StartMillis < s.current.StartMillis:
		return false, ErrDrainIgnored
	}
	return s.markDraining(), nil
}

// startedBefore reports whether the current incarnation is known to have started before
// another one.
func (s *State) startedBefore(other Incarnation) bool {
	return s.current.StartMillis > 0 && other.StartMillis > s.current.StartMillis
}

// markDraining makes the current incarnation draining and reports whether that is new.
func (s *State) markDraining() bool {
	if s.current.Phase == Draining {
		return false
	}
	s.current.Phase = Draining
	s.confirmed, s.drainingSince = true, s.now
	return true
}

// replace replaces the current incarnation by one that is draining.
func (s *State) replace(a Announcement) {
	s.keepDrained()
	s.current = a
	s.current.Address, s.current.Service, s.current.Phase = s.address, s.service, Draining
	s.confirmed, s.announcements, s.drainingSince = true, 0, s.now
}

// keepDrained keeps the current incarnation, which is about to be replaced, if it drained.
func (s *State) keepDrained() {
	if s.current.Phase == Draining {
		s.drained.add(s.current.Incarnation(), true)
	}
}

// RecordDraining applies what an earlier incarnation of the node has recorded elsewhere:
// that the target with this announcement is draining. It may be called at any time,
// because draining is final for an incarnation of a target, and reports whether the
// current announcement changed. If the record has no start time, it applies to the
// target ID.
func (s *State) RecordDraining(a Announcement) bool {
	// An error means that the current incarnation is a later one.
	changed, _ := s.leave(a)
	return changed
}

// Drained returns the incarnations, except the current one, that are known to have
// drained, and the announcements of which may still arrive.
func (s *State) Drained() []Incarnation { return s.drained.incarnations() }

// RecordDrained applies what an earlier incarnation of the node has recorded as Drained, and
// reports whether the current announcement changed. Other incarnations only count when
// announcements of them arrive, since the earlier incarnation had another one in use.
func (s *State) RecordDrained(drained []Incarnation) (changed bool) {
	for _, d := range drained {
		if d.includes(s.current.Incarnation()) {
			changed = s.markDraining() || changed
			continue
		}
		s.drained.add(d, false)
	}
	return changed
}

// Current returns the latest applicable announcement.
func (s *State) Current() Announcement { return s.current }

// Serving reports whether new work may be sent to the target.
func (s *State) Serving() bool {
	return s.confirmed && s.current.Phase == Ready
}

// Restored reports whether it is known what earlier incarnations of the node
// published.
func (s *State) Restored() bool { return s.restored }

// IsDraining reports whether the target is draining.
func (s *State) IsDraining() bool { return s.current.Phase == Draining }

// sameIncarnation reports whether an announcement is of the current
// incarnation. If that is draining and its start time is unknown, as after
// Leave without an earlier announcement, every announcement with its
// target ID is attributed to it.
func (s *State) sameIncarnation(a Announcement) bool {
	startUnknown := s.current.Phase == Draining && s.current.StartMillis == 0
	return a.TargetID == s.current.TargetID && (a.StartMillis == s.current.StartMillis || startUnknown)
}

// supersedes reports whether an announcement is later than the current one.
func (s *State) supersedes(a Announcement) bool {
	switch {
	case s.current.TargetID == "":
		return true
	case a.StartMillis != s.current.StartMillis && a.StartMillis > 0 && s.current.StartMillis > 0:
		return a.StartMillis > s.current.StartMillis
	case a.TargetID != s.current.TargetID:
		// Without a start time, a sequence number that has not increased is the
		// only sign of a new incarnation.
		return s.current.Phase == Draining || a.Sequence <= s.current.Sequence
	default:
		return a.Sequence > s.current.Sequence
	}
}
