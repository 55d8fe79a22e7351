package relay

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxNumbered bounds the routes that get a number of their own.
const maxNumbered = 4096

// operationNumbers numbers routes in the order in which they are first seen. A
// gate keeps estimates by number in a small table, in which hashes of names would
// meet by chance: a short operation would then be refused by the time of a long one.
type operationNumbers struct {
	mu      sync.RWMutex
	byRoute map[string]uint32
}

func newOperationNumbers() *operationNumbers {
	return &operationNumbers{byRoute: make(map[string]uint32)}
}

// of returns the number of a route.
func (n *operationNumbers) lookup(route string) uint32 {
	n.mu.RLock()
	number, known := n.byRoute[route]
	n.mu.RUnlock()
	if known {
		return number
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if number, known = n.byRoute[route]; known {
		return number
	}
	if len(n.byRoute) >= maxNumbered {
		return uint32(xxhash.Sum64String(route))
	}
	number = uint32(len(n.byRoute))
	n.byRoute[route] = number
	return number
}
