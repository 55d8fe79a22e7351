// Package press generates closed-loop load: each caller sends its next request when
// the previous one has ended. Tests use it to measure the share of requests that is
// served under overload.
package press

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Count counts the requests of one load and those that were served.
type Count struct {
	sent   atomic.Int64
	served atomic.Int64
}

// Served returns the number of requests that were served.
func (c *Count) Served() int64 { return c.served.Load() }

// ServedShare returns the share of the requests of all counts that was served.
func ServedShare(counts ...*Count) float64 {
	sent, served := int64(0), int64(0)
	for _, c := range counts {
		sent += c.sent.Load()
		served += c.served.Load()
	}
	return float64(served) / float64(max(sent, 1))
}

// Load is a group of callers that send the same kind of request.
type Load struct {
	Callers int
	// Pause is how long a caller waits after a request that was not served.
	Pause time.Duration
	// Send sends one request with the unique id and reports whether it was served.
	Send func(id string) bool
}

// Run runs the callers of all loads for the duration, and returns the count of each
// load.
func Run(duration time.Duration, loads ...Load) []*Count {
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	counts := make([]*Count, len(loads))
	for i, load := range loads {
		counts[i] = &Count{}
		for caller := range load.Callers {
			wait.Go(func() { load.run(counts[i], fmt.Sprintf("%d-%d", i, caller), end) })
		}
	}
	wait.Wait()
	return counts
}

func (l Load) run(count *Count, caller string, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		count.sent.Add(1)
		if l.Send(fmt.Sprintf("%s-%d", caller, i)) {
			count.served.Add(1)
			continue
		}
		time.Sleep(l.Pause)
	}
}
