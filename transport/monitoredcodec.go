package transport

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// monitoredCodec detects the loss of its connection, so that the next call
// dials again instead of failing, and records when responses arrive.
type monitoredCodec struct {
	clientCodec
	lost chan struct{}
	once sync.Once
	// opened is the time when the connection was opened. lastReceived is the time
	// from then to the latest response, in nanoseconds.
	opened       time.Time
	lastReceived atomic.Int64
}

func newMonitoredCodec(conn net.Conn, config ClientConfig) *monitoredCodec {
	return &monitoredCodec{
		clientCodec: newClientCodec(conn, config.MaxBodyBytes, config.Memory),
		lost:        make(chan struct{}),
		opened:      time.Now(),
	}
}

// receivedSince reports whether a response has arrived on the connection after
// the given time.
func (c *monitoredCodec) receivedSince(at time.Time) bool {
	return c.opened.Add(time.Duration(c.lastReceived.Load())).After(at)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *monitoredCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.clientCodec.ReadResponseHeader(r)
	if err != nil {
		c.markLost()
		return err
	}
	c.lastReceived.Store(int64(time.Since(c.opened)))
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *monitoredCodec) ReadResponseBody(body any) error {
	err := c.clientCodec.ReadResponseBody(body)
	if err != nil {
		c.markLost()
	}
	return err
}

// markLost closes the connection after its responses can no longer be read.
func (c *monitoredCodec) markLost() {
	c.once.Do(func() {
		close(c.lost)
		// The connection is unusable, so an error does not matter.
		_ = c.Close()
	})
}

func (c *monitoredCodec) broken() bool {
	select {
	case <-c.lost:
		return true
	default:
		return false
	}
}
