package retry

import (
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// ShareWindow is the time over which repeats are compared with first attempts.
	ShareWindow = 10 * time.Second
	// shareSlot is the resolution of the counts.
	shareSlot  = time.Second
	shareSlots = int(ShareWindow / shareSlot)
)

// reserved is the part of the budget that a class leaves to more important ones.
var reserved = map[outcome.Class]float64{
	outcome.Critical:  0,
	outcome.Normal:    0.25,
	outcome.Sheddable: 0.5,
}

// ShareBudget bounds the repeats to one service so that the sum over all nodes
// keeps a bound for the fleet: over any window, the repeats are at most ratio
// times the first attempts, plus slack. First attempts are those of the window
// or of the one before it, whichever are more, so that the budget does not
// shrink at the moment when fewer requests are let in because of a fault. A quiet
// node earns nothing, because many nodes that earn by time would exceed the
// fleet's bound together. It is safe for concurrent use.
type ShareBudget struct {
	mu    sync.Mutex
	ratio float64
	slack float64
	// first and repeats count by slot; a slot is reused after two windows.
	first   [2 * shareSlots]int
	repeats [2 * shareSlots]int
	// slot is the number of the present slot since start.
	slot  int64
	start time.Time
}

// NewShareBudget returns a budget. The ratio is repeats per first attempt, 0 to
// 1; slack is the number of repeats without first attempts.
func NewShareBudget(now time.Time, ratio, slack float64) *ShareBudget {
	return &ShareBudget{ratio: min(max(ratio, 0), 1), slack: slack, start: now}
}

// First counts a first attempt.
func (b *ShareBudget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.first[b.index(0)]++
}

// Spend takes one repeat for a request of the class; false means that it must
// not be made.
func (b *ShareBudget) Spend(now time.Time, class outcome.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	earned := max(b.sum(&b.first, 0), b.sum(&b.first, shareSlots))
	allowed := (b.ratio*float64(earned) + b.slack) * (1 - reserved[class])
	if float64(b.sum(&b.repeats, 0)+1) > allowed {
		return false
	}
	b.repeats[b.index(0)]++
	return true
}

// Charge counts a repeat that was decided elsewhere: a call of a request that was
// repeated itself. Later repeats must fit beside it.
func (b *ShareBudget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.repeats[b.index(0)]++
}

// advance clears the slots that have begun since the last call.
func (b *ShareBudget) advance(now time.Time) {
	slot := int64(now.Sub(b.start) / shareSlot)
	for cleared := 0; b.slot < slot && cleared < 2*shareSlots; cleared++ {
		b.slot++
		b.first[b.index(0)], b.repeats[b.index(0)] = 0, 0
	}
	b.slot = max(b.slot, slot)
}

// index returns the position of the slot that began back slots ago.
func (b *ShareBudget) index(back int) int {
	return int((b.slot - int64(back) + 2*int64(shareSlots)) % int64(2*shareSlots))
}

// sum adds one window of counts that ends back slots ago.
func (b *ShareBudget) sum(counts *[2 * shareSlots]int, back int) int {
	total := 0
	for i := range shareSlots {
		total += counts[b.index(back+i)]
	}
	return total
}
