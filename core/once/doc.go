// Package once holds the at-most-once table of one executor and the keys that
// name it.
//
// Model. A key names one incarnation of one node, its executor. Only the table
// of that incarnation may start the operation of the key, so no lease and no
// shared store is needed. A record of the table is running, or has one of the
// final outcomes completed, not run and unknown. Final outcomes never change.
//
// Time. The owner passes the current time with its monotonic reading. The table
// judges the age of a key by the wall time at its creation plus monotonic
// progress, so a jump of the wall clock changes nothing. A time that is earlier
// than one seen before counts as the latest one seen.
//
// Two watermarks on the issue time of keys replace records that are no longer
// kept:
//
//   - floor: a key without a record that was issued at or before the floor is
//     never started. The floor rises when a refusal is given or dropped without
//     a record, and when a record is dropped for lack of memory; independently
//     of it, a key older than the start window is never started.
//   - forgotten: the latest issue time of a dropped record whose operation may
//     have run. A key without a record that was issued later than this has
//     provably never been started by this table.
//
// Invariants.
//
//  1. Begin returns Start at most once for a key, for the whole life of the
//     table and of every table that adopts it.
//  2. A refusal with outcome not run is final: the key is in the table as not
//     run, or can never be started because of a watermark, the start window or
//     the closing of the table. A refusal that is not final has outcome unknown.
//  3. A record that may have run is dropped only when it is due and its key is
//     older than the start window, or for lack of memory when its key is older
//     than the protected age. Dropping it raises forgotten, and for lack of
//     memory also the floor. A record that is running is never dropped.
//  4. An adopted table never starts a key. Absence from it is proof only if all
//     of its chunks have arrived.
//
// Memory. When the table is full, it makes room in this order: answers, oldest
// first, while they occupy more than a quarter of the bound (outcome and status
// stay); refusals; records that may have run and whose key is older than the
// protected age; the other answers. Only then it refuses new keys.
//
// The types of this package are not safe for concurrent use; one task owns a
// table.
package once
