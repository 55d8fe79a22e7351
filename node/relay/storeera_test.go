package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// eraTopic is a topic whose store returns from a copy without ending the reads that
// wait: they get their response in the next era.
type eraTopic struct {
	Topic
	current  atomic.Uint64
	complete atomic.Int64
}

// Newest implements Topic.
func (e *eraTopic) Newest(context.Context) ([]Record, era.Position, error) {
	e.complete.Add(1)
	version := document(e.current.Load())
	return []Record{{Key: "config", Value: version}}, era.Position{Era: era.Era(e.current.Load()), Offset: 5}, nil
}

// Read implements Topic. There are never records after the position.
func (e *eraTopic) Read(ctx context.Context, from era.Position, wait time.Duration) (Batch, error) {
	sleep(ctx, wait)
	return Batch{Next: era.Position{Era: era.Era(e.current.Load()), Offset: from.Offset}, Complete: true}, ctx.Err()
}

// runConfigFollower runs the configuration follower of a node until the test ends.
func runConfigFollower(t *testing.T, topic Topic) *membersTask {
	task := newMembersTask(&pb.RelayMember{Vm: "vm", Address: "vm:1"}, idleTopic{}, route.New(route.Config{Start: time.Now()}), nil,
		newConfiguration(decodeDocument, time.Now(), zap.NewNop()), testRules, zap.NewNop())
	task.config.release()
	config, _ := task.followers(topic)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		config.run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return task
}

// Guards against a read that began before a return of the store from a copy and whose
// response, of the next era, is taken for a continuation.
func TestReadThatEndsInNextEraIsNotContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &eraTopic{}
		topic.current.Store(1)
		task := runConfigFollower(t, topic)
		time.Sleep(time.Second)
		require.Equal(t, uint64(1), task.config.version())
		topic.current.Store(2)
		time.Sleep(configBound*5/4 + minRetryWait)
		require.Equal(t, uint64(2), task.config.version())
		require.Equal(t, int64(2), topic.complete.Load(), "the topic is read completely once in each era")
	})
}

// Guards against a node that waits for the end of its read although another node has
// reported the next era.
func TestReportedEraInterruptsWaitingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &eraTopic{}
		topic.current.Store(1)
		task := runConfigFollower(t, topic)
		time.Sleep(time.Second)
		topic.current.Store(2)
		task.observeStoreEra(2)
		synctest.Wait()
		require.Equal(t, uint64(2), task.config.version())
		require.Equal(t, int64(2), topic.complete.Load())
	})
}

// Guards against a store whose era goes back, or that does not tell its era any more, and
// whose topics are read completely again and again.
func TestEarlierOrUnknownEraCausesNoRepeatedReads(t *testing.T) {
	for _, next := range []uint64{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			topic := &eraTopic{}
			topic.current.Store(3)
			runConfigFollower(t, topic)
			time.Sleep(time.Second)
			topic.current.Store(next)
			time.Sleep(time.Minute)
			require.LessOrEqual(t, topic.complete.Load(), int64(2))
		})
	}
}
