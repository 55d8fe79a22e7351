// Package memory keeps the account of the bytes that a node holds for requests and
// responses, so that no mix of them exceeds the memory of the process.
//
// Model. Each body has an Account. It grows before the memory is allocated, as bytes
// arrive, and is released when the bytes have left the process. All accounts of a Budget
// share its limit. Each kind of account has a guaranteed part that the others cannot
// use, so that clients that read slowly do not keep out uploads, nor the reverse. An
// account of up to SmallBytes always grows: refusing it would save little, and small
// requests go on while large ones wait.
//
// Waiting. A growing account may wait for others to be released, in the order of
// arrival. If those that wait hold so much that the first of them could not be served
// even when all others have been released, the newest waiter is refused.
//
// A Budget is safe for concurrent use. It starts no goroutine and reads no clock.
package memory

import (
	"slices"
	"sync"
)

// A Kind is a use of memory.
type Kind uint8

// Kinds of accounts.
const (
	// Requests holds bodies of client requests.
	Requests Kind = iota
	// Responses holds responses until their client has received them.
	Responses
	// Frames holds messages between nodes.
	Frames
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Requests, Responses, Frames} }

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"requests", "responses", "frames"}[k]
}

// SmallBytes is the size up to which an account always grows.
const SmallBytes = 16 << 10

// guaranteedPercent is the part of the limit that only one kind can use.
var guaranteedPercent = [kinds]int64{Requests: 15, Responses: 15, Frames: 10}

// A Budget limits the bytes of all accounts.
type Budget struct {
	limit      int64
	guaranteed [kinds]int64

	mu      sync.Mutex
	held    [kinds]int64
	peak    int64
	refused [kinds]int64
	// waiters are in the order of arrival.
	waiters []*Waiter
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{limit: limit}
	for kind, percent := range guaranteedPercent {
		b.guaranteed[kind] = limit * percent / 100
	}
	return b
}

// Max returns the number of bytes that one kind can use at most.
func (b *Budget) Max(kind Kind) int64 {
	available := b.limit
	for other := range kinds {
		if other != kind {
			available -= b.guaranteed[other]
		}
	}
	return available
}

// Usage is the state of a Budget.
type Usage struct {
	// Held is the number of bytes held, by kind, and Peak the largest sum so far.
	Held [kinds]int64
	Peak int64
	// Refused counts the accounts that could not grow, by kind.
	Refused [kinds]int64
	Limit   int64
}

// Usage returns the present state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Held: b.held, Peak: b.peak, Refused: b.refused, Limit: b.limit}
}

// Open returns an account without bytes.
func (b *Budget) Open(kind Kind) *Account { return &Account{budget: b, kind: kind} }

// free returns the number of bytes by which a kind may grow now.
func (b *Budget) free(kind Kind) int64 {
	available := b.limit
	for other := range kinds {
		if other == kind {
			available -= b.held[kind]
		} else {
			available -= max(b.held[other], b.guaranteed[other])
		}
	}
	return available
}

// add changes the bytes held. The caller holds the mutex.
func (b *Budget) add(kind Kind, n int64) {
	b.held[kind] += n
	total := int64(0)
	for _, held := range b.held {
		total += held
	}
	b.peak = max(b.peak, total)
}

// An Account holds the bytes of one body. It must not be used concurrently.
type Account struct {
	budget *Budget
	kind   Kind
	held   int64
}

// Held returns the number of bytes of the account.
func (a *Account) Held() int64 { return a.held }

// Ensure grows the account to total bytes if it holds fewer, and reports whether it
// holds them now.
func (a *Account) Ensure(total int64) bool {
	if a.Try(total) {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[a.kind]++
	return false
}

// Try is like Ensure, but does not count a failure, after which the caller waits.
func (a *Account) Try(total int64) bool {
	if total <= a.held {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := total - a.held
	if total > SmallBytes && more > b.free(a.kind) {
		return false
	}
	a.grow(more)
	return true
}

// Set changes the account to exactly total bytes, whether or not they are within the
// limit: the memory is in use already, or not any more.
func (a *Account) Set(total int64) {
	if total == a.held {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.grow(total - a.held)
	b.serveWaiters()
}

// Release ends the use of all bytes of the account, which may grow again later.
func (a *Account) Release() { a.Set(0) }

func (a *Account) grow(n int64) {
	a.held += n
	a.budget.add(a.kind, n)
}

// A Waiter is an account that waits to grow. The account must not be used until the wait
// has ended.
type Waiter struct {
	account *Account
	total   int64
	// done is called once, with the result.
	done func(granted bool)
}

// Await grows the account to total bytes as soon as they are available. It calls done
// with the result, once and possibly before it returns. done must not use the budget.
func (a *Account) Await(total int64, done func(granted bool)) *Waiter {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &Waiter{account: a, total: total, done: done}
	b.waiters = append(b.waiters, w)
	b.serveWaiters()
	return w
}

// Cancel ends the wait if it has not ended yet: done is then called with false.
func (w *Waiter) Cancel() {
	b := w.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.refuse(i)
		b.serveWaiters()
	}
}

// refuse ends the wait of the waiter at an index without success.
func (b *Budget) refuse(i int) {
	w := b.waiters[i]
	b.waiters = slices.Delete(b.waiters, i, i+1)
	b.refused[w.account.kind]++
	w.done(false)
}

// serveWaiters grants what is available, for each kind in the order of arrival, and
// refuses the newest waiters of a kind in which the first could not be served otherwise.
func (b *Budget) serveWaiters() {
	for kind := range kinds {
		for b.serveFirst(kind) {
		}
	}
}

// serveFirst ends the wait of the first waiter of a kind, or of its newest one if the
// first could not be served otherwise. It reports whether it has ended one.
func (b *Budget) serveFirst(kind Kind) bool {
	first, newest := -1, -1
	heldByWaiters := int64(0)
	for i, w := range b.waiters {
		if w.account.kind != kind {
			continue
		}
		if first < 0 {
			first = i
		}
		newest = i
		heldByWaiters += w.account.held
	}
	if first < 0 {
		return false
	}
	w := b.waiters[first]
	more := w.total - w.account.held
	switch {
	case more <= b.free(kind):
		b.waiters = slices.Delete(b.waiters, first, first+1)
		w.account.grow(more)
		w.done(true)
	case more > b.Max(kind)-heldByWaiters:
		b.refuse(newest)
	default:
		return false
	}
	return true
}
