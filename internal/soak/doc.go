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
// Slow readers. Beside the other clients, each VM has one with a small receive buffer that
// sends two requests on a connection and does not read the second response, which exceeds
// that buffer, for 2.2 to 3.5 s. LOST holds for it as for all clients.
//
// Client accounts. One in three seeds has a configuration with client accounts, keys and
// quotas. Clients send valid, unknown and removed keys or none, and state account names
// that the node has to replace. PlanAccounts adds steps to the schedule: an account sends
// many times its usual load and ignores refusals; keys are added and removed, and quotas
// lowered and restored, by new versions of the configuration. Public routes need no key.
// The checks compare keys with the versions that may be in force at the entry node, as
// for routes, and count what targets ran of each account in every window of 5 s. A
// lowered quota binds one window after each VM has been undisturbed long enough to have
// it.
//
// Drains. PlanDrains adds targets that crash and start again under a new ID, leave at once,
// and whose first announcements arrive after the acknowledgement, and, in one of two seeds,
// a Leave while the store is down, right after which all nodes are killed.
//
// Checks. A History records all requests that clients sent with their responses,
// and all requests that targets received and ran. Check returns the guarantees that
// a history violates. After the last fault, the fleet has RecoveryBound until it
// must serve every request again.
package soak
