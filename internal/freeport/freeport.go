// Package freeport finds loopback addresses for processes that tests start.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// The ports are below the ephemeral range of Linux, which starts at 32768. An
	// outgoing connection of another test may take a port of that range before the
	// process listens on it, which made tests fail.
	minPort = 12000
	maxPort = 32000
	// maxAttempts bounds the number of ports that one call of Addresses tries.
	maxAttempts = 1000
)

// reserved holds a UDP socket on the port of each address that Addresses has returned.
var (
	mu       sync.Mutex
	reserved []net.PacketConn
)

// Addresses returns count distinct loopback addresses (IP:port) on which nothing
// listens. It fails if it finds fewer.
//
// No call returns an address again, in this process or in another one, until this process
// ends. The tests of several packages run at the same time, and one of them could otherwise
// take the address of a process that another one is restarting.
func Addresses(count int) ([]string, error) {
	found := make([]string, 0, count)
	for range maxAttempts {
		if len(found) == count {
			return found, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		if reserve(address) {
			found = append(found, address)
		}
	}
	return nil, fmt.Errorf("freeport: found %d of %d free ports from %d to %d; end processes that listen there", len(found), count, minPort, maxPort)
}

// reserve reserves an address for this process, and reports false if another call has
// reserved it or if something listens on it. The reservation is a UDP socket on the same
// port, which the kernel closes when the process ends, however it ends. It does not keep
// others from listening for TCP connections.
func reserve(address string) bool {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		_ = socket.Close()
		return false
	}
	_ = listener.Close()
	mu.Lock()
	defer mu.Unlock()
	reserved = append(reserved, socket)
	return true
}
