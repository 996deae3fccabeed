package admitter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
)

// expectUnused returns what holds in the store while there is no job of an ID, no record of one and no cancellation. It
// fails for a change that the store executes late, after one of them was stored.
func expectUnused(id describer.JobID) []describer.Expectation {
	return []describer.Expectation{
		{
			Key: persister.JobPrefix + string(id),
		},
		{
			Key: persister.RecordPrefix + string(id),
		},
		{
			Key: persister.CancelPrefix + string(id),
		},
	}
}

// isUnused reports whether a change failed although all of expectUnused held.
func isUnused(conflict *describer.ConflictError, id describer.JobID) bool {
	for _, expectation := range expectUnused(id) {
		if conflict.Revision(expectation.Key) != expectation.Revision {
			return false
		}
	}
	return true
}

// checkUnsubmitted returns a RejectedError if a submission failed since its job had been cancelled before.
func (admitter *Admitter) checkUnsubmitted(conflict *describer.ConflictError, id describer.JobID) error {
	if conflict.Revision(persister.JobPrefix+string(id)) != 0 {
		return nil
	}
	for _, item := range conflict.Items {
		// Records and cancellations tell it in the same way.
		if !persister.ParseCancellation(item.Value).Unsubmitted {
			continue
		}
		rejected := &describer.RejectedError{
			Reason:     "job was cancelled before it was submitted",
			RetryAfter: retryAfter,
		}
		if admitter.options.StatusRetention != nil {
			rejected.RetryAfter = max(retryAfter, admitter.options.StatusRetention())
		}
		return rejected
	}
	return nil
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
			done, err = admitter.cancelWithoutJob(ctx, route, id)
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
	err = admitter.commitCancellation(ctx, route, id, persister.Cancellation{}, describer.Expectation{
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

// cancelWithoutJob cancels a job that has no description in the store. It returns no error if the job has ended, and
// ErrNoJob if there is none that the caller may see. A submission whose outcome is not known may still be on its way, as
// the store may execute it late. So that it fails then, the cancellation of an unknown job is stored too. done is false if
// the job has been submitted meanwhile, or has ended.
func (admitter *Admitter) cancelWithoutJob(ctx context.Context, route describer.Route, id describer.JobID) (done bool, err error) {
	record, err := admitter.read(ctx, persister.RecordPrefix+string(id))
	switch {
	case err == nil && (!route.MaySee(ownerOf(record.Value)) || persister.ParseCancellation(record.Value).Unsubmitted):
		return true, describer.ErrNoJob
	case err == nil:
		return true, nil
	case !errors.Is(err, describer.ErrNotFound):
		return true, err
	}
	err = admitter.commitCancellation(ctx, route, id, persister.Cancellation{
		Unsubmitted:  true,
		Organisation: route.Organisation,
	}, expectUnused(id)...)
	var conflict *describer.ConflictError
	switch {
	case err == nil:
		return true, describer.ErrNoJob
	case !errors.As(err, &conflict):
		return true, err
	case isUnused(conflict, id):
		return true, rejectedForConfig("configuration has changed")
	case conflict.Revision(persister.JobPrefix+string(id)) == 0 && conflict.Revision(persister.RecordPrefix+string(id)) == 0:
		// An earlier attempt or call has stored the cancellation.
		return true, describer.ErrNoJob
	}
	return false, nil
}

// commitCancellation stores a cancellation while the expectations hold, and the configuration by which the call was routed
// if a key that may have been removed came with it.
func (admitter *Admitter) commitCancellation(ctx context.Context, route describer.Route, id describer.JobID,
	cancellation persister.Cancellation, expectations ...describer.Expectation,
) error {
	value, err := json.Marshal(cancellation)
	if err != nil {
		return errors.Wrapf(err, "encode cancellation of %s", id)
	}
	change := describer.Change{
		Expect: expectations,
		Writes: []describer.Write{{
			Key:   persister.CancelPrefix + string(id),
			Value: value,
		}},
	}
	if route.Condition != nil && route.Organisation != "" {
		change.Expect = append(change.Expect, *route.Condition)
	}
	return admitter.commit(ctx, change, retryAfter)
}
