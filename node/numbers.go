package node

import "sync"

// numbers gives each operation of the own service a small number, by which the
// gate keeps its estimates. Numbers are never reused. It is safe for
// concurrent use.
type numbers struct {
	mutex sync.Mutex
	known map[string]uint32
}

func newNumbers() *numbers { return &numbers{known: make(map[string]uint32)} }

func (n *numbers) of(operation string) uint32 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	number, ok := n.known[operation]
	if !ok {
		number = uint32(len(n.known) + 1)
		n.known[operation] = number
	}
	return number
}
