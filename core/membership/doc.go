// Package membership holds the table of nodes as a deterministic fold over the
// members stream, the policy for evictions and the batching of registrations.
//
// Model. Each record of the stream is a batch of joins, leaves and evictions,
// or one checkpoint. A member is named by its incarnation, a random number that
// a node draws at each start and after each eviction. Liveness is not on the
// stream: heartbeats of 9,600 nodes would exceed its append rate.
//
// Invariants.
//   - An incarnation that has left, was evicted or was replaced is gone and
//     never joins again while it is remembered, so a repeated batch has no effect.
//   - A join replaces the member with the same node address, because only one
//     process can listen there. A join never removes a member because of an
//     equal VM name alone: two nodes with the same name by mistake would
//     otherwise replace each other without end.
//   - The fold uses no clock and no randomness.
//
// Bounds. The state remembers MaxGone incarnations. The successor of an older
// one is no longer known, and the outcome of its keys is then unknown.
//
// Types are not safe for concurrent use, except Snapshot, which is immutable.
package membership
