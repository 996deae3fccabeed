package jobrouter

import (
	"context"
	"time"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Await returns the state of a job once its fate is final, wait has passed or this instance starts to drain.
// If the shard changes its owner, the rest of the wait continues at the new owner.
func (jobRouter *JobRouter) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	deadline := time.Now().Add(wait)
	return jobRouter.callOwner(ctx, wait+jobRouter.options.RetryTimeout, readOnly, id,
		func(ctx context.Context, localShard LocalShard) (descriptor.JobStatus, error) {
			return jobRouter.awaitLocal(ctx, localShard, id, time.Until(deadline))
		},
		func(ctx context.Context, client peerpb.PeerClient) (*peerpb.QueryReply, error) {
			return jobRouter.awaitRemote(ctx, client, id, time.Until(deadline))
		})
}

func (jobRouter *JobRouter) awaitLocal(ctx context.Context, localShard LocalShard, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	ctx, cancel := jobRouter.untilDrainOrTimeout(ctx, max(wait, 0))
	defer cancel()
	return localShard.Await(ctx, id)
}

func (jobRouter *JobRouter) awaitRemote(
	ctx context.Context, client peerpb.PeerClient, id descriptor.JobID, wait time.Duration,
) (*peerpb.QueryReply, error) {
	if millis := wait.Milliseconds(); millis > 0 {
		queryCtx, cancel := jobRouter.untilDrain(ctx)
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
func (jobRouter *JobRouter) untilDrainOrTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := jobRouter.untilDrain(ctx)
	ctx, cancelWait := context.WithTimeout(ctx, wait)
	return ctx, func() {
		cancelWait()
		cancel()
	}
}

// untilDrain returns a context that ends when this instance starts to drain.
func (jobRouter *JobRouter) untilDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if jobRouter.options.Draining == nil {
		return ctx, cancel
	}
	go func() {
		select {
		case <-jobRouter.options.Draining:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
