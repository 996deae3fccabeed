package leader

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/cell/watcher"
)

const (
	// pollInterval is the minimum time between two polls of a worker, so that ended runs are read in batches.
	pollInterval = 5 * time.Millisecond
	// pollRetryDelay is the delay after a poll that failed.
	pollRetryDelay = 100 * time.Millisecond
	// recordCheckInterval is when a delayed poll first checks again whether the records it waits for are stored. The
	// interval doubles up to maxRecordCheckInterval: when the store is slow, the polls of most workers wait.
	recordCheckInterval    = 3 * time.Millisecond
	maxRecordCheckInterval = 48 * time.Millisecond
	// maxRecordWait is how long a poll is delayed until the records of ended runs are stored. Until then the worker
	// lists these runs again.
	maxRecordWait = 400 * time.Millisecond
)

// pollWorker renews the leases on a worker and reads its lists of running and ended runs until the scheduler has
// forgotten the worker.
func (leader *Leader) pollWorker(ctx context.Context, id describer.WorkerID) {
	for ctx.Err() == nil {
		poll := leader.nextPoll(ctx, id)
		if poll.Worker == nil {
			return
		}
		err := leader.poll(ctx, poll)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			watcher.Sleep(ctx, pollRetryDelay)
		} else {
			watcher.Sleep(ctx, pollInterval)
		}
	}
}

// poll sends one poll and passes its result to the scheduler.
func (leader *Leader) poll(ctx context.Context, poll scheduler.Poll) error {
	sent := time.Now()
	target := describer.Target{
		Worker: poll.Worker,
		Fence:  poll.Fence,
	}
	answer, err := leader.options.Workers.Poll(ctx, target, poll.Order)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, describer.ErrFenced) {
		leader.endTermIfFenced(target, err)
		return err
	}
	leader.update("lists of "+string(poll.Worker.ID), func(now time.Time) {
		if err != nil {
			leader.scheduler.PollFailed(now, poll.Worker.ID, err)
		} else {
			leader.scheduler.PollAnswered(now, sent, poll, answer)
		}
	})
	return err
}

// pollOnce reads a worker's lists at once, alongside the long poll that is waiting there.
func (leader *Leader) pollOnce(ctx context.Context, id describer.WorkerID) {
	leader.mutex.Lock()
	poll := leader.scheduler.PollOrder(time.Now(), id, leader.term.Confirmed())
	leader.mutex.Unlock()
	if poll.Worker == nil {
		return
	}
	poll.Order.Wait = 0
	// The scheduler has recorded a failure; the long poll continues.
	_ = leader.poll(ctx, poll)
}

// nextPoll returns the next poll, without a worker once the scheduler has forgotten the worker. It waits until the ended
// runs of the last poll are durable, since the worker would otherwise list them again immediately.
func (leader *Leader) nextPoll(ctx context.Context, id describer.WorkerID) scheduler.Poll {
	startTime := time.Now()
	interval := recordCheckInterval
	for {
		leader.mutex.Lock()
		poll := leader.scheduler.PollOrder(time.Now(), id, leader.term.Confirmed())
		if poll.Worker == nil {
			delete(leader.polling, id)
		}
		leader.mutex.Unlock()
		if !poll.RecordsPending || poll.Worker == nil || ctx.Err() != nil || time.Since(startTime) > maxRecordWait {
			return poll
		}
		watcher.Sleep(ctx, interval)
		interval = min(2*interval, maxRecordCheckInterval)
	}
}
