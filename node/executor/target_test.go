package executor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const testMaxResponseBytes = 1 << 10

// rawTarget is a target that sends fixed bytes as its response. It responds to
// the first maxResponses requests of each connection; it reads the next request
// and closes the connection. With closeAfterResponse, it closes each connection
// after the first response.
type rawTarget struct {
	address            string
	closeAfterResponse bool
	requests           atomic.Int64
}

// serveConns serves each connection to the returned address.
func serveConns(t *testing.T, serve func(conn net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func startRawTarget(t *testing.T, response string, maxResponses int, closeAfterResponse bool) *rawTarget {
	target := &rawTarget{closeAfterResponse: closeAfterResponse}
	target.address = serveConns(t, func(conn net.Conn) { target.serve(conn, response, maxResponses) })
	return target
}

func (r *rawTarget) serve(conn net.Conn, response string, maxResponses int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.requests.Add(1)
		if n >= maxResponses {
			return
		}
		body := make([]byte, max(request.ContentLength, 0))
		_, _ = request.Body.Read(body)
		_, _ = conn.Write([]byte(response))
		if r.closeAfterResponse {
			return
		}
	}
}

func runningCall(t *testing.T, body string) *RunningCall {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	request := &pb.CallRequest{Operation: "book", Key: "key", Context: &pb.RequestContext{}, Body: []byte(body)}
	return &RunningCall{Call: &Call{Request: request, AnswerBytes: testMaxResponseBytes}, Token: "token", ctx: ctx, cancel: cancel}
}

// Guards against net/http resending a request after the target has closed the
// connection, and against reporting a definite outcome for a request whose
// response was lost.
func TestLostResponseIsUnknownAndSentOnce(t *testing.T) {
	for _, body := range []string{"", "content"} {
		target := startRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false)
		client := newTargetClient()
		first := client.send(context.Background(), target.address, runningCall(t, body))
		require.Equal(t, outcome.Completed, first.result.Outcome)
		running := runningCall(t, body)
		second := client.send(running.ctx, target.address, running)
		require.Equal(t, outcome.Unknown, second.result.Outcome, "body %q", body)
		require.Equal(t, int64(2), target.requests.Load(), "body %q", body)
		client.close()
	}
}

// Guards against treating a truncated response as complete, and against
// accepting a response larger than the limit.
func TestResponseMustBeComplete(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		reason   outcome.Reason
	}{
		"short body":        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", outcome.AnswerTruncated},
		"chunk without end": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", outcome.AnswerTruncated},
		"too large":         {"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + string(make([]byte, 2000)), outcome.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, test.response, 1, true)
			client := newTargetClient()
			defer client.close()
			running := runningCall(t, "x")
			got := client.send(running.ctx, target.address, running)
			require.Equal(t, outcome.Unknown, got.result.Outcome)
			require.Equal(t, test.reason, got.result.Reason)
		})
	}
}

// Guards against outcome "unknown" when no connection could be opened, in which
// case the request provably did not run.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := newTargetClient()
	defer client.close()
	got := client.send(context.Background(), address, runningCall(t, "x"))
	require.Equal(t, outcome.NotRun, got.result.Outcome)
	require.Equal(t, outcome.TargetDown, got.result.Reason)
	require.True(t, got.unreachable)
}

// Guards against taking a duplicate refusal, which a target writes on a
// keep-alive connection, for the response to the next call. That call would be
// reported as not run although it runs.
func TestDuplicateRefusalIsNotMatchedToNextCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nPrimrosemount-Refused: true\r\nContent-Length: 0\r\n\r\n"
	var ran atomic.Int64
	address := serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if n > 0 {
				ran.Add(1)
			}
			_, _ = io.WriteString(conn, refusal)
		}
	})
	client := newTargetClient()
	defer client.close()
	for _, body := range []string{"x", "", "y", "z"} {
		running := runningCall(t, body)
		got := client.send(running.ctx, address, running)
		require.Equal(t, outcome.NotRun, got.result.Outcome)
		require.True(t, got.refused)
	}
	require.Zero(t, ran.Load(), "a call ran at the target although it was reported as not run")
}

// Guards against passing on a status that HTTP does not define, and against reusing the
// connection of such a response.
func TestInvalidStatusIsBrokenResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, headers := range []string{"", "Primrosemount-Refused: true\r\n"} {
			var connections atomic.Int64
			address := countingTarget(t, &connections, "HTTP/1.1 "+status+" Status\r\n"+headers+"Content-Length: 0\r\n\r\n")
			client := newTargetClient()
			for i := int64(1); i <= 2; i++ {
				running := runningCall(t, "x")
				got := client.send(running.ctx, address, running)
				require.Equal(t, outcome.Unknown, got.result.Outcome, status)
				require.Equal(t, outcome.AnswerTruncated, got.result.Reason, status)
				require.Zero(t, got.result.Status)
				require.Equal(t, i, connections.Load(), "the connection of an invalid response was reused")
			}
			client.close()
		}
	}
}

// countingTarget starts a target that sends fixed bytes in response to each request and
// counts its connections.
func countingTarget(t *testing.T, connections *atomic.Int64, response string) string {
	target := &rawTarget{}
	return serveConns(t, func(conn net.Conn) {
		connections.Add(1)
		target.serve(conn, response, math.MaxInt)
	})
}

// Guards against taking part of a response that has no length for the whole one when the
// target resets the connection while the call is still being written.
func TestResponseThatIsResetIsIncomplete(t *testing.T) {
	const rounds, bodyBytes = 50, 8 << 20
	for name, reset := range map[string]bool{"reset": true, "ended": false} {
		t.Run(name, func(t *testing.T) {
			address := startUnframedTarget(t, reset)
			client := newTargetClient()
			defer client.close()
			for range rounds {
				running := runningCall(t, strings.Repeat("x", bodyBytes))
				got := client.send(running.ctx, address, running)
				if reset {
					require.Equal(t, outcome.Unknown, got.result.Outcome, "body %q", got.result.Body)
					continue
				}
				require.Equal(t, outcome.Completed, got.result.Outcome)
				require.Equal(t, "whole", string(got.result.Body))
			}
		})
	}
}

// startUnframedTarget starts a target that responds without a length before it has read
// the body of a request, and then resets the connection, or ends its stream and reads on.
func startUnframedTarget(t *testing.T, reset bool) string {
	return serveConns(t, func(conn net.Conn) { respondUnframed(conn.(*net.TCPConn), reset) })
}

func respondUnframed(conn *net.TCPConn, reset bool) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
	if reset {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against a malformed head that is taken for a complete response: with a space in
// the name of its framing header, callers got a truncated body, or one with the sizes of its
// chunks, as a success.
func TestMalformedHeadIsBrokenResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, response := range map[string]string{
		"space before the colon of the length": ok + "Content-Length : 7\r\n\r\nente",
		"space before the colon of the coding": ok + "Transfer-Encoding : chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"name with a space":                    ok + "Bad name: 1\r\nContent-Length: 7\r\n\r\nentered",
		"name with a tab":                      ok + "Content-Length\t: 7\r\n\r\nente",
		"name with a control byte":             ok + "Content-Len\x01gth: 7\r\n\r\nente",
		"name with DEL":                        ok + "Content-Length\x7f: 7\r\n\r\nente",
		"folded framing":                       ok + "Folded: a\r\n Content-Length: 7\r\n\r\nente",
		"length beside a coding":               ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"two lengths that differ":              ok + "Content-Length: 7\r\nContent-Length: 4\r\n\r\nentered",
		"coding in HTTP/1.0":                   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"after an interim response":            "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length : 7\r\n\r\nente",
		"interim response":                     "HTTP/1.1 103 Early Hints\r\nBad name: 1\r\n\r\n" + ok + "Content-Length: 7\r\n\r\nentered",
		"head beyond one read":                 ok + "Long: " + strings.Repeat("x", 20<<10) + "\r\nContent-Length : 7\r\n\r\nente",
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, response, 1, true)
			client := newTargetClient()
			defer client.close()
			running := runningCall(t, "x")
			got := client.send(running.ctx, target.address, running)
			require.Equal(t, outcome.Unknown, got.result.Outcome, "headers %v, body %q", got.result.Headers, got.result.Body)
			require.Equal(t, outcome.AnswerTruncated, got.result.Reason)
		})
	}
}

// Guards against a check of heads that takes the body of a response, or the response to
// the next call on the connection, for a head, and against one that does not check the
// heads of later responses.
func TestEachHeadOfConnectionIsChecked(t *testing.T) {
	const calls = 4
	const body = "no: head\r\nno head : 1\r\n\r\n"
	well := fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nNote: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	const malformed = "HTTP/1.1 200 OK\r\nBad name: 1\r\nContent-Length: 0\r\n\r\n"
	address := serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for n := 1; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			response := well
			if n == calls {
				response = malformed
			}
			// The bytes arrive in small pieces.
			for piece := range slices.Chunk([]byte(response), 5) {
				_, _ = conn.Write(piece)
				time.Sleep(100 * time.Microsecond)
			}
		}
	})
	client := newTargetClient()
	defer client.close()
	for n := 1; n <= calls; n++ {
		running := runningCall(t, "x")
		got := client.send(running.ctx, address, running)
		if n == calls {
			require.Equal(t, outcome.Unknown, got.result.Outcome)
			return
		}
		require.Equal(t, outcome.Completed, got.result.Outcome, "call %d", n)
		require.Equal(t, body, string(got.result.Body))
	}
}
