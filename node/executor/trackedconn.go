package executor

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/primrosemount/primrosemount/internal/responsehead"
	"github.com/primrosemount/primrosemount/internal/socket"
)

// trackedConn counts the bytes written to a target. After a request has failed
// on a stale keep-alive connection, the count can prove that no byte of the
// request was sent.
type trackedConn struct {
	*responsehead.Conn
	mutex         sync.Mutex
	written       int64
	writesBlocked bool
	// retired is set by markRetired.
	retired bool
}

// dialTracked opens a trackedConn.
func dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	stream, err := socket.NewStream(conn)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: responsehead.NewConn(stream)}, nil
}

// Write counts the bytes before writing them, so that the count is never too
// low.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.reserve(len(p)) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// reserve adds n to the number of bytes written, or returns false if writes are
// blocked.
func (c *trackedConn) reserve(n int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writesBlocked {
		return false
	}
	c.written += int64(n)
	return true
}

func (c *trackedConn) bytesWritten() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written
}

// blockWrites prevents further writes and returns the number of bytes written.
func (c *trackedConn) blockWrites() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writesBlocked = true
	return c.written
}

// connectionUse records the connection that carries one request.
type connectionUse struct {
	mutex         sync.Mutex
	conn          *trackedConn
	writtenBefore int64
	// untracked is set if the connection is not a trackedConn. Whether bytes were
	// sent is then unknown.
	untracked bool
}

// recordConn records the connection that net/http has selected for the request.
func (u *connectionUse) recordConn(info httptrace.GotConnInfo) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		u.untracked = true
		return
	}
	u.conn = conn
	u.writtenBefore = conn.bytesWritten()
}

// connected reports whether net/http selected a connection.
func (u *connectionUse) connected() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.conn != nil || u.untracked
}

// sent reports whether any byte of the request may have been sent. It blocks
// further writes on the connection, so that the result remains true.
func (u *connectionUse) sent() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.untracked {
		return true
	}
	if u.conn == nil {
		return false
	}
	return u.conn.blockWrites() > u.writtenBefore
}

// markRetired permanently prevents writes and marks the connection as retired.
func (c *trackedConn) markRetired() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writesBlocked, c.retired = true, true
}

// retired reports whether the connection was retired on behalf of another call.
func (u *connectionUse) retired() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.conn == nil {
		return false
	}
	u.conn.mutex.Lock()
	defer u.conn.mutex.Unlock()
	return u.conn.retired
}

// retire blocks writes on the connection and closes it. A call to which
// net/http has already assigned the connection cannot write to it any more, so
// it provably is not sent and can be sent on another connection.
func (u *connectionUse) retire() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.conn == nil {
		return
	}
	u.conn.markRetired()
	// The response has been read, so an error of Close has no effect on it.
	_ = u.conn.Close()
}
