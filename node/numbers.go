package node

import "sync"

// operationNumbers assigns small numbers to the operations of the node's
// service. The gate keeps its estimates by these numbers. Numbers are never
// reused. It is safe for concurrent use.
type operationNumbers struct {
	mutex  sync.Mutex
	byName map[string]uint32
}

func newOperationNumbers() *operationNumbers {
	return &operationNumbers{byName: make(map[string]uint32)}
}

func (n *operationNumbers) get(operation string) uint32 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	number, ok := n.byName[operation]
	if !ok {
		number = uint32(len(n.byName) + 1)
		n.byName[operation] = number
	}
	return number
}
