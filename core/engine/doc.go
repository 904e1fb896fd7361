// Package engine is the state machine of one node. It is deterministic: it
// starts no goroutines, reads no clock and takes its random numbers from the
// configured seed, so the same sequence of events always produces the same
// sequence of actions. The daemon connects it to sockets; tests and simulations
// run it in virtual time.
//
// # Terms
//
// Calls and attempts:
//   - A call is a request that this node has to answer.
//   - An attempt is one try to execute a call: a dispatch to the node's own
//     upstream or a send to another node.
//   - The entry is the node at which a request comes into the system. The calls
//     that upstreams make while they work on it form its call tree. A call of an
//     upstream that does not name the dispatch it belongs to enters anew.
//   - A target is one instance of a service, named like "pay-2". Each has a
//     node; a run of the node is identified by its incarnation.
//   - The platform is the external system that publishes the document, which
//     configures the services and their routes, and the list of instances.
//
// Sends:
//   - A send is one transmission of a call to another node, identified by a
//     wire.SendID. Its stage says whether the receiver is to run the call
//     (StageRun) or to handle it as the owner of its key (StageOwner).
//   - A stamp is a node's incarnation and uptime. A send carries the latest
//     stamp of its receiver, which thereby recognises sends that are too old.
//   - A fence asks the receiver of a send never to run that send if it has not
//     started, and to tell whether it may have run.
//
// Retries:
//   - A retry is a further attempt at a call. A resend is the same request sent
//     again by the caller, with the same key. A repeated send is a further send
//     to the same node, for a newer stamp or to the owner after a fence.
//   - A rerun is a call that may have run before. The calls made during it
//     count as retries too.
//   - A retry token pays for one retry. A request gets its tokens at the entry;
//     nodes lend them along the call tree, and replies return the unused ones.
//
// Non-idempotent calls:
//   - A key is the Idempotency-Key of a request. Its owner is the one target of
//     the service that lets a call with this key run at most once. The owner's
//     key table remembers keys and results for the resend window, in which
//     callers may resend. Calls made during a dispatch have no owner; their own
//     node remembers their keys.
//   - A key partition is the assignment of keys to owners; it changes with the
//     number of targets of the service.
//   - A pause is a time during which the node's process did not run. After it,
//     the node refuses non-idempotent calls from callers for catchUpTime.
//
// Overload and crashes:
//   - A rank orders calls by class and priority; lower ranks are more important.
//   - An admission level is the highest rank that is still admitted, by a node's
//     upstream or throughout the call tree of a route.
//   - A suspect is a request that was running on an upstream when that crashed.
//     It runs only as a trial: on the one target that its fingerprint selects,
//     while other calls with the fingerprint wait. After poison.MaxCrashes
//     crashes it is blocked, that is refused.
package engine
