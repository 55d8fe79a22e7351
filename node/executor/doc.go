// Package executor runs calls at the target beside a node.
//
// One goroutine, the task, owns the gate, the at-most-once table and the list
// of present calls. All other goroutines send it events and wait for replies.
// Every call that the task admits ends with exactly one finished event, so the
// gate and the table see each start and each end once.
//
// A call without a key is cancelled at the target when its sender gives up. A
// call with a key that has been started runs to its end, bounded by the
// deadline of the operation, so that a later attempt with the same key gets a
// definite outcome.
package executor
