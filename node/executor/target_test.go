package executor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const testAnswerBytes = 1 << 10

// rawTarget is a target that answers with fixed bytes. answered is the number of
// requests on a connection that it answers; the next one is read and the
// connection closed. With closes, every connection ends after its first answer.
type rawTarget struct {
	address  string
	closes   bool
	requests atomic.Int64
}

func startRawTarget(t *testing.T, answer string, answered int, closes bool) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	target := &rawTarget{address: listener.Addr().String(), closes: closes}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn, answer, answered)
		}
	}()
	return target
}

func (r *rawTarget) serve(conn net.Conn, answer string, answered int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.requests.Add(1)
		if n >= answered {
			return
		}
		body := make([]byte, max(request.ContentLength, 0))
		_, _ = request.Body.Read(body)
		_, _ = conn.Write([]byte(answer))
		if r.closes {
			return
		}
	}
}

func runningCall(t *testing.T, body string) *RunningCall {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	request := &pb.CallRequest{Operation: "book", Key: "key", Context: &pb.RequestContext{}, Body: []byte(body)}
	return &RunningCall{Call: &Call{Request: request, AnswerBytes: testAnswerBytes}, Token: "token", ctx: ctx, cancel: cancel}
}

// Guards against a request that net/http sends a second time on its own after
// the target closed the connection, and against an outcome that claims proof.
func TestLostAnswerIsUnknownAndSentOnce(t *testing.T) {
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

// Guards against a truncated answer that counts as whole, and an answer that is
// larger than the bound.
func TestAnswerMustBeWhole(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		reason outcome.Reason
	}{
		"short body":        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", outcome.AnswerTruncated},
		"chunk without end": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", outcome.AnswerTruncated},
		"too large":         {"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + string(make([]byte, 2000)), outcome.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, test.answer, 1, true)
			client := newTargetClient()
			defer client.close()
			running := runningCall(t, "x")
			got := client.send(running.ctx, target.address, running)
			require.Equal(t, outcome.Unknown, got.result.Outcome)
			require.Equal(t, test.reason, got.result.Reason)
		})
	}
}

// Guards against a false "unknown" when no connection could be opened, and a
// false "not run" when one was.
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

// Guards against a refusal that a target writes once more on a kept connection and
// that is taken for the answer to a call which runs.
func TestRefusalWrittenOnceMoreIsNoProof(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nPrimrosemount-Refused: true\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var ran atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
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
			}()
		}
	}()
	client := newTargetClient()
	defer client.close()
	for _, body := range []string{"x", "", "y", "z"} {
		running := runningCall(t, body)
		got := client.send(running.ctx, listener.Addr().String(), running)
		require.Equal(t, outcome.NotRun, got.result.Outcome)
		require.True(t, got.refused)
	}
	require.Zero(t, ran.Load(), "the caller was told that the call has not run")
}
