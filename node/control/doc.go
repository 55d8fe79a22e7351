// Package control holds the control task of a node: it owns the catalogue and
// the member table and does their input and output.
//
// Model. One goroutine, the task, owns all state. Reads and appends of the log
// and calls to peers run in short-lived goroutines that hand their result to
// the task as a message. Other tasks read immutable snapshots.
//
// Invariants.
//   - The positions in a snapshot never fall.
//   - At most one read and one append of registrations are in progress per
//     stream, and at most one exchange per peer.
//   - A change is reported as refused only if no append of it was ever sent or
//     the log refused all of them; it is reported as decided only from the fold.
//   - Waiting for the log or a peer never holds up the task.
package control
