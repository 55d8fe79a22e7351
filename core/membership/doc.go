// Package membership holds the table of the nodes in the fleet, decides which
// unresponsive nodes to evict, and batches registrations.
//
// Model. The table is built by applying the records of the members stream in
// offset order. Each record is a batch of joins, leaves and evictions, or a
// single checkpoint. A member is identified by its incarnation, a random number
// that a node draws at each start and after each eviction. Liveness is not
// recorded in the stream, because the heartbeats of 9,600 nodes would exceed
// the append rate of the log.
//
// Invariants.
//   - An incarnation that has left, was evicted or was replaced is retired. It
//     cannot join again while it is remembered, so a repeated batch has no
//     effect.
//   - A join replaces the member with the same node address, because only one
//     process can listen there. It never removes a member only because the VM
//     names are equal: two nodes that were given the same name by mistake would
//     otherwise keep replacing each other.
//   - Applying records depends on neither a clock nor randomness, so all nodes
//     that apply the same records have the same state.
//
// Bounds. The state remembers the last MaxRetired incarnations. The successor
// of an older one is unknown, and so is then the outcome of the requests whose
// idempotency keys it held.
//
// Types are not safe for concurrent use, except Snapshot, which is immutable.
package membership
