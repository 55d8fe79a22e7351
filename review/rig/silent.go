package rig

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// silentFill is the number of connections that fill the queue of a silent listener.
const silentFill = 8

// Silence makes connections to an address hang, as those to a machine without power do:
// a socket listens there, accepts nothing, and its queue of new connections is full.
func (r *Rig) Silence(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	name := syscall.SockaddrInet4{Addr: [4]byte(net.ParseIP(host).To4())}
	if _, err := fmt.Sscan(port, &name.Port); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &name); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range silentFill {
		// The connections stay open until the case ends.
		if _, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err != nil {
			r.Record("silent", "connections to %s hang from now on", address)
			return nil
		}
	}
	return fmt.Errorf("connections to %s do not hang", address)
}
