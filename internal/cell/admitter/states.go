package admitter

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/cell/watcher"
)

// State returns the state of a job from the leader, or from the store if the leader cannot be reached or
// does not know the job. A job of another organisation counts as unknown.
func (admitter *Admitter) State(ctx context.Context, route describer.Route, id describer.JobID) (state describer.JobState, err error) {
	start := time.Now()
	defer func() {
		admitter.reportCall(CallResult{
			Call:         "State",
			Job:          id,
			State:        state,
			Organisation: route.Organisation,
		}, start, err)
	}()
	if leader := admitter.options.Leader(); leader.IsValid() {
		callCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
		status, err := admitter.options.State(callCtx, leader, id)
		cancel()
		if err == nil && status.State != describer.JobUnknown {
			return seenBy(route, status.Organisation, status.State)
		}
	}
	return admitter.stateFromStore(ctx, route, id)
}

// seenBy returns state, or ErrNoJob if the caller may not see a job of owner.
func seenBy(route describer.Route, owner string, state describer.JobState) (describer.JobState, error) {
	if !route.MaySee(owner) {
		return describer.JobUnknown, describer.ErrNoJob
	}
	return state, nil
}

// stateFromStore reads the state of a job from the store. A job without a record is queued.
func (admitter *Admitter) stateFromStore(ctx context.Context, route describer.Route, id describer.JobID) (describer.JobState, error) {
	jobRecord, err := admitter.readRecord(ctx, id)
	switch {
	case errors.Is(err, describer.ErrNotFound):
		jobRecord.State = describer.JobQueued
	case err != nil:
		return describer.JobUnknown, err
	case jobRecord.State.Final() || route.MaySeeAll():
		return seenBy(route, jobRecord.Organisation, jobRecord.State)
	}
	// Only the description of a job that goes on tells whose it is.
	description, err := admitter.read(ctx, persister.JobPrefix+string(id))
	switch {
	case err == nil:
		return seenBy(route, ownerOf(description.Value), jobRecord.State)
	case !errors.Is(err, describer.ErrNotFound):
		return describer.JobUnknown, err
	}
	// The job has ended since its record was read, or there is none.
	jobRecord, err = admitter.readRecord(ctx, id)
	if errors.Is(err, describer.ErrNotFound) {
		err = describer.ErrNoJob
	}
	if err != nil {
		return describer.JobUnknown, err
	}
	return seenBy(route, jobRecord.Organisation, jobRecord.State)
}

func (admitter *Admitter) readRecord(ctx context.Context, id describer.JobID) (scheduler.Record, error) {
	item, err := admitter.read(ctx, persister.RecordPrefix+string(id))
	if err != nil {
		return scheduler.Record{}, err
	}
	// An error is logged with the answer to the caller.
	return scheduler.ParseRecord(item.Value)
}

// read reads a key and retries while the store is reachable and the caller's deadline allows it.
func (admitter *Admitter) read(ctx context.Context, key string) (describer.Item, error) {
	for {
		item, err := admitter.options.Store.Read(ctx, key)
		if err == nil || errors.Is(err, describer.ErrNotFound) {
			return item, err
		}
		deadline, bounded := ctx.Deadline()
		if ctx.Err() != nil || !admitter.options.Reachable() || bounded && time.Until(deadline) < responseMargin+retryDelay {
			return item, admitter.storeError(ctx, false, err, retryAfter)
		}
		watcher.Sleep(ctx, retryDelay)
	}
}
