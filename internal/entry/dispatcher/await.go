package dispatcher

import (
	"context"
	"time"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Await returns the state of a job once its fate is final, wait has passed or this instance starts to drain.
// If the shard changes its owner, the rest of the wait continues at the new owner.
func (dispatcher *Dispatcher) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	deadline := time.Now().Add(wait)
	return dispatcher.callOwner(ctx, wait+dispatcher.options.RetryTimeout, readOnly, id,
		func(ctx context.Context, localShard LocalShard) (descriptor.JobStatus, error) {
			return dispatcher.awaitLocal(ctx, localShard, id, time.Until(deadline))
		},
		func(ctx context.Context, client peerpb.PeerClient) (*peerpb.QueryReply, error) {
			return dispatcher.awaitRemote(ctx, client, id, time.Until(deadline))
		})
}

func (dispatcher *Dispatcher) awaitLocal(ctx context.Context, localShard LocalShard, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	ctx, cancel := dispatcher.untilDrainOrTimeout(ctx, max(wait, 0))
	defer cancel()
	return localShard.Await(ctx, id)
}

func (dispatcher *Dispatcher) awaitRemote(
	ctx context.Context, client peerpb.PeerClient, id descriptor.JobID, wait time.Duration,
) (*peerpb.QueryReply, error) {
	if millis := wait.Milliseconds(); millis > 0 {
		queryCtx, cancel := dispatcher.untilDrain(ctx)
		response, err := client.Query(queryCtx, &peerpb.QueryRequest{
			Job:        string(id),
			WaitMillis: millis,
		})
		drainStarted := queryCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if !drainStarted {
			return response, err
		}
	}
	// No wait is left, or this instance drains: return the current state.
	return client.Query(ctx, &peerpb.QueryRequest{
		Job: string(id),
	})
}

// untilDrainOrTimeout returns a context that ends after wait or when this instance starts to drain.
func (dispatcher *Dispatcher) untilDrainOrTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := dispatcher.untilDrain(ctx)
	ctx, cancelWait := context.WithTimeout(ctx, wait)
	return ctx, func() {
		cancelWait()
		cancel()
	}
}

// untilDrain returns a context that ends when this instance starts to drain.
func (dispatcher *Dispatcher) untilDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if dispatcher.options.Draining == nil {
		return ctx, cancel
	}
	go func() {
		select {
		case <-dispatcher.options.Draining:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
