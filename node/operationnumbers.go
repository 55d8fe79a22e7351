package node

import "sync"

// operationNumbers assigns consecutive numbers, from 1 on, to the operations of
// the node's service. The gate keeps its estimates per number. Numbers are never
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
