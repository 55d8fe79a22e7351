package node

import (
	"net"
	"os"
	"syscall"
)

// acceptPending accepts the pending connections and stops listening
// immediately. Closing the listener alone is not enough: the socket is only
// closed when the goroutine blocked in Accept has run, and connections
// established until then are reset.
func acceptPending(listener *net.TCPListener) ([]net.Conn, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var pending []net.Conn
	var shutdownErr error
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				break
			}
			if conn := newConn(accepted); conn != nil {
				pending = append(pending, conn)
			}
		}
		shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	if err != nil {
		return pending, err
	}
	return pending, shutdownErr
}

// newConn returns a connection for an accepted socket, or nil if that fails.
func newConn(socket int) net.Conn {
	file := os.NewFile(uintptr(socket), "caller")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}
