package leader

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/watcher"
)

// fenceRetryDelay is the delay after a failed write for a newer fencing token.
const fenceRetryDelay = 200 * time.Millisecond

// raiseFence writes to the store for a newer fencing token: the revision of a change that expects the leader key.
func (leader *Leader) raiseFence(ctx context.Context) {
	defer leader.raisingFence.Store(false)
	revision, err := leader.options.Store.Commit(ctx, describer.Change{
		Expect: []describer.Expectation{leader.term.LeaderKey},
		Writes: []describer.Write{{
			Key: persister.FenceKey,
		}},
	})
	if err != nil {
		leader.options.Observer.WriteFailed(0, errors.Wrap(err, "raise the fencing token"))
		watcher.Sleep(ctx, fenceRetryDelay)
		return
	}
	leader.update("fencing token", func(time.Time) {
		leader.scheduler.SetFence(describer.Fence(revision))
	})
}

// endTermIfFenced ends the term if err means that a worker has seen the token of a newer one. A worker that has restarted
// refuses orders for its former incarnation in the same way.
func (leader *Leader) endTermIfFenced(target describer.Target, err error) {
	if !errors.Is(err, describer.ErrFenced) {
		return
	}
	leader.mutex.Lock()
	superseded := leader.scheduler.Superseded(target.Worker.ID, target.Fence)
	leader.mutex.Unlock()
	if !superseded {
		leader.cancelTerm(errFenced)
	}
}
