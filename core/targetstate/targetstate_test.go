package targetstate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/targetstate"
)

const (
	address = "10.0.0.1:8080"
	service = "orders"
)

func announcement(id string, startMillis int64, sequence uint64, phase targetstate.Phase) targetstate.Announcement {
	return targetstate.Announcement{
		TargetID: id, StartMillis: startMillis, Address: address, Service: service,
		Slots: 10, Phase: phase, Sequence: sequence,
	}
}

// servingState returns the state of a target that has announced itself as ready
// with sequence number 5 and is in use.
func servingState(t *testing.T) *targetstate.State {
	t.Helper()
	s := targetstate.New(address, service)
	s.Restore(targetstate.Announcement{}, false)
	changed, err := s.Apply(announcement("a", 1000, 5, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, s.Serving())
	return s
}

// requireLeft requires that the current announcement becomes that of an incarnation which
// leaves.
func requireLeft(t *testing.T, s *targetstate.State, id string, startMillis int64) {
	t.Helper()
	changed, err := s.Leave(targetstate.Incarnation{TargetID: id, StartMillis: startMillis})
	require.NoError(t, err)
	require.True(t, changed)
	require.False(t, s.Serving())
}

// Guards against a delayed announcement that makes a draining target ready
// again.
func TestDrainingIsFinalWithinIncarnation(t *testing.T) {
	s := servingState(t)
	_, err := s.Apply(announcement("a", 1000, 6, targetstate.Draining))
	require.NoError(t, err)
	require.False(t, s.Serving())
	_, err = s.Apply(announcement("a", 1000, 7, targetstate.Ready))
	require.NoError(t, err)
	require.False(t, s.Serving())
	require.True(t, s.IsDraining())
}

// Guards against a late announcement of an earlier incarnation that replaces
// the target that has registered at the address since.
func TestEarlierIncarnationIsOutdated(t *testing.T) {
	s := servingState(t)
	_, err := s.Apply(announcement("old", 900, 50, targetstate.Ready))
	require.ErrorIs(t, err, targetstate.ErrOutdated)
	require.Equal(t, "a", s.Current().TargetID)
}

// Guards against sequence numbers of an earlier incarnation that hide a target
// that restarted with the same ID.
func TestTargetRestartsWithSameID(t *testing.T) {
	s := servingState(t)
	requireLeft(t, s, "a", 0)
	changed, err := s.Apply(announcement("a", 2000, 1, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, s.Serving())
}

// Guards against an announcement that changes the state although its sequence
// number has not increased.
func TestRepeatedSequenceIsOutdated(t *testing.T) {
	s := servingState(t)
	_, err := s.Apply(announcement("a", 1000, 5, targetstate.Draining))
	require.ErrorIs(t, err, targetstate.ErrOutdated)
	require.True(t, s.Serving())
}

// Guards against announcements for another address or service that replace the
// target.
func TestAnnouncementsOfOtherTargets(t *testing.T) {
	s := servingState(t)
	other := announcement("b", 5000, 1, targetstate.Ready)
	other.Address = "10.0.0.2:8080"
	_, err := s.Apply(other)
	require.ErrorIs(t, err, targetstate.ErrWrongTarget)
	other = announcement("b", 5000, 1, targetstate.Ready)
	other.Service = "stock"
	_, err = s.Apply(other)
	require.ErrorIs(t, err, targetstate.ErrWrongTarget)
	require.Equal(t, "a", s.Current().TargetID)
}

// Guards against work for a draining target after a restart of the node: the
// earlier incarnation acknowledged the draining, and the new one reads it from
// the store.
func TestRestoredDrainingIsFinal(t *testing.T) {
	s := targetstate.New(address, service)
	_, err := s.Apply(announcement("a", 1000, 4, targetstate.Ready))
	require.NoError(t, err)
	require.False(t, s.Serving(), "a single announcement may be a delayed one")
	s.Restore(announcement("a", 1000, 5, targetstate.Draining), false)
	require.False(t, s.Serving())
	require.True(t, s.IsDraining())
	_, err = s.Apply(announcement("a", 1000, 6, targetstate.Ready))
	require.NoError(t, err)
	require.False(t, s.Serving())
}

// Guards against a node that never uses its target after a restart while the
// store is down.
func TestTwoAnnouncementsConfirmWithoutStore(t *testing.T) {
	s := targetstate.New(address, service)
	_, err := s.Apply(announcement("a", 1000, 4, targetstate.Ready))
	require.NoError(t, err)
	require.False(t, s.Serving())
	changed, err := s.Apply(announcement("a", 1000, 5, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, s.Serving())
}

// Guards against a draining message that is ignored because the node has not
// yet received an announcement of the target.
func TestDrainingOfUnknownTargetIsFinal(t *testing.T) {
	s := targetstate.New(address, service)
	requireLeft(t, s, "a", 0)
	require.True(t, s.IsDraining())
	changed, err := s.Leave(targetstate.Incarnation{TargetID: "b"})
	require.NoError(t, err)
	require.False(t, changed)
}

// Guards against the use of the previous target after the service of the node
// has changed.
func TestReconfigureResetsTarget(t *testing.T) {
	s := servingState(t)
	s.Reconfigure(address, "stock")
	require.False(t, s.Serving())
	require.Empty(t, s.Current().TargetID)
}

// Guards against the loss of the capacity of the target after a restart of the
// node until the target announces itself again.
func TestFinalAnnouncementNeedsNoConfirmation(t *testing.T) {
	s := targetstate.New(address, service)
	s.Restore(announcement("a", 1000, 5, targetstate.Ready), true)
	require.True(t, s.Serving())
	unconfirmed := targetstate.New(address, service)
	unconfirmed.Restore(announcement("a", 1000, 5, targetstate.Ready), false)
	require.False(t, unconfirmed.Serving(), "the earlier incarnation may have acknowledged since that the target is draining")
	_, err := unconfirmed.Apply(announcement("a", 1000, 6, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, unconfirmed.Serving())
}

// Guards against a restarted node that acknowledges the draining of its target
// and then uses the target again, because of what its earlier incarnation had
// published or because of a delayed announcement.
func TestDrainingBeforeRestoreIsKept(t *testing.T) {
	published := targetstate.Announcement{TargetID: "t", StartMillis: 5, Address: "a:1", Service: "s", Slots: 3, Phase: targetstate.Ready, Sequence: 1}
	late := published
	late.Sequence = 21
	restore := func(s *targetstate.State) { s.Restore(published, false) }
	announce := func(s *targetstate.State) {
		_, err := s.Apply(late)
		require.NoError(t, err)
		late.Sequence++
	}
	for _, order := range [][]func(*targetstate.State){
		{restore, announce, announce}, {announce, restore, announce}, {announce, announce, restore},
	} {
		s := targetstate.New("a:1", "s")
		requireLeft(t, s, "t", 0)
		for _, step := range order {
			step(s)
			require.True(t, s.IsDraining())
			require.False(t, s.Serving())
		}
	}
}

// Guards against a restarted node that uses its target again after a record of its
// earlier incarnation, which says that the target is draining, arrives late, for
// example from another node while the store holds an older one.
func TestRecordedDrainingAppliesAtAnyTime(t *testing.T) {
	record := announcement("a", 1000, 4, targetstate.Draining)
	unknownStart := announcement("a", 0, 0, targetstate.Draining)
	for _, draining := range []targetstate.Announcement{record, unknownStart} {
		s := servingState(t)
		require.True(t, s.RecordDraining(draining))
		require.False(t, s.Serving())
		require.False(t, s.RecordDraining(draining))
		_, err := s.Apply(announcement("a", 1000, 9, targetstate.Ready))
		require.NoError(t, err)
		require.False(t, s.Serving())

		restored := targetstate.New(address, service)
		_, err = restored.Apply(announcement("a", 1000, 5, targetstate.Ready))
		require.NoError(t, err)
		restored.Restore(draining, false)
		require.False(t, restored.Serving())

		empty := targetstate.New(address, service)
		require.True(t, empty.RecordDraining(draining))
		_, err = empty.Apply(announcement("a", 1000, 6, targetstate.Ready))
		require.NoError(t, err)
		require.False(t, empty.Serving())
	}
}

// Guards against a record of an earlier incarnation of the target, or of another
// target, that takes the current one out of use.
func TestRecordedDrainingOfAnotherIncarnationIsIgnored(t *testing.T) {
	s := servingState(t)
	require.False(t, s.RecordDraining(announcement("a", 900, 8, targetstate.Draining)))
	require.False(t, s.RecordDraining(announcement("b", 1000, 8, targetstate.Draining)))
	require.True(t, s.Serving())
	restarted := targetstate.New(address, service)
	require.True(t, restarted.RecordDraining(announcement("a", 1000, 8, targetstate.Draining)))
	restarted.Restore(targetstate.Announcement{}, false)
	_, err := restarted.Apply(announcement("a", 2000, 1, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, restarted.Serving())
}

// Guards against a target that is ignored for good because its clock was ahead before it
// started again, and whose draining is acknowledged and not applied.
func TestTargetRestartsAfterItsClockWasAhead(t *testing.T) {
	s := targetstate.New(address, service)
	s.Restore(targetstate.Announcement{}, false)
	_, err := s.Apply(announcement("a", 5000, 1, targetstate.Ready))
	require.NoError(t, err)
	// The announcements are 1.5 s apart.
	const interval = 1500 * time.Millisecond
	now := time.Time{}
	advance := func() {
		now = now.Add(interval)
		s.Advance(now)
	}
	advance()
	_, err = s.Apply(announcement("a", 3000, 1, targetstate.Ready))
	require.ErrorIs(t, err, targetstate.ErrOutdated)
	_, err = s.Apply(announcement("a", 3000, 1, targetstate.Ready))
	require.ErrorIs(t, err, targetstate.ErrOutdated, "a repeated announcement proves nothing")
	advance()
	_, err = s.Apply(announcement("a", 3000, 2, targetstate.Draining))
	require.ErrorIs(t, err, targetstate.ErrDrainIgnored)
	require.True(t, s.Serving())
	advance()
	_, err = s.Apply(announcement("a", 3000, 3, targetstate.Draining))
	require.NoError(t, err)
	require.True(t, s.IsDraining())
	_, err = s.Apply(announcement("a", 3000, 3, targetstate.Draining))
	require.ErrorIs(t, err, targetstate.ErrOutdated, "a repeated draining announcement is in effect")
}

// Guards against delayed announcements of an earlier incarnation that replace the current
// one while it goes on announcing itself.
func TestDelayedAnnouncementsDoNotReplaceTheCurrentOne(t *testing.T) {
	s := targetstate.New(address, service)
	s.Restore(targetstate.Announcement{}, false)
	_, err := s.Apply(announcement("b", 5000, 1, targetstate.Ready))
	require.NoError(t, err)
	for sequence := range uint64(20) {
		_, err = s.Apply(announcement("a", 3000, 2*sequence+10, targetstate.Draining))
		require.ErrorIs(t, err, targetstate.ErrDrainIgnored)
		_, err = s.Apply(announcement("a", 3000, 2*sequence+11, targetstate.Ready))
		require.ErrorIs(t, err, targetstate.ErrOutdated)
		_, err = s.Apply(announcement("b", 5000, sequence+2, targetstate.Ready))
		require.NoError(t, err)
		require.Equal(t, "b", s.Current().TargetID)
		require.True(t, s.Serving())
	}
}
