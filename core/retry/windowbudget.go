package retry

import (
	"math"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// BudgetWindow is the period over which retries are compared with first
	// attempts.
	BudgetWindow = 10 * time.Second
	// slotDuration is the resolution of the counters.
	slotDuration = time.Second
	windowSlots  = int(BudgetWindow / slotDuration)
	// retrySlots covers a whole window although the current slot is only partly
	// over.
	retrySlots = windowSlots + 1
)

// sheddableReserve is the part of the budget that sheddable requests cannot
// use, whether or not other classes request retries.
const sheddableReserve = 0.5

// forecastHorizon is the time for which higher ranks are expected to request
// retries at their current rate.
const forecastHorizon = 5 * time.Second

// A Kind classifies a requested retry.
type Kind struct {
	Class outcome.Class
	// ChildCall is true if a target makes the call for a request that it is
	// processing. Otherwise the request was sent by a client.
	ChildCall bool
}

// Ranks of retries, highest first, by the value of one retry. A retry of a
// client's request completes that request, while a retry of a child call
// completes one of several calls of a request, and the others may still fail.
const (
	rankRequest = iota
	rankCriticalCall
	rankNormalCall
	rankSheddableRequest
	rankSheddableCall
	ranks
)

// rank returns the rank of a retry; a lower number is a higher rank.
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

// A WindowBudget limits the retries to one service so that a limit also holds
// for the sum over all nodes. Over any window, retries are at most ratio times
// the first attempts, plus slack. First attempts are counted over the current
// window, the previous window and the window that ended half a window ago, and
// the largest of the three counts is used, so that the budget does not shrink
// when a fault causes fewer requests to be admitted. Time alone adds nothing to
// the budget, because many idle nodes with budgets that grow over time would
// together exceed the limit of the fleet. It is safe for concurrent use.
type WindowBudget struct {
	mu    sync.Mutex
	ratio float64
	slack float64
	// first and retries are counts by slot; a slot is reused after two windows.
	first   [2 * windowSlots]int
	retries [2 * windowSlots]int
	// requested counts the requested retries by rank, in the current slot and
	// in the one before it.
	requested [2][ranks]int
	// slot is the number of the current slot since start.
	slot  int64
	start time.Time
}

// NewWindowBudget returns a budget; ratio is the number of retries per first
// attempt, from 0 to 1; slack is the number of retries that are permitted
// without any first attempts.
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

// Spend takes one retry from the budget. If it returns false, the retry must
// not be made.
func (b *WindowBudget) Spend(now time.Time, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	allowed := b.allowed()
	rank := kind.rank()
	b.requested[0][rank]++
	if float64(b.sum(&b.retries, 0, retrySlots)+1) > b.available(now, allowed, rank) {
		return false
	}
	b.retries[b.index(0)]++
	return true
}

// take takes one retry from the budget regardless of its rank.
func (b *WindowBudget) take(now time.Time, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requested[0][kind.rank()]++
	if float64(b.sum(&b.retries, 0, retrySlots)+1) > b.allowed() {
		return false
	}
	b.retries[b.index(0)]++
	return true
}

// allowed returns the number of retries that one window permits.
func (b *WindowBudget) allowed() float64 {
	earned := max(b.sum(&b.first, 0, windowSlots), b.sum(&b.first, windowSlots/2, windowSlots), b.sum(&b.first, windowSlots, windowSlots))
	return b.ratio*float64(earned) + b.slack
}

// permitted returns the number of retries that the budget permits until the given number
// of slots has passed. Retries that leave the window until then are permitted again.
func (b *WindowBudget) permitted(now time.Time, slots int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return max(b.allowed()-float64(b.sum(&b.retries, 0, retrySlots-slots)), 0)
}

// sustainableRate returns the highest rate of retries per second that the budget permits
// at every time until the horizon.
func (b *WindowBudget) sustainableRate(now time.Time, horizon time.Duration) float64 {
	lowest := math.Inf(1)
	for slots := 1; slots <= int(horizon/slotDuration); slots++ {
		lowest = min(lowest, b.permitted(now, slots)/(time.Duration(slots)*slotDuration).Seconds())
	}
	return lowest
}

// available returns the part of the budget that a rank may use. It reserves for
// higher ranks the retries that they are expected to request at their current
// rate.
func (b *WindowBudget) available(now time.Time, allowed float64, rank int) float64 {
	expected := 0.0
	span := slotDuration + now.Sub(b.start)%slotDuration
	for higher := range rank {
		expected += float64(b.requested[0][higher]+b.requested[1][higher]) * float64(forecastHorizon) / float64(span)
	}
	available := allowed - expected
	if rank >= rankSheddableRequest {
		available = min(available, allowed*(1-sheddableReserve))
	}
	return available
}

// Charge counts a call made by a request that was itself a retry. Such a call
// is not decided by Spend, but it uses the budget like a retry.
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

// index returns the array index of the slot that began back slots before the
// current one.
func (b *WindowBudget) index(back int) int {
	return int((b.slot - int64(back) + 2*int64(windowSlots)) % int64(2*windowSlots))
}

// sum returns the total count of the given number of slots, the latest of which
// began back slots before the current one.
func (b *WindowBudget) sum(counts *[2 * windowSlots]int, back, slots int) int {
	total := 0
	for i := range slots {
		total += counts[b.index(back+i)]
	}
	return total
}
