package control

import (
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// fleet runs the control tasks of a test on a fake log and network.
type fleet struct {
	t     testing.TB
	log   *fakeLog
	net   *fakeNet
	rng   *rand.Rand
	zones int
	// started is the number of nodes started so far; it seeds the next one.
	started uint64
	// evicted receives the incarnations for which OnEvicted was called.
	evicted chan uint64
}

func newFleet(t testing.TB, zones int) *fleet {
	return &fleet{t: t, log: newFakeLog(1), net: newFakeNet(), rng: rand.New(rand.NewPCG(2, 2)), zones: zones, evicted: make(chan uint64, 1024)}
}

// start starts and registers node i with a new incarnation.
func (f *fleet) start(i int, seeds ...string) *Control {
	f.started++
	member := fakeMember(i, f.zones, f.rng.Uint64()|1)
	control, err := New(Config{
		Self: member, Log: nodeLog{f.log, f.net, member.GetNodeAddress()}, Peers: fakePeers{f.net, member.GetNodeAddress()}, Seeds: seeds, Seed: f.started,
		OnEvicted: func(id uint64) { f.evicted <- id },
	})
	require.NoError(f.t, err)
	ctx, stop := context.WithCancel(f.t.Context())
	f.net.mu.Lock()
	f.net.nodes[member.GetNodeAddress()] = &fakeNode{control: control, incarnation: member.GetIncarnation(), stop: stop}
	f.net.mu.Unlock()
	go func() { _ = control.Run(ctx) }()
	require.NoError(f.t, control.Register(ctx, member))
	return control
}

// nodes returns the running nodes.
func (f *fleet) nodes() []*fakeNode {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	return slices.Collect(maps.Values(f.net.nodes))
}

// requireAgreement fails the test unless all nodes have the same positions and
// catalogue and the given number of members.
func (f *fleet) requireAgreement(members int) {
	f.t.Helper()
	first := f.nodes()[0].control.Snapshot()
	for _, node := range f.nodes() {
		view := node.control.Snapshot()
		require.True(f.t, view.CatalogueKnown && view.MembersKnown)
		require.Equal(f.t, members, view.Members.Len())
		require.Equal(f.t, first.CataloguePosition, view.CataloguePosition)
		require.Equal(f.t, first.MembersPosition, view.MembersPosition)
		require.Equal(f.t, first.Catalogue.Services(), view.Catalogue.Services())
	}
}

// spread waits until all nodes have applied the catalogue stream up to a
// position. It returns the times after which 99 % and all of the nodes had.
func (f *fleet) spread(position uint64) []any {
	start := time.Now()
	nodes := f.nodes()
	times := make([]time.Duration, len(nodes))
	var wait sync.WaitGroup
	for i, node := range nodes {
		wait.Go(func() {
			node.control.waitForPosition(position)
			times[i] = time.Since(start)
		})
	}
	wait.Wait()
	slices.Sort(times)
	return []any{times[len(times)*99/100], times[len(times)-1]}
}

// waitForPosition waits until the node has applied the catalogue stream up to a
// position.
func (c *Control) waitForPosition(position uint64) {
	for {
		changed := c.Changes()
		if c.Snapshot().CataloguePosition >= position {
			return
		}
		<-changed
	}
}

// stop stops node i without a leave and returns its incarnation.
func (f *fleet) stop(i int) uint64 {
	address := fakeMember(i, f.zones, 1).GetNodeAddress()
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	node := f.net.nodes[address]
	delete(f.net.nodes, address)
	node.stop()
	return node.incarnation
}

func (f *fleet) stopAll() {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for _, node := range f.net.nodes {
		node.stop()
	}
}

func changeID(n uint64) []byte {
	id := make([]byte, 16)
	binary.LittleEndian.PutUint64(id, n)
	return id
}

func entryChange(id uint64, service, owner string, base uint64, slots uint32) *pb.Change {
	return &pb.Change{
		Id: changeID(id), Operator: owner, Service: service, BaseRevision: base,
		Entry: &pb.Entry{
			Service: service, Owner: owner, Limits: &pb.Limits{SlotsPerTarget: slots},
			Operations: []*pb.Operation{{Name: "read", Idempotent: true}},
		},
	}
}

// Guards against a change that does not reach every node within 3 seconds.
func TestChangeReachesAllNodes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.log.delay = 20 * time.Millisecond
		defer f.stopAll()
		var controls []*Control
		for i := range 30 {
			controls = append(controls, f.start(i))
		}
		time.Sleep(15 * time.Second)
		for _, c := range controls {
			require.Equal(t, 30, c.Snapshot().Members.Len())
			require.True(t, c.Snapshot().CatalogueKnown)
		}
		start := time.Now()
		result, err := controls[7].Submit(t.Context(), entryChange(1, "stock", "ops", 0, 10))
		require.NoError(t, err)
		require.True(t, result.GetAccepted(), result.GetDetail())
		for _, c := range controls {
			for c.Snapshot().Catalogue.Len() == 0 {
				<-c.Changes()
			}
		}
		require.Less(t, time.Since(start), 3*time.Second)
		t.Logf("in effect at 30 nodes after %s", time.Since(start))
	})
}

// Guards against a node that, while the log is down, cannot start from its seeds,
// or reports a catalogue as known that it does not have.
func TestStartsFromSeedsWhileLogIsDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stopAll()
		first := f.start(0)
		f.start(1)
		time.Sleep(5 * time.Second)
		_, err := first.Submit(t.Context(), entryChange(1, "stock", "ops", 0, 10))
		require.NoError(t, err)
		f.log.update(func() { f.log.down = true })

		isolated := f.start(2)
		seeded := f.start(3, "10.0.0.1:7000")
		time.Sleep(5 * time.Second)
		require.False(t, isolated.Snapshot().CatalogueKnown)
		require.True(t, isolated.Snapshot().LogDown)
		require.True(t, seeded.Snapshot().CatalogueKnown)
		require.Equal(t, 1, seeded.Snapshot().Catalogue.Len())
		_, err = seeded.Submit(t.Context(), entryChange(2, "stock", "ops", 1, 20))
		require.ErrorIs(t, err, ErrLogDown)

		f.log.update(func() { f.log.down = false })
		time.Sleep(10 * time.Second)
		require.True(t, isolated.Snapshot().CatalogueKnown)
		require.Equal(t, 4, isolated.Snapshot().Members.Len())
	})
}

// Guards against a dead node that remains in the member table, and against the
// eviction of other nodes along with it.
func TestDeadNodeIsEvictedOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stopAll()
		for i := range 12 {
			f.start(i)
		}
		time.Sleep(10 * time.Second)
		dead := f.stop(4)
		time.Sleep(2 * time.Minute)
		for _, node := range f.net.nodes {
			_, present := node.control.Snapshot().Members.Member(dead)
			require.False(t, present)
			require.Equal(t, 11, node.control.Snapshot().Members.Len())
		}
		require.Empty(t, f.evicted)
	})
}

// Guards against a changed number of slots that the member table ignores because
// the clock of the VM was set back.
func TestSlotsChangeAfterClockSetBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stopAll()
		c := f.start(0)
		f.start(1)
		time.Sleep(10 * time.Second)
		member := fakeMember(0, 1, f.net.nodes[fakeMember(0, 1, 1).GetNodeAddress()].incarnation)
		member.JoinedUnixNanos = -5
		member.Slots = 7
		require.NoError(t, c.Register(t.Context(), member))
		time.Sleep(10 * time.Second)
		for _, node := range f.nodes() {
			m, _ := node.control.Snapshot().Members.Member(member.GetIncarnation())
			require.Equal(t, uint32(7), m.Slots)
		}
	})
}
