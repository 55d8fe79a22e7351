package executor

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// trackedConn counts the bytes written to a target, so that a request that
// failed on a stale keep-alive connection can be proved not to have left.
type trackedConn struct {
	net.Conn
	mutex         sync.Mutex
	written       int64
	writesBlocked bool
	// retired is set by connectionUse.retire.
	retired bool
}

func dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// Write counts the bytes before it writes them.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.reserve(len(p)) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

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

// seal prevents further writes and returns the number of bytes written.
func (c *trackedConn) blockWrites() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writesBlocked = true
	return c.written
}

// connectionUse follows the connection that carries one request.
type connectionUse struct {
	mutex         sync.Mutex
	conn          *trackedConn
	writtenBefore int64
	// untracked is set if the connection is of another type; nothing can be
	// proved then.
	untracked bool
}

// begin is called by net/http when it has chosen the connection.
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

// connected reports whether a connection was chosen.
func (u *connectionUse) connected() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.conn != nil || u.untracked
}

// sent reports whether any byte of the request may have left. It seals the
// connection, so that the answer stays true.
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

// markRetired prevents further writes, for good.
func (c *trackedConn) markRetired() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writesBlocked, c.retired = true, true
}

// retired tells whether another call had taken the connection out of use.
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

// retire takes the connection out of use. A call that net/http has already given
// it to cannot write on it any more, and so provably does not leave.
func (u *connectionUse) retire() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.conn == nil {
		return
	}
	u.conn.markRetired()
	// The answer was read; the error of the close changes nothing.
	_ = u.conn.Close()
}
