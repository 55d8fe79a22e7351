// Package retry bounds retries across a whole call tree.
//
// What is counted. A call is one use of an operation by one execution of its
// parent. Its first attempt is free; every further attempt of the same call is
// one retry, whoever makes it: the caller at the entry, the entry node, or a
// node deep in the chain. This includes an attempt at another target, a second
// attempt after a refusal, and a query for the answer of a lost attempt. It does
// not include first attempts of other calls, the hedge-free fan-out of a
// request, or messages that run nothing (cancellation, probes). A request that
// the caller sends without an identity, or under a new one, is a new root
// request.
//
// Model. A root request has an Allowance: a strict count of retries. A node that
// makes a child call grants a part of its own allowance with each attempt; the
// part is taken out of the allowance at that moment. The receiver treats the
// granted part as its allowance, and its answer returns what is left of it. A
// grant is settled once: returned, with at most the granted amount, or lost.
// What was lost, or was not settled before the node itself answered, counts as
// spent. The amounts held by all nodes plus the retries made never exceed the
// count of the root request, so the bound holds for every depth, fan-out, order
// of messages, loss and duplication.
//
// Consequence. If R retries are allowed, each call of the tree is executed at
// most 1+R times: an execution of a call belongs to an execution of its parent
// or is a retry, so by induction from the root the executions of a call are at
// most 1 plus the retries on the path to it.
//
// Reaction. A failed attempt is repeated only if the error permits it (not run,
// or idempotent work), the failure is not one that a service deeper in the chain
// has already used up its attempts on (Failure.FinalError marks it on the way up), the
// allowance is not empty, and the EdgeBudget of the edge permits it. The edge budget holds the total rate of
// retries on one edge to a share of first attempts, which matters when many
// requests fail at once. Delays between attempts are jittered by Backoff, so
// that callers that failed together do not return together.
package retry
