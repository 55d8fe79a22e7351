// Package client calls operations over HTTP through the nodes of primrosemount.
//
// A call makes a bounded number of attempts within its deadline:
//
//   - After the outcome "not run", the next attempt uses a new idempotency key and
//     another node, because a rejection is final for its key.
//   - After the outcome "unknown", an operation with a key is retried with the same
//     key through another node, so that it cannot run twice. A new key is never
//     used after "unknown". An idempotent operation without a key is retried as it
//     is.
//   - Any other result ends the call.
//
// Every attempt is one HTTP request. The client prevents automatic replays by
// http.Transport, which the retry allowance would not count, and rejects responses
// whose completeness cannot be checked.
//
// A Client is safe for concurrent use.
package client
