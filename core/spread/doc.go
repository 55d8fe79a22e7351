// Package spread distributes the records of the log to all nodes. It holds the
// deterministic part: no clock, randomness, or I/O.
//
// Model. A Replica holds the local copy of one stream: the state that results
// from applying its records, and a bounded buffer of the most recent records.
// It advances by applying records from the log or from peers in offset order,
// or by installing a full state. A few nodes in each zone, the readers, poll
// the log and push new records to their partners, which forward them once. Each
// second, a node exchanges stream positions with one partner. The node that is
// ahead sends the missing records in messages of bounded size, or its full
// state if its buffer does not hold all of them.
//
// Invariants.
//   - The applied offset (Replica.Next) never decreases: a state or record
//     below it has no effect.
//   - Records are applied without gaps. A replica that lacks records either
//     finds a usable checkpoint or receives a full state, or returns
//     ErrNoCheckpoint.
//   - Each node chooses the readers by rendezvous hashing over its own member
//     table. Tables may differ temporarily; additional or different readers
//     then cost a few more reads of the log but are otherwise harmless.
//   - Partners change rarely, so that connections last: a TLS handshake with a
//     new peer each second would exceed the traffic budget of a node.
//
// Types are not safe for concurrent use.
package spread
