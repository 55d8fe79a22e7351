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
	lowestPort  = 12000
	highestPort = 32000
	// attempts bounds the search for one address.
	attempts = 1000
)

// Addresses returns different loopback addresses, IP:port, that nothing listens
// on. It fails if it finds too few.
func Addresses(count int) ([]string, error) {
	found := make([]string, 0, count)
	taken := make(map[int]bool)
	for range attempts {
		if len(found) == count {
			return found, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if taken[port] || !free(address) {
			continue
		}
		taken[port] = true
		found = append(found, address)
	}
	return nil, fmt.Errorf("freeport: found %d of %d free ports from %d to %d; end processes that listen there", len(found), count, lowestPort, highestPort)
}

func free(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
