// Package socket opens TCP connections that detect a silent peer within about 2 s and
// tolerate one that reads slowly.
//
// A peer is silent if it acknowledges nothing any more, such as a VM without power. A
// connection to it carries no data but is not reset. Keep-alive probes detect this while
// the connection is idle, and TCP_USER_TIMEOUT while data is sent. But the kernel also
// applies TCP_USER_TIMEOUT to a peer whose window is closed because its program does not
// read, although its kernel acknowledges every probe. A Conn therefore raises the limit as
// long as such probes are acknowledged.
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
	// silenceTimeout is how long a peer may acknowledge nothing, neither data nor a probe
	// of its window, before the connection is closed.
	silenceTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes close an idle connection
	// about 2.5 s after its peer became unresponsive.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// A Dialer opens connections.
type Dialer struct {
	// Timeout and Deadline bound the time in which a connection is opened. The zero
	// value of each means no bound.
	Timeout  time.Duration
	Deadline time.Time
}

// DialContext opens a TCP connection. Its result is a *Conn.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, Deadline: d.Deadline, KeepAliveConfig: keepAlive, Control: setSilenceTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return watched(conn)
}

// Listen opens a TCP listener, which accepts connections of the type *Conn.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setSilenceTimeout}
	// Multipath TCP has no TCP_USER_TIMEOUT.
	config.SetMultipathTCP(false)
	accepting, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener{accepting}, nil
}

// listener accepts connections that inherit its socket options.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return watched(conn)
}

// setSilenceTimeout sets TCP_USER_TIMEOUT on a socket before it connects or listens.
func setSilenceTimeout(_, _ string, raw syscall.RawConn) error {
	return control(raw, func(fd int) error { return setUserTimeout(fd, silenceTimeout) })
}

func setUserTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// control runs an operation on the file descriptor of a socket.
func control(raw syscall.RawConn, operation func(fd int) error) error {
	var operationErr error
	if err := raw.Control(func(fd uintptr) { operationErr = operation(int(fd)) }); err != nil {
		return err
	}
	return operationErr
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
