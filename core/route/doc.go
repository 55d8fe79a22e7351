// Package route chooses the target of each call.
//
// Model. A node tracks all targets of a service, but sends calls only to a
// subset of bounded size, so that the number of connections stays bounded in a
// large fleet. The subset is chosen by weighted rendezvous hashing of the node
// and the target. Every node therefore computes its subset without
// coordination, the subsets of all nodes together cover the targets in
// proportion to their slots, and the arrival or removal of one target replaces
// at most one target of a subset. Quotas of the subset are reserved for the
// node's own availability zone, for the other zones of its region, and for
// other regions.
//
// Signals. Routing relies on the outcomes that this node observed: calls in
// flight, latency of complete responses, share of failures and share of
// refusals. Latency is sampled only from complete responses without an error
// status and from timeouts, so that a target that fails fast does not look
// attractive. The gate of a target, which is the admission control in its node,
// reports further signals. The load that it reports is a hint that changes a
// cost by at most HintWeight. When it reports that it is draining or that its
// target is down, the report is trusted. The threshold that it reports, which
// is the highest effective level that it admits, applies while the report is
// fresh; later the assumed threshold rises, so that calls are tried again. The
// effective level of a request follows from its importance; lower levels are
// more important. A call is doomed if every target is assumed to reject its
// level. Doomed calls are refused early, except for a small share that detects
// recovery.
//
// Choice. TwoChoices, the default policy, compares two random candidates of the
// node's own zone with one of the other zones of the region, whose cost is
// multiplied by ZonePenalty. The candidate with the lowest cost gets the call.
// The cost is latency times calls in flight per slot, divided by the square of
// the share of good outcomes. Config.Policy selects another policy.
//
// Placement by cost. LeastWork scores some targets of the node's own zone and of
// the other zones: by the expected completion of the request, by what its time in a
// slot costs others, and by a surcharge of other zones that grows with the expected
// bytes and falls with the shortage of the own zone. It uses the work left that
// gates report and the costs and speeds that package cost learns from them; reports
// lose weight with age, and what this node has in flight is a lower bound. Place
// applies it whatever the policy is, so that a node can switch at run time.
//
// Ejection. Targets that are much worse than their peers, and targets whose
// connection failed, are ejected: they get no calls until the ejection time
// ends. Then one trial call is sent. If it succeeds, the target's share of
// calls ramps up; otherwise the next ejection lasts twice as long, up to a
// maximum. When more than half of the reachable targets are ejected, ejections
// are ignored (panic mode), because then the cause is probably shared by all
// targets and removing some of them makes it worse. Ejections after a lost
// connection stay in force in panic mode, since such a target cannot respond.
//
// Other regions get calls only when no target of the node's own region is
// reachable. Overload of the node's own region does not move calls to another
// region.
//
// Concurrency. Update must be called by one goroutine at a time. All other
// methods may be called concurrently with it and with each other; they use
// atomics over an immutable snapshot and take no locks. A Pick that finds a
// target does not allocate.
package route
