// Package spread is the deterministic part of the dissemination of log records
// between nodes.
//
// Model. A Replica holds the fold of one stream and a bounded buffer of its
// recent records. It advances by records from the log or from peers in offset
// order, or by a whole state. A few reader nodes per zone poll the log and push
// new records to their partners, which pass them on once. Each second a node
// compares positions with one partner; the one that is ahead passes the missing
// records in bounded messages, or its whole state where its buffer does not
// reach back far enough.
//
// Invariants.
//   - The offset in force never falls: a state or record below it has no effect.
//   - Records are folded without gaps. A reader that lacks records either finds
//     a usable checkpoint or a whole state, or says that it does not know.
//   - Readers are chosen by rendezvous hash over the member table of each node.
//     Tables may differ for a while; too many or other readers do no harm.
//   - Partners are stable, so that connections last: a TLS handshake with a new
//     peer each second would take more than the traffic budget of a node.
//
// Types are not safe for concurrent use.
package spread
