package retry

import (
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// BudgetWindow is the time over which repeats are compared with first attempts.
	BudgetWindow = 10 * time.Second
	// shareSlot is the resolution of the counts.
	shareSlot  = time.Second
	shareSlots = int(BudgetWindow / shareSlot)
	// repeatSlots covers a whole window although the present slot has only begun.
	repeatSlots = shareSlots + 1
)

// reservedBySheddable is the part of the budget that unimportant requests leave
// to others, whether these ask for it or not.
const reservedBySheddable = 0.5

// foreseen is the time for which more important repeats are expected to be asked
// for at the present rate.
const foreseen = 5 * time.Second

// Kind describes a repeat that is asked for.
type Kind struct {
	Class outcome.Class
	// ChildCall tells that a target makes the request for one that it runs.
	ChildCall bool
}

// Ranks of repeats, by what one repeat is worth. A repeat of a request of a client
// completes the whole request; a repeat of a call completes one of its calls,
// and the others may still fail.
const (
	rankImportant = iota
	rankImportantCall
	rankNormalCall
	rankSheddable
	rankSheddableCall
	ranks
)

func (r Kind) rank() int {
	switch {
	case r.Class <= outcome.Critical && r.ChildCall:
		return rankImportantCall
	case r.Class == outcome.Normal && r.ChildCall:
		return rankNormalCall
	case r.Class != outcome.Sheddable:
		return rankImportant
	case r.ChildCall:
		return rankSheddableCall
	default:
		return rankSheddable
	}
}

// WindowBudget bounds the repeats to one service so that the sum over all nodes
// keeps a bound for the fleet: over any window, the repeats are at most ratio
// times the first attempts, plus slack. First attempts are those of the window,
// of the one before it or of the one half a window before it, whichever are
// most, so that the budget does not shrink at the moment when fewer requests are
// let in because of a fault. A quiet node earns nothing, because many nodes that
// earn by time would exceed the fleet's bound together. It is safe for concurrent
// use.
type WindowBudget struct {
	mu    sync.Mutex
	ratio float64
	slack float64
	// first and repeats count by slot; a slot is reused after two windows.
	first   [2 * shareSlots]int
	repeats [2 * shareSlots]int
	// asked counts what was asked for by rank, in the present slot and the one
	// before it.
	asked [2][ranks]int
	// slot is the number of the present slot since start.
	slot  int64
	start time.Time
}

// NewWindowBudget returns a budget. The ratio is repeats per first attempt, 0 to
// 1; slack is the number of repeats without first attempts.
func NewWindowBudget(now time.Time, ratio, slack float64) *WindowBudget {
	return &WindowBudget{ratio: min(max(ratio, 0), 1), slack: slack, start: now}
}

// RecordFirstAttempt counts a first attempt.
func (b *WindowBudget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.first[b.index(0)]++
}

// Spend takes one repeat; false means that it must not be made.
func (b *WindowBudget) Spend(now time.Time, repeat Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	earned := max(b.sum(&b.first, 0, shareSlots), b.sum(&b.first, shareSlots/2, shareSlots), b.sum(&b.first, shareSlots, shareSlots))
	allowed := b.ratio*float64(earned) + b.slack
	rank := repeat.rank()
	b.asked[0][rank]++
	if float64(b.sum(&b.repeats, 0, repeatSlots)+1) > b.open(now, allowed, rank) {
		return false
	}
	b.repeats[b.index(0)]++
	return true
}

// open returns the part of the budget that a rank may use. It leaves to more
// important ranks what they will ask for if they go on as they do.
func (b *WindowBudget) open(now time.Time, allowed float64, rank int) float64 {
	expected := 0.0
	span := shareSlot + now.Sub(b.start)%shareSlot
	for more := range rank {
		expected += float64(b.asked[0][more]+b.asked[1][more]) * float64(foreseen) / float64(span)
	}
	open := allowed - expected
	if rank >= rankSheddable {
		open = min(open, allowed*(1-reservedBySheddable))
	}
	return open
}

// Charge counts a repeat that was decided elsewhere: a call of a request that was
// repeated itself. Later repeats must fit beside it.
func (b *WindowBudget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.repeats[b.index(0)]++
}

// advance clears the slots that have begun since the last call.
func (b *WindowBudget) advance(now time.Time) {
	slot := int64(now.Sub(b.start) / shareSlot)
	for cleared := 0; b.slot < slot && cleared < 2*shareSlots; cleared++ {
		b.slot++
		b.first[b.index(0)], b.repeats[b.index(0)] = 0, 0
		b.asked[0], b.asked[1] = [ranks]int{}, b.asked[0]
	}
	b.slot = max(b.slot, slot)
}

// index returns the position of the slot that began back slots ago.
func (b *WindowBudget) index(back int) int {
	return int((b.slot - int64(back) + 2*int64(shareSlots)) % int64(2*shareSlots))
}

// sum adds the counts of a number of slots, the latest of which began back slots
// ago.
func (b *WindowBudget) sum(counts *[2 * shareSlots]int, back, slots int) int {
	total := 0
	for i := range slots {
		total += counts[b.index(back+i)]
	}
	return total
}
