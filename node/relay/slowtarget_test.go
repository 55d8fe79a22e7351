package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/sockettest"
)

const (
	// uploadBytes exceeds the window of a slow target, but not the buffers of the kernel.
	uploadBytes = 100 << 10
	// uploadDeadline is the deadline of an upload.
	uploadDeadline = 15 * time.Second
	// targetSilenceBound is the time after which a silent target must have been found: 2 s,
	// and the time of the first probe or retransmission.
	targetSilenceBound = 2500 * time.Millisecond
)

// startPausingTarget starts a target with a small window. It reads the head of a request,
// calls meanwhile, and then reads the body and responds.
func startPausingTarget(t *testing.T, meanwhile func(conn net.Conn)) string {
	listener, err := sockettest.SlowListener()
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		meanwhile(conn)
		if n, err := io.Copy(io.Discard, request.Body); err == nil && n == uploadBytes {
			reply(conn, request.Header.Get("Id"), "stored")
		}
	}()
	return listener.Addr().String()
}

// upload sends a request with a body of the size, which is not idempotent.
func upload(t *testing.T, address string, size int) targetResult {
	client := newTargetClient(testCodec{}, responseBudget(16<<20))
	defer client.closeIdle()
	request := &pb.ForwardRequest{
		Method: []byte(http.MethodPost), Target: []byte("/"), Host: []byte("h"), AttemptId: []byte("1"),
		Body: []byte(strings.Repeat("x", size)),
	}
	account := client.budget.Open(memory.Responses)
	defer account.Release()
	return client.send(context.Background(), address, "t", request, time.Now().Add(uploadDeadline), account)
}

// Guards against cutting an upload to a target that acknowledges what it gets but does not
// read for longer than TCP_USER_TIMEOUT.
func TestUploadReachesTargetThatReadsLate(t *testing.T) {
	t.Parallel()
	result := upload(t, startPausingTarget(t, func(net.Conn) { time.Sleep(3 * time.Second) }), uploadBytes)
	require.NoError(t, result.err)
	require.Equal(t, outcome.Completed, result.outcome)
	require.Equal(t, "stored", string(result.body))
}

// Guards against finding a target later that falls silent within an upload.
func TestSilentTargetIsFoundWithinUpload(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "after it has not read for long": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := make(chan time.Time, 1)
			address := startPausingTarget(t, func(conn net.Conn) {
				time.Sleep(pause)
				_ = sockettest.Silence(conn.(syscall.Conn))
				silent <- time.Now()
				time.Sleep(uploadDeadline)
			})
			result := upload(t, address, uploadBytes)
			require.Equal(t, outcome.Unknown, result.outcome)
			require.ErrorIs(t, result.err, syscall.ETIMEDOUT)
			require.Less(t, time.Since(<-silent), targetSilenceBound)
		})
	}
}
