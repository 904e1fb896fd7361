// Package core is the root of the module that makes all decisions of a node. The
// module does no I/O: no package below it opens a socket, starts a goroutine, reads a
// clock or uses a global random source. Package engine is a deterministic state
// machine that turns events into actions, and the other packages implement the
// policies that it applies.
//
// A call is processed as follows. The engine finds its route in the document
// (package document), assigns it a retry budget (package budget) and chooses a
// target (package balancer). The node beside that target admits the call (package
// admission) before its upstream runs it. A call that is not idempotent is first
// passed to the one node that owns its key (package idempotency).
package core
