// Package sockettest provides TCP peers for tests: peers that read slowly and peers that
// fall silent.
package sockettest

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// windowBytes is the size of the receive buffer of a peer that reads slowly. The larger
// a buffer, the more data a test has to send before its peer blocks the writer.
const windowBytes = 4 << 10

// SlowDialer returns a dialer whose connections receive only a few kilobytes that have
// not been read, so that a peer which does not read closes its window soon.
func SlowDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: limitWindow}
}

// SlowListener returns a listener on a free loopback port whose accepted connections are
// like those of SlowDialer.
func SlowListener() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return listener, limitListener(listener.(*net.TCPListener))
}

// limitListener limits the windows of the connections that the listener accepts.
func limitListener(listener *net.TCPListener) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	return limitWindow("", "", raw)
}

func limitWindow(_, _ string, raw syscall.RawConn) error {
	return control(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, windowBytes) })
}

// Silence makes the peer of the connection's other end appear to have lost its power:
// from now on everything that arrives at the connection is dropped before TCP handles
// it, so that nothing is acknowledged. A socket filter needs no privileges.
func Silence(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	// The only instruction returns the number of bytes to keep of a segment.
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	return control(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &program[0]})
	})
}

// Unsilence ends the effect of Silence.
func Unsilence(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return control(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// control runs a function with the file descriptor of a socket.
func control(raw syscall.RawConn, operation func(fd int) error) error {
	var operationErr error
	if err := raw.Control(func(fd uintptr) { operationErr = operation(int(fd)) }); err != nil {
		return err
	}
	return operationErr
}

// stallTick is the interval at which RecordStalls expects to run.
const stallTick = 10 * time.Millisecond

// RecordStalls measures for how long the process does not run, as on a machine with too
// much work. The returned function ends the measurement and returns the longest time.
func RecordStalls() (end func() time.Duration) {
	done, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		longest, last := time.Duration(0), time.Now()
		for {
			select {
			case <-done:
				result <- longest
				return
			case <-time.After(stallTick):
			}
			longest = max(longest, time.Since(last)-stallTick)
			last = time.Now()
		}
	}()
	return func() time.Duration {
		close(done)
		return <-result
	}
}
