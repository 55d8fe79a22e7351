package relay

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// maxAcceptedBytes is the number of bytes that a target may send before its
	// connection is closed: the limits of the node plus what sockets buffer.
	maxAcceptedBytes = 32 << 20
	// maxAbortTime is far below the deadline of the requests in these tests.
	maxAbortTime    = 5 * time.Second
	requestDeadline = 20 * time.Second
)

// writeEndlessly writes the same bytes until the connection is closed or far more
// than maxAcceptedBytes have been written. It returns the number of bytes written.
func writeEndlessly(conn net.Conn, piece string) int64 {
	block := bytes.Repeat([]byte(piece), max(1, (32<<10)/len(piece)))
	written := int64(0)
	for written < 4*maxAcceptedBytes {
		n, err := conn.Write(block)
		written += int64(n)
		if err != nil {
			break
		}
	}
	return written
}

// Guards against a node that runs out of memory or time because a target sends a
// response without end.
func TestEndlessResponseIsAborted(t *testing.T) {
	for _, c := range []struct{ name, begin, piece string }{
		{"bytes other than HTTP", "", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nName: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"interim response", "HTTP/1.1 102 Processing\r\n", "Name: value\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		{"body without length", "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\n", "x"},
		{"body in chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + string(bytes.Repeat([]byte("x"), 0x400)) + "\r\n"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
		{"body of excessive length", "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			written := make(chan int64, 1)
			address := scriptedTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = fmt.Fprint(conn, c.begin)
				written <- writeEndlessly(conn, c.piece)
				return false
			})
			client := newTargetClient(testCodec{}, responseBudget(16<<20))
			started := time.Now()
			result := sendUntil(client, address, "1", requestDeadline)
			require.Equal(t, outcome.Unknown, result.outcome)
			require.Less(t, time.Since(started), maxAbortTime)
			require.LessOrEqual(t, <-written, int64(maxAcceptedBytes))
		})
	}
}

// Guards against responses that are each within the limit but together use up the
// memory of the node.
func TestResponseBodiesShareMemoryLimit(t *testing.T) {
	const (
		limit    = 4 << 20
		stalling = bodyDivisor
	)
	part := bytes.Repeat([]byte("x"), limit/bodyDivisor-limit/64)
	release := make(chan struct{})
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, _ int) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\n", request.Header.Get("Id"))
		_, _ = conn.Write(part)
		if request.Header.Get("Id") == "stalls" {
			<-release
		}
		return false
	})
	client := newTargetClient(testCodec{}, responseBudget(limit))
	stalled := make(chan targetResult, stalling)
	for range stalling {
		go func() { stalled <- sendUntil(client, address, "stalls", requestDeadline) }()
	}
	require.Eventually(t, func() bool { return heldByResponses(client) >= int64(stalling*len(part)) }, maxAbortTime, time.Millisecond)
	require.LessOrEqual(t, heldByResponses(client), int64(limit))
	require.Equal(t, outcome.TooLarge, sendUntil(client, address, "one more", requestDeadline).reason)

	close(release)
	for range stalling {
		require.Equal(t, outcome.Completed, (<-stalled).outcome)
	}
	last := sendUntil(client, address, "last", requestDeadline)
	require.Equal(t, outcome.Completed, last.outcome)
	require.Len(t, last.body, len(part))
	require.Zero(t, heldByResponses(client))
}

// Guards against a target that reserves memory by declaring a length without
// sending the body. Other responses must still get memory.
func TestDeclaredLengthReservesLittleMemory(t *testing.T) {
	const (
		limit        = 16 << 20
		declarations = 2 * bodyDivisor
	)
	release := make(chan struct{})
	defer close(release)
	var declared atomic.Int64
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, _ int) bool {
		if request.Header.Get("Id") == "whole" {
			reply(conn, "whole", "body")
			return true
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: %d\r\n\r\n", limit/bodyDivisor)
		declared.Add(1)
		<-release
		return false
	})
	client := newTargetClient(testCodec{}, responseBudget(limit))
	for range declarations {
		go sendUntil(client, address, "1", requestDeadline)
	}
	require.Eventually(t, func() bool { return declared.Load() == declarations }, maxAbortTime, time.Millisecond)
	require.Equal(t, outcome.Completed, sendUntil(client, address, "whole", requestDeadline).outcome)
}
