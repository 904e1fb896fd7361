package platform

import (
	"context"
	"sync/atomic"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/directory"
	"github.com/shallotspool/shallotspool/node/internal/task"
)

// Reader carries out the engine's reads, one at a time of each resource.
type Reader struct {
	client    *Client
	directory *directory.Directory
	tasks     *task.Group
	step      func(engine.Event)
	failed    func(error)
	busy      [engine.ResourceMembers + 1]atomic.Bool
}

// NewReader returns a Reader. step gets the results, failed each failure.
func NewReader(c *Client, d *directory.Directory, tasks *task.Group, step func(engine.Event), failed func(error)) *Reader {
	return &Reader{client: c, directory: d, tasks: tasks, step: step, failed: failed}
}

// Read starts one read and returns at once; it does nothing while the last read
// of the same resource goes on.
func (r *Reader) Read(ctx context.Context, a *engine.ReadPlatform) {
	if int(a.Resource) >= len(r.busy) || !r.busy[a.Resource].CompareAndSwap(false, true) {
		return
	}
	r.tasks.Go(func() {
		defer r.busy[a.Resource].Store(false)
		err := r.read(ctx, a)
		if err != nil && ctx.Err() == nil {
			r.failed(err)
		}
	})
}

func (r *Reader) read(ctx context.Context, a *engine.ReadPlatform) error {
	if a.Resource == engine.ResourceMembers {
		list, err := r.client.Instances(ctx)
		if err != nil {
			return err
		}
		r.directory.Replace(list)
		r.step(&engine.MembersSeen{List: list})
		return nil
	}
	version, text, err := r.client.Document(ctx, a.Have)
	if err != nil {
		return err
	}
	r.step(&engine.DocumentSeen{Version: version, Text: text})
	return nil
}
