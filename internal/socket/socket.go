// Package socket opens TCP sockets that detect an unresponsive peer. A connection may
// stop carrying data without a reset. Keep-alive probes detect this while the
// connection is idle, and TCP_USER_TIMEOUT while sent data is not acknowledged.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

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
