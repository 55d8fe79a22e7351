package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const testIncarnation = 100

// recalled returns what a members task passes on after it has read a record of
// its own VM from the store.
func restored(t *testing.T, previous *pb.RelayMember) (targetstate.Announcement, bool) {
	t.Helper()
	self := &pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: testIncarnation}
	router := route.New(route.Config{Start: time.Now()})
	task := newMembersTask(self, nil, router, nil, newConfiguration(nil, time.Now(), zap.NewNop()), testRules, zap.NewNop())
	var got targetstate.Announcement
	called := false
	task.restore = func(published targetstate.Announcement, _ bool) { got, called = published, true }
	task.merge([]*pb.RelayMember{previous})
	task.loaded = true
	task.restorePrevious()
	require.Equal(t, "vm", task.roster.Get("vm").GetVm())
	require.Greater(t, task.self.GetIncarnation(), previous.GetIncarnation())
	return got, called
}

// Guards against a leaving that is forgotten when the clock went back before the
// restart, so that the record of the earlier life seems to be the later one.
func TestEarlierLifeIsRecalledWhateverTheClockSays(t *testing.T) {
	for _, incarnation := range []uint64{testIncarnation - 1, testIncarnation, testIncarnation + 50} {
		previous := &pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: incarnation, Revision: 3, TargetId: "t", TargetLeaving: true, TargetSequence: 7}
		got, called := restored(t, previous)
		require.True(t, called)
		require.Equal(t, "t", got.TargetID)
		require.Equal(t, targetstate.Draining, got.Phase)
		require.Equal(t, uint64(7), got.Sequence)
	}
}

// Guards against targets that nobody uses because their nodes started at the same
// moment as others.
func TestNodesThatStartAtTheSameMomentAreAllUsed(t *testing.T) {
	self := &pb.RelayMember{Vm: "self", Address: "self:1", Incarnation: testIncarnation}
	router := route.New(route.Config{Start: time.Now(), Policy: route.NearestRoom})
	task := newMembersTask(self, nil, router, nil, newConfiguration(nil, time.Now(), zap.NewNop()), testRules, zap.NewNop())
	for _, vm := range []string{"a", "b", "c"} {
		task.merge([]*pb.RelayMember{{Vm: vm, Address: vm + ":1", Service: "prices", TargetId: "target-" + vm, Slots: 10, Incarnation: testIncarnation, Revision: 1}})
	}
	used := map[string]bool{}
	router.Each("prices", func(e *route.Endpoint) { used[e.Target().VM] = true })
	require.Equal(t, map[string]bool{"a": true, "b": true, "c": true}, used)
}
