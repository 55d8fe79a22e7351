// Package transport carries calls between nodes over persistent connections. It
// uses net/rpc with a protobuf codec and adds cancellation, deadlines and a
// proof of whether a request was sent.
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
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"

	"github.com/primrosemount/primrosemount/core/memory"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// frameOverheadBytes is the size allowed for headers and other fields in
	// addition to a body.
	frameOverheadBytes = 256 << 10
	// controlMessageBytes bounds control messages. The largest one carries the
	// complete member table and the catalogue to a node that starts.
	controlMessageBytes = 4 << 20
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 8 << 10
	// maxKeptBytes limits the size of a buffer for frames that is kept for reuse.
	maxKeptBytes = 64 << 10
	// writeTimeout closes a connection whose peer does not read.
	writeTimeout = 5 * time.Second
	// firstFrameTimeout closes an accepted connection on which no request arrives.
	// Nodes dial only when they have a call to send.
	firstFrameTimeout = 5 * time.Second
	// frameTimeout closes a connection whose peer stops within a frame.
	frameTimeout = 10 * time.Second
)

// ErrNotAMessage is returned for a body that is not a message of the schema.
var ErrNotAMessage = errors.New("transport: the body is not a message of the schema; pass a generated type")

// frames reads and writes length-delimited messages on one connection.
type frames struct {
	conn    net.Conn
	reader  *bufio.Reader
	options protodelim.UnmarshalOptions
	// buffer holds the frame that is being written.
	buffer []byte
}

func newFrames(conn net.Conn, maxBodyBytes int64) *frames {
	return &frames{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, bufferBytes),
		options: protodelim.UnmarshalOptions{MaxSize: max(maxBodyBytes, controlMessageBytes) + frameOverheadBytes},
	}
}

// await waits for the first byte of a frame and then sets a time limit for the
// rest of the frame. A wait of 0 means no limit.
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

// skip reads one frame and discards its content.
func (f *frames) skip() error {
	return f.options.UnmarshalFrom(f.reader, &emptypb.Empty{})
}

// write writes one frame. Nothing is written if a message cannot be encoded; the error
// then matches errNotEncoded.
func (f *frames) write(header, body proto.Message) error {
	frame, err := appendFrame(f.buffer[:0], header, body)
	if err != nil {
		return err
	}
	if cap(frame) <= maxKeptBytes {
		f.buffer = frame
	}
	return writeFrames(f.conn, frame)
}

// writeFrames writes encoded frames. A write that fails may end within a frame, and the
// peer would take what follows for the rest of that frame. So it closes the connection,
// which also ends the calls that are running for the peer.
func writeFrames(conn net.Conn, encoded []byte) error {
	err := conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = conn.Write(encoded)
	}
	if err != nil {
		return errors.CombineErrors(err, conn.Close())
	}
	return nil
}

// errNotEncoded marks a message that cannot be encoded, for example because a string
// is not valid UTF-8.
var errNotEncoded = errors.New("transport: the message cannot be encoded; report this to the developers")

// appendFrame appends one frame. A nil body appends only the header message.
func appendFrame(buffer []byte, header, body proto.Message) ([]byte, error) {
	buffer, err := appendMessage(buffer, header)
	if err != nil || body == nil {
		return buffer, err
	}
	return appendMessage(buffer, body)
}

// appendMessage appends a message preceded by its length.
func appendMessage(buffer []byte, m proto.Message) ([]byte, error) {
	buffer = protowire.AppendVarint(buffer, uint64(proto.Size(m)))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, m)
	if err != nil {
		return nil, errors.Mark(err, errNotEncoded)
	}
	return buffer, nil
}

// serverCodec implements rpc.ServerCodec. net/rpc calls the read methods from
// one goroutine and serializes the calls of WriteResponse.
type serverCodec struct {
	frames *frames
	// budget may be nil. accounts holds the memory of the requests until they have been
	// handled.
	budget   *memory.Budget
	accounts *messageAccounts
	// broken is set when a body could not be read. The position in the stream is
	// then lost, and the next read of a header ends the connection.
	broken bool
	// awaitedFirst is set once the server has waited for the first frame. The time
	// between later frames is not limited.
	awaitedFirst bool
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

// ReadRequestHeader implements rpc.ServerCodec.
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
	if c.awaitedFirst {
		return c.frames.await(0)
	}
	c.awaitedFirst = true
	return c.frames.await(firstFrameTimeout)
}

// ReadRequestBody implements rpc.ServerCodec. net/rpc passes nil to skip a body.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.readBody(body)
	c.broken = err != nil && !errors.Is(err, errNoMemory)
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
	account, err := c.frames.readRelayed(message, c.budget, memory.Frames)
	c.accounts.store(message, account)
	return err
}

// WriteResponse implements rpc.ServerCodec. An error response has no body. A response
// that cannot be encoded becomes an error response, so that its caller does not wait.
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
	err := c.frames.write(header, message)
	if errors.Is(err, errNotEncoded) {
		header.Error = err.Error()
		return c.frames.write(header, nil)
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.frames.conn.Close() }

// States of an outgoing request.
const (
	outgoingWaiting int32 = iota
	outgoingStarted
	outgoingAbandoned
)

// errAbandoned is returned for a request whose caller stopped waiting before the
// first byte was written.
var errAbandoned = errors.New("transport: the caller gave up before the request was written")

// outgoing is the argument that the client passes through net/rpc. Its state
// changes once: the writer sets it to started before the first byte, or the
// caller sets it to abandoned. An abandoned request was not sent and will not
// be sent.
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
	writer *requestWriter
	// budget may be nil.
	budget *memory.Budget
	// bodyFollows reports whether the response whose header was read last has a
	// body; an error response has none.
	bodyFollows bool
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

func newClientCodec(conn net.Conn, maxBodyBytes int64, budget *memory.Budget) clientCodec {
	return clientCodec{frames: newFrames(conn, maxBodyBytes), writer: newRequestWriter(conn, budget), budget: budget}
}

// WriteRequest implements rpc.ClientCodec. It queues the request and does not wait
// until it is written.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out, ok := body.(*outgoing)
	if !ok {
		return ErrNotAMessage
	}
	if out.state.Load() == outgoingAbandoned {
		return errAbandoned
	}
	return c.writer.enqueue(out, &pb.RpcRequestHeader{ServiceMethod: r.ServiceMethod, Sequence: r.Seq})
}

// ReadResponseHeader implements rpc.ClientCodec.
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

// ReadResponseBody implements rpc.ClientCodec. net/rpc passes nil to skip a body.
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
	account, err := c.frames.readRelayed(message, c.budget, memory.Responses)
	if account != nil {
		// The caller accounts for the response from here on.
		account.Release()
	}
	if errors.Is(err, errNoMemory) {
		// An error would end the connection. The caller finds no ID in the response
		// and takes it for lost.
		return nil
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.writer.close()
	return c.frames.conn.Close()
}

// normalizeEOF maps the errors of a closed connection to io.EOF, which net/rpc
// treats as an orderly close.
func normalizeEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return io.EOF
	}
	return err
}
