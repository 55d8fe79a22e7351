// Package freeport finds loopback addresses for processes that tests start.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
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

// Addresses returns count distinct loopback addresses (IP:port) on which nothing
// listens. It fails if it finds fewer.
func Addresses(count int) ([]string, error) {
	found := make([]string, 0, count)
	used := make(map[int]bool)
	for range maxAttempts {
		if len(found) == count {
			return found, nil
		}
		port := minPort + rand.IntN(maxPort-minPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if used[port] || !isFree(address) {
			continue
		}
		used[port] = true
		found = append(found, address)
	}
	return nil, fmt.Errorf("freeport: found %d of %d free ports from %d to %d; end processes that listen there", len(found), count, minPort, maxPort)
}

// isFree reports whether a listener can be opened on the address.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
