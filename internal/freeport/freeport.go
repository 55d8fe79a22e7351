// Package freeport finds loopback addresses for processes that tests start.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// The ports lie below those that Linux gives to outgoing connections from
	// 32768 on. A port from that range may be taken by a connection of another
	// test before the process listens on it, which made tests fail.
	minPort = 12000
	maxPort = 32000
	// attempts bounds the search for one address.
	maxAttempts = 1000
)

// Addresses returns different loopback addresses, IP:port, that nothing listens
// on. It fails if it finds too few.
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

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
