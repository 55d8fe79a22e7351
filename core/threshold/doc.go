// Package threshold learns what the services behind an operation admit, and
// reports it upstream, so that the entry refuses doomed requests before any work
// starts.
//
// Model. Class and cohort of a root request are the same in all services, so the
// levels that different gates admit can be compared. A request of operation A
// that fails without an answer of operation B cannot succeed above the level
// that B admits. The operation threshold of A is therefore the lowest of the
// threshold of A's own gate and the operation thresholds of the operations on
// which A depends. B's operation threshold covers what is behind B, so each node
// needs to know its direct dependencies only, and the value moves up the call
// graph one edge with each answer.
//
// Signal. Every answer and refusal carries the operation threshold of the called
// operation (GateReport.operation_threshold). Downstream keeps the latest for
// each called operation. Operations learns which calls a request depends on:
// when a call was refused because of its level, did the request fail? Only calls
// whose refusal made at least essentialShare of the requests fail count.
//
// Reaction. Senders (the entry and the egress of a node) refuse a call whose
// level is above the learned threshold of its operation. The gate of the called
// operation does not: the value that it reports is what its callers apply.
//
// Recovery. A learned threshold is used unchanged for HoldTime after the latest
// answer and then rises by RiseRate levels per second, so that all levels are tried
// again within 2 s. In addition one root request in TrialDivisor is sent on all
// edges whatever was learned. Trials are chosen by a hash of the root id, so
// that every node of the chain lets the same requests through; independent
// choices would let only one request in TrialDivisor to the power of the depth
// reach a deep service. The first good answer to a level above the learned
// threshold raises it at once.
//
// State and concurrency. Both types belong to one node and are lost with it.
// Downstream is read and written by all goroutines that send calls; it uses
// atomics over an immutable map and takes a lock only for an operation that is
// new to it. Operations takes a short lock; it is used once per answer and in the
// rare case of a refusal. All methods are safe for concurrent use.
package threshold
