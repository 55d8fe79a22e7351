// Package soak runs real nodes as processes of their own on one machine, injects
// faults from outside, and checks what callers and targets see.
//
// Set-up. Each VM is one node process (primrosemount sidecar) with a target
// stand-in beside it. Every link of a node passes a loopback proxy: from its
// clients, from other nodes, to its target and to the store. The store is the
// stand-in of package logservice.
//
// Faults. A schedule is drawn from a seed: signals to processes (kill, pause,
// orderly stop, reload), links that delay, reset, cut one way or fall silent, a
// store that is down, slow or loses answers, targets that crash, drain, restart,
// turn slow or spoil answers, and changes of the configuration. Entries come in
// series and overlap.
//
// Checks. Everything that clients sent and got, and everything that targets were
// sent and ran, is recorded. Check reads this history and returns what broke a
// promise. After the last fault the fleet has RecoveryBound to serve every
// request again.
package soak
