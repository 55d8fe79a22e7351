package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/roster"
)

// callCounter counts the calls of all nodes to the store by 100 ms.
type callCounter struct {
	mu     sync.Mutex
	reads  map[int64]int
	writes map[int64]int
	// nodes holds the calls of each node since reset.
	nodes map[string]int
}

func newCallCounter() *callCounter {
	return &callCounter{reads: make(map[int64]int), writes: make(map[int64]int), nodes: make(map[string]int)}
}

func (c *callCounter) add(calls map[int64]int, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls[time.Now().UnixMilli()/100]++
	c.nodes[vm]++
}

// reset starts to count the calls of each node.
func (c *callCounter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.nodes)
}

// mostOfOneNode returns the most calls that one node has made since reset.
func (c *callCounter) mostOfOneNode() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Max(slices.Collect(maps.Values(c.nodes)))
}

// peakPerSecond returns the most calls in any second since a time.
func (c *callCounter) peakPerSecond(calls map[int64]int, since time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	peak := 0
	for slot := range calls {
		sum := 0
		for i := range int64(10) {
			if slot+i >= since.UnixMilli()/100 {
				sum += calls[slot+i]
			}
		}
		peak = max(peak, sum)
	}
	return peak
}

// countedClient counts the calls of a simClient.
type countedClient struct {
	*simClient
	counter *callCounter
}

// Newest implements Topic.
func (c countedClient) Newest(ctx context.Context) ([]Record, era.Position, error) {
	c.counter.add(c.counter.reads, c.node.vm)
	return c.simClient.Newest(ctx)
}

// Read implements Topic.
func (c countedClient) Read(ctx context.Context, from era.Position, wait time.Duration) (Batch, error) {
	c.counter.add(c.counter.reads, c.node.vm)
	return c.simClient.Read(ctx, from, wait)
}

// Put implements Topic.
func (c countedClient) Put(ctx context.Context, key string, value []byte) (era.Position, error) {
	c.counter.add(c.counter.writes, c.node.vm)
	return c.simClient.Put(ctx, key, value)
}

// PutAll implements Topic.
func (c countedClient) PutAll(ctx context.Context, records []Record, end era.Position) error {
	c.counter.add(c.counter.writes, c.node.vm)
	return c.simClient.PutAll(ctx, records, end)
}

// Guards against nodes that exceed the rates of the store when it returns from a copy that
// lacks all their records, against one that reads in a loop, and against records that are
// there again too late.
func TestReturnOfStoreStaysWithinItsRates(t *testing.T) {
	for _, c := range []struct {
		zones, perZone int
		rates          StoreRates
		// bound is the time within which the records have to be there again.
		bound time.Duration
	}{
		{4, 4, StoreRates{400, 2000}, 2 * time.Second},
		{4, 19, StoreRates{1200, 6000}, 2500 * time.Millisecond},
		{6, 16, StoreRates{3200, 16000}, 3 * time.Second},
		{6, 50, StoreRates{3200, 16000}, 3 * time.Second},
	} {
		t.Run(strconv.Itoa(c.zones*c.perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := &simFleet{ctx: ctx, rng: rand.New(rand.NewPCG(1, 1)), violations: make(map[string]bool), known: make(map[uint64]time.Time), logger: zap.NewNop(),
					store: &simStore{era: 1, changed: make(chan struct{}), acked: make(map[uint64]time.Time), back: time.Now()},
					rates: c.rates, counter: newCallCounter()}
				f.store.change(true)
				for i := range c.zones * c.perZone {
					f.nodes = append(f.nodes, &simNode{fleet: f, vm: "vm-" + strconv.Itoa(i), zone: "zone-" + strconv.Itoa(i%c.zones), service: "s"})
				}
				for _, n := range f.nodes {
					f.start(n)
					f.group.Go(func() { f.runTarget(n) })
				}
				time.Sleep(10 * time.Second)
				outage := 500 * time.Millisecond
				f.group.Go(func() { f.store.returnFrom(ctx, time.Now().Add(-time.Minute), outage, 100*time.Millisecond) })
				time.Sleep(outage)
				back := time.Now()
				f.counter.reset()
				last := f.timeUntilComplete(back)
				time.Sleep(time.Second)
				reads, writes := f.counter.peakPerSecond(f.counter.reads, back), f.counter.peakPerSecond(f.counter.writes, back)
				t.Logf("%d nodes: at most %d reads and %d writes a second, the last record after %s", len(f.nodes), reads, writes, last)
				require.LessOrEqual(t, float64(reads), c.rates.ReadsPerSecond)
				require.LessOrEqual(t, float64(writes), c.rates.WritesPerSecond)
				require.LessOrEqual(t, last, c.bound)
				// A node pauses between its reads of each of the two topics.
				require.LessOrEqual(t, f.counter.mostOfOneNode(), 2*int(time.Since(back)/minRetryWait))
				cancel()
				f.group.Wait()
			})
		})
	}
}

// timeUntilComplete waits until the store has the records of all nodes and all have the
// newest version, and returns how long after the return that was.
func (f *simFleet) timeUntilComplete(back time.Time) time.Duration {
	for time.Since(back) < 10*time.Second && !f.isComplete() {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(back)
}

func (f *simFleet) isComplete() bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	stored := f.store.members.newest()
	for _, n := range f.nodes {
		m, err := roster.Decode(n.vm, stored[n.vm].Value)
		if err != nil || m.GetTargetId() == "" || n.task.config.version() != f.store.version || f.store.down {
			return false
		}
	}
	return true
}
