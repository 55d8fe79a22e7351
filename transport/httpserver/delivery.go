package httpserver

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// lingerTimeout is how long the server reads and discards after the last
	// response. If it closed the connection with unread bytes, the connection would
	// be reset and the client could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// deliveryCheckInterval is the time between two checks of whether a client that has
	// closed its sending side has received the last response.
	deliveryCheckInterval = 50 * time.Millisecond
)

// deliveringConn is a connection that knows what its peer has received.
type deliveringConn interface {
	// Undelivered reports whether the peer has not received all that was written.
	Undelivered() bool
	// CloseAfterDelivery closes the connection without dropping what was written.
	CloseAfterDelivery() error
	// WaitingData reports whether data waited for the peer lately, and for how long the
	// peer had not accepted any.
	WaitingData() (waiting bool, windowClosed time.Duration)
}

// undelivered reports whether the client has not received all that was written. It is false
// for a connection that cannot tell.
func (c *conn) undelivered() bool {
	delivering, ok := c.Conn.(deliveringConn)
	return ok && delivering.Undelivered()
}

// end closes the sending side after the last response. The caller holds the mutex.
// The reading goroutine closes the connection when the client has received all and has
// closed its side, or after lingerTimeout.
func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.progress.Broadcast()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discard reads until the client closes the connection, so that the client's
// disconnect is noticed while requests run, and the last response is not lost. A client
// that reads slowly may need longer than the time until which the connection was to be
// read, or may have closed only its sending side.
func (c *conn) discard() {
	c.mu.Lock()
	if !c.ended && !c.pipeline.idle() {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	c.limit.end()
	end := time.Now().Add(c.server.config.WriteTimeout)
	for {
		_, err := io.Copy(io.Discard, c.limit)
		if !c.delivering() || time.Now().After(end) {
			return
		}
		switch {
		case err == nil:
			time.Sleep(deliveryCheckInterval)
		case isTimeout(err):
			_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		default:
			return
		}
	}
}

// delivering reports whether all responses have been written and the client has not
// received them yet.
func (c *conn) delivering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipeline.idle() && c.undelivered()
}

// close closes the connection at the end of the server. Responses that have been written
// are still delivered; requests that run are canceled.
func (c *conn) close() {
	if delivering, ok := c.Conn.(deliveringConn); ok && c.delivering() {
		_ = delivering.CloseAfterDelivery()
	}
	c.abort()
}

// logLoss logs that the system ended the connection before the client received all
// responses.
func (c *conn) logLoss() {
	delivering, ok := c.Conn.(deliveringConn)
	if !ok || !errors.Is(c.limit.err, syscall.ETIMEDOUT) {
		return
	}
	if waiting, windowClosed := delivering.WaitingData(); waiting {
		c.server.config.Logger.Info("A client was disconnected because it did not acknowledge or read its response in time.",
			zap.Stringer("client", c.RemoteAddr()), zap.Duration("window_closed", windowClosed))
	}
}
