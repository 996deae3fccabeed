package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/withdrawer"
)

const (
	// withdrawalBurst is the number of withdrawals that the callers of an organisation may have stored at once.
	withdrawalBurst = 20
	// withdrawalRetryAfter is the retry delay of a caller beyond that. It is the shortest that HTTP can tell.
	withdrawalRetryAfter = time.Second
)

// expectNoJob returns what holds in the store while there is neither a job with an ID nor a record of one.
func expectNoJob(id describer.JobID) []describer.Expectation {
	return []describer.Expectation{
		{
			Key: persister.JobPrefix + string(id),
		},
		{
			Key: persister.RecordPrefix + string(id),
		},
	}
}

// isStored reports whether a change failed with a job or a record of one in the store.
func isStored(conflict *describer.ConflictError, id describer.JobID) bool {
	return conflict.Revision(persister.JobPrefix+string(id)) != 0 || conflict.Revision(persister.RecordPrefix+string(id)) != 0
}

// Cancel stores a cancellation. The leader then cancels the job. A job of another organisation counts as unknown.
func (admitter *Admitter) Cancel(ctx context.Context, route describer.Route, id describer.JobID) (err error) {
	start := time.Now()
	defer func() {
		admitter.reportCall(CallResult{
			Call:         "Cancel",
			Job:          id,
			Organisation: route.Organisation,
		}, start, err)
	}()
	for {
		job, err := admitter.read(ctx, persister.JobPrefix+string(id))
		var done bool
		switch {
		case errors.Is(err, describer.ErrNotFound):
			done, err = admitter.withdraw(ctx, route, id)
		case err == nil:
			done, err = admitter.cancelJob(ctx, route, id, job)
		}
		if done || err != nil {
			return err
		}
		// The job was submitted or has ended since its description was read.
	}
}

// cancelJob stores the cancellation of a job with its description. done is false if the job has ended meanwhile.
func (admitter *Admitter) cancelJob(ctx context.Context, route describer.Route, id describer.JobID, job describer.Item) (done bool, err error) {
	if !route.MaySee(ownerOf(job.Value)) {
		return true, describer.ErrNoJob
	}
	err = admitter.commitCancellation(ctx, route, persister.CancelPrefix+string(id), describer.Expectation{
		Key:      job.Key,
		Revision: job.Revision,
	})
	var conflict *describer.ConflictError
	switch {
	case err == nil:
		admitter.announce(nil, id)
		return true, nil
	case !errors.As(err, &conflict):
		return true, err
	case conflict.Revision(job.Key) == job.Revision:
		return true, rejectedForConfig("configuration has changed")
	}
	return false, nil
}

// withdraw cancels a job that has no description in the store. It returns no error if the job has ended, and ErrNoJob if
// there is none that the caller may see. Unless the ID is in use, the withdrawal is stored before that, so that a
// submission that is still on its way fails. done is false if a job was submitted meanwhile.
func (admitter *Admitter) withdraw(ctx context.Context, route describer.Route, id describer.JobID) (done bool, err error) {
	record, err := admitter.read(ctx, persister.RecordPrefix+string(id))
	switch {
	case err == nil && !route.MaySee(ownerOf(record.Value)):
		return true, describer.ErrNoJob
	case err == nil || !errors.Is(err, describer.ErrNotFound):
		return true, err
	case !admitter.mayWithdraw(route.Organisation):
		return true, &describer.RejectedError{
			Reason:     "too many cancellations of unknown jobs",
			RetryAfter: withdrawalRetryAfter,
			Overload:   true,
		}
	}
	// An earlier withdrawal is written again, since it may be about to be removed.
	err = admitter.commitCancellation(ctx, route, withdrawer.Key(id, route.Organisation), expectNoJob(id)...)
	var conflict *describer.ConflictError
	switch {
	case err == nil:
		return true, describer.ErrNoJob
	case !errors.As(err, &conflict):
		return true, err
	case isStored(conflict, id):
		return false, nil
	}
	return true, rejectedForConfig("configuration has changed")
}

// commitCancellation writes a key while the expectations hold, and the configuration by which the call was routed if a key
// of a caller that may have been removed came with it.
func (admitter *Admitter) commitCancellation(ctx context.Context, route describer.Route, key string, expectations ...describer.Expectation) error {
	change := describer.Change{
		Expect: expectations,
		Writes: []describer.Write{{
			Key:   key,
			Value: []byte("{}"),
		}},
	}
	if route.Condition != nil && route.Organisation != "" {
		change.Expect = append(change.Expect, *route.Condition)
	}
	return admitter.commit(ctx, change, retryAfter)
}

// mayWithdraw reports whether the callers of an organisation may have one more withdrawal stored now.
func (admitter *Admitter) mayWithdraw(organisation string) bool {
	return admitter.options.MaxWithdrawals == nil || admitter.withdrawals.allow(organisation, rate.Limit(admitter.options.MaxWithdrawals()))
}

// withdrawalLimits bounds the withdrawals of each organisation, so that those of one leave the store's writes to the calls
// of all others.
type withdrawalLimits struct {
	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
}

func (withdrawalLimits *withdrawalLimits) allow(organisation string, limit rate.Limit) bool {
	withdrawalLimits.mutex.Lock()
	defer withdrawalLimits.mutex.Unlock()
	limiter := withdrawalLimits.limiters[organisation]
	if limiter == nil {
		limiter = rate.NewLimiter(limit, withdrawalBurst)
		if withdrawalLimits.limiters == nil {
			withdrawalLimits.limiters = map[string]*rate.Limiter{}
		}
		withdrawalLimits.limiters[organisation] = limiter
	}
	limiter.SetLimit(limit)
	return limiter.Allow()
}
