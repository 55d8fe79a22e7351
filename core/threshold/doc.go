// Package threshold learns which levels the services behind an operation admit and
// reports them upstream, so that the entry node rejects doomed requests before any work
// starts. A doomed request is one that would certainly fail in a downstream service.
//
// Model. The class and cohort of a root request are the same in all services, so the
// levels that different gates admit are comparable. A request of operation A that fails
// without a response of operation B cannot succeed above the level that B admits. The
// operation threshold of A is therefore the minimum of the threshold of A's own gate
// and the operation thresholds of the operations on which A depends. B's operation
// threshold already includes the services behind B, so each node only needs to learn
// its direct dependencies, and the value propagates by one edge of the call graph with
// each response.
//
// Signal. Every response and rejection carries the operation threshold of the called
// operation (GateReport.operation_threshold). Downstream keeps the latest value for
// each called operation. Operations learns on which calls a request depends, by
// observing whether requests fail when a call was rejected because of its level. A call
// is essential if its rejection makes at least essentialShare of the requests fail.
//
// Reaction. Senders (the entry node, and each node for the calls of its target) reject
// a call whose level is above the learned threshold of its operation. The gate of the
// called operation does not apply this threshold: the value that it reports is for its
// callers.
//
// Limits of calls. A node may be unable to complete calls for a reason that no gate
// reports, such as a retry budget that does not cover the refusals of a service. Where
// CallLimits is set and enabled, the limit lowers the operation threshold in the same
// way, and the gate of the operation refuses requests above it when they arrive
// (Operations.Doomed): an entry node that sends few requests of an operation may not
// have learned of the limit. Failures of an operation whose calls are limited do not
// lower its threshold further.
//
// Shortages tracks how long operations have been refused for some level, from which the
// expected length of a shortage follows.
//
// Recovery. A learned threshold is used unchanged for HoldTime after the latest
// response and then rises by RiseRate levels per second, so that all levels are tried
// again within 2 s. In addition, one root request in TrialDivisor is a trial, which is
// sent on all edges regardless of the learned thresholds. Trials are selected by a hash
// of the root ID, so that every node of the chain selects the same requests. With
// independent selection, only one request in TrialDivisor to the power of the depth
// would reach a deep service. The first successful response to a level above the
// learned threshold raises the threshold to that level immediately.
//
// State and concurrency. Downstream and Operations belong to one node, and their state
// is not persisted. Downstream is used by all goroutines that send calls; it reads an
// immutable map through an atomic pointer and acquires a lock only to add an operation.
// Operations holds a lock for a short time in each method call. All methods are safe
// for concurrent use.
package threshold
