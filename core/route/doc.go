// Package route chooses a target for a call.
//
// Model. A node knows all targets of a service, but sends calls only to a
// bounded subset of them, so that connections stay bounded in a large fleet.
// The subset is chosen by weighted rendezvous hashing of the node and the
// target. Every node therefore computes its subset alone, the subsets of all
// nodes together cover the targets in proportion to their slots, and a change
// of one member changes at most one place of a subset. Parts of the subset are
// reserved for the own zone, the other zones of the region and other regions.
//
// Signal. The outcomes that this node itself observed: calls in flight,
// latency of complete answers, share of failures, share of refusals. Latency is
// sampled only from complete answers without an error status and from timeouts,
// so that a target that fails fast does not look attractive. The load that a
// gate reports is a hint that changes a cost by at most HintWeight. Draining
// and target_down are statements that a target makes against itself and are
// believed. A threshold is believed while it is fresh and rises afterwards.
//
// Reaction. Of two random candidates of the own zone and one of the other zones
// (its cost is multiplied by ZonePenalty), the one with the lowest cost gets the
// call. The cost is latency times calls in flight per slot, divided by the
// square of the share of good answers. Targets that are much worse than their
// peers are ejected. After the ejection time one trial call is sent; if it
// succeeds, the share of calls ramps up, and otherwise the next ejection takes
// twice as long. When ejections would leave less than half of the reachable
// targets, ejection is ignored (panic mode), because then the common cause lies
// elsewhere and removing targets only makes it worse. Ejections after a lost
// connection are kept in panic mode, since such a target cannot answer.
//
// Other regions get calls only when no target of the own region is reachable.
// Overload of the own region is not a reason to leave it.
//
// Concurrency. Update is called by one owner. All other methods may be called
// concurrently with it and with each other; they use atomics over an immutable
// snapshot and take no locks. A Pick that finds a target does not allocate.
package route
