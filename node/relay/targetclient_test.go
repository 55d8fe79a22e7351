package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// testCodec is a HeaderCodec with short header names.
type testCodec struct{}

func (testCodec) ReadRequest(h http.Header) (Envelope, error) {
	return Envelope{AttemptID: h.Get("Id")}, nil
}
func (testCodec) Owned(string) bool { return false }
func (testCodec) AppendRequest(head []byte, e TargetEnvelope) []byte {
	return fmt.Appendf(head, "Id: %s\r\n", e.AttemptID)
}
func (testCodec) ReadResponse(status int, h http.Header) TargetResponse {
	return TargetResponse{AttemptID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
}
func (testCodec) RefusalHeader(time.Duration) (name, value string) { return "Retry-After", "1" }

// scriptedTarget starts a target that handles every request with serve. number
// counts the requests of a connection. The connection is closed when serve returns
// false.
func scriptedTarget(t *testing.T, serve func(conn net.Conn, request *http.Request, number int) bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, serve)
		}
	}()
	return listener.Addr().String()
}

func serveScript(conn net.Conn, serve func(net.Conn, *http.Request, int) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil || !serve(conn, request, number) {
			return
		}
	}
}

// responseBudget returns a budget in which responses can use the given number of bytes.
func responseBudget(size int64) *memory.Budget {
	const percentOfResponses = 75
	return memory.NewBudget((size*100 + percentOfResponses - 1) / percentOfResponses)
}

// heldByResponses returns the number of bytes that responses hold.
func heldByResponses(c *targetClient) int64 { return c.budget.Usage().Held[memory.Responses] }

func reply(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func sendOne(t *testing.T, c *targetClient, address, id string) targetResult {
	t.Helper()
	return sendUntil(c, address, id, time.Second)
}

// sendUntil sends an idempotent request that times out after within.
func sendUntil(c *targetClient, address, id string, within time.Duration) targetResult {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request := &pb.ForwardRequest{Method: []byte(http.MethodGet), Target: []byte("/"), Host: []byte("h"), AttemptId: []byte(id), Idempotent: true}
	account := c.budget.Open(memory.Responses)
	defer account.Release()
	return c.send(ctx, address, "t", request, time.Now().Add(within), account)
}

// Guards against a late duplicate response that is taken for the response to the
// next request on the connection.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, number int) bool {
		if number > 0 {
			reply(conn, "earlier", "stale")
		}
		reply(conn, request.Header.Get("Id"), "own")
		return true
	})
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	defer c.closeIdle()
	for i := range 5 {
		got := sendOne(t, c, address, fmt.Sprintf("r%d", i))
		require.Equal(t, outcome.Completed, got.outcome)
		require.Equal(t, "own", string(got.body))
	}
}

// Guards against a refusal without an ID that belongs to an earlier request but is
// matched, on a reused connection, to a later request that runs.
func TestResponseWithoutIDProvesNothingOnReusedConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var runs atomic.Int64
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, number int) bool {
		fmt.Fprint(conn, refusal)
		if number > 0 {
			runs.Add(1)
			reply(conn, request.Header.Get("Id"), "own")
		}
		return true
	})
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	defer c.closeIdle()
	require.Equal(t, outcome.NotRun, sendOne(t, c, address, "first").outcome, "no other request was sent on the connection")
	for i := range 3 {
		got := sendOne(t, c, address, fmt.Sprintf("r%d", i))
		require.Equal(t, outcome.NotRun, got.outcome)
	}
	require.Zero(t, runs.Load())
	reused := scriptedTarget(t, func(conn net.Conn, request *http.Request, number int) bool {
		if number > 0 {
			fmt.Fprint(conn, refusal)
		}
		reply(conn, request.Header.Get("Id"), "own")
		return true
	})
	require.Equal(t, outcome.Completed, sendOne(t, c, reused, "first").outcome)
	require.NotEqual(t, outcome.NotRun, sendOne(t, c, reused, "second").outcome)
}

// Guards against sending a request on a connection that the target has closed.
func TestClosedConnectionIsNotReused(t *testing.T) {
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, _ int) bool {
		reply(conn, request.Header.Get("Id"), "own")
		return false
	})
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	defer c.closeIdle()
	for i := range 5 {
		require.Equal(t, outcome.Completed, sendOne(t, c, address, fmt.Sprintf("r%d", i)).outcome)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against accepting bytes that are not an HTTP response, and against taking
// interim responses for final ones.
func TestMalformedAndInterimResponses(t *testing.T) {
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, _ int) bool {
		if request.Header.Get("Id") == "interim" {
			fmt.Fprint(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			reply(conn, "interim", "own")
			return true
		}
		fmt.Fprint(conn, "\x00\x01 not http\r\n\r\n")
		return true
	})
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	defer c.closeIdle()
	require.Equal(t, outcome.Unknown, sendOne(t, c, address, "spoiled").outcome)
	require.Equal(t, outcome.Completed, sendOne(t, c, address, "interim").outcome)
}

// Guards against a request that reaches the target although its client disconnected
// while the request waited at the gate.
func TestNothingIsSentAfterContextEnds(t *testing.T) {
	var reached atomic.Int64
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, _ int) bool {
		reached.Add(1)
		reply(conn, request.Header.Get("Id"), "own")
		return true
	})
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	defer c.closeIdle()
	require.Equal(t, outcome.Completed, sendOne(t, c, address, "first").outcome)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		got := c.send(ctx, address, "t", &pb.ForwardRequest{Method: []byte(http.MethodGet), Target: []byte("/"), Host: []byte("h"), AttemptId: []byte("late")}, time.Now().Add(time.Second), c.budget.Open(memory.Responses))
		require.Equal(t, outcome.NotRun, got.outcome)
		require.False(t, got.sent)
	}
	require.Equal(t, int64(1), reached.Load())
}

// Guards against a request that outlasts its deadline, against taking the end of the
// deadline for a lost response, and against a deadline that ends a later request on the
// same connection.
func TestDeadlineEndsOnlyItsRequest(t *testing.T) {
	var connections atomic.Int64
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, number int) bool {
		if number == 0 {
			connections.Add(1)
		}
		if request.Header.Get("Id") == "slow" {
			time.Sleep(300 * time.Millisecond)
		}
		reply(conn, request.Header.Get("Id"), "own")
		return true
	})
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	defer c.closeIdle()
	send := func(id string, within time.Duration) targetResult {
		request := &pb.ForwardRequest{Method: []byte(http.MethodGet), Target: []byte("/"), Host: []byte("h"), AttemptId: []byte(id), Idempotent: true}
		return c.send(context.Background(), address, "t", request, time.Now().Add(within), c.budget.Open(memory.Responses))
	}
	require.Equal(t, outcome.Completed, send("first", 50*time.Millisecond).outcome)
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, outcome.Completed, send("after the deadline of the first", time.Second).outcome)
	require.Equal(t, int64(1), connections.Load())
	started := time.Now()
	slow := send("slow", 50*time.Millisecond)
	require.Less(t, time.Since(started), 200*time.Millisecond)
	require.Equal(t, outcome.Unknown, slow.outcome)
	require.Equal(t, outcome.DeadlineExceeded, slow.reason)
	late := send("late", -time.Millisecond)
	require.Equal(t, outcome.NotRun, late.outcome)
	require.Equal(t, outcome.DeadlineExceeded, late.reason)
	require.False(t, late.unreachable)
}

// Guards against reporting that a request may have run, or that the target is
// reachable, although the target refused the connection.
func TestRequestOnRefusedConnectionHasNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	got := sendOne(t, c, address, "r")
	require.Equal(t, outcome.NotRun, got.outcome)
	require.True(t, got.unreachable)
	require.False(t, got.sent)
}

// Guards against reusing a connection that the target is about to close.
func TestKeepAliveHeaderLimitsIdleTime(t *testing.T) {
	require.Equal(t, defaultTargetIdle, idleTimeout(""))
	require.Equal(t, 5*time.Second-idleMargin, idleTimeout("timeout=5, max=100"))
	require.Equal(t, 5*time.Second-idleMargin, idleTimeout("max=3, Timeout=5"))
	require.Equal(t, defaultTargetIdle, idleTimeout("timeout=soon"))
}

// Guards against non-idempotent requests that fail on a stale connection. The
// target drops connections that were idle for 300 ms and resets them when data
// arrives.
func TestDroppedIdleConnectionFailsNoRequest(t *testing.T) {
	const idleLimit = 300 * time.Millisecond
	lastResponse := make(chan time.Time, 1)
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, number int) bool {
		if number > 0 && time.Since(<-lastResponse) > idleLimit {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
		select {
		case <-lastResponse:
		default:
		}
		lastResponse <- time.Now()
		return err == nil
	})
	client := newTargetClient(testCodec{}, responseBudget(1<<20))
	t.Cleanup(client.closeIdle)
	for i := range 4 {
		request := &pb.ForwardRequest{AttemptId: fmt.Appendf(nil, "order-%d", i), Method: []byte(http.MethodPost), Target: []byte("/"), Host: []byte("h")}
		result := client.send(t.Context(), address, "", request, time.Now().Add(time.Second), client.budget.Open(memory.Responses))
		require.Equal(t, outcome.Completed, result.outcome, "request %d: %s", i, result.reason)
		time.Sleep(time.Duration(i) * 200 * time.Millisecond)
	}
}

// Guards against a truncated response head that is taken for a complete response
// with an empty or short body.
func TestTruncatedResponseHeadIsUnknownOutcome(t *testing.T) {
	for name, head := range map[string]string{
		"with length":    "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n",
		"in chunks":      "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"after interim":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n",
		"no content":     "HTTP/1.1 204 No Content\r\nId: ID\r\nSeal: s\r\n\r\n",
		"refusal":        "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var cutAfter atomic.Int64
			address := scriptedTarget(t, func(conn net.Conn, request *http.Request, _ int) bool {
				id := request.Header.Get("Id")
				if strings.HasPrefix(id, "whole") {
					reply(conn, id, "own")
					return true
				}
				fmt.Fprint(conn, strings.ReplaceAll(head, "ID", id)[:cutAfter.Load()])
				return false
			})
			length := len(strings.ReplaceAll(head, "ID", "cut"))
			for _, reused := range []bool{false, true} {
				for n := range length {
					c := newTargetClient(testCodec{}, responseBudget(1<<20))
					if reused {
						require.Equal(t, outcome.Completed, sendOne(t, c, address, "whole").outcome)
					}
					cutAfter.Store(int64(n))
					got := sendOne(t, c, address, "cut")
					require.Equal(t, outcome.Unknown, got.outcome, "cut after %d bytes, reused connection %t", n, reused)
					c.closeIdle()
				}
			}
		})
	}
}

// Guards against the reuse of a connection that was idle for longer than its target has
// stated, because one that was idle for longer still may be kept: the target may close the
// connection just when the request is sent.
func TestConnectionIsNotReusedAfterItsOwnIdleTime(t *testing.T) {
	target := startCappedTarget(t, 10, time.Millisecond)
	client := newTargetClient(testCodec{}, responseBudget(16<<20))
	client.address = target.address
	defer client.closeIdle()
	for _, maxIdle := range []time.Duration{time.Minute, time.Millisecond} {
		conn, err := client.dial(t.Context(), target.address, time.Now().Add(time.Second))
		require.NoError(t, err)
		conn.maxIdle = maxIdle
		client.putIdle(target.address, conn)
	}
	time.Sleep(5 * time.Millisecond)
	require.Equal(t, time.Minute, client.takeIdle(target.address, true).maxIdle)
	require.Nil(t, client.takeIdle(target.address, true))
	require.Equal(t, int64(1), client.open.Load())
}
