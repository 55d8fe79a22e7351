package transport

import (
	"bytes"
	"io"
	"net"
	"net/rpc"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/sockettest"
)

// interruptedConn accepts only the beginning of its first write. Later writes succeed, as
// those on a socket whose peer has begun to read again.
type interruptedConn struct {
	net.Conn
	written [][]byte
	closed  bool
}

func (c *interruptedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *interruptedConn) Write(data []byte) (int, error) {
	if c.closed {
		return 0, net.ErrClosed
	}
	c.written = append(c.written, data)
	if len(c.written) == 1 {
		return len(data) / 2, os.ErrDeadlineExceeded
	}
	return len(data), nil
}

func (c *interruptedConn) Close() error {
	c.closed = true
	return nil
}

// Guards against a response that is written behind a part of another one, which the peer
// would take for the rest of that one.
func TestNoResponseFollowsPartOfAnother(t *testing.T) {
	t.Parallel()
	conn := &interruptedConn{}
	codec := &serverCodec{frames: newFrames(conn, testBodyBytes)}
	response := &pb.CallResponse{Id: callID(1), Body: make([]byte, 1000)}
	require.ErrorIs(t, codec.WriteResponse(&rpc.Response{Seq: 1}, response), os.ErrDeadlineExceeded)
	require.Error(t, codec.WriteResponse(&rpc.Response{Seq: 2}, response))
	require.Len(t, conn.written, 1)
	require.True(t, conn.closed, "the peer has to learn that its calls are lost")
}

// Guards against a request that is written behind a part of another one.
func TestNoRequestFollowsPartOfAnother(t *testing.T) {
	t.Parallel()
	conn := &interruptedConn{}
	writer := newRequestWriter(conn, nil)
	request := &outgoing{message: &pb.CallRequest{Id: callID(1), Body: make([]byte, 1000)}}
	require.NoError(t, writer.enqueue(request, &pb.RpcRequestHeader{Sequence: 1}))
	require.Eventually(t, func() bool {
		later := &outgoing{message: &pb.CallRequest{Id: callID(2)}}
		return writer.enqueue(later, &pb.RpcRequestHeader{Sequence: 2}) != nil
	}, time.Second, time.Millisecond)
	require.Len(t, conn.written, 1)
	require.True(t, conn.closed)
}

// Guards against internal messages and the response to another call inside a response, after
// the calling node was suspended for longer than a write may take.
func TestSuspendedCallerReadsOnlyWholeResponses(t *testing.T) {
	t.Parallel()
	address := startSocketServer(t, &echo{})
	conn, err := sockettest.SlowDialer(time.Second).Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	frames := newFrames(conn, testBodyBytes)
	body := bytes.Repeat([]byte("x"), 256<<10)
	const calls = 40
	for i := range uint64(calls) {
		header := &pb.RpcRequestHeader{ServiceMethod: serviceName + ".Call", Sequence: i}
		require.NoError(t, frames.write(header, &pb.CallRequest{Id: callID(i), Body: body}))
	}
	time.Sleep(writeTimeout + 500*time.Millisecond)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	whole := 0
	for ; whole < calls; whole++ {
		var header pb.RpcResponseHeader
		var response pb.CallResponse
		if frames.read(&header) != nil || frames.read(&response) != nil {
			break
		}
		require.Equal(t, header.GetSequence(), response.GetId().GetSequence())
		require.True(t, bytes.Equal(body, response.GetBody()), "the body has bytes of other messages")
	}
	require.Less(t, whole, calls, "the responses fit into the buffers, so that no write was interrupted")
	rest, _ := io.ReadAll(conn)
	require.Empty(t, rest)
}
