package threshold

import (
	"sync"
	"time"
)

// waits measures the time during which a request waits for at least one of its calls.
type waits struct {
	mu    sync.Mutex
	open  int
	since time.Time
	total time.Duration
}

// WaitStarted records that a call of this request starts. Each WaitStarted must be
// followed by one WaitEnded.
func (r *Run) WaitStarted(now time.Time) {
	r.waits.mu.Lock()
	defer r.waits.mu.Unlock()
	if r.waits.open == 0 {
		r.waits.since = now
	}
	r.waits.open++
}

// WaitEnded records that a call of this request has ended.
func (r *Run) WaitEnded(now time.Time) {
	r.waits.mu.Lock()
	defer r.waits.mu.Unlock()
	r.waits.open--
	if r.waits.open == 0 {
		r.waits.total += now.Sub(r.waits.since)
	}
}

// Waited returns the time until now during which the request waited for calls. Calls that
// run at the same time count once.
func (r *Run) Waited(now time.Time) time.Duration {
	r.waits.mu.Lock()
	defer r.waits.mu.Unlock()
	if r.waits.open > 0 {
		return r.waits.total + now.Sub(r.waits.since)
	}
	return r.waits.total
}
