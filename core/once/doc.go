// Package once implements the deduplication table of one executor and the
// idempotency keys whose operations it runs at most once.
//
// Model. A key names one incarnation of one node, its executor. Only the table
// of that incarnation may start the operation of the key, so neither a lease
// nor a shared store is needed. A record of the table is either running or has
// one of the final outcomes completed, not run and unknown. A final outcome
// never changes.
//
// Time. The owner of the table passes the current time with its monotonic
// reading. The age of a key is computed from the wall time at the creation of
// the table plus monotonic progress, so later steps of the wall clock have no
// effect. A time before the latest time that was passed counts as that latest
// time.
//
// Records are not kept forever. Two watermarks on the issue time of keys replace
// the records that were dropped:
//
//   - Start floor: a key without a record that was issued at or before the
//     start floor is never started. The floor rises when a refusal is returned
//     without adding a record, when the record of a refusal is dropped, and when
//     any record is dropped for lack of memory. Regardless of the floor, a key
//     older than the start window is never started.
//   - Dropped-up-to: the latest issue time of a dropped record whose operation
//     may have run. A key without a record that was issued after it is proven
//     never to have been started by this table.
//
// Invariants.
//
//  1. Begin returns Start at most once for a key, over the whole lifetime of the
//     table and of every table that adopts it.
//  2. A refusal with outcome not run is final: either the table holds the key as
//     not run, or the key can never be started because of a watermark, the start
//     window or the closing of the table. A refusal that is not final has
//     outcome unknown.
//  3. A record whose operation may have run is dropped only when it has expired
//     and its key is older than the start window, or for lack of memory when its
//     key is at least as old as the minimum eviction age. Dropping it raises the
//     dropped-up-to watermark, and for lack of memory also the start floor. A
//     running record is never dropped.
//  4. An adopted table never starts a key. The absence of a key from it proves
//     that the key never ran only if all chunks of the table have arrived.
//
// Memory. A full table frees memory in this order: responses, oldest first,
// while they occupy more than a quarter of the limit (their outcome and status
// are kept); refusals; records whose operation may have run and whose key is at
// least as old as the minimum eviction age; the remaining responses. Only when
// that is not enough does it refuse new keys.
//
// The types of this package are not safe for concurrent use; a table is owned
// by one goroutine.
package once
