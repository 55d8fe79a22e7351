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
	slotDuration = time.Second
	windowSlots  = int(BudgetWindow / slotDuration)
	// repeatSlots covers a whole window although the present slot has only begun.
	retrySlots = windowSlots + 1
)

// reservedBySheddable is the part of the budget that unimportant requests leave
// to others, whether these ask for it or not.
const sheddableReserve = 0.5

// foreseen is the time for which more important repeats are expected to be asked
// for at the present rate.
const forecastHorizon = 5 * time.Second

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
	rankRequest = iota
	rankCriticalCall
	rankNormalCall
	rankSheddableRequest
	rankSheddableCall
	ranks
)

func (k Kind) rank() int {
	switch {
	case k.Class <= outcome.Critical && k.ChildCall:
		return rankCriticalCall
	case k.Class == outcome.Normal && k.ChildCall:
		return rankNormalCall
	case k.Class != outcome.Sheddable:
		return rankRequest
	case k.ChildCall:
		return rankSheddableCall
	default:
		return rankSheddableRequest
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
	first   [2 * windowSlots]int
	retries [2 * windowSlots]int
	// asked counts what was asked for by rank, in the present slot and the one
	// before it.
	requested [2][ranks]int
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
func (b *WindowBudget) Spend(now time.Time, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	earned := max(b.sum(&b.first, 0, windowSlots), b.sum(&b.first, windowSlots/2, windowSlots), b.sum(&b.first, windowSlots, windowSlots))
	allowed := b.ratio*float64(earned) + b.slack
	rank := kind.rank()
	b.requested[0][rank]++
	if float64(b.sum(&b.retries, 0, retrySlots)+1) > b.available(now, allowed, rank) {
		return false
	}
	b.retries[b.index(0)]++
	return true
}

// open returns the part of the budget that a rank may use. It leaves to more
// important ranks what they will ask for if they go on as they do.
func (b *WindowBudget) available(now time.Time, allowed float64, rank int) float64 {
	expected := 0.0
	span := slotDuration + now.Sub(b.start)%slotDuration
	for more := range rank {
		expected += float64(b.requested[0][more]+b.requested[1][more]) * float64(forecastHorizon) / float64(span)
	}
	available := allowed - expected
	if rank >= rankSheddableRequest {
		available = min(available, allowed*(1-sheddableReserve))
	}
	return available
}

// Charge counts a repeat that was decided elsewhere: a call of a request that was
// repeated itself. Later repeats must fit beside it.
func (b *WindowBudget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.retries[b.index(0)]++
}

// advance clears the slots that have begun since the last call.
func (b *WindowBudget) advance(now time.Time) {
	slot := int64(now.Sub(b.start) / slotDuration)
	for cleared := 0; b.slot < slot && cleared < 2*windowSlots; cleared++ {
		b.slot++
		b.first[b.index(0)], b.retries[b.index(0)] = 0, 0
		b.requested[0], b.requested[1] = [ranks]int{}, b.requested[0]
	}
	b.slot = max(b.slot, slot)
}

// index returns the position of the slot that began back slots ago.
func (b *WindowBudget) index(back int) int {
	return int((b.slot - int64(back) + 2*int64(windowSlots)) % int64(2*windowSlots))
}

// sum adds the counts of a number of slots, the latest of which began back slots
// ago.
func (b *WindowBudget) sum(counts *[2 * windowSlots]int, back, slots int) int {
	total := 0
	for i := range slots {
		total += counts[b.index(back+i)]
	}
	return total
}
