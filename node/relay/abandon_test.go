package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// maxStopTime is the time within which a target must be able to notice that the caller of
// its request has left.
const maxStopTime = 500 * time.Millisecond

// startReportingTarget starts a target that sends an interim response every 50 ms while it
// works, and stops only if that fails. It does not read, so that it ignores the end of what
// the caller sends. The channel receives the time at which it has stopped.
func startReportingTarget(t *testing.T) (address string, stopped <-chan time.Time) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan time.Time, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for err == nil {
			time.Sleep(50 * time.Millisecond)
			_, err = conn.Write([]byte("HTTP/1.1 102 Processing\r\n\r\n"))
		}
		ended <- time.Now()
	}()
	return listener.Addr().String(), ended
}

// sendAbandoned sends a request that ends before its target responds.
func sendAbandoned(ctx context.Context, t *testing.T, c *targetClient, address string, deadline time.Time) {
	request := &pb.ForwardRequest{Method: []byte(http.MethodGet), Target: []byte("/"), Host: []byte("h"), AttemptId: []byte("1")}
	account := c.budget.Open(memory.Responses)
	defer account.Release()
	result := c.send(ctx, address, "t", request, deadline, account)
	require.Equal(t, outcome.Unknown, result.outcome)
	require.True(t, result.abandoned(), "reason %v", result.reason)
}

// Guards against targets that keep working for a caller that has left, because they notice
// it only when they cannot send: what a target sends on a connection that was only half
// closed is received and discarded.
func TestTargetThatSendsNoticesAbandonedRequest(t *testing.T) {
	address, stopped := startReportingTarget(t)
	client := newTargetClient(testCodec{}, responseBudget(16<<20))
	sendAbandoned(t.Context(), t, client, address, time.Now().Add(120*time.Millisecond))
	left := time.Now()
	select {
	case at := <-stopped:
		t.Logf("the target stopped after %v", at.Sub(left))
	case <-time.After(maxStopTime):
		t.Fatal("the target still works for a caller that has left")
	}
	require.Eventually(t, func() bool { return client.open.Load() == 0 }, maxStopTime, time.Millisecond)
}

// Guards against an abandoned connection that no longer counts while its target works: the
// context of a request often ends at the same time as its deadline, and interrupted the
// wait for the target if its goroutine ran late.
func TestLateInterruptKeepsAbandonedConnectionCounted(t *testing.T) {
	target := startCappedTarget(t, 1, maxStopTime)
	client := newTargetClient(testCodec{}, responseBudget(16<<20))
	conn, err := client.dial(t.Context(), target.address, time.Now().Add(time.Second))
	require.NoError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"))
	require.NoError(t, err)
	conn.abandon()
	conn.interrupt()
	time.Sleep(maxStopTime / 5)
	require.Equal(t, int64(1), client.open.Load(), "the target works at the request")
	require.Eventually(t, func() bool { return client.open.Load() == 0 }, 2*maxStopTime, time.Millisecond)
}
