// Package socket opens TCP sockets that notice a silent peer. A connection may
// stop carrying data without a reset; keep-alive probes find this while the
// connection is idle, and TCP_USER_TIMEOUT while data is not acknowledged.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silence is the time without acknowledgement after which a connection with
	// unacknowledged data ends.
	userTimeout = 2 * time.Second
	// probeAfter, probeEvery and probes end an idle connection about 2.5 s after
	// its peer went silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// Dialer returns a dialer with the timeout for opening a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen opens a listener; its accepted connections inherit the bounds.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

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
