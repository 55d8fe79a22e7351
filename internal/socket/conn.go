package socket

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstCheck is the time from a write to the first look at whether its data has been
	// acknowledged. It leaves time to raise the limit before silenceTimeout.
	firstCheck = time.Second
	// checkInterval is the time between further looks while data is not acknowledged.
	checkInterval = 250 * time.Millisecond
)

// A Conn is a TCP connection. It is safe for concurrent use. While written data is not
// acknowledged, a timer looks at the state of the connection and adapts its limits.
type Conn struct {
	*Stream
	// writers is the number of writes in progress.
	writers atomic.Int32
	// checking is set while a check is scheduled.
	checking atomic.Bool

	// mu guards the fields below.
	mu     sync.Mutex
	timer  *time.Timer
	closed bool
	// stall decides about the limit. timeout is the limit of the socket.
	stall   stall
	timeout time.Duration
	// waiting is set if data was not acknowledged at the latest check.
	waiting bool
}

var _ net.Conn = (*Conn)(nil)

// watched returns a connection whose limits are adapted.
func watched(conn net.Conn) (net.Conn, error) {
	stream, err := NewStream(conn)
	if err != nil {
		return nil, err
	}
	return &Conn{Stream: stream, timeout: silenceTimeout}, nil
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.beginWrite()
	defer c.endWrite()
	return c.Stream.Write(data)
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	c.beginWrite()
	defer c.endWrite()
	return c.Stream.ReadFrom(r)
}

// WriteBuffers writes buffers to a connection, with one system call if the connection
// permits it.
func WriteBuffers(conn net.Conn, buffers net.Buffers) error {
	if c, ok := conn.(*Conn); ok {
		c.beginWrite()
		defer c.endWrite()
		return c.writeBuffers(buffers)
	}
	_, err := buffers.WriteTo(conn)
	return err
}

// Close implements net.Conn. The kernel still sends written data, but no longer than
// silenceTimeout to a peer whose window stays closed.
func (c *Conn) Close() error { return c.closeWithin(silenceTimeout) }

// CloseAfterDelivery closes the connection like Close, but lets the kernel send written
// data as long as an open connection would. It is for a process that is about to exit; the
// kernel keeps the data for as long.
func (c *Conn) CloseAfterDelivery() error { return c.closeWithin(readTimeout) }

// closeWithin closes the connection. The limit then holds for the data that remains.
func (c *Conn) closeWithin(limit time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.setTimeout(limit)
	return c.TCPConn.Close()
}

// Undelivered reports whether the connection is open and the peer has not acknowledged all
// that was written.
func (c *Conn) Undelivered() bool {
	state, err := c.sendState()
	return err == nil && !state.ended && state.pending()
}

// WaitingData reports whether data waited for the peer when the connection was last looked
// at, also if it has ended since, and for how long the window of the peer had been closed
// then. The time is 0 for a peer that acknowledged nothing although its window was open.
func (c *Conn) WaitingData() (waiting bool, windowClosed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.stall.closed() {
		windowClosed = c.stall.lastCheck.Sub(c.stall.began)
	}
	return c.waiting, windowClosed
}

// beginWrite makes sure that a check follows the write that begins.
func (c *Conn) beginWrite() {
	c.writers.Add(1)
	if c.checking.CompareAndSwap(false, true) {
		c.startChecks()
	}
}

func (c *Conn) endWrite() { c.writers.Add(-1) }

// startChecks schedules the first check after a write. If the window is closed already, a
// check is in progress that has left the next one to this write.
func (c *Conn) startChecks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stall.closed() {
		c.schedule(checkInterval)
		return
	}
	c.stall = stall{lastCheck: time.Now()}
	c.schedule(firstCheck)
}

// schedule schedules the next check. The caller holds the mutex.
func (c *Conn) schedule(after time.Duration) {
	switch {
	case c.closed:
	case c.timer == nil:
		c.timer = time.AfterFunc(after, c.check)
	default:
		c.timer.Reset(after)
	}
}

// check looks at the state of the connection and schedules the next check unless all
// data has been acknowledged.
func (c *Conn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A write that begins from here on schedules a check itself. The order matters: a
	// write that has begun before is either in progress now, or its data is seen below.
	c.checking.Store(false)
	writing := c.writers.Load() > 0
	now := time.Now()
	state, err := c.sendState()
	if err != nil || state.ended {
		// The connection has ended, or the system does not report its state. Then the
		// limit stays as it is.
		return
	}
	c.setTimeout(c.stall.limit(now, state))
	c.waiting = state.pending()
	if (writing || c.waiting) && c.checking.CompareAndSwap(false, true) {
		c.schedule(checkInterval)
	}
}

// sendState returns the state of the data that is being sent.
func (c *Conn) sendState() (sendState, error) {
	info, err := c.info()
	if err != nil {
		return sendState{}, err
	}
	return sendState{
		ended:        info.State == tcpClose,
		inFlight:     info.Unacked > 0,
		unsent:       info.Notsent_bytes > 0,
		acknowledged: info.Bytes_acked,
		sinceAck:     time.Duration(info.Last_ack_recv) * time.Millisecond,
		rto:          time.Duration(info.Rto) * time.Microsecond,
		probes:       int(info.Backoff) - int(info.Probes),
	}, nil
}

// setTimeout sets the limit of the socket. The caller holds the mutex.
func (c *Conn) setTimeout(timeout time.Duration) {
	if timeout == c.timeout {
		return
	}
	if control(c.raw, func(fd int) error { return setUserTimeout(fd, timeout) }) == nil {
		c.timeout = timeout
	}
}
