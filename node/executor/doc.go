// Package executor runs calls at the target beside a node.
//
// One goroutine, called the task, owns the gate, the deduplication table and
// the list of active calls. All other goroutines send it events and wait for
// replies. Every call that the task admits ends with exactly one finished
// event, so that the gate and the table record each start and each end once.
//
// A call without an idempotency key is canceled at the target when its sender
// stops waiting. A call with a key continues once it has been started, bounded
// by the deadline of the operation, so that a later attempt with the same key
// gets a definite outcome.
package executor
