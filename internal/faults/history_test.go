package faults

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/internal/standin/target"
)

// observation is what a caller was told about a key, or an execution.
type observation struct {
	key     string
	outcome outcome.Outcome
	ran     bool
}

// booking is one business request. Each key that it used has a body, and so an
// execution id, of its own.
type booking struct {
	keys []*keyUse
}

// keyUse is the use of one key for a booking.
type keyUse struct {
	key, id string
	sent    time.Duration
	final   outcome.Outcome
}

// history collects what callers saw. It is safe for concurrent use.
type history struct {
	begun time.Time

	mutex      sync.Mutex
	operations []porcupine.Operation
	bookings   []*booking
	wrong      []string
	// cuts are requests that an entry took and did not answer although it had
	// not crashed.
	cuts     []string
	attempts int
}

func newHistory() *history { return &history{begun: time.Now()} }

func (h *history) now() time.Duration { return time.Since(h.begun) }

func (h *history) add(b *booking) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.bookings = append(h.bookings, b)
}

// violation notes something that must not happen.
func (h *history) violation(format string, args ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.wrong = append(h.wrong, fmt.Sprintf(format, args...))
}

// cut notes a request that was cut.
func (h *history) cut(format string, args ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.cuts = append(h.cuts, fmt.Sprintf(format, args...))
}

// told records a definite outcome; unknown proves nothing.
func (h *history) told(key string, called time.Duration, o outcome.Outcome) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.attempts++
	if o != outcome.Unknown {
		h.record(observation{key: key, outcome: o}, called, h.now())
	}
}

func (h *history) record(o observation, called, returned time.Duration) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations),
		Input:    o,
		Call:     int64(called),
		Return:   int64(returned),
	})
}

// keyState is the state of one key in the model.
type keyState struct{ ran, refused bool }

// keyModel: a key runs at most once, never after not run was told; completed is
// told only after the execution, not run only without one.
var keyModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		return stepKey(state.(keyState), input.(observation))
	},
}

func stepKey(s keyState, o observation) (bool, any) {
	switch {
	case o.ran:
		ok := !s.ran && !s.refused
		s.ran = true
		return ok, s
	case o.outcome == outcome.Completed:
		return s.ran, s
	default:
		ok := !s.ran
		s.refused = true
		return ok, s
	}
}

func partitionByKey(operations []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, operation := range operations {
		key := operation.Input.(observation).key
		byKey[key] = append(byKey[key], operation)
	}
	parts := make([][]porcupine.Operation, 0, len(byKey))
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// fault returns what is wrong with the history, or nothing. The ledger does not
// tell when an execution began, so the model may place it at any time after the
// first sending.
func (h *history) fault(ledger *target.Ledger) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.wrong) > 0 {
		return fmt.Sprintf("%d violations, the first: %s", len(h.wrong), h.wrong[0])
	}
	if cut := ledger.Aborted(); len(cut) > 0 {
		return fmt.Sprintf("%d executions were cut by a planned stop, the first: %+v", len(cut), cut[0])
	}
	end := h.now()
	for _, b := range h.bookings {
		if fault := h.recordExecutions(b, ledger, end); fault != "" {
			return fault
		}
	}
	if !porcupine.CheckOperations(keyModel, h.operations) {
		return "the history does not fit the model of a key"
	}
	return ""
}

func (h *history) recordExecutions(b *booking, ledger *target.Ledger, end time.Duration) string {
	executions := 0
	for _, use := range b.keys {
		begun := ledger.Begun(execution(use.id))
		executions += begun
		for range begun {
			h.record(observation{key: use.key, ran: true}, use.sent, end)
		}
	}
	if executions > 1 {
		return fmt.Sprintf("the booking of %s ran %d times", b.keys[0].id, executions)
	}
	return ""
}
