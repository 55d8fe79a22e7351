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
	// slotDuration is the resolution of the counters. What is counted in the slots in
	// which a window begins and ends is taken to be outside for first attempts and inside
	// for retries, so that a coarser resolution permits fewer retries.
	slotDuration = 200 * time.Millisecond
	windowSlots  = int(BudgetWindow / slotDuration)
	// keptSlots is the number of slots that are kept. It is a power of two and covers two
	// windows: the first attempts that count for the earliest window of a retry may be
	// that old.
	keptSlots = 128
	// requestPeriod is the period over which requested retries are counted.
	requestPeriod = time.Second
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
// for the sum over all nodes. In every window, retries are at most ratio times
// the first attempts, plus slack. First attempts are counted over the window
// itself, the window half a window before it and the one that ended when it
// began, and the largest of the three counts is used, so that the budget does
// not shrink at once when a fault causes fewer requests to be admitted. Time
// alone adds nothing to the budget, because many idle nodes with budgets that
// grow over time would together exceed the limit of the fleet.
//
// A retry falls into all windows that begin within a window before it, and is
// permitted if it fits into each of them with the first attempts known by then.
// The window that ends with the retry does not suffice: first attempts that
// count for it do not count for those that begin later. It is safe for
// concurrent use.
type WindowBudget struct {
	mu    sync.Mutex
	ratio float64
	slack float64
	// first and retries count first attempts and retries since the start.
	first, retries totals
	// requested counts the requested retries by rank, in the current period and
	// in the one before it.
	requested [2][ranks]int
	// slot and period are the numbers of the current slot and of the current period of
	// requested since start.
	slot, period int64
	start        time.Time
}

// totals holds, by slot, a count of all events until the end of the slot. The counts wrap
// around; only differences are used.
type totals [keptSlots]uint32

// at returns the count until the end of a slot.
func (t *totals) at(slot int64) uint32 { return t[slot&(keptSlots-1)] }

// add counts an event in a slot, which must be the latest one.
func (t *totals) add(slot int64) { t[slot&(keptSlots-1)]++ }

// between returns the number of events after the end of one slot until the end of another.
func (t *totals) between(after, until int64) int { return int(t.at(until) - t.at(after)) }

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
	b.first.add(b.slot)
}

// Spend takes one retry from the budget. If it returns false, the retry must
// not be made.
func (b *WindowBudget) Spend(now time.Time, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	rank := kind.rank()
	b.requested[0][rank]++
	share := 1.0
	if rank >= rankSheddableRequest {
		share -= sheddableReserve
	}
	return b.spend(b.expected(now, rank), share)
}

// take takes one retry from the budget regardless of its rank.
func (b *WindowBudget) take(now time.Time, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requested[0][kind.rank()]++
	return b.spend(0, 1)
}

// spend takes one retry if it fits into every window that contains it: beside the reserved
// retries, and within a share of those that the window permits.
func (b *WindowBudget) spend(reserved, share float64) bool {
	for back := range windowSlots + 1 {
		allowed := b.allowed(back)
		if float64(b.spent(back)+1) > min(allowed-reserved, allowed*share) {
			return false
		}
	}
	b.retries.add(b.slot)
	return true
}

// spent returns the retries in the windows that begin in the slot which began back slots
// before the current one.
func (b *WindowBudget) spent(back int) int {
	return b.retries.between(b.slot-int64(back)-1, b.slot)
}

// allowed returns the number of retries that the windows permit which begin in the slot
// that began back slots before the current one.
func (b *WindowBudget) allowed(back int) float64 {
	const window = int64(windowSlots)
	begin := b.slot - int64(back)
	earned := max(
		b.first.between(begin, b.slot),
		b.first.between(begin-window/2, min(begin+window/2-1, b.slot)),
		b.first.between(begin-window, begin-1),
	)
	return b.ratio*float64(earned) + b.slack
}

// permitted returns the number of retries that the budget permits now.
func (b *WindowBudget) permitted(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	lowest := math.Inf(1)
	for back := range windowSlots + 1 {
		lowest = min(lowest, b.allowed(back)-float64(b.spent(back)))
	}
	return max(lowest, 0)
}

// sustainableRate returns the highest rate of retries per second that the budget permits
// until the horizon, if first attempts go on. Windows that end within a second are left out:
// what their retries keep from the next ones is permitted again before it is missed.
func (b *WindowBudget) sustainableRate(now time.Time, horizon time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	lowest := math.Inf(1)
	for back := range windowSlots - int(time.Second/slotDuration) + 1 {
		left := max(b.allowed(back)-float64(b.spent(back)), 0)
		period := min(horizon, time.Duration(windowSlots-back)*slotDuration)
		lowest = min(lowest, left/period.Seconds())
	}
	return lowest
}

// expected returns the retries that ranks higher than the given one are expected to request
// until the forecast horizon, at their current rate.
func (b *WindowBudget) expected(now time.Time, rank int) float64 {
	requested := 0
	for higher := range rank {
		requested += b.requested[0][higher] + b.requested[1][higher]
	}
	span := requestPeriod + now.Sub(b.start)%requestPeriod
	return float64(requested) * float64(forecastHorizon) / float64(span)
}

// Charge counts a call made by a request that was itself a retry. Such a call
// is not decided by Spend, but it uses the budget like a retry.
func (b *WindowBudget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.retries.add(b.slot)
}

// advance begins the slots and periods that have begun since the last call.
func (b *WindowBudget) advance(now time.Time) {
	elapsed := now.Sub(b.start)
	slot := max(int64(elapsed/slotDuration), b.slot)
	first, retries := b.first.at(b.slot), b.retries.at(b.slot)
	for begun := max(b.slot, slot-keptSlots) + 1; begun <= slot; begun++ {
		b.first[begun&(keptSlots-1)], b.retries[begun&(keptSlots-1)] = first, retries
	}
	b.slot = slot
	period := max(int64(elapsed/requestPeriod), b.period)
	switch period - b.period {
	case 0:
	case 1:
		b.requested[0], b.requested[1] = [ranks]int{}, b.requested[0]
	default:
		b.requested = [2][ranks]int{}
	}
	b.period = period
}
