// Package cost learns how much work requests cost and how fast targets do it.
//
// A cost is the time for which a request occupies a slot of a target. It has two parts.
// Own work is the time in which the target works for the request. Its length depends on
// the operation and on the speed of the target. Calls are the time in which the request
// waits for calls to deeper services. It occupies the slot too, but it does not depend on
// the speed of the target. Costs and speeds are therefore learned from own work only,
// while work left and expected completion include both.
//
// Two sides learn. Work belongs to a gate: it knows the operations at one target and how
// the target does now compared with its own mean. Operations belongs to a sender: it
// compares the targets of one service. The gates report the own work that an operation
// takes at their targets. A report is a product of the cost of the operation at a target
// of mean speed and of the slowness of the target, so both can be told apart when several
// targets report the same operation, whatever mix of operations each of them receives.
//
// Only the operation distinguishes requests. Body size, account and path are not part of
// the key; keys_test.go shows what they add.
//
// Robustness. Failures, refusals, cancelled requests, lost responses, error statuses and
// requests of which a call failed are no samples, because they end early. A sample is
// clipped to a multiple of the mean. A reported value moves a speed by a bounded step,
// and speeds are bounded, so a target that reports false values cannot attract more than
// a bounded share. Package route compares predictions with the latencies that the sender
// measures itself.
package cost
