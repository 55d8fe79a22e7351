// Package socket opens TCP sockets that detect an unresponsive peer. A connection may
// stop carrying data without a reset. Keep-alive probes detect this while the
// connection is idle, and TCP_USER_TIMEOUT while sent data is not acknowledged.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may remain unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes close an idle connection
	// about 2.5 s after its peer became unresponsive.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// Dialer returns a dialer whose connections detect an unresponsive peer. The timeout
// bounds the time in which a connection is opened.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen opens a TCP listener; accepted connections inherit its socket options.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects or listens.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

const (
	// minAcceptDelay and maxAcceptDelay bound the wait after a failed accept.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Accept calls serve with each connection of the listener until the listener is
// closed, and then returns nil. Other errors, such as a lack of file descriptors or
// a connection that was reset before it was accepted, are temporary: Accept logs
// them and continues after a delay.
func Accept(listener net.Listener, logger *zap.Logger, serve func(net.Conn)) error {
	delay := minAcceptDelay
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			logger.Warn("A connection could not be accepted; check the limit of open files.", zap.Duration("retry_in", delay), zap.Error(err))
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
		default:
			delay = minAcceptDelay
			serve(conn)
		}
	}
}
