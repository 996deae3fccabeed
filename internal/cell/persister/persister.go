// Package persister writes the records of jobs to the store on behalf of a leader. Each write is made
// under the condition that the leader still leads and that the record is the one last seen, so that
// neither an earlier leader nor a write that is carried out late can overwrite a newer record.
package persister

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

// Prefixes of the project's own keys in the store.
const (
	// InboxPrefix holds what callers ask for: jobs and cancellations.
	InboxPrefix = "inbox/"
	// JobPrefix holds the descriptions of jobs that are not ended.
	JobPrefix = InboxPrefix + "job/"
	// CancelPrefix holds the cancellations of jobs that are not ended.
	CancelPrefix = InboxPrefix + "cancel/"
	// RecordPrefix holds the records of jobs.
	RecordPrefix = "record/"
)

const (
	// batchInterval is the least time between two writes, so that decisions are written together. Starts
	// and the ends of jobs wait for it.
	batchInterval = 8 * time.Millisecond
	// retryInterval is how often records are written that an earlier write could not store.
	retryInterval = 50 * time.Millisecond
	// mostWrites is the number of writes that may be open at once. While the store takes 60 times its
	// usual 4 ms to answer, so many carry the records of 350 workers.
	mostWrites = 24
	// mostPerRecord is the largest number of entries that a record takes in a change: its expectation, its
	// write and the removal of the job's description and cancellation when it has ended.
	mostPerRecord = 4
	// mostBatchBytes bounds the records of one change.
	mostBatchBytes = 256 << 10
)

// Source gives the records that have to be written.
type Source interface {
	// Dirty returns the jobs whose records changed.
	Dirty() []describer.JobID
	// Encode returns the record of a job, nil if it is to be removed, and its generation.
	Encode(id describer.JobID) (record []byte, generation int64, final bool, err error)
	// Durable says that a record is stored up to generation.
	Durable(id describer.JobID, generation int64)
}

// Persister writes records. Its methods are called by one goroutine; the writes run beside it.
type Persister struct {
	store  describer.Store
	source Source
	// leader is the expectation under which the leader leads.
	leader describer.Expectation
	// revisions are the revisions of the records as last seen; ended tells that the description is removed.
	revisions map[describer.JobID]describer.Revision
	ended     map[describer.JobID]bool
	busy      map[describer.JobID]bool
	retry     map[describer.JobID]bool
	open      int
	results   chan result
	wake      chan struct{}
	// Observe, if set, is told of each write that failed.
	Observe func(jobs int, err error)
}

// ErrLost means that another instance leads.
var ErrLost = errors.New("another instance leads")

// entry is one record of a write.
type entry struct {
	id         describer.JobID
	generation int64
	removed    bool
	final      bool
}

// result is the end of a write.
type result struct {
	entries  []entry
	revision describer.Revision
	err      error
}

// New returns a persister for the records of source.
func New(store describer.Store, source Source, leader describer.Expectation) *Persister {
	return &Persister{
		store:     store,
		source:    source,
		leader:    leader,
		revisions: map[describer.JobID]describer.Revision{},
		ended:     map[describer.JobID]bool{},
		busy:      map[describer.JobID]bool{},
		retry:     map[describer.JobID]bool{},
		results:   make(chan result, mostWrites),
		wake:      make(chan struct{}, 1),
	}
}

// Known says at which revision the record of a job stands in the store.
func (persister *Persister) Known(id describer.JobID, revision describer.Revision) {
	persister.revisions[id] = revision
}

// Wake says that records may have changed.
func (persister *Persister) Wake() {
	select {
	case persister.wake <- struct{}{}:
	default:
	}
}

// Run writes until ctx ends or another instance leads.
func (persister *Persister) Run(ctx context.Context) error {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	waiting := true
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-persister.results:
			persister.open--
			if err := persister.take(result); err != nil {
				return err
			}
		case <-persister.wake:
		case <-retry.C:
		case <-due.C:
			waiting = false
			last = time.Now()
			persister.flush(ctx)
			continue
		}
		if !waiting {
			waiting = true
			due.Reset(max(batchInterval-time.Since(last), 0))
		}
	}
}

// flush starts the writes of all records that changed, as far as writes may be open.
func (persister *Persister) flush(ctx context.Context) {
	if persister.open >= mostWrites {
		return
	}
	var ids []describer.JobID
	for _, id := range persister.source.Dirty() {
		if !persister.busy[id] && !persister.retry[id] {
			ids = append(ids, id)
		}
	}
	for id := range persister.retry {
		if !persister.busy[id] {
			ids = append(ids, id)
		}
	}
	for len(ids) > 0 && persister.open < mostWrites {
		count := persister.write(ctx, ids)
		ids = ids[count:]
	}
}

// write starts one write of the first of ids and returns how many it took.
func (persister *Persister) write(ctx context.Context, ids []describer.JobID) int {
	change := describer.Change{
		Expect: []describer.Expectation{persister.leader},
	}
	var entries []entry
	bytes := 0
	taken := 0
	for _, id := range ids {
		size := len(change.Expect) + len(change.Writes) + len(change.Remove)
		if size+mostPerRecord > describer.MostEntries || bytes > mostBatchBytes {
			break
		}
		taken++
		record, generation, final, err := persister.source.Encode(id)
		if err != nil {
			persister.observe(1, err)
			continue
		}
		delete(persister.retry, id)
		persister.busy[id] = true
		entries = append(entries, entry{
			id:         id,
			generation: generation,
			removed:    record == nil,
			final:      final,
		})
		bytes += len(record)
		persister.add(&change, id, record, final)
	}
	if len(entries) == 0 {
		return taken
	}
	persister.open++
	go func() {
		revision, err := persister.store.Commit(ctx, change)
		persister.results <- result{
			entries:  entries,
			revision: revision,
			err:      err,
		}
	}()
	return taken
}

// add puts the record of a job into change.
func (persister *Persister) add(change *describer.Change, id describer.JobID, record []byte, final bool) {
	key := RecordPrefix + string(id)
	change.Expect = append(change.Expect, describer.Expectation{
		Key:      key,
		Revision: persister.revisions[id],
	})
	if record == nil {
		change.Remove = append(change.Remove, key)
		return
	}
	change.Writes = append(change.Writes, describer.Write{
		Key:   key,
		Value: record,
	})
	if final && !persister.ended[id] {
		change.Remove = append(change.Remove, JobPrefix+string(id), CancelPrefix+string(id))
	}
}

// take handles the end of a write.
func (persister *Persister) take(result result) error {
	for _, entry := range result.entries {
		delete(persister.busy, entry.id)
	}
	var conflict *describer.ConflictError
	switch {
	case result.err == nil:
		persister.stored(result)
		return nil
	case errors.As(result.err, &conflict):
		if conflict.Revision(persister.leader.Key) != persister.leader.Revision {
			return ErrLost
		}
		// An earlier write of this leader that got no answer was carried out.
		for _, entry := range result.entries {
			persister.revisions[entry.id] = conflict.Revision(RecordPrefix + string(entry.id))
		}
	default:
		persister.observe(len(result.entries), result.err)
	}
	for _, entry := range result.entries {
		persister.retry[entry.id] = true
	}
	return nil
}

// stored notes the revisions of a write that was made.
func (persister *Persister) stored(result result) {
	for _, entry := range result.entries {
		if entry.removed {
			delete(persister.revisions, entry.id)
			delete(persister.ended, entry.id)
			continue
		}
		persister.revisions[entry.id] = result.revision
		if entry.final {
			persister.ended[entry.id] = true
		}
		persister.source.Durable(entry.id, entry.generation)
	}
}

func (persister *Persister) observe(jobs int, err error) {
	if persister.Observe != nil {
		persister.Observe(jobs, err)
	}
}
