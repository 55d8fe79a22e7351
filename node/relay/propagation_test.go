package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/roster"
	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// configBound is the time within which an acknowledged version must be in force
	// at every node that the store serves.
	configBound = 2 * time.Second
	// minServed is how long the store must have served a node before the bound
	// applies.
	minServed = 3 * time.Second
	// storeLatency and peerLatency are the response times of the store and of
	// peers.
	storeLatency = 4 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
	// replayPort is the suffix of the addresses of nodes.
	replayPort = ":1"
	// replayLength is the virtual duration of one replay.
	replayLength = 40 * time.Second
)

// testRules are the freshness rules of the nodes in tests.
var testRules = freshness.Rules{PropagationBound: configBound}

// storeMode is how the store treats one node.
type storeMode uint8

const (
	serving storeMode = iota
	// silent means that the store accepts calls and does not respond. Reads that
	// were already waiting receive no response either.
	silent
	// refusing means that the store refuses every call immediately.
	refusing
	// unreachable means that neither the store nor other nodes reach the node.
	unreachable
	// silentToAll means that neither the store nor other nodes get a response from the
	// node or give one to it, and nobody gets an error.
	silentToAll
)

// replayStore simulates a store that many nodes follow in virtual time.
type replayStore struct {
	mu      sync.Mutex
	version uint64
	acked   []time.Time
	changed chan struct{}
	nodes   map[string]*storeClient
}

// storeClient is one node's connection to the store.
type storeClient struct {
	Topic
	store *replayStore
	mode  storeMode
	// since is when the current mode started.
	since time.Time
	calls int
	// versionsRead is the number of versions that the node read from the store
	// directly.
	versionsRead int
}

func document(version uint64) []byte { return strconv.AppendUint(nil, version, 10) }

func decodeDocument(document []byte) (*ingress.Table, error) {
	version, err := strconv.ParseUint(string(document), 10, 64)
	return ingress.NewTable(version, nil, nil, ingress.Limits{}), err
}

// change acknowledges the next version.
func (s *replayStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.acked = append(s.acked, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// ackedBefore returns the newest version that was acknowledged before a time.
func (s *replayStore) ackedBefore(at time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := uint64(0)
	for n < uint64(len(s.acked)) && s.acked[n].Before(at) {
		n++
	}
	return n
}

func (s *replayStore) set(vm string, mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if node := s.nodes[vm]; node.mode != mode {
		node.mode, node.since = mode, time.Now()
	}
}

// servedLongEnough reports whether the store has served the node for longer than
// minServed.
func (s *replayStore) servedLongEnough(vm string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.nodes[vm]
	return node.mode == serving && now.Sub(node.since) > minServed
}

func (c *storeClient) state() (storeMode, uint64, chan struct{}) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.mode, c.store.version, c.store.changed
}

// count counts a call to the store.
func (c *storeClient) count() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.calls++
}

// countVersion counts a version that the node reads from the store.
func (c *storeClient) countVersion() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.versionsRead++
}

// Newest implements Topic.
func (c *storeClient) Newest(ctx context.Context) ([]Record, era.Position, error) {
	batch, err := c.Read(ctx, era.Position{}, 0)
	return batch.Records, batch.Next, err
}

// Read implements Topic. The offset after the record of a version equals the
// version.
func (c *storeClient) Read(ctx context.Context, from era.Position, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	c.count()
	sleep(ctx, storeLatency)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		mode, version, changed := c.state()
		switch {
		case mode == refusing || mode == unreachable:
			return Batch{}, ErrUnavailable
		case mode == silent || mode == silentToAll:
			<-ctx.Done()
			return Batch{}, ErrUnavailable
		case version > from.Offset:
			c.countVersion()
			return Batch{Records: []Record{{Key: "config", Value: document(version)}}, Next: era.Position{Offset: version}, Complete: true}, nil
		}
		select {
		case <-changed:
		case <-end.C:
			if mode, _, _ := c.state(); mode == serving {
				return Batch{Next: from, Complete: true}, nil
			}
		case <-ctx.Done():
			return Batch{}, ErrUnavailable
		}
	}
}

// idleTopic is a members topic in which nothing changes.
type idleTopic struct{ Topic }

func (idleTopic) Newest(context.Context) ([]Record, era.Position, error) {
	return nil, era.Position{}, nil
}

func (idleTopic) PutAll(context.Context, []Record, era.Position) error { return ErrUnavailable }

func (idleTopic) Read(ctx context.Context, _ era.Position, wait time.Duration) (Batch, error) {
	sleep(ctx, wait)
	return Batch{Complete: true}, ctx.Err()
}

// replayFleet runs the tasks of several nodes that keep the configuration and the
// members current.
type replayFleet struct {
	// ctx ends with the replay.
	ctx   context.Context
	store *replayStore
	tasks map[string]*membersTask
	names []string
}

// startFleet starts the nodes of several zones. The roster of each node contains
// all others.
func startFleet(ctx context.Context, group *sync.WaitGroup, zones, perZone int) *replayFleet {
	f := &replayFleet{ctx: ctx, tasks: make(map[string]*membersTask),
		store: &replayStore{changed: make(chan struct{}), nodes: make(map[string]*storeClient)}}
	var members []*pb.RelayMember
	for i := range zones * perZone {
		vm := "vm-" + strconv.Itoa(i)
		members = append(members, &pb.RelayMember{Vm: vm, Address: vm + replayPort, Zone: "zone-" + strconv.Itoa(i%zones), Incarnation: uint64(i + 1), Revision: 1})
		f.names = append(f.names, vm)
	}
	f.store.change()
	for _, m := range members {
		f.store.nodes[m.GetVm()] = &storeClient{store: f.store, since: time.Now()}
		task := newMembersTask(m, idleTopic{}, route.New(route.Config{Start: time.Now()}), f.sync, newConfiguration(decodeDocument, time.Now(), zap.NewNop()), testRules, zap.NewNop())
		task.published = m.GetRevision()
		task.merge(members)
		task.merge([]*pb.RelayMember{m})
		f.tasks[m.GetVm()] = task
	}
	for _, vm := range f.names {
		task := f.tasks[vm]
		config, memberFollower := task.followers(f.store.nodes[vm])
		for _, run := range []func(context.Context){task.run, config.run, memberFollower.run} {
			group.Go(func() {
				// Start the nodes at different times.
				sleep(ctx, rand.N(time.Second))
				run(ctx)
			})
		}
	}
	return f
}

// sync delivers a synchronization request to another node.
func (f *replayFleet) sync(ctx context.Context, address string, request *pb.SyncRequest) (*pb.SyncResponse, error) {
	sleep(ctx, peerLatency)
	for _, vm := range []string{strings.TrimSuffix(address, replayPort), request.GetSelf().GetVm()} {
		switch mode, _, _ := f.store.nodes[vm].state(); mode {
		case unreachable:
			return nil, ErrUnavailable
		case silentToAll:
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	response := &pb.SyncResponse{}
	f.tasks[strings.TrimSuffix(address, replayPort)].serveSync(f.ctx, request, response)
	return response, ctx.Err()
}

// drain processes the events that arrived after the tasks had ended, so that no
// goroutine is left waiting.
func (f *replayFleet) drain() {
	for pending := true; pending; {
		// Goroutines that wait for the response of a peer have it after this time.
		time.Sleep(syncTimeout)
		synctest.Wait()
		pending = false
		for _, task := range f.tasks {
			for len(task.events) > 0 {
				(<-task.events)()
				pending = true
			}
		}
	}
}

// readersFirst returns all nodes, the readers of their zones first. The task of a node
// determines them, because only it may access its view.
func (f *replayFleet) readersFirst() []string {
	task := f.tasks[f.names[0]]
	ordered := make(chan []string, 1)
	task.events <- func() { ordered <- f.orderByRole(task.roster) }
	return <-ordered
}

// orderByRole returns all nodes, those first that are readers in the view.
func (f *replayFleet) orderByRole(view *roster.Roster) []string {
	var readers, others []string
	for _, vm := range f.names {
		if slices.ContainsFunc(view.Readers(view.Get(vm).GetZone()), func(m *pb.RelayMember) bool { return m.GetVm() == vm }) {
			readers = append(readers, vm)
			continue
		}
		others = append(others, vm)
	}
	return append(readers, others...)
}

// late returns the nodes that the store has served long enough but that lack a
// version acknowledged longer ago than the bound.
func (f *replayFleet) late(now time.Time) []string {
	wanted := f.store.ackedBefore(now.Add(-configBound))
	var late []string
	for _, vm := range f.names {
		if f.store.servedLongEnough(vm, now) && f.tasks[vm].config.version() < wanted {
			late = append(late, vm)
		}
	}
	return late
}

func (f *replayFleet) storeCalls() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	calls := 0
	for node := range maps.Values(f.store.nodes) {
		calls += node.calls
	}
	return calls
}

// replay changes the configuration every one to three seconds. The store meanwhile
// fails a share of the nodes in the given mode, readers first, for a few seconds at
// a time. replay returns the nodes that were late, with the time at which each was
// last seen late, and the number of calls to the store.
func replay(t *testing.T, seed uint64, zones, perZone int, share float64, mode storeMode) (late map[string]time.Duration, calls int) {
	late = make(map[string]time.Duration)
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		f := startFleet(ctx, &group, zones, perZone)
		start := time.Now()
		nextChange, nextMode := start.Add(5*time.Second), start.Add(5*time.Second+time.Duration(rng.Int64N(int64(time.Second))))
		failing := false
		for now := start; now.Sub(start) < replayLength; now = time.Now() {
			if !now.Before(nextMode) {
				failing = !failing
				nextMode = now.Add(3*time.Second + time.Duration(rng.Int64N(int64(6*time.Second))))
				f.fail(failing, share, mode)
			}
			if !now.Before(nextChange) {
				f.store.change()
				nextChange = now.Add(700*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second))))
			}
			for _, vm := range f.late(now) {
				late[vm] = now.Sub(start)
			}
			time.Sleep(20 * time.Millisecond)
		}
		calls = f.storeCalls()
		cancel()
		group.Wait()
		f.drain()
	})
	return late, calls
}

// fail sets the mode for a share of the nodes, or restores normal service for all.
func (f *replayFleet) fail(failing bool, share float64, mode storeMode) {
	order := f.readersFirst()
	for i, vm := range order {
		if failing && float64(i) < share*float64(len(order)) {
			f.store.set(vm, mode)
			continue
		}
		f.store.set(vm, serving)
	}
}

// replaySeeds is the number of replays of each case.
const replaySeeds = 5

// Guards against late changes at nodes that the store would serve. They occur when
// a node depends on readers that have lost the store.
func TestChangeIsInTimeWhenReadersLoseStore(t *testing.T) {
	for _, c := range []struct {
		name           string
		zones, perZone int
		share          float64
		mode           storeMode
	}{
		{"silent to the readers of four zones of four", 4, 4, 0.5, silent},
		{"silent to most of four zones of four", 4, 4, 0.8, silent},
		{"refuses most of four zones of four", 4, 4, 0.8, refusing},
		{"silent to most of three zones of five", 3, 5, 0.7, silent},
		{"silent to most of four zones of nineteen", 4, 19, 0.6, silent},
		{"silent to the readers of two large zones", 2, 60, 0.07, silent},
		{"silent to most of two large zones", 2, 60, 0.7, silent},
		{"refuses most of two large zones", 2, 60, 0.7, refusing},
		{"silent to the readers of six zones of sixteen", 6, 16, 0.07, silent},
		{"silent to most of six zones of sixteen", 6, 16, 0.6, silent},
		{"readers of six zones of sixteen unreachable", 6, 16, 0.13, unreachable},
		{"readers of six zones of sixteen silent to all", 6, 16, 0.13, silentToAll},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(replaySeeds) {
				late, calls := replay(t, seed, c.zones, c.perZone, c.share, c.mode)
				require.Empty(t, late, "seed %d: nodes that had an old version, with the time they were last seen late", seed)
				t.Logf("seed %d: %d calls to the store", seed, calls)
			}
		})
	}
}

// Guards against large zones in which every node reads each change from the store,
// and against nodes that receive a change too late because they do not read it
// directly.
func TestReadersOfLargeZoneReadChangesForOthers(t *testing.T) {
	const zones, perZone, changes = 2, 60, 10
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		f := startFleet(ctx, &group, zones, perZone)
		time.Sleep(10 * time.Second)
		before := make(map[string]int)
		for vm, node := range f.store.nodes {
			before[vm] = node.versionsRead
		}
		for range changes {
			f.store.change()
			time.Sleep(configBound + 100*time.Millisecond)
			require.Empty(t, f.late(time.Now()))
		}
		reading := make(map[string]bool)
		for vm, node := range f.store.nodes {
			if versionsRead := node.versionsRead - before[vm]; versionsRead > 0 {
				require.Equal(t, changes, versionsRead, vm)
				reading[vm] = true
			}
		}
		// A zone of this size has four readers.
		readers := f.readersFirst()[:2*4]
		require.Len(t, reading, len(readers))
		for _, vm := range readers {
			require.True(t, reading[vm], vm)
		}
		cancel()
		group.Wait()
		f.drain()
	})
}

// Guards against a fleet of many zones whose calls to the store grow with its nodes. When
// each node read each change and renewed its reads every 1.25 bounds, 94 nodes made
// thousands of calls a day. The target is a quarter of that, without and with changes in
// quick succession.
func TestCallsOfManyZonesGrowWithTheirReaders(t *testing.T) {
	const zones, perZone = 6, 16
	const nodes = zones * perZone
	for _, c := range []struct {
		name    string
		gap     time.Duration
		changes int
	}{
		{"no changes", 0, 0},
		{"a storm", 330 * time.Millisecond, 60},
		{"now and then", 3 * time.Second, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				f := startFleet(ctx, &group, zones, perZone)
				time.Sleep(10 * time.Second)
				before, started := f.storeCalls(), time.Now()
				for range c.changes {
					f.store.change()
					time.Sleep(c.gap)
					require.Empty(t, f.late(time.Now()))
				}
				time.Sleep(time.Until(started.Add(20 * time.Second)))
				calls := f.storeCalls() - before
				earlier := nodes*c.changes + int(nodes*time.Since(started)/(configBound*5/4))
				t.Logf("%d calls, %d by reads of each node", calls, earlier)
				require.Less(t, calls, earlier/4)
				cancel()
				group.Wait()
				f.drain()
			})
		})
	}
}

// Guards against a node that confirms its configuration as the newest although it
// could not decode the newest one.
func TestInvalidConfigurationIsNotConfirmed(t *testing.T) {
	config := newConfiguration(decodeDocument, time.Now(), zap.NewNop())
	read := func(value string, asOf time.Time) {
		config.apply([]Record{{Key: "config", Value: []byte(value)}})
		config.recordResponse(asOf, asOf)
	}
	first := time.Now().Add(time.Second)
	read("1", first)
	require.Equal(t, time.Second, config.tracker.Age(first.Add(time.Second)))
	read("no version", first.Add(2*time.Second))
	require.Equal(t, 3*time.Second, config.tracker.Age(first.Add(3*time.Second)))
	require.Equal(t, uint64(1), config.version())
	read("3", first.Add(4*time.Second))
	require.Zero(t, config.tracker.Age(first.Add(4*time.Second)))
}

// Guards against nodes that mistake an idle store for an unresponsive one. Such
// nodes would follow the members as well or synchronize more often than necessary.
func TestIdleStoreChangesNoRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		f := startFleet(ctx, &group, 4, 4)
		time.Sleep(10 * time.Second)
		for range 200 {
			if rand.N(20) == 0 {
				f.store.change()
			}
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			for _, vm := range f.names {
				task := f.tasks[vm]
				require.False(t, task.storeUnresponsive(time.Now()))
				require.Equal(t, task.isReader(), task.role.active(), vm)
				require.Less(t, task.config.tracker.Age(time.Now()), 2*testRules.Wait(*task.zoneRole.Load())+testRules.PollGrace())
			}
		}
		cancel()
		group.Wait()
		f.drain()
	})
}

// emptyTopic responds to every read immediately and without records.
type emptyTopic struct{ countingTopic }

func (c *emptyTopic) Read(_ context.Context, from era.Position, _ time.Duration) (Batch, error) {
	c.reads.Add(1)
	return Batch{Next: from, Complete: true}, nil
}

// Guards against a loop that calls the store without a pause when it responds
// before the wait has ended.
func TestEarlyEmptyResponseIsFollowedByPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		topic := &emptyTopic{}
		task := newMembersTask(&pb.RelayMember{Vm: "vm", Address: "vm:1"}, idleTopic{}, route.New(route.Config{Start: time.Now()}), nil,
			newConfiguration(decodeDocument, time.Now(), zap.NewNop()), testRules, zap.NewNop())
		config, _ := task.followers(topic)
		config.run(ctx)
		// One read per minRetryWait in 10 s, and the first one.
		require.LessOrEqual(t, topic.reads.Load(), int64(101))
	})
}
