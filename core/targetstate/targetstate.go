// Package targetstate follows the announcements of the one target beside a
// node and decides whether the node may send work to it.
//
// Announcements arrive late, out of order, from an earlier life of the target
// or from somebody else. A life is named by its id and the time of its start.
// Within a life the announcement with the highest sequence counts, and leaving
// is final: a target that said that it leaves gets no new work, whatever a
// delayed announcement says afterwards.
//
// A node that has just started may not know that the target left before. It
// therefore holds back until either Restore told it what an earlier life of the
// node had published, or the target has announced itself twice with rising
// sequences, which a target that left does not do.
//
// A State is owned by one goroutine.
package targetstate

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Phase is what the target says about itself.
type Phase uint8

// Phases of a target.
const (
	// Unknown means that no announcement counts yet.
	Unknown Phase = iota
	// Ready targets take new work.
	Ready
	// Draining targets finish their work and take none.
	Draining
)

// Announcement is one message of the target about itself.
type Announcement struct {
	TargetID string
	// StartMillis is the start of this life in Unix milliseconds; 0 if not told.
	StartMillis int64
	Address     string
	Service     string
	Zone        string
	Version     string
	// Slots is the number of requests processed at a time.
	Slots    int
	Phase    Phase
	Sequence uint64
	// ColdRemaining is how much longer the target stays slow after its start.
	ColdRemaining time.Duration
}

// Errors of announcements; match them with errors.Is.
var (
	// ErrWrongTarget marks an announcement for another address or service.
	ErrWrongTarget = errors.New("the announcement is not of the target beside this node; send it to the node at its own address")
	// ErrOutdated marks an announcement of an earlier life or an earlier sequence.
	ErrOutdated = errors.New("a later announcement was already taken in; nothing is to be done")
)

// State is what a node knows about the target beside it.
type State struct {
	address string
	service string
	current Announcement
	// confirmed is set once the announcement may be acted on.
	confirmed bool
	// recalled is set once the publications of earlier lives are known.
	recalled bool
	seen     int
}

// New returns the state of the target at the address.
func New(address, service string) *State {
	return &State{address: address, service: service}
}

// Reconfigure changes address and service after a change of the settings.
func (s *State) Reconfigure(address, service string) {
	if address == s.address && service == s.service {
		return
	}
	s.address, s.service = address, service
	s.current, s.confirmed, s.seen = Announcement{}, false, 0
}

// Restore takes in what an earlier life of this node had published; a zero
// announcement means that nothing is known on the store. A final announcement
// was the last thing that the earlier life took in, so the target is used
// without waiting for its next announcement.
func (s *State) Restore(published Announcement, final bool) {
	s.recalled = true
	if published.TargetID != "" && s.supersedes(published) {
		if s.sameLife(published) && s.current.Phase == Draining {
			// The target has said that it leaves since that was published.
			published.Phase = Draining
		}
		s.current = published
		s.current.Address, s.current.Service = s.address, s.service
		s.confirmed = final || published.Phase == Draining
		return
	}
	s.confirmed = s.current.TargetID != ""
}

// Apply takes in one announcement and reports whether the state changed.
func (s *State) Apply(a Announcement) (bool, error) {
	if a.Address != s.address || a.Service != s.service {
		return false, ErrWrongTarget
	}
	if !s.supersedes(a) {
		return false, ErrOutdated
	}
	same := s.sameLife(a)
	if same && s.current.Phase == Draining {
		a.Phase = Draining
	}
	if !same {
		s.seen = 0
	}
	s.seen++
	before, wasConfirmed := s.current, s.confirmed
	s.current = a
	s.confirmed = s.confirmed && same || s.recalled || a.Phase == Draining || s.seen > 1
	return !same || before.Phase != a.Phase || before.Slots != a.Slots || s.confirmed != wasConfirmed, nil
}

// MarkDraining takes in that the target leaves; it reports whether the state changed.
// Leaving of another life is ignored.
func (s *State) MarkDraining(targetID string) bool {
	if s.current.TargetID == "" {
		// The announcements of this life were taken in by an earlier life of the
		// node. What may still arrive of them is older than its leaving.
		s.current = Announcement{TargetID: targetID, Address: s.address, Service: s.service, Phase: Draining}
		s.confirmed = true
		return true
	}
	if s.current.TargetID != targetID || s.current.Phase == Draining {
		return false
	}
	s.current.Phase = Draining
	s.confirmed = true
	return true
}

// Current returns the announcement that counts.
func (s *State) Current() Announcement { return s.current }

// Serving tells whether new work may be sent to the target.
func (s *State) Serving() bool {
	return s.confirmed && s.current.Phase == Ready
}

// Restored tells whether it is known what earlier lives of the node published.
func (s *State) Restored() bool { return s.recalled }

// IsDraining tells whether the target leaves.
func (s *State) IsDraining() bool { return s.current.Phase == Draining }

// sameLife tells whether an announcement is of the life that counts. A leaving
// without an announcement before it does not tell the start of the life; what comes
// with its id is taken for the life that leaves.
func (s *State) sameLife(a Announcement) bool {
	unborn := s.current.Phase == Draining && s.current.StartMillis == 0
	return a.TargetID == s.current.TargetID && (a.StartMillis == s.current.StartMillis || unborn)
}

// supersedes tells whether an announcement is later than the one that counts.
func (s *State) supersedes(a Announcement) bool {
	switch {
	case s.current.TargetID == "":
		return true
	case a.StartMillis != s.current.StartMillis && a.StartMillis > 0 && s.current.StartMillis > 0:
		return a.StartMillis > s.current.StartMillis
	case a.TargetID != s.current.TargetID:
		// Without a start time a low sequence is the only sign of a new life.
		return s.current.Phase == Draining || a.Sequence <= s.current.Sequence
	default:
		return a.Sequence > s.current.Sequence
	}
}
