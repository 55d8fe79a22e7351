// Package soak runs real nodes as separate processes on one machine, injects
// faults from outside, and checks what clients and targets observe.
//
// Setup. Each VM is one node process (primrosemount sidecar) with a stand-in
// target beside it. Every link of a node passes through a loopback proxy: from its
// clients, from other nodes, to its target and to the store. The store is the
// stand-in of package logservice.
//
// Faults. A schedule is drawn from a seed: signals to processes (kill, pause,
// graceful stop, reload); links that delay bytes, reset connections, lose one
// direction or go silent; a store that is down, slow or loses responses; targets
// that crash, drain, restart, become slow or send faulty responses; and changes of
// the configuration. Faults may repeat in series and overlap.
//
// Checks. A History records all requests that clients sent with their responses,
// and all requests that targets received and ran. Check returns the guarantees that
// a history violates. After the last fault, the fleet has RecoveryBound until it
// must serve every request again.
package soak
