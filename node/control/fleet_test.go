package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
)

// Guards against a network partition after which some nodes lack records, against
// evictions during the partition, and against a change that does not reach all of
// several hundred nodes.
func TestPartitionOfLargeFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 300
		f := newFleet(t, 6)
		defer f.stopAll()
		for i := range size {
			f.start(i)
		}
		time.Sleep(20 * time.Second)
		f.requireAgreement(size)

		// Zones 0 to 2 are cut off from zones 3 to 5, but all nodes reach the log.
		zone := map[string]int{}
		for i := range size {
			zone[fakeMember(i, 6, 1).GetNodeAddress()] = i % 6
		}
		f.net.mu.Lock()
		f.net.isCut = func(from, to string) bool { return (zone[from] < 3) != (zone[to] < 3) }
		f.net.mu.Unlock()
		time.Sleep(3 * time.Minute)
		result, err := f.nodes()[0].control.Submit(t.Context(), entryChange(1, "stock", "ops", 0, 1))
		require.NoError(t, err)
		require.True(t, result.GetAccepted())
		t.Logf("during the partition a change is in effect at 99 %% of the nodes after %s, at all after %s", f.spread(1)...)
		f.requireAgreement(size)

		f.net.mu.Lock()
		f.net.isCut = nil
		f.net.mu.Unlock()
		time.Sleep(time.Minute)
		f.requireAgreement(size)
		require.Empty(t, f.evicted)
	})
}

// Guards against nodes that lose the state during an outage of the log, or need
// more than 12 seconds afterwards to be up to date.
func TestHourLongLogOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 40
		f := newFleet(t, 4)
		defer f.stopAll()
		for i := range size {
			f.start(i)
		}
		time.Sleep(15 * time.Second)
		_, err := f.nodes()[0].control.Submit(t.Context(), entryChange(1, "stock", "ops", 0, 1))
		require.NoError(t, err)
		f.log.update(func() { f.log.down = true })
		time.Sleep(30 * time.Minute)
		f.stop(3)
		returned := f.start(3, "10.0.0.1:7000", "10.0.0.2:7000")
		time.Sleep(30 * time.Minute)
		require.Equal(t, 1, returned.Snapshot().Catalogue.Len())
		f.log.update(func() { f.log.down = false })
		start := time.Now()
		_, err = f.nodes()[1].control.Submit(t.Context(), entryChange(2, "stock", "ops", 1, 2))
		require.NoError(t, err)
		for _, node := range f.nodes() {
			for node.control.Snapshot().CataloguePosition < 2 || node.control.Snapshot().Members.Len() < size {
				<-node.control.Changes()
			}
		}
		t.Logf("%d nodes are up to date %s after the end of the outage", size, time.Since(start))
		require.Less(t, time.Since(start), 12*time.Second)
		require.Empty(t, f.evicted)
	})
}

// Restarts the entire fleet during an outage of the log. Guards against nodes that
// report a catalogue as known that no node can have, and against a fleet that does
// not recover without intervention once the log is available again.
func TestWholeFleetRestartsWhileLogIsDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 200
		f := newFleet(t, 4)
		defer f.stopAll()
		seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
		for i := range size {
			f.start(i)
		}
		time.Sleep(15 * time.Second)
		_, err := f.nodes()[0].control.Submit(t.Context(), entryChange(1, "stock", "ops", 0, 1))
		require.NoError(t, err)
		f.log.update(func() { f.log.down = true })
		for i := range size {
			f.stop(i)
		}
		time.Sleep(time.Second) // Messages of the old processes must not reach the new ones.
		for i := range size {
			f.start(i, seeds...)
		}
		time.Sleep(2 * time.Minute)
		for _, node := range f.nodes() {
			require.False(t, node.control.Snapshot().CatalogueKnown)
		}
		before := 0
		f.log.update(func() { f.log.down = false; f.log.maxAppendRate = 100; f.log.peakAppends = 0; before = f.log.appends })
		start := time.Now()
		for _, node := range f.nodes() {
			for !node.control.Snapshot().CatalogueKnown || node.control.Snapshot().Catalogue.Len() == 0 {
				<-node.control.Changes()
			}
		}
		t.Logf("%d nodes have the catalogue %s after the end of the outage", size, time.Since(start))
		require.Less(t, time.Since(start), 12*time.Second)
		time.Sleep(time.Minute)
		f.requireAgreement(size)
		f.log.update(func() {
			t.Logf("the recovery took %d appends, at most %d in a second", f.log.appends-before, f.log.peakAppends)
			require.Less(t, f.log.appends-before, size/2)
		})
	})
}

// Guards against a paused node that keeps using its evicted incarnation, and
// against further evictions caused by that eviction.
func TestFalseEvictionCausesNoOthers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 30
		f := newFleet(t, 3)
		defer f.stopAll()
		for i := range size {
			f.start(i)
		}
		time.Sleep(15 * time.Second)
		paused := fakeMember(4, 3, 1)
		f.net.setPaused(paused.GetNodeAddress(), true)
		time.Sleep(2 * time.Minute)
		f.net.setPaused(paused.GetNodeAddress(), false)
		old := <-f.evicted

		node := f.net.nodes[paused.GetNodeAddress()]
		require.Equal(t, node.incarnation, old)
		require.ErrorIs(t, node.control.Register(t.Context(), fakeMember(4, 3, old)), ErrEvicted)
		f.net.mu.Lock()
		node.incarnation = old + 2
		f.net.mu.Unlock()
		require.NoError(t, node.control.Register(t.Context(), fakeMember(4, 3, old+2)))
		time.Sleep(5 * time.Minute)
		f.requireAgreement(size)
		require.Empty(t, f.evicted)
		require.Equal(t, 1, f.evictions())
	})
}

// evictions returns the number of incarnations with an eviction record in the log.
func (f *fleet) evictions() int {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	seen := map[uint64]bool{}
	for _, record := range decodeBatches(f.t, f.log.stream(streamlog.MembersStream).history) {
		if e := record.GetEvict(); e != nil {
			seen[e.GetIncarnation()] = true
		}
	}
	return len(seen)
}

// Guards against a leave that is lost, against a successor that is not found, and
// against a leave that is reported as done while the log is down.
func TestLeaveRecordsSuccessor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stopAll()
		for i := range 10 {
			f.start(i)
		}
		time.Sleep(15 * time.Second)
		draining := f.net.nodes[fakeMember(3, 2, 1).GetNodeAddress()]
		successor := f.net.nodes[fakeMember(5, 2, 1).GetNodeAddress()].incarnation
		require.NoError(t, draining.control.Leave(t.Context(), successor))
		f.stop(3)
		time.Sleep(5 * time.Second)
		f.requireAgreement(9)
		holder, ok := f.nodes()[0].control.Snapshot().Members.KeyHolder(draining.incarnation)
		require.True(t, ok)
		require.Equal(t, successor, holder.Incarnation)

		f.log.update(func() { f.log.down = true })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		err := f.nodes()[0].control.Leave(ctx, 0)
		require.ErrorIs(t, err, ErrLeaveUnconfirmed)
	})
}

// Guards against a stream whose last checkpoint the log has dropped, so that a
// node without peers could not start.
func TestCheckpointsKeepUpWithRetention(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.log.maxRetained = 30
		defer f.stopAll()
		for i := range 12 {
			f.start(i)
		}
		time.Sleep(10 * time.Second)
		for i := range uint64(300) {
			revision := f.nodes()[0].control.Snapshot().Catalogue.Revision("stock")
			_, err := f.nodes()[0].control.Submit(t.Context(), entryChange(i, "stock", "ops", revision, uint32(i)))
			require.NoError(t, err)
			time.Sleep(2 * time.Second)
		}
		f.net.mu.Lock()
		f.net.isCut = func(_, _ string) bool { return true }
		f.net.mu.Unlock()
		isolated := f.start(20)
		time.Sleep(10 * time.Second)
		require.True(t, isolated.Snapshot().CatalogueKnown)
		require.True(t, isolated.Snapshot().MembersKnown)
		stock, _ := isolated.Snapshot().Catalogue.Service("stock")
		require.Equal(t, 299, stock.Limits.SlotsPerTarget)
	})
}

// Guards against the restart of a zone that needs more than 100 appends per
// second. The 1,600 restarted nodes are simulated by clients that register as a
// node does. They use the readers of other zones, because those of their own zone
// are not running yet.
func TestZoneRestartNeedsAtMost100AppendsPerSecond(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const restarted = 1600
		f := newFleet(t, 6)
		defer f.stopAll()
		var readers []*Control
		for i := range 60 {
			readers = append(readers, f.start(i))
		}
		time.Sleep(15 * time.Second)
		f.log.update(func() { f.log.maxAppendRate = 100; f.log.peakAppends = 0; f.log.appends = 0 })
		start := time.Now()
		var wait sync.WaitGroup
		for i := range restarted {
			wait.Go(func() { registerThroughReader(t, readers[i%18], i) })
		}
		wait.Wait()
		elapsed := time.Since(start)
		f.log.update(func() {
			t.Logf("%d nodes have registered after %s with %d appends, at most %d in a second", restarted, elapsed, f.log.appends, f.log.peakAppends)
			require.LessOrEqual(t, f.log.peakAppends, 100)
		})
		require.Less(t, elapsed, 30*time.Second)
		time.Sleep(5 * time.Second)
		f.requireAgreement(60 + restarted)
		require.Empty(t, f.evicted)
	})
}

// Guards against evictions after the outage of an entire zone, and against restarted
// nodes that cannot register because the readers of their zone are not running yet
// either.
func TestZoneRecoversAfterOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size, zones = 120, 6
		f := newFleet(t, zones)
		defer f.stopAll()
		for i := range size {
			f.start(i)
		}
		time.Sleep(20 * time.Second)
		for i := 0; i < size; i += zones {
			f.stop(i)
		}
		time.Sleep(10 * time.Minute)
		require.Zero(t, f.evictions())
		before := 0
		f.log.update(func() { f.log.maxAppendRate = 100; f.log.peakAppends = 0; before = f.log.appends })
		for i := 0; i < size; i += zones {
			f.start(i)
		}
		time.Sleep(15 * time.Second)
		f.requireAgreement(size)
		f.log.update(func() {
			t.Logf("%d nodes registered again with %d appends, at most %d in a second", size/zones, f.log.appends-before, f.log.peakAppends)
		})
		time.Sleep(5 * time.Minute)
		f.requireAgreement(size)
		require.Zero(t, f.evictions())
		require.Empty(t, f.evicted)
	})
}

// registerThroughReader sends a join to a reader until its member table shows it.
func registerThroughReader(t *testing.T, reader *Control, i int) {
	member := fakeMember(100+i, 1, uint64(1_000_000+i))
	member.AvailabilityZone = "zone-returned"
	member.NodeAddress = fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250+1)
	request := &pb.ExchangeRequest{Registrations: []*pb.MembersRecord{
		{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: member}}},
	}}
	for {
		if _, ok := reader.Snapshot().Members.Member(member.GetIncarnation()); ok {
			return
		}
		_, err := reader.HandleExchange(t.Context(), request)
		if err != nil {
			return
		}
		time.Sleep(DefaultRegister)
	}
}
