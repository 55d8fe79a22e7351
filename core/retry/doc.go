// Package retry bounds the number of retries in a call tree, from the caller of
// the root request to the last downstream service.
//
// Definitions. A call is one use of an operation by one execution of its
// parent. Its first attempt is not counted; every further attempt of the same
// call is one retry, whoever makes it: the caller at the entry node (where the
// request enters), the entry node, or a node deeper in the chain. Retries
// include an attempt at another target, an attempt after a refusal, and a query
// for the response of an attempt whose response was lost. They do not include
// first attempts of other calls, the parallel calls that a request makes (calls
// are never hedged), or messages that execute nothing, such as cancellations
// and probes. A request that the caller sends without an identity, or under a
// new one, is a new root request.
//
// Allowance. Each root request has an Allowance: a strict limit of the number
// of retries. A node that makes a child call grants a part of its own allowance
// with each attempt; the part is subtracted from the allowance immediately. The
// receiver uses the granted part as its allowance, and its response returns
// what remains of it. A grant is settled once: it is either returned, with at
// most the granted amount, or forfeited. Forfeited grants, and grants that are
// not settled when the node responds to its own caller, count as spent. The
// amounts held by all nodes plus the retries made never exceed the limit of the
// root request, so the bound holds for every depth, fan-out, message order,
// loss and duplication.
//
// Executions. If R retries are allowed, each call of the tree is executed at
// most 1+R times. Each execution of a call belongs to a different execution of
// its parent or is a retry, so by induction from the root, a call is executed
// at most once plus the number of retries on the path to it.
//
// Limiter. A Limiter decides which levels of the calls to one service use a WindowBudget
// that does not cover all retries. See its comment and
// docs/design/retry-limited-admission.md.
//
// Conditions. A failed attempt is retried only if the error permits it (the
// request was not run, or it is idempotent), no service deeper in the chain has
// already exhausted its attempts on the failure (Failure.FinalError marks such
// errors on the way up), the allowance is not empty, and the budget of the edge
// permits it. An edge is the link from a node to a service that it calls. The
// EdgeBudget limits the total rate of retries on one edge to a share of first
// attempts, which matters when many requests fail at once. WindowBudget limits
// retries to one service in the same way over a sliding window, so that a limit
// also holds for the sum over all nodes. Backoff adds jitter to the delays
// between attempts, and RetryAfter to the waits that refused callers are told, so that
// callers that failed at the same time do not retry
// at the same time.
package retry
