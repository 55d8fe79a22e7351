package targetstate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/targetstate"
)

const (
	address = "10.0.0.1:8080"
	service = "orders"
)

func announcement(id string, born int64, sequence uint64, phase targetstate.Phase) targetstate.Announcement {
	return targetstate.Announcement{
		TargetID: id, StartMillis: born, Address: address, Service: service,
		Slots: 10, Phase: phase, Sequence: sequence,
	}
}

func started(t *testing.T) *targetstate.State {
	t.Helper()
	s := targetstate.New(address, service)
	s.Restore(targetstate.Announcement{}, false)
	changed, err := s.Apply(announcement("a", 1000, 5, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, s.Serving())
	return s
}

// Guards against a delayed announcement that reopens a target that leaves.
func TestLeavingIsFinalWithinALife(t *testing.T) {
	s := started(t)
	_, err := s.Apply(announcement("a", 1000, 6, targetstate.Draining))
	require.NoError(t, err)
	require.False(t, s.Serving())
	_, err = s.Apply(announcement("a", 1000, 7, targetstate.Ready))
	require.NoError(t, err)
	require.False(t, s.Serving())
	require.True(t, s.IsDraining())
}

// Guards against a late announcement of an earlier life that replaces the
// target that registered at the address meanwhile.
func TestEarlierLifeIsOutdated(t *testing.T) {
	s := started(t)
	_, err := s.Apply(announcement("old", 900, 50, targetstate.Ready))
	require.ErrorIs(t, err, targetstate.ErrOutdated)
	require.Equal(t, "a", s.Current().TargetID)
}

// Guards against counts of an earlier life that hide a target which started
// again under its id.
func TestSameIDStartsAgain(t *testing.T) {
	s := started(t)
	require.True(t, s.MarkDraining("a"))
	changed, err := s.Apply(announcement("a", 2000, 1, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, s.Serving())
}

func TestLateSequenceChangesNothing(t *testing.T) {
	s := started(t)
	_, err := s.Apply(announcement("a", 1000, 5, targetstate.Draining))
	require.ErrorIs(t, err, targetstate.ErrOutdated)
	require.True(t, s.Serving())
}

func TestForeignAnnouncements(t *testing.T) {
	s := started(t)
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

// Guards against work for a target whose leaving an earlier life of the node
// had acknowledged: the restarted node knows it from the store.
func TestRecalledLeavingBinds(t *testing.T) {
	s := targetstate.New(address, service)
	_, err := s.Apply(announcement("a", 1000, 4, targetstate.Ready))
	require.NoError(t, err)
	require.False(t, s.Serving(), "one announcement may be a delayed one")
	s.Restore(announcement("a", 1000, 5, targetstate.Draining), false)
	require.False(t, s.Serving())
	require.True(t, s.IsDraining())
	_, err = s.Apply(announcement("a", 1000, 6, targetstate.Ready))
	require.NoError(t, err)
	require.False(t, s.Serving())
}

// Guards against a node that stays idle after a restart while the store is down.
func TestTwoAnnouncementsServeWithoutTheStore(t *testing.T) {
	s := targetstate.New(address, service)
	_, err := s.Apply(announcement("a", 1000, 4, targetstate.Ready))
	require.NoError(t, err)
	require.False(t, s.Serving())
	changed, err := s.Apply(announcement("a", 1000, 5, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, s.Serving())
}

func TestLeaveOfUnknownTargetBinds(t *testing.T) {
	s := targetstate.New(address, service)
	require.True(t, s.MarkDraining("a"))
	require.True(t, s.IsDraining())
	require.False(t, s.MarkDraining("b"))
}

func TestReconfigureForgetsTheTarget(t *testing.T) {
	s := started(t)
	s.Reconfigure(address, "stock")
	require.False(t, s.Serving())
	require.Empty(t, s.Current().TargetID)
}

// Guards against a node that loses its target's capacity over a restart until
// the target announces itself again.
func TestFinalAnnouncementServesAtOnce(t *testing.T) {
	s := targetstate.New(address, service)
	s.Restore(announcement("a", 1000, 5, targetstate.Ready), true)
	require.True(t, s.Serving())
	unsure := targetstate.New(address, service)
	unsure.Restore(announcement("a", 1000, 5, targetstate.Ready), false)
	require.False(t, unsure.Serving(), "the earlier life may have acknowledged a leaving since")
	_, err := unsure.Apply(announcement("a", 1000, 6, targetstate.Ready))
	require.NoError(t, err)
	require.True(t, unsure.Serving())
}

// Guards against a leaving that a restarted node acknowledged and forgot when it
// learned what its earlier life had published, or from a delayed announcement.
func TestLeavingBeforeTheRecallIsKept(t *testing.T) {
	published := targetstate.Announcement{TargetID: "t", StartMillis: 5, Address: "a:1", Service: "s", Slots: 3, Phase: targetstate.Ready, Sequence: 1}
	late := published
	late.Sequence = 21
	recall := func(s *targetstate.State) { s.Restore(published, false) }
	announce := func(s *targetstate.State) {
		_, err := s.Apply(late)
		require.NoError(t, err)
		late.Sequence++
	}
	for _, order := range [][]func(*targetstate.State){
		{recall, announce, announce}, {announce, recall, announce}, {announce, announce, recall},
	} {
		s := targetstate.New("a:1", "s")
		require.True(t, s.MarkDraining("t"))
		for _, step := range order {
			step(s)
			require.True(t, s.IsDraining())
			require.False(t, s.Serving())
		}
	}
}
