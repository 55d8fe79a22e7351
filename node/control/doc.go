// Package control implements the control task of a node. The task owns the
// node's replicas of the catalogue and of the member table and performs their
// input and output.
//
// Model. The log service holds two streams of records, catalogue and members.
// The replica of a stream is the state that results from applying its records
// in offset order; see package spread. A few nodes in each zone, the readers,
// poll the log and push new records to their partners, the members that
// spread.Partners selects for them. In an exchange, which is a request to a peer
// and its response, two nodes compare their applied offsets (a comparison) and
// send each other the records that one of them lacks.
//
// One goroutine, the task, owns all state. Reads and appends of the log and
// calls to peers run in short-lived goroutines, which send their result to the
// task as a message. Other goroutines read immutable snapshots.
//
// Invariants.
//   - The applied offsets in a snapshot never decrease.
//   - At most one read and one append of registrations are in progress per
//     stream, and at most one exchange per peer.
//   - A change is reported as refused only if no append of it was ever sent or
//     the log refused all of them. It is reported as accepted or rejected only
//     after its record has been applied to the replica.
//   - The task never waits for the log or a peer.
package control
