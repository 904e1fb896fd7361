// Package task runs the goroutines of a node, so that each one is waited for
// and a panic in any of them ends the node instead of being lost.
package task

import (
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group is a set of goroutines. Its methods may be called from any goroutine.
type Group struct {
	tasks   conc.WaitGroup
	once    sync.Once
	onPanic func(error)
}

// NewGroup returns a Group that reports the first panic to onPanic.
func NewGroup(onPanic func(error)) *Group { return &Group{onPanic: onPanic} }

// Go runs do in a goroutine of the group.
func (g *Group) Go(do func()) {
	g.tasks.Go(func() {
		if r := panics.Try(do); r != nil {
			g.once.Do(func() { g.onPanic(r.AsError()) })
		}
	})
}

// Wait returns when all goroutines have ended.
func (g *Group) Wait() { g.tasks.Wait() }
