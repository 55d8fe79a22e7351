// Package transport carries calls between nodes: net/rpc with a protobuf codec
// over persistent connections, with cancellation, deadlines and proof of
// whether a request left the sender.
//
// A frame is a length-delimited header message followed by a length-delimited
// body message, both from the schema.
package transport

import (
	"bufio"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// frameOverheadBytes is the room for headers and fields around a body.
	frameOverheadBytes = 256 << 10
	// controlMessageBytes bounds control messages; the largest one carries a
	// whole member table and the catalogue to a node that starts.
	controlMessageBytes = 4 << 20
	bufferBytes         = 8 << 10
	// writeTimeout ends a connection whose peer does not read.
	writeTimeout = 5 * time.Second
	// firstFrameTimeout ends an accepted connection on which nothing comes. Nodes
	// dial only when they have a call to send.
	firstFrameTimeout = 5 * time.Second
	// frameTimeout ends a connection whose peer stops within a frame.
	frameTimeout = 10 * time.Second
)

// ErrNotAMessage marks a body that is not a schema message.
var ErrNotAMessage = errors.New("transport: the body is not a message of the schema; pass a generated type")

// frames reads and writes length-delimited messages on one connection.
type frames struct {
	conn    net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	options protodelim.UnmarshalOptions
}

func newFrames(conn net.Conn, maxBodyBytes int64) *frames {
	return &frames{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, bufferBytes),
		writer:  bufio.NewWriterSize(conn, bufferBytes),
		options: protodelim.UnmarshalOptions{MaxSize: max(maxBodyBytes, controlMessageBytes) + frameOverheadBytes},
	}
}

// await waits for the first byte of a frame and then bounds the rest of the
// frame. A wait of 0 has no bound.
func (f *frames) await(wait time.Duration) error {
	if err := f.setReadTimeout(wait); err != nil {
		return err
	}
	if _, err := f.reader.Peek(1); err != nil {
		return err
	}
	return f.setReadTimeout(frameTimeout)
}

func (f *frames) setReadTimeout(timeout time.Duration) error {
	if timeout == 0 {
		return f.conn.SetReadDeadline(time.Time{})
	}
	return f.conn.SetReadDeadline(time.Now().Add(timeout))
}

func (f *frames) read(m proto.Message) error {
	return f.options.UnmarshalFrom(f.reader, m)
}

// skip reads one frame and drops its content.
func (f *frames) skip() error {
	return f.options.UnmarshalFrom(f.reader, &emptypb.Empty{})
}

func (f *frames) write(header, body proto.Message) error {
	if err := f.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(f.writer, header); err != nil {
		return err
	}
	if body != nil {
		if _, err := protodelim.MarshalTo(f.writer, body); err != nil {
			return err
		}
	}
	return f.writer.Flush()
}

// serverCodec implements rpc.ServerCodec. net/rpc calls the read methods from
// one goroutine and serialises WriteResponse.
type serverCodec struct {
	frames *frames
	// broken is set when a body could not be read: the position in the stream is
	// lost and the connection ends with the next header.
	broken bool
	// used is set after the first frame; later ones may come after a long time.
	receivedFrame bool
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.broken {
		return io.EOF
	}
	if err := c.awaitFrame(); err != nil {
		return normalizeEOF(err)
	}
	var header pb.RpcRequestHeader
	if err := c.frames.read(&header); err != nil {
		return normalizeEOF(err)
	}
	r.ServiceMethod = header.GetServiceMethod()
	r.Seq = header.GetSequence()
	return nil
}

func (c *serverCodec) awaitFrame() error {
	if c.receivedFrame {
		return c.frames.await(0)
	}
	c.receivedFrame = true
	return c.frames.await(firstFrameTimeout)
}

func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.readBody(body)
	c.broken = err != nil
	return err
}

func (c *serverCodec) readBody(body any) error {
	if body == nil {
		return c.frames.skip()
	}
	message, ok := body.(proto.Message)
	if !ok {
		return ErrNotAMessage
	}
	return c.frames.read(message)
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	header := &pb.RpcResponseHeader{
		ServiceMethod: r.ServiceMethod,
		Sequence:      r.Seq,
		Error:         r.Error,
	}
	message, ok := body.(proto.Message)
	if r.Error != "" || !ok {
		return c.frames.write(header, nil)
	}
	return c.frames.write(header, message)
}

func (c *serverCodec) Close() error { return c.frames.conn.Close() }

// States of an outgoing request.
const (
	outgoingWaiting int32 = iota
	outgoingStarted
	outgoingAbandoned
)

// errAbandoned ends a request whose caller gave up before the first byte.
var errAbandoned = errors.New("transport: the caller gave up before the request was written")

// outgoing is the argument that the client passes through net/rpc. Its state
// changes once, either to started by the writer before the first byte or to
// abandoned by the caller, so that the caller can prove that a request never
// left and will never leave.
type outgoing struct {
	message proto.Message
	state   atomic.Int32
}

func (o *outgoing) start() bool {
	return o.state.CompareAndSwap(outgoingWaiting, outgoingStarted)
}

// abandon reports whether the request will never be written.
func (o *outgoing) abandon() bool {
	o.state.CompareAndSwap(outgoingWaiting, outgoingAbandoned)
	return o.state.Load() == outgoingAbandoned
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	frames *frames
	// bodyFollows tells whether the response read last has a body; an error
	// response has none.
	bodyFollows bool
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out, ok := body.(*outgoing)
	if !ok {
		return ErrNotAMessage
	}
	if !out.start() {
		return errAbandoned
	}
	header := &pb.RpcRequestHeader{ServiceMethod: r.ServiceMethod, Sequence: r.Seq}
	if err := c.frames.write(header, out.message); err != nil {
		// A partly written frame leaves the stream unusable.
		_ = c.frames.conn.Close()
		return err
	}
	return nil
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var header pb.RpcResponseHeader
	if err := c.frames.read(&header); err != nil {
		return normalizeEOF(err)
	}
	r.ServiceMethod = header.GetServiceMethod()
	r.Seq = header.GetSequence()
	r.Error = header.GetError()
	c.bodyFollows = r.Error == ""
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error {
	if !c.bodyFollows {
		return nil
	}
	if body == nil {
		return c.frames.skip()
	}
	message, ok := body.(proto.Message)
	if !ok {
		return ErrNotAMessage
	}
	return c.frames.read(message)
}

func (c *clientCodec) Close() error { return c.frames.conn.Close() }

// cleanEOF maps the end of a connection to io.EOF, which net/rpc treats as an
// orderly close.
func normalizeEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return io.EOF
	}
	return err
}
