// Package withdrawer defines the withdrawals of jobs in the store, and removes them for the leader once they are old. A
// withdrawal is the cancellation of a job that was not in the store: the store, or an instance that stood still, may
// still carry out a submission whose caller has left. Nothing is submitted under the ID while its withdrawal is there.
package withdrawer

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/watcher"
)

// Prefix is the prefix of the withdrawals in the store.
const Prefix = "withdrawn/"

const (
	// Retention is how long a withdrawal is kept at least: longer than a call lasts, and the seconds by which the store may
	// be late.
	Retention = 2 * time.Minute
	// sweepInterval is the time between two sweeps, and so how much longer a withdrawal is kept at most under one leader.
	sweepInterval = time.Minute
	// maxRemovals is the number of withdrawals that one change removes, each with an expectation beside that of the leader.
	maxRemovals = (describer.MaxChangeEntries - 1) / 2
	// sweepRetryDelay is the delay before a failed call of a sweep is repeated.
	sweepRetryDelay = time.Second
)

// Key returns the key of the withdrawal of a job by a caller of organisation, which is empty for calls without a key. The
// withdrawals of other organisations are other keys, so that none keeps the job of another one from being submitted.
func Key(id describer.JobID, organisation string) string {
	return fmt.Sprintf("%s%s/%016x", Prefix, id, xxhash.Sum64String(organisation))
}

// Sweeper removes old withdrawals.
type Sweeper struct {
	Store describer.Store
	// Leadership is an expectation that holds only while this instance is the leader.
	Leadership describer.Expectation
	// OnFailure, if set, is called for each call to the store that failed.
	OnFailure func(err error)

	// sightings are revisions of the store that were seen before, the oldest first.
	sightings []sighting
}

// sighting is a revision of the store and a time at which it was reached. The age of a withdrawal follows from its
// revision, since the clocks of the instances may jump.
type sighting struct {
	at       time.Time
	revision describer.Revision
}

// Run sweeps until ctx is done or another instance leads.
func (sweeper *Sweeper) Run(ctx context.Context) error {
	for {
		if err := sweeper.sweep(ctx); err != nil {
			return err
		}
		watcher.Sleep(ctx, sweepInterval)
	}
}

// sweep removes the withdrawals that are older than Retention.
func (sweeper *Sweeper) sweep(ctx context.Context) error {
	after := ""
	first := true
	var old describer.Revision
	for {
		page, err := sweeper.Store.List(ctx, Prefix, after)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			sweeper.reportFailure(err)
			watcher.Sleep(ctx, sweepRetryDelay)
			continue
		}
		if first {
			first = false
			old = sweeper.sight(page.At)
		}
		if err := sweeper.remove(ctx, page.Items, old); err != nil {
			return err
		}
		if !page.More || len(page.Items) == 0 {
			return nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// sight notes that the store has reached a revision and returns the last one that it had reached Retention ago.
func (sweeper *Sweeper) sight(revision describer.Revision) (old describer.Revision) {
	now := time.Now()
	sweeper.sightings = append(sweeper.sightings, sighting{
		at:       now,
		revision: revision,
	})
	for len(sweeper.sightings) > 1 && now.Sub(sweeper.sightings[1].at) >= Retention {
		sweeper.sightings = sweeper.sightings[1:]
	}
	if now.Sub(sweeper.sightings[0].at) < Retention {
		return 0
	}
	return sweeper.sightings[0].revision
}

// remove removes the items that were written up to revision old. Items that change meanwhile are left to the next sweep.
func (sweeper *Sweeper) remove(ctx context.Context, items []describer.Item, old describer.Revision) error {
	for len(items) > 0 {
		change := describer.Change{
			Expect: []describer.Expectation{sweeper.Leadership},
		}
		for len(items) > 0 && len(change.Remove) < maxRemovals {
			if item := items[0]; item.Revision <= old {
				// A removal that the store executes late must not meet a later withdrawal.
				change.Expect = append(change.Expect, describer.Expectation{
					Key:      item.Key,
					Revision: item.Revision,
				})
				change.Remove = append(change.Remove, item.Key)
			}
			items = items[1:]
		}
		if len(change.Remove) == 0 {
			return nil
		}
		_, err := sweeper.Store.Commit(ctx, change)
		var conflict *describer.ConflictError
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.As(err, &conflict) && conflict.Revision(sweeper.Leadership.Key) != sweeper.Leadership.Revision:
			return errors.New("another instance leads")
		case err != nil:
			sweeper.reportFailure(err)
		}
	}
	return nil
}

func (sweeper *Sweeper) reportFailure(err error) {
	if sweeper.OnFailure != nil {
		sweeper.OnFailure(err)
	}
}
