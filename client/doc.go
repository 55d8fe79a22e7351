// Package client calls operations through the nodes of primrosemount over HTTP.
//
// A call makes a bounded number of attempts within its deadline:
//
//   - After not run, the next attempt uses a new key and another node, because a
//     refusal is final for its key.
//   - After unknown, an operation with a key is sent again with the same key
//     through another node, so that it can't run twice. A new key is never used
//     after unknown. An idempotent operation without a key is simply sent again.
//   - Other answers end the call.
//
// Every attempt is one HTTP request. The client prevents the replays of
// http.Transport, which the retry allowance would not count, and refuses answers
// whose completeness can't be checked.
//
// A Client is safe for concurrent use.
package client
