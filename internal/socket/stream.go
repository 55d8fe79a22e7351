package socket

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection that has ended (TCP_CLOSE).
const tcpClose = 7

// errNotTCP is returned for a connection that is not a plain TCP connection.
var errNotTCP = errors.New("socket: the connection is not TCP; use a TCP address")

// A Stream is a TCP connection whose reads report the end of the stream only if the peer
// has ended it. The kernel reports the error with which a connection ends once, to a read
// or to a write, and afterwards reads see the end of the stream. So a reset that a write
// has learned of would make a response that was cut look complete. A Stream is safe for
// concurrent use.
type Stream struct {
	*net.TCPConn
	raw syscall.RawConn
	// writing is held during a write. It guards ended.
	writing sync.Mutex
	// ended is the error with which the connection has ended, if a write got it.
	ended error
}

var _ net.Conn = (*Stream)(nil)

// NewStream returns a Stream that uses a TCP connection. It closes the connection if it
// returns an error.
func NewStream(conn net.Conn) (*Stream, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.CombineErrors(errNotTCP, conn.Close())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return &Stream{TCPConn: tcp, raw: raw}, nil
}

// Read implements net.Conn.
func (s *Stream) Read(data []byte) (int, error) {
	n, err := s.TCPConn.Read(data)
	if err == io.EOF {
		err = s.endOfStream()
	}
	return n, err
}

// Write implements net.Conn.
func (s *Stream) Write(data []byte) (int, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err := s.TCPConn.Write(data)
	s.recordEnd(err)
	return n, err
}

// writeBuffers writes buffers, with one system call if possible.
func (s *Stream) writeBuffers(buffers net.Buffers) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	_, err := buffers.WriteTo(s.TCPConn)
	s.recordEnd(err)
	return err
}

// WriteTo implements io.WriterTo. That of net.TCPConn does not use Read.
func (s *Stream) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{s})
}

// ReadFrom implements io.ReaderFrom. That of net.TCPConn does not use Write.
func (s *Stream) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{s}, r)
}

// recordEnd records the error of a write if the connection ended with it. EPIPE does not
// count: a write gets it if the connection was reset after the end of the stream. The
// caller holds the mutex.
func (s *Stream) recordEnd(err error) {
	var errno syscall.Errno
	if s.ended == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		s.ended = err
	}
}

// endOfStream returns io.EOF if the peer has ended the stream, and otherwise the error with
// which the connection ended.
func (s *Stream) endOfStream() error {
	if info, err := s.info(); err == nil && info.State != tcpClose {
		return io.EOF
	}
	// A write in progress fails at once, because the connection has ended. It may be the
	// one that got the error.
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.ended != nil {
		return s.ended
	}
	return io.EOF
}

// info returns the state of the connection.
func (s *Stream) info() (info *unix.TCPInfo, err error) {
	err = control(s.raw, func(fd int) (infoErr error) {
		info, infoErr = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return infoErr
	})
	return info, err
}
