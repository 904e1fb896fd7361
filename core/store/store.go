// Package store defines the interface through which a node reads the platform's
// store, where operators publish configuration and upstreams register themselves.
package store

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

var (
	// ErrUnavailable is returned if the store gave no usable response.
	ErrUnavailable = errors.New("no usable response from the store")
	// ErrUnreadable marks the ErrUnavailable of a response that began but could not be read to
	// its end or decoded. The same watch may fail again, while a listing comes in pages.
	ErrUnreadable = errors.New("response of the store cannot be read")
	// ErrRevisionGone is returned for a watch from a revision that the store no
	// longer keeps. The caller has to list everything again.
	ErrRevisionGone = errors.New("the store no longer keeps that revision")
)

// Changes is the result of one read.
type Changes struct {
	// Revision is the store revision up to which the changes are complete.
	Revision uint64
	// Era counts the restores of the store from an older copy, 0 if the store does not
	// state it.
	Era uint64
	// Tables are the routing tables read, in the order in which they were written. A reader
	// may leave out those that a later one replaces.
	Tables []*route.Table
	// Upstreams are the registrations and removals of upstreams. A registration that
	// could not be decoded is a change without an upstream.
	Upstreams []registry.Change
	// Invalid lists the values that could not be decoded.
	Invalid []InvalidValue
}

// Position returns the position of the store up to which the changes are complete.
func (c Changes) Position() registry.Position {
	return registry.Position{Era: c.Era, Revision: c.Revision}
}

// InvalidValue describes a value that could not be decoded. An invalid routing table
// leaves the previous one in use; an upstream whose registration is invalid is no
// longer used.
type InvalidValue struct {
	// Key is the key of the value in the store.
	Key      string
	Revision uint64
	Err      error
}

// Reader reads a store. Its errors wrap ErrUnavailable or ErrRevisionGone.
type Reader interface {
	// List returns the complete content of the store. It fails if the store was restored
	// while it was listed.
	List() (Changes, error)
	// Watch returns the changes after a revision of the era that the result states. If there are none yet, it waits for
	// the next one, but no longer than the duration wait. slack is the additional time
	// allowed for the response.
	Watch(after uint64, wait, slack time.Duration) (Changes, error)
}
