package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Guards against a drain that is acknowledged because a node holds it that the next
// incarnation does not ask: the store returned from a copy of before the drain, and the
// restarted node used the target again.
func TestOnlyHoldersProveThatDrainIsHeld(t *testing.T) {
	self := &pb.RelayMember{Vm: "vm", Address: "vm:1", Zone: "a", Incarnation: testIncarnation, Revision: 4, TargetId: "t", TargetLeaving: true}
	sync := func(context.Context, string, *pb.SyncRequest) (*pb.SyncResponse, error) {
		return &pb.SyncResponse{}, nil
	}
	task := newMembersTask(self, idleTopic{}, route.New(route.Config{Start: time.Now()}), sync, newConfiguration(nil, time.Now(), zap.NewNop()), testRules, zap.NewNop())
	task.merge([]*pb.RelayMember{
		{Vm: "holder", Address: "holder:1", Zone: "a", Incarnation: 1},
		{Vm: "other", Address: "other:1", Zone: "b", Incarnation: 1},
	})
	exchange := func(address string) {
		task.syncWith(t.Context(), address, "")
		(<-task.events)()
	}
	exchange("other:1")
	require.Zero(t, task.heldByPeer)
	exchange("holder:1")
	require.Equal(t, uint64(4), task.heldByPeer)
}
