package faults

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/internal/standin/target"
)

// observation is an outcome that was reported for a key, or an execution with it.
type observation struct {
	key     string
	outcome outcome.Outcome
	ran     bool
}

// booking is one business request. It uses a separate body, and so a separate
// execution id, with each key.
type booking struct {
	keys []*keyUse
}

// keyUse is the use of one key for a booking.
type keyUse struct {
	key, id string
	// sent is the time of the first attempt.
	sent time.Duration
	// final is the outcome of the last attempt.
	final outcome.Outcome
}

// history collects what callers observed. It is safe for concurrent use.
type history struct {
	startTime time.Time

	mutex      sync.Mutex
	operations []porcupine.Operation
	bookings   []*booking
	violations []string
	// cuts describes requests that an entry node accepted but did not respond to,
	// although it had not crashed.
	cuts     []string
	attempts int
}

func newHistory() *history { return &history{startTime: time.Now()} }

func (h *history) now() time.Duration { return time.Since(h.startTime) }

func (h *history) add(b *booking) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.bookings = append(h.bookings, b)
}

// violation records an event that must not happen.
func (h *history) violation(format string, args ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// cut records a request that got no response.
func (h *history) cut(format string, args ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.cuts = append(h.cuts, fmt.Sprintf(format, args...))
}

// reported records a reported outcome. Only definite ones constrain the model.
func (h *history) reported(key string, called time.Duration, o outcome.Outcome) {
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

// keyState is the state of one key in the model; refused means that not run was
// reported.
type keyState struct{ ran, refused bool }

// keyModel is the model of a key: it runs at most once, and never after not run was
// reported. Completed is reported only after the execution, and not run only without
// one.
var keyModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		return stepKey(state.(keyState), input.(observation))
	},
}

// stepKey applies an observation to the state of a key. It returns whether the model
// allows the observation, and the next state.
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

// problem returns a description of the first violation in the history, or an empty
// string. The ledger does not record when an execution started, so the model may place
// it at any time after the first attempt.
func (h *history) problem(ledger *target.Ledger) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.violations) > 0 {
		return fmt.Sprintf("%d violations, the first: %s", len(h.violations), h.violations[0])
	}
	if cut := ledger.Aborted(); len(cut) > 0 {
		return fmt.Sprintf("%d executions were aborted by a planned stop, the first: %+v", len(cut), cut[0])
	}
	end := h.now()
	for _, b := range h.bookings {
		if problem := h.recordExecutions(b, ledger, end); problem != "" {
			return problem
		}
	}
	if !porcupine.CheckOperations(keyModel, h.operations) {
		return "the history contradicts the model of a key"
	}
	return ""
}

// recordExecutions adds the executions of a booking to the operations. It returns a
// description of the violation if the booking ran more than once.
func (h *history) recordExecutions(b *booking, ledger *target.Ledger, end time.Duration) string {
	executions := 0
	for _, use := range b.keys {
		started := ledger.Begun(execution(use.id))
		executions += started
		for range started {
			h.record(observation{key: use.key, ran: true}, use.sent, end)
		}
	}
	if executions > 1 {
		return fmt.Sprintf("the booking of %s ran %d times", b.keys[0].id, executions)
	}
	return ""
}
