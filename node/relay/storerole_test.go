package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// newZoneMember returns the members task of one node of a zone with the given
// number of members.
func newZoneMember(t *testing.T, self, members int) *membersTask {
	t.Helper()
	record := func(i int) *pb.RelayMember {
		vm := fmt.Sprintf("vm-%d", i)
		return &pb.RelayMember{Vm: vm, Zone: "a", Address: vm + ":1", Service: "s", TargetId: "t", Incarnation: uint64(i + 1), Revision: 1}
	}
	task := newMembersTask(record(self), nil, route.New(route.Config{Start: time.Now()}), nil, newConfiguration(nil, time.Now(), zap.NewNop()), testRules, zap.NewNop())
	for i := range members {
		if i != self {
			task.merge([]*pb.RelayMember{record(i)})
		}
	}
	task.merge([]*pb.RelayMember{task.self})
	return task
}

// Guards against a node that waits for a report of a reader although its zone has
// none, and against fleets in which every node reads the store.
func TestNodeFollowsStoreWhenNoReaderDoes(t *testing.T) {
	const members = 20
	now := time.Now()
	readers := 0
	for i := range members {
		task := newZoneMember(t, i, members)
		task.chooseRole(now)
		require.True(t, task.role.active(), "no reader has reported yet")
		task.applySync("reader:1", time.Now(), &pb.SyncResponse{FollowsStore: true})
		if task.role.active() {
			readers++
			continue
		}
		task.applySync("reader:1", time.Now(), &pb.SyncResponse{})
		task.chooseRole(task.readerReported.Add(readerTimeout))
		require.False(t, task.role.active())
		task.chooseRole(task.readerReported.Add(readerTimeout + time.Millisecond))
		require.True(t, task.role.active(), "the readers no longer follow the store")
	}
	require.Equal(t, 2, readers)
}

// countingTopic counts reads.
type countingTopic struct {
	Topic
	reads atomic.Int64
}

func (c *countingTopic) Newest(context.Context) ([]Record, era.Position, error) {
	return nil, era.Position{}, nil
}

func (c *countingTopic) Read(context.Context, era.Position, time.Duration) (Batch, error) {
	return Batch{Next: era.Position{Offset: uint64(c.reads.Add(1))}}, nil
}

// Guards against nodes that continue to read although others follow the store, and
// against nodes that do not resume reading.
func TestFollowerReadsOnlyInActiveRole(t *testing.T) {
	topic := &countingTopic{}
	loaded := make(chan struct{}, 1)
	f := &follower{name: "members", topic: topic, logger: zap.NewNop(), role: newStoreRole(), pause: time.Millisecond,
		apply: func([]Record, era.Position) {}, reset: func() {}, eraSeen: func(era.Era) {}, eraSpread: func() time.Duration { return 0 }, recordResponse: func(time.Time, time.Time) {}, loaded: func(era.Era) { loaded <- struct{}{} },
		wait: func() time.Duration { return time.Second }, slack: time.Second, maxRetryWait: time.Second, responded: func() {}}
	require.True(t, f.role.set(false))
	require.False(t, f.role.set(false))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f.run(ctx)
		close(ended)
	}()
	<-loaded
	time.Sleep(20 * time.Millisecond)
	require.Zero(t, topic.reads.Load())
	f.role.set(true)
	require.Eventually(t, func() bool { return topic.reads.Load() > 2 }, time.Second, time.Millisecond)
	cancel()
	<-ended
}

// Guards against synchronizations that send the complete view each time, and
// against changes that are omitted.
func TestSyncSendsOnlyMissingMembers(t *testing.T) {
	task := newZoneMember(t, 0, 10)
	sync := func(seen peerView) *pb.SyncResponse {
		response := &pb.SyncResponse{}
		task.addMissing(response, &pb.SyncRequest{MembersSeen: seen.changes, MembersSeenOf: seen.incarnation}, true)
		return response
	}
	complete := sync(peerView{})
	require.Len(t, complete.GetMembers(), 10)
	seen := peerView{incarnation: complete.GetIncarnation(), changes: complete.GetMembersCount()}
	require.Empty(t, sync(seen).GetMembers())
	task.merge([]*pb.RelayMember{{Vm: "vm-3", Zone: "a", Address: "vm-3:1", Incarnation: 4, Revision: 2}})
	require.Len(t, sync(seen).GetMembers(), 1)
	require.Len(t, sync(peerView{incarnation: seen.incarnation - 1, changes: seen.changes}).GetMembers(), 10, "another incarnation of the node")
}
