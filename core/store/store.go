// Package store says what a node reads of the store that operators and
// upstreams write to. Implementations speak to one kind of store.
package store

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

var (
	// ErrRead is a read without a usable answer.
	ErrRead = errors.New("the store did not answer")
	// ErrHistory is a watch from a revision that the store has forgotten.
	ErrHistory = errors.New("the store has forgotten that revision")
)

// Changes is what one read brought.
type Changes struct {
	// Revision is the store's, up to which the reader is now current.
	Revision uint64
	// Tables are configurations, in the order they were written.
	Tables    []*route.Table
	Upstreams []registry.Change
	Invalid   []Invalid
}

// Invalid is a value that could not be read; what was known before holds.
type Invalid struct {
	Name     string
	Revision uint64
	Err      error
}

// Reader reads a store. Errors are ErrRead or ErrHistory.
type Reader interface {
	// List returns everything.
	List() (Changes, error)
	// Watch waits for changes after a revision, at most wait; slack is how much
	// longer the answer may take.
	Watch(after uint64, wait, slack time.Duration) (Changes, error)
}
