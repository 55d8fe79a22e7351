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
	"github.com/primrosemount/primrosemount/core/targetstate"
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
	runUntilCleanup(t, config.run)
	return task
}

// runUntilCleanup runs a task in the background until the test ends.
func runUntilCleanup(t *testing.T, run func(context.Context)) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
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

// putTopic counts the writes of member records.
type putTopic struct {
	idleTopic
	era  era.Era
	puts atomic.Int64
}

// Put implements Topic.
func (p *putTopic) Put(context.Context, string, []byte) (era.Position, error) {
	p.puts.Add(1)
	return era.Position{Era: p.era}, nil
}

// newPublishedTask returns a task whose announcement is on the store in an era.
func newPublishedTask(topic Topic, e era.Era) *membersTask {
	task := newMembersTask(&pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: 7, Revision: 3}, topic, route.New(route.Config{Start: time.Now()}), nil,
		newConfiguration(decodeDocument, time.Now(), zap.NewNop()), testRules, zap.NewNop())
	task.loaded, task.published = true, 3
	task.config.storeEra.Observe(e)
	return task
}

// Guards against announcements that are believed to be on the store because an earlier
// era had acknowledged them.
func TestAcknowledgementEndsWithItsEra(t *testing.T) {
	task := newPublishedTask(nil, 1)
	task.observeReportedEra(2, "other:1")
	require.Zero(t, task.published)
	task.notePublished(3, 1)
	require.Zero(t, task.published, "a late acknowledgement of the earlier era")
	task.noteOwnRecord([]*pb.RelayMember{{Vm: "vm", Incarnation: 7, Revision: 3}}, 1)
	require.Zero(t, task.published, "a late response of the earlier era")
	task.notePublished(3, 2)
	require.Equal(t, uint64(3), task.published)
}

// Guards against writes of announcements that the copy of the store has, and against an
// announcement that has changed meanwhile and waits for them.
func TestAnnouncementInTheCopyIsNotWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &putTopic{era: 2}
		task := newPublishedTask(topic, 1)
		runUntilCleanup(t, task.run)
		task.observeStoreEra(2)
		record := &pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: 7, Revision: 3}
		task.events <- func() { task.noteOwnRecord([]*pb.RelayMember{record}, 2) }
		time.Sleep(3 * time.Second)
		require.Zero(t, topic.puts.Load())
		task.events <- task.reannounce
		time.Sleep(2 * publishDelay)
		require.Equal(t, int64(1), topic.puts.Load())
	})
}

// restoreCalls records what a starting node passed on of its earlier incarnation.
type restoreCalls struct {
	calls    int
	final    bool
	draining bool
}

// startTask returns the task of a node that has just read the members in an era, with its
// earlier record as the only one of the node, and what it passes on.
func startTask(e era.Era, record *pb.RelayMember) (*membersTask, *restoreCalls) {
	task := newMembersTask(&pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: 9}, nil, route.New(route.Config{Start: time.Now()}), nil,
		newConfiguration(decodeDocument, time.Now(), zap.NewNop()), testRules, zap.NewNop())
	got := &restoreCalls{}
	task.restore = func(_ targetstate.Announcement, final bool) { got.calls, got.final = got.calls+1, final }
	task.recordDraining = func(targetstate.Announcement) { got.draining = true }
	task.merge([]*pb.RelayMember{{Vm: "other", Address: "other:1", Incarnation: 1}, record})
	task.loaded, task.loadedEra, task.queries.started = true, e, true
	task.queries.pending = map[string]bool{"other:1": true}
	task.queries.asked = map[string]bool{"other:1": true}
	task.restorePrevious()
	return task, got
}

// earlierRecord returns a record of an earlier incarnation of the node, written in an era.
func earlierRecord(e uint64, stopped bool) *pb.RelayMember {
	return &pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: 5, Revision: 2, TargetId: "i-1", Stopped: stopped, StoreEra: era.Era(e).Number()}
}

// Guards against a node that uses its target because of a record of an earlier era, while
// the store may have lost a later one which says that the target is draining.
func TestRecordOfEarlierEraIsNotTrustedAlone(t *testing.T) {
	task, got := startTask(2, earlierRecord(1, false))
	require.Zero(t, got.calls, "other nodes have not responded yet")
	drained := earlierRecord(0, false)
	drained.Revision, drained.TargetLeaving = 3, true
	task.applySync("other:1", time.Now(), &pb.SyncResponse{Members: []*pb.RelayMember{drained}})
	task.startupQueryDone(t.Context(), "other:1", true)
	require.True(t, got.draining)
	require.Equal(t, 1, got.calls)
	require.True(t, task.previous.GetTargetLeaving())
}

// Guards against a stop of an earlier incarnation that a copy of the store has brought
// back, and because of which a target is used without a new announcement.
func TestStopOfEarlierEraIsNotFinal(t *testing.T) {
	task, got := startTask(2, earlierRecord(1, true))
	task.startupQueryDone(t.Context(), "other:1", true)
	require.Equal(t, &restoreCalls{calls: 1}, got)
}

// Guards against a node that uses its target because of an old record although a node that
// could know of a drain has not responded, and against one that never uses it then.
func TestUnansweredQueriesLeaveTheProofToTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		task, got := startTask(2, earlierRecord(1, false))
		task.startupQueryDone(t.Context(), "other:1", false)
		require.Zero(t, got.calls)
		time.Sleep(syncInterval + time.Millisecond)
		task.startupQueryDone(t.Context(), "third:1", true)
		task.restorePrevious()
		require.Equal(t, 1, got.calls, "a node that responds later")
	})
}

// Guards against waits for other nodes where the store has lost nothing.
func TestRecordOfSameEraIsTrustedAtOnce(t *testing.T) {
	for _, e := range []uint64{0, 4} {
		_, got := startTask(era.Era(e), earlierRecord(e, false))
		require.Equal(t, &restoreCalls{calls: 1}, got)
	}
}

// Guards against a node that starts while the store has lost the records of all others, and
// serves an older version than they do before they have reported themselves.
func TestNodeThatFindsNoOthersWaitsForTheirReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		task := newMembersTask(&pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: 9}, idleTopic{}, route.New(route.Config{Start: time.Now()}),
			func(context.Context, string, *pb.SyncRequest) (*pb.SyncResponse, error) {
				return &pb.SyncResponse{ConfigVersion: 2, Config: document(2), StoreEra: era.Era(2).Number()}, nil
			}, newConfiguration(decodeDocument, time.Now(), zap.NewNop()), testRules, zap.NewNop())
		runUntilCleanup(t, task.run)
		task.config.storeEra.Observe(2)
		task.config.offer(document(1), storeOrigin)
		task.storeLoaded(2)
		time.Sleep(startupTimeout / 2)
		require.Zero(t, task.config.version())
		other := &pb.RelayMember{Vm: "other", Address: "other:1", Incarnation: 1}
		task.serveSync(t.Context(), &pb.SyncRequest{SenderAddress: "other:1", Self: other, ConfigVersion: 2}, &pb.SyncResponse{})
		synctest.Wait()
		require.Equal(t, uint64(2), task.config.version())
	})
}

// Guards against a node that never serves because it is the only one.
func TestOnlyNodeServesAfterTheWaitForOthers(t *testing.T) {
	for _, c := range []struct {
		era  era.Era
		wait time.Duration
	}{{era.Unknown, 0}, {2, startupTimeout + 2*tickInterval}} {
		synctest.Test(t, func(t *testing.T) {
			task := newMembersTask(&pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: 9}, idleTopic{}, route.New(route.Config{Start: time.Now()}), nil,
				newConfiguration(decodeDocument, time.Now(), zap.NewNop()), testRules, zap.NewNop())
			runUntilCleanup(t, task.run)
			task.config.storeEra.Observe(c.era)
			task.config.offer(document(1), storeOrigin)
			task.storeLoaded(c.era)
			time.Sleep(c.wait)
			synctest.Wait()
			require.Equal(t, uint64(1), task.config.version())
		})
	}
}

// scriptTopic responds as a script says: two bytes for each response.
type scriptTopic struct {
	Topic
	script []byte
	// newest is the highest version that a complete response has told, or a response
	// from a position of the same era.
	newest uint64
}

// next returns the next response of the script: the era, the end of the topic and the
// version of its last record. It returns false at the end of the script.
func (s *scriptTopic) next() (e era.Era, end, version uint64, ok bool) {
	if len(s.script) < 2 {
		return 0, 0, 0, false
	}
	e, end, version = era.Era(s.script[0]%4), uint64(s.script[0]>>4), uint64(s.script[1]%8)+1
	s.script = s.script[2:]
	return e, end, version, true
}

// Newest implements Topic.
func (s *scriptTopic) Newest(context.Context) ([]Record, era.Position, error) {
	e, end, version, ok := s.next()
	if !ok {
		return nil, era.Position{}, ErrUnavailable
	}
	s.newest = max(s.newest, version)
	return []Record{{Key: "config", Value: document(version)}}, era.Position{Era: e, Offset: end}, nil
}

// Read implements Topic.
func (s *scriptTopic) Read(ctx context.Context, from era.Position, wait time.Duration) (Batch, error) {
	e, end, version, ok := s.next()
	switch {
	case !ok:
		sleep(ctx, wait)
		return Batch{}, ErrUnavailable
	case end < from.Offset:
		return Batch{}, ErrHistoryDropped
	case end == from.Offset:
		return Batch{Next: era.Position{Era: e, Offset: end}, Complete: true}, nil
	}
	if from.ValidIn(e) {
		s.newest = max(s.newest, version)
	}
	return Batch{Records: []Record{{Key: "config", Value: document(version)}}, Next: era.Position{Era: e, Offset: end}, Complete: true}, nil
}

// Guards against responses of mixed eras, with offsets that go back and forth, after which a
// node goes back to an older version or lacks one that it was told.
func FuzzFollowerWithMixedEras(f *testing.F) {
	f.Add([]byte{0x11, 1, 0x21, 2, 0x12, 3, 0x12, 4})
	f.Add([]byte{0x53, 5, 0x30, 2, 0x32, 7, 0x31, 6, 0x63, 1})
	const maxScript = 64
	f.Fuzz(func(t *testing.T, script []byte) {
		script = script[:min(len(script), maxScript)]
		synctest.Test(t, func(t *testing.T) {
			topic := &scriptTopic{script: script}
			task := newMembersTask(&pb.RelayMember{Vm: "vm", Address: "vm:1"}, idleTopic{}, route.New(route.Config{Start: time.Now()}), nil,
				newConfiguration(decodeDocument, time.Now(), zap.NewNop()), testRules, zap.NewNop())
			task.config.release()
			config, _ := task.followers(topic)
			runUntilCleanup(t, config.run)
			highest := uint64(0)
			for range 40 + 4*len(script) {
				time.Sleep(100 * time.Millisecond)
				for len(task.events) > 0 {
					(<-task.events)()
				}
				version := task.config.version()
				require.GreaterOrEqual(t, version, highest)
				highest = version
			}
			if len(topic.script) < 2 {
				require.Equal(t, topic.newest, highest)
			}
		})
	})
}
