// Package core is the root of the module that holds every decision a node
// takes. Nothing below it opens a socket, starts a goroutine, reads a clock or
// draws from a global random source: package engine is one deterministic state
// machine that turns events into actions, and the other packages are the
// policies it is composed of.
//
// The life of a call: the engine resolves its route in the document (package
// document), takes tokens for it (package budget), chooses a target (package
// balancer), and the node beside that target admits it (package admission)
// before its upstream runs it. A call that is not idempotent is first handed to
// the one node that owns its key (package owner).
package core
