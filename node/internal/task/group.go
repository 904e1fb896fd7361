// Package task runs the goroutines of a node. It allows waiting for all of them,
// and it reports the first panic in any of them so that the node can stop.
package task

import (
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group is a set of goroutines. Its methods may be called from any goroutine.
type Group struct {
	waitGroup conc.WaitGroup
	panicOnce sync.Once
	onPanic   func(error)
}

// NewGroup returns a Group that calls onPanic for the first panic.
func NewGroup(onPanic func(error)) *Group { return &Group{onPanic: onPanic} }

// Go runs fn in a goroutine of the group.
func (g *Group) Go(fn func()) {
	g.waitGroup.Go(func() {
		if recovered := panics.Try(fn); recovered != nil {
			g.panicOnce.Do(func() { g.onPanic(recovered.AsError()) })
		}
	})
}

// Wait blocks until all goroutines of the group have ended.
func (g *Group) Wait() { g.waitGroup.Wait() }
