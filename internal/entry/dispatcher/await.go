package dispatcher

import (
	"context"
	"time"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Await returns the state of a job when its fate is final, after wait, or when a planned stop of this
// instance begins. The wait goes on at the next owner when the shard moves.
func (dispatcher *Dispatcher) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	end := time.Now().Add(wait)
	return dispatcher.ask(ctx, wait+dispatcher.options.RetryTime, harmless, id,
		func(ctx context.Context, owner Owner) (descriptor.JobStatus, error) {
			return dispatcher.awaitLocal(ctx, owner, id, time.Until(end))
		},
		func(ctx context.Context, client peerpb.PeerClient) (*peerpb.QueryReply, error) {
			return dispatcher.awaitRemote(ctx, client, id, time.Until(end))
		})
}

func (dispatcher *Dispatcher) awaitLocal(ctx context.Context, owner Owner, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	ctx, cancel := dispatcher.waiting(ctx, max(wait, 0))
	defer cancel()
	return owner.Await(ctx, id)
}

func (dispatcher *Dispatcher) awaitRemote(
	ctx context.Context, client peerpb.PeerClient, id descriptor.JobID, wait time.Duration,
) (*peerpb.QueryReply, error) {
	if millis := wait.Milliseconds(); millis > 0 {
		waiting, cancel := dispatcher.stoppable(ctx)
		reply, err := client.Query(waiting, &peerpb.QueryRequest{
			Job:        string(id),
			WaitMillis: millis,
		})
		stopped := waiting.Err() != nil && ctx.Err() == nil
		cancel()
		if !stopped {
			return reply, err
		}
	}
	return client.Query(ctx, &peerpb.QueryRequest{
		Job: string(id),
	})
}

// waiting returns a context that ends after wait or when a planned stop begins.
func (dispatcher *Dispatcher) waiting(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := dispatcher.stoppable(ctx)
	ctx, cancelWait := context.WithTimeout(ctx, wait)
	return ctx, func() {
		cancelWait()
		cancel()
	}
}

// stoppable returns a context that ends when a planned stop begins.
func (dispatcher *Dispatcher) stoppable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if dispatcher.options.Stopping == nil {
		return ctx, cancel
	}
	go func() {
		select {
		case <-dispatcher.options.Stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
