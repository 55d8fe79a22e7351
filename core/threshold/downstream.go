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
	// TrialDivisor is one over the share of root requests that are sent whatever
	// was learned.
	TrialDivisor = 64
	// answerWeight is one over the weight of a good answer: targets of one
	// service differ a little, and the learned value should not jump between
	// them.
	answerWeight = 4
	// maxOperations bounds the called operations that are kept; further ones are
	// always admitted.
	maxOperations = 8192
)

// Dependency names a called operation.
type Dependency struct{ Service, Operation string }

// IsTrial tells whether a root request is one of the trial share. All nodes
// decide the same for one root id.
func IsTrial(rootID []byte) bool {
	return len(rootID) > 0 && xxhash.Sum64(rootID)%TrialDivisor == 0
}

// Downstream holds the operation thresholds of the operations that a node calls.
type Downstream struct {
	start time.Time
	mu    sync.Mutex // serialises additions
	cells atomic.Pointer[map[Dependency]*AgingThreshold]
}

// NewDownstream returns an empty table. No later time may precede start.
func NewDownstream(start time.Time) *Downstream {
	d := &Downstream{start: start}
	d.cells.Store(&map[Dependency]*AgingThreshold{})
	return d
}

func (d *Downstream) nanos(now time.Time) int64 { return max(int64(now.Sub(d.start)), 0) }

// Threshold returns the highest level that the operation is believed to admit.
func (d *Downstream) Threshold(now time.Time, called Dependency) outcome.Level {
	cell := (*d.cells.Load())[called]
	if cell == nil {
		return outcome.MaxLevel
	}
	return cell.At(d.nanos(now))
}

// Admit returns nil if a call should be sent, and otherwise an error with
// outcome not run and reason doomed_downstream. A trial is always sent.
func (d *Downstream) Admit(now time.Time, called Dependency, level outcome.Level, trial bool) *outcome.Error {
	if trial || level <= d.Threshold(now, called) {
		return nil
	}
	err := outcome.New(outcome.NotRun, outcome.DoomedDownstream,
		"operation "+called.Service+"/"+called.Operation+" or a service behind it does not admit the level of the request")
	err.RetryAfter = HoldTime
	return err
}

// Response is what the answer or refusal of a call tells about thresholds.
type Response struct {
	// Level is the level of the call.
	Level outcome.Level
	// Threshold is the reported operation threshold; zero if none was reported.
	Threshold outcome.Level
	// Success is true if the call was completed without an error status.
	Success bool
}

// Doomed tells whether the call failed because of its level.
func (a Response) Doomed() bool {
	return !a.Success && a.Threshold != 0 && a.Threshold < a.Level
}

// Observe takes in the answer to a call. For calls that are repeated at other
// targets only the final answer counts.
func (d *Downstream) Observe(now time.Time, called Dependency, answer Response) {
	if answer.Threshold == 0 && !answer.Success {
		return
	}
	if cell := d.cell(called); cell != nil {
		cell.update(d.nanos(now), answer.next)
	}
}

// next returns the learned threshold after an answer.
func (a Response) next(current outcome.Level) outcome.Level {
	switch {
	case a.Doomed():
		return a.Threshold
	case a.Success && a.Level > current:
		return max(a.Level, a.Threshold)
	case a.Threshold == 0:
		return 0
	case a.Success:
		return max(approach(current, a.Threshold), a.Level)
	default:
		return approach(current, a.Threshold)
	}
}

// approach moves a part of the way to the target, at least one level.
func approach(from, to outcome.Level) outcome.Level {
	step := (int(to) - int(from)) / answerWeight
	if step == 0 {
		return to
	}
	return outcome.Level(int(from) + step)
}

// cell returns the cell of an operation and adds it if needed; nil if the table
// is full.
func (d *Downstream) cell(called Dependency) *AgingThreshold {
	if cell := (*d.cells.Load())[called]; cell != nil {
		return cell
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	cells := *d.cells.Load()
	if cell := cells[called]; cell != nil || len(cells) >= maxOperations {
		return cell
	}
	cells = maps.Clone(cells)
	cells[called] = &AgingThreshold{}
	d.cells.Store(&cells)
	return cells[called]
}
