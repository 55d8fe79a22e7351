package targetstate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/targetstate"
)

// Guards against a Leave that is acknowledged and has no effect, because the announcements
// of its incarnation are late and the node still knows the one before.
func TestLeaveBeforeFirstAnnouncementIsFinal(t *testing.T) {
	for name, test := range map[string]struct {
		id       string
		leaveMs  int64
		replaces bool
	}{
		"new ID":                         {"b", 2000, true},
		"new ID, start time unknown":     {"b", 0, false},
		"same ID, later start":           {"a", 2000, true},
		"new ID, clock behind the first": {"b", 900, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := servingState(t)
			changed, err := s.Leave(targetstate.Incarnation{TargetID: test.id, StartMillis: test.leaveMs})
			require.NoError(t, err)
			require.Equal(t, test.replaces, changed)
			require.Equal(t, test.replaces, !s.Serving())
			start := test.leaveMs
			if start == 0 {
				start = 2000
			}
			for sequence := range uint64(20) {
				_, _ = s.Apply(announcement(test.id, start, sequence+1, targetstate.Ready))
				require.False(t, s.Serving() && s.Current().Incarnation() == targetstate.Incarnation{TargetID: test.id, StartMillis: start})
			}
			_, err = s.Apply(announcement("c", 3000, 1, targetstate.Ready))
			require.NoError(t, err)
			require.True(t, s.Serving(), "the next incarnation is used")
			_, err = s.Apply(announcement(test.id, start, 30, targetstate.Ready))
			require.ErrorIs(t, err, targetstate.ErrOutdated)
			require.True(t, s.Serving())
		})
	}
}

// Guards against a late Leave of an earlier incarnation that takes the present one out of
// use, or is acknowledged although it may be the present one that leaves.
func TestLateLeaveTakesNothingFromLaterIncarnation(t *testing.T) {
	s := servingState(t)
	for _, earlier := range []targetstate.Incarnation{{TargetID: "old", StartMillis: 900}, {TargetID: "older"}} {
		changed, err := s.Leave(earlier)
		require.NoError(t, err)
		require.False(t, changed)
		require.True(t, s.Serving())
	}
	changed, err := s.Leave(targetstate.Incarnation{TargetID: "a", StartMillis: 900})
	require.ErrorIs(t, err, targetstate.ErrDrainIgnored)
	require.False(t, changed)
	require.True(t, s.Serving())
}

// Guards against an incarnation that has drained and whose late announcements, with the
// start time of a clock that was ahead, take the present one out of use.
func TestLateAnnouncementsOfReplacedIncarnationAreOutdated(t *testing.T) {
	s := servingState(t)
	requireLeft(t, s, "a", 1000)
	s.Advance(time.Time{}.Add(targetstate.MaxDelay))
	for sequence := range uint64(3) {
		_, _ = s.Apply(announcement("b", 500, sequence+1, targetstate.Ready))
	}
	require.True(t, s.Serving())
	_, err := s.Apply(announcement("a", 1000, 9, targetstate.Ready))
	require.ErrorIs(t, err, targetstate.ErrOutdated)
	require.True(t, s.Serving())
	replaced := targetstate.Incarnation{TargetID: "a", StartMillis: 1000}
	changed, err := s.Leave(replaced)
	require.NoError(t, err)
	require.False(t, changed, "a repeated Leave that is late")
	require.False(t, s.RecordDraining(announcement("a", 1000, 9, targetstate.Draining)), "a record that is late")
	require.True(t, s.Serving())
	require.Equal(t, []targetstate.Incarnation{replaced}, s.Drained())

	restarted := targetstate.New(address, service)
	restarted.RecordDrained(s.Drained())
	restarted.Restore(s.Current(), true)
	require.True(t, restarted.Serving(), "the node has restarted")
}

// Guards against a restarted node that uses an incarnation whose Leave its earlier
// incarnation acknowledged before the first announcement arrived.
func TestRecordedDrainedIncarnationsAreNotUsed(t *testing.T) {
	left := []targetstate.Incarnation{{TargetID: "b", StartMillis: 2000}}
	for name, steps := range map[string][]func(*targetstate.State){
		"record first": {
			func(s *targetstate.State) { s.RecordDrained(left) },
			func(s *targetstate.State) { s.Restore(announcement("a", 1000, 5, targetstate.Ready), true) },
		},
		"state first": {
			func(s *targetstate.State) { s.Restore(announcement("a", 1000, 5, targetstate.Ready), true) },
			func(s *targetstate.State) { s.RecordDrained(left) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := targetstate.New(address, service)
			for _, step := range steps {
				step(s)
			}
			for sequence := range uint64(5) {
				_, _ = s.Apply(announcement("b", 2000, sequence+1, targetstate.Ready))
				require.False(t, s.Serving())
			}
		})
	}
}

// Guards against a drain that was acknowledged and is taken back by late announcements of an
// incarnation that began before, and against a target that is never used again after a
// restart with an earlier clock.
func TestDrainOutlastsLateAnnouncementsOfEarlierIncarnation(t *testing.T) {
	for name, drain := range map[string]func(s *targetstate.State){
		"leave":     func(s *targetstate.State) { _, _ = s.Leave(targetstate.Incarnation{TargetID: "a", StartMillis: 1000}) },
		"heartbeat": func(s *targetstate.State) { _, _ = s.Apply(announcement("a", 1000, 6, targetstate.Draining)) },
		"record":    func(s *targetstate.State) { s.RecordDraining(announcement("a", 1000, 6, targetstate.Draining)) },
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(100, 0)
			s := servingState(t)
			s.Advance(start)
			drain(s)
			sequence := uint64(100)
			earlier := func() {
				sequence++
				_, _ = s.Apply(announcement("a", 900, sequence, targetstate.Ready))
			}
			for at := time.Duration(0); at < targetstate.MaxDelay; at += 100 * time.Millisecond {
				s.Advance(start.Add(at))
				earlier()
				require.False(t, s.Serving(), "after %v", at)
			}
			s.Advance(start.Add(targetstate.MaxDelay))
			for range 3 {
				earlier()
			}
			require.True(t, s.Serving(), "the target goes on announcing itself")
		})
	}
}
