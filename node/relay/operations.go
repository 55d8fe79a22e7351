package relay

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxNumbered limits the number of routes that are numbered in sequence. Further
// routes are identified by a hash.
const maxNumbered = 4096

// operationNumbers assigns sequential numbers to routes in the order in which they
// are first used. The gate keeps a service time estimate for each number. If two routes
// shared one, requests of a fast operation would be refused because of the service time
// of a slow one.
type operationNumbers struct {
	mu      sync.RWMutex
	byRoute map[string]uint32
}

func newOperationNumbers() *operationNumbers {
	return &operationNumbers{byRoute: make(map[string]uint32)}
}

// lookup returns the number of a route and assigns one if necessary.
func (n *operationNumbers) lookup(route string) uint32 {
	if number, known := n.known(route); known {
		return number
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if number, known := n.byRoute[route]; known {
		return number
	}
	if len(n.byRoute) >= maxNumbered {
		return uint32(xxhash.Sum64String(route))
	}
	number := uint32(len(n.byRoute))
	n.byRoute[route] = number
	return number
}

// known returns the number of a route and whether it has one.
func (n *operationNumbers) known(route string) (uint32, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	number, known := n.byRoute[route]
	return number, known
}
