package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/roster"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

// noteOwnRecord records that the store has the announcement of this node, so that it need
// not be written again after the store has returned from a copy.
func (t *membersTask) noteOwnRecord(members []*pb.RelayMember, e era.Era) {
	if e != t.config.storeEra.Get() {
		return
	}
	for _, m := range members {
		if t.isSelf(m) && m.GetIncarnation() == t.self.GetIncarnation() {
			t.published = max(t.published, m.GetRevision())
		}
	}
}

// publish starts to write this node's announcement if the store does not have it.
func (t *membersTask) publish(ctx context.Context) {
	if t.writing || !t.loaded || t.published >= t.self.GetRevision() || t.awaitsTarget() || t.awaitsRewrite(time.Now()) {
		return
	}
	t.writing = true
	go t.write(ctx)
}

// awaitsTarget reports whether the first announcement of this node should wait for
// the first announcement of its target, which saves a write. The stop announcement
// of an earlier incarnation is replaced without waiting.
func (t *membersTask) awaitsTarget() bool {
	return t.published == 0 && t.self.GetTargetId() == "" && !t.self.GetStopped() && !t.previous.GetStopped() &&
		time.Since(t.started) < targetWait
}

// write writes the newest announcement to the store and reports the result to the
// task.
func (t *membersTask) write(ctx context.Context) {
	sleep(ctx, publishDelay)
	pending := make(chan *pb.RelayMember, 1)
	t.events <- func() { pending <- t.self }
	self := <-pending
	position, err := t.put(ctx, self)
	t.observeStoreEra(position.Era)
	if err != nil {
		t.logger.Warn("The announcement of this node is not on the store yet.", telemetry.ErrorField(err))
		sleep(ctx, maxRetryWait)
	}
	t.events <- func() {
		t.writing = false
		if err == nil {
			t.logger.Info("The announcement of this node is on the store.", zap.Uint64("incarnation", self.GetIncarnation()),
				zap.Uint64("revision", self.GetRevision()), zap.String("target", self.GetTargetId()), zap.Bool("draining", self.GetDraining()),
				zap.Uint64("store_era", uint64(position.Era)), t.sinceReturnField(self.GetRevision()))
			t.notePublished(self.GetRevision(), position.Era)
			if t.knowsPrevious() {
				t.finishRestore()
			}
		}
	}
}

func (t *membersTask) put(ctx context.Context, self *pb.RelayMember) (era.Position, error) {
	tagged := proto.CloneOf(self)
	tagged.StoreEra = t.config.storeEra.Get().Number()
	record, err := roster.Encode(tagged)
	if err != nil {
		return era.Position{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return t.topic.Put(ctx, self.GetVm(), record)
}

// announceStop publishes that this node has stopped. It returns when the store has
// the announcement, or after wait.
func (t *membersTask) announceStop(wait time.Duration) {
	deadline := time.Now().Add(wait)
	revision := make(chan uint64, 1)
	t.events <- func() {
		t.self = proto.CloneOf(t.self)
		t.self.Draining = true
		t.self.Stopped = true
		t.self.Revision++
		t.merge([]*pb.RelayMember{t.self})
		revision <- t.self.GetRevision()
	}
	wanted := <-revision
	for time.Now().Before(deadline) {
		done := make(chan bool, 1)
		t.events <- func() { done <- t.published >= wanted }
		if <-done {
			return
		}
		time.Sleep(stopPollInterval)
	}
	t.logger.Warn("The store does not have the last announcement of this node.")
}
