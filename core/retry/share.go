package retry

import "sync"

// ShareBudget bounds the repeats to one service so that the sum over all nodes
// keeps a bound for the fleet: over any period, the repeats are at most ratio
// times the first attempts plus the saved repeats. A quiet node earns nothing,
// because many nodes that earn by time would exceed the fleet's bound together.
// It is safe for concurrent use.
type ShareBudget struct {
	mu      sync.Mutex
	ratio   float64
	maximum float64
	saved   float64
}

// NewShareBudget returns a budget with the maximum of saved repeats. The ratio
// is repeats per first attempt, 0 to 1.
func NewShareBudget(ratio, maximum float64) *ShareBudget {
	return &ShareBudget{ratio: min(max(ratio, 0), 1), maximum: maximum, saved: maximum}
}

// First counts a first attempt.
func (b *ShareBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.ratio, b.maximum)
}

// Spend takes one repeat; false means that it must not be made.
func (b *ShareBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
