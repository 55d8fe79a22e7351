package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// cappedTarget is a target that resets connections beyond a cap, and counts a connection
// until it has noticed its end.
type cappedTarget struct {
	address string
	cap     int
	work    time.Duration

	mu         sync.Mutex
	open, peak int
	opened     int
	resets     int
}

func startCappedTarget(t *testing.T, limit int, work time.Duration) *cappedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	target := &cappedTarget{address: listener.Addr().String(), cap: limit, work: work}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !target.admit() {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				continue
			}
			go target.serve(conn)
		}
	}()
	return target
}

// admit counts a connection, or reports that it is beyond the cap.
func (c *cappedTarget) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.cap {
		c.resets++
		return false
	}
	c.open++
	c.opened++
	c.peak = max(c.peak, c.open)
	return true
}

func (c *cappedTarget) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open--
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		time.Sleep(c.work)
		reply(conn, request.Header.Get("Id"), "own")
	}
}

// counts returns the open connections, the most at a time, and those reset.
func (c *cappedTarget) counts() (open, peak, opened, resets int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.peak, c.opened, c.resets
}

// sendBurst sends requests at the same time and returns the number of completed ones.
func sendBurst(c *targetClient, address string, requests int, idempotent, sameTarget bool) int {
	var group sync.WaitGroup
	results := make(chan targetResult, requests)
	for i := range requests {
		group.Go(func() {
			request := &pb.ForwardRequest{Method: []byte(http.MethodGet), Target: []byte("/"), Host: []byte("h"),
				AttemptId: fmt.Append(nil, i), Idempotent: idempotent, SameTarget: sameTarget}
			account := c.budget.Open(memory.Responses)
			defer account.Release()
			results <- c.send(context.Background(), address, "t", request, time.Now().Add(2*time.Second), account)
		})
	}
	group.Wait()
	close(results)
	completed := 0
	for result := range results {
		if result.outcome == outcome.Completed {
			completed++
		}
	}
	return completed
}

// Guards against connections that are kept idle although requests open new ones: requests
// that are not idempotent do not use a connection that was idle for longer than 250 ms,
// and a request that is sent to the same target again uses none. Beyond the cap of the
// target its connections are reset, and whether their requests ran is unknown.
func TestOpenConnectionsStayWithinSlots(t *testing.T) {
	const slots, connections, bursts = 20, 60, 8
	for _, c := range []struct {
		name       string
		sameTarget bool
		pause      time.Duration
	}{
		{"not idempotent after a pause", false, maxNonIdempotentIdle + 50*time.Millisecond},
		{"same target again", true, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := startCappedTarget(t, connections, 10*time.Millisecond)
			client := newTargetClient(testCodec{}, responseBudget(16<<20))
			client.bounds = func() connectionBounds { return connectionBoundsOf(slots, connections) }
			defer client.closeIdle()
			completed := 0
			for range bursts {
				completed += sendBurst(client, target.address, slots, false, c.sameTarget)
				time.Sleep(c.pause)
			}
			open, peak, opened, resets := target.counts()
			t.Logf("open %d, peak %d, opened %d, reset %d", open, peak, opened, resets)
			require.Zero(t, resets)
			require.Equal(t, bursts*slots, completed)
			require.Eventually(t, func() bool { open, _, _, _ := target.counts(); return open <= slots }, time.Second, time.Millisecond)
		})
	}
}

// Guards against idle connections that exceed the slots after the target has announced
// fewer.
func TestIdleConnectionsFollowSlots(t *testing.T) {
	target := startCappedTarget(t, 100, 10*time.Millisecond)
	client := newTargetClient(testCodec{}, responseBudget(16<<20))
	slots := 40
	client.bounds = func() connectionBounds { return connectionBoundsOf(slots, 0) }
	defer client.closeIdle()
	require.Equal(t, slots, sendBurst(client, target.address, slots, true, false))
	slots = 5
	require.Equal(t, slots, sendBurst(client, target.address, slots, true, false))
	require.Eventually(t, func() bool { open, _, _, _ := target.counts(); return open <= slots }, time.Second, time.Millisecond)
	_, _, opened, _ := target.counts()
	require.Equal(t, 40, opened, "the remaining connections are reused")
}

// sendForAWhile keeps a number of requests in progress whose deadline is before the
// target responds, and returns the results by outcome and reason.
func sendForAWhile(c *targetClient, address string, concurrent int, within, total time.Duration) map[string]int {
	var group sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	end := time.Now().Add(total)
	for worker := range concurrent {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				request := &pb.ForwardRequest{Method: []byte(http.MethodGet), Target: []byte("/"), Host: []byte("h"), AttemptId: fmt.Appendf(nil, "%d-%d", worker, i)}
				account := c.budget.Open(memory.Responses)
				result := c.send(context.Background(), address, "t", request, time.Now().Add(within), account)
				account.Release()
				mu.Lock()
				results[result.outcome.String()+" "+result.reason.String()]++
				mu.Unlock()
				if result.outcome == outcome.NotRun {
					time.Sleep(within)
				}
			}
		})
	}
	group.Wait()
	return results
}

// Guards against new connections in place of those of requests whose deadline has passed
// while the target still works at them: it counts those until it notices their end, and
// resets connections beyond its cap. Whether a request on such a connection has run is
// unknown, so its caller must not repeat it.
func TestAbandonedRequestsCountAsConnections(t *testing.T) {
	const slots, connections = 20, 60
	target := startCappedTarget(t, connections, 500*time.Millisecond)
	client := newTargetClient(testCodec{}, responseBudget(16<<20))
	client.bounds = func() connectionBounds { return connectionBoundsOf(slots, connections) }
	defer client.closeIdle()
	results := sendForAWhile(client, target.address, slots, 50*time.Millisecond, 2*time.Second)
	_, peak, opened, resets := target.counts()
	t.Logf("peak %d, opened %d, reset %d, results %v", peak, opened, resets, results)
	require.Zero(t, resets)
	require.Zero(t, results["unknown answer_lost"])
	require.GreaterOrEqual(t, opened, 2*slots, "the target gets new requests when it has ended abandoned ones")
}

// Guards against bounds above the cap of the target, below its slots, or that keep a
// target of few slots from work after two abandoned requests.
func TestConnectionBounds(t *testing.T) {
	for _, c := range []struct{ slots, maxConnections, keep, open int }{
		{68, 538, 68, 136},
		{68, 0, 68, 136},
		{68, 100, 68, 100},
		{68, 50, 68, 68},
		{1, 0, 1, 9},
		{1, 4, 1, 4},
	} {
		require.Equal(t, connectionBounds{keep: c.keep, open: c.open}, connectionBoundsOf(c.slots, c.maxConnections), "%+v", c)
	}
}
