package node

import (
	"net"
	"os"
	"syscall"
)

// acceptWaiting accepts the connections that wait and ends listening at once.
// Closing the listener alone is too late: the system closes it only when the
// goroutine that accepts has run, and resets what was opened until then.
func acceptWaiting(listener *net.TCPListener) ([]net.Conn, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var waiting []net.Conn
	var shutdownErr error
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				break
			}
			if conn := connOf(accepted); conn != nil {
				waiting = append(waiting, conn)
			}
		}
		shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	if err != nil {
		return waiting, err
	}
	return waiting, shutdownErr
}

// connOf wraps an accepted socket; nil if that is not possible.
func connOf(socket int) net.Conn {
	file := os.NewFile(uintptr(socket), "caller")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}
