package transport

import (
	"bytes"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// fuzzBodyBytes is small, so that the fuzzer also finds frames larger than the
// limit.
const fuzzBodyBytes = 1 << 10

// memoryConn is a connection whose peer has already sent all of its data.
type memoryConn struct {
	net.Conn
	input  *bytes.Reader
	output bytes.Buffer
}

func (c *memoryConn) Read(into []byte) (int, error)    { return c.input.Read(into) }
func (c *memoryConn) Write(data []byte) (int, error)   { return c.output.Write(data) }
func (c *memoryConn) Close() error                     { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

func framesOf(data []byte) (*frames, *memoryConn) {
	conn := &memoryConn{input: bytes.NewReader(data)}
	return newFrames(conn, fuzzBodyBytes), conn
}

// FuzzRequestFrames guards against received bytes that make the server codec
// panic, read more than its limit or read forever, and against requests that
// change when they are encoded again.
func FuzzRequestFrames(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		received, _ := framesOf(data)
		codec := &serverCodec{frames: received}
		// Each frame has at least one byte, so the loop must end.
		for range len(data) + 1 {
			var header rpc.Request
			if codec.ReadRequestHeader(&header) != nil {
				return
			}
			request := &pb.CallRequest{}
			if codec.ReadRequestBody(request) != nil {
				require.Error(t, codec.ReadRequestHeader(&header), "the position in the stream is lost")
				return
			}
			require.LessOrEqual(t, len(request.GetBody()), fuzzBodyBytes+frameOverheadBytes)
			requireSameRequest(t, header, request)
		}
		require.Fail(t, "more frames than bytes")
	})
}

// requireSameRequest encodes a request as a client does and decodes it again.
func requireSameRequest(t *testing.T, header rpc.Request, request *pb.CallRequest) {
	writer, conn := framesOf(nil)
	client := &clientCodec{frames: writer, writer: &requestWriter{conn: conn, wake: make(chan struct{}, 1)}}
	require.NoError(t, client.WriteRequest(&header, &outgoing{message: request}))
	require.NoError(t, client.writer.write(client.writer.take(nil)))
	reader, _ := framesOf(conn.output.Bytes())
	server := &serverCodec{frames: reader}
	var again rpc.Request
	require.NoError(t, server.ReadRequestHeader(&again))
	require.Equal(t, header.ServiceMethod, again.ServiceMethod)
	require.Equal(t, header.Seq, again.Seq)
	copied := &pb.CallRequest{}
	require.NoError(t, server.ReadRequestBody(copied))
	require.True(t, proto.Equal(request, copied))
}

// FuzzResponseFrames guards against received bytes that make the client codec
// panic or read forever.
func FuzzResponseFrames(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		received, _ := framesOf(data)
		codec := &clientCodec{frames: received}
		for range len(data) + 1 {
			var header rpc.Response
			if codec.ReadResponseHeader(&header) != nil {
				return
			}
			if codec.ReadResponseBody(&pb.CallResponse{}) != nil {
				return
			}
		}
		require.Fail(t, "more frames than bytes")
	})
}
