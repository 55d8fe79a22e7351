package threshold

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// TrialDivisor determines the share of trials: one root request in TrialDivisor is
	// sent regardless of the learned thresholds.
	TrialDivisor = 64
	// smoothingDivisor is the inverse weight of a successful response in the learned
	// threshold. Thresholds differ slightly between the targets of a service, and
	// smoothing keeps the learned value from alternating between them.
	smoothingDivisor = 4
	// maxOperations limits the number of called operations with a learned threshold.
	// Calls of further operations are always admitted.
	maxOperations = 8192
)

// A Dependency identifies a called operation.
type Dependency struct{ Service, Operation string }

// IsTrial reports whether a root request is a trial. All nodes return the same result
// for the same root ID.
func IsTrial(rootID []byte) bool {
	return len(rootID) > 0 && xxhash.Sum64(rootID)%TrialDivisor == 0
}

// Downstream holds the learned operation thresholds of the operations that a node
// calls.
type Downstream struct {
	start time.Time
	mu    sync.Mutex // serializes additions
	table atomic.Pointer[map[Dependency]*AgingThreshold]
}

// NewDownstream returns a Downstream without learned thresholds. Times passed to its
// methods must not precede start.
func NewDownstream(start time.Time) *Downstream {
	d := &Downstream{start: start}
	d.table.Store(&map[Dependency]*AgingThreshold{})
	return d
}

func (d *Downstream) nanos(now time.Time) int64 { return max(int64(now.Sub(d.start)), 0) }

// Threshold returns the highest level that the operation is assumed to admit.
func (d *Downstream) Threshold(now time.Time, called Dependency) outcome.Level {
	learned := (*d.table.Load())[called]
	if learned == nil {
		return outcome.MaxLevel
	}
	return learned.At(d.nanos(now))
}

// Admit returns nil if a call should be sent, and otherwise an error with the outcome
// NotRun and the reason DoomedDownstream. A trial is always sent.
func (d *Downstream) Admit(now time.Time, called Dependency, level outcome.Level, trial bool) *outcome.Error {
	if trial || level <= d.Threshold(now, called) {
		return nil
	}
	err := outcome.New(outcome.NotRun, outcome.DoomedDownstream,
		"operation "+called.Service+"/"+called.Operation+" or a service behind it does not admit the level of the request")
	err.RetryAfter = HoldTime
	return err
}

// A Response holds what the response to a call, or its rejection, reveals about
// thresholds.
type Response struct {
	// Level is the level of the call.
	Level outcome.Level
	// Threshold is the reported operation threshold; zero if none was reported.
	Threshold outcome.Level
	// Success is true if the call was completed without an error status.
	Success bool
	// Prompt lets a successful response that reports no threshold end the learned one at
	// once instead of step by step. It is for nodes that refuse doomed requests when they
	// arrive (Operations.Doomed), so that a report of one node that is too high costs
	// little.
	Prompt bool
}

// Doomed reports whether the call failed because its level is above the reported
// threshold.
func (r Response) Doomed() bool {
	return !r.Success && r.Threshold != 0 && r.Threshold < r.Level
}

// Observe updates the learned threshold with the response to a call. If a call was
// retried at other targets, only the final response must be passed.
func (d *Downstream) Observe(now time.Time, called Dependency, response Response) {
	if response.Threshold == 0 && !response.Success {
		return
	}
	if learned := d.learned(called); learned != nil {
		learned.update(d.nanos(now), response.nextThreshold)
	}
}

// nextThreshold returns the learned threshold after a response; zero leaves it
// unchanged.
func (r Response) nextThreshold(current outcome.Level) outcome.Level {
	switch {
	case r.Doomed():
		return r.Threshold
	case r.Success && r.Level > current:
		return max(r.Level, r.Threshold)
	case r.Threshold == 0:
		return 0
	case r.Success && r.Prompt && r.Threshold >= outcome.MaxLevel:
		return outcome.MaxLevel
	case r.Success:
		return max(moveToward(current, r.Threshold), r.Level)
	default:
		return moveToward(current, r.Threshold)
	}
}

// moveToward returns from moved toward the other level by a quarter of their distance.
// It returns the other level if they are less than four levels apart.
func moveToward(from, to outcome.Level) outcome.Level {
	step := (int(to) - int(from)) / smoothingDivisor
	if step == 0 {
		return to
	}
	return outcome.Level(int(from) + step)
}

// learned returns the learned threshold of an operation and adds it if needed. It
// returns nil if the table is full.
func (d *Downstream) learned(called Dependency) *AgingThreshold {
	if learned := (*d.table.Load())[called]; learned != nil {
		return learned
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	table := *d.table.Load()
	if learned := table[called]; learned != nil || len(table) >= maxOperations {
		return learned
	}
	table = maps.Clone(table)
	table[called] = &AgingThreshold{}
	d.table.Store(&table)
	return table[called]
}
