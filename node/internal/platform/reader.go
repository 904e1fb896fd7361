package platform

import (
	"context"
	"sync/atomic"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/directory"
	"github.com/shallotspool/shallotspool/node/internal/task"
)

// Reader executes the engine's read actions. It runs at most one read of each
// resource at a time.
type Reader struct {
	client      *Client
	directory   *directory.Directory
	tasks       *task.Group
	handleEvent func(engine.Event)
	onError     func(error)
	// inProgress is indexed by engine.Resource.
	inProgress [engine.ResourceMembers + 1]atomic.Bool
}

// NewReader returns a Reader that passes the results to handleEvent and each
// error to onError, and stores the list of instances in d.
func NewReader(c *Client, d *directory.Directory, tasks *task.Group, handleEvent func(engine.Event), onError func(error)) *Reader {
	return &Reader{client: c, directory: d, tasks: tasks, handleEvent: handleEvent, onError: onError}
}

// StartRead starts one read and returns without waiting for it. It does nothing if
// a read of the same resource is in progress.
func (r *Reader) StartRead(ctx context.Context, a *engine.ReadPlatform) {
	if int(a.Resource) >= len(r.inProgress) || !r.inProgress[a.Resource].CompareAndSwap(false, true) {
		return
	}
	r.tasks.Go(func() {
		defer r.inProgress[a.Resource].Store(false)
		err := r.read(ctx, a)
		if err != nil && ctx.Err() == nil {
			r.onError(err)
		}
	})
}

// read reads one resource and passes the result to the engine.
func (r *Reader) read(ctx context.Context, a *engine.ReadPlatform) error {
	if a.Resource == engine.ResourceMembers {
		list, invalid, err := r.client.Instances(ctx)
		if err != nil {
			return err
		}
		for _, err := range invalid {
			r.onError(err)
		}
		r.directory.Replace(list)
		r.handleEvent(&engine.MembersRead{Instances: list})
		return nil
	}
	version, text, err := r.client.Document(ctx, a.CurrentVersion)
	if err != nil {
		return err
	}
	r.handleEvent(&engine.DocumentRead{Version: version, Text: text})
	return nil
}
