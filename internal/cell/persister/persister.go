// Package persister writes job records to the store for the leader. Each write is conditional on the
// leadership key and on the last known revision of the record, so that neither a former leader nor a
// delayed write can overwrite a newer record.
package persister

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

// Key prefixes in the store.
const (
	// InboxPrefix is the prefix of all caller requests: jobs and cancellations.
	InboxPrefix = "inbox/"
	// JobPrefix is the prefix of the descriptions of jobs that have not ended.
	JobPrefix = InboxPrefix + "job/"
	// CancelPrefix is the prefix of the cancellations of jobs that have not ended.
	CancelPrefix = InboxPrefix + "cancel/"
	// RecordPrefix is the prefix of the job records.
	RecordPrefix = "record/"
	// FenceKey is written for the revision of the write alone, which the leader uses as a fencing token.
	FenceKey = "fence"
)

const (
	// batchInterval is the minimum time between two flushes, so that several changes share one write. It
	// adds to the latency of starting a run and of completing a job.
	batchInterval = 8 * time.Millisecond
	// retryInterval is how often it is checked whether records whose write failed are due again.
	retryInterval = 50 * time.Millisecond
	// defaultRetryDelay is the delay before records whose write failed are written again. It is twice as long after the
	// second failure in a row, since each write encodes its records anew.
	defaultRetryDelay = 50 * time.Millisecond
	// maxOpenWrites limits the concurrent writes. 24 sustain the record changes of 350 workers while the
	// store takes 60 times its usual 4 ms to answer.
	maxOpenWrites = 24
	// maxEntriesPerRecord is the largest number of entries that one record adds to a change: an expectation,
	// a write, and the removals of the description and the cancellation of a job that has ended.
	maxEntriesPerRecord = 4
	// maxBatchBytes is the total record size above which no further record is added to a change.
	maxBatchBytes = 256 << 10
)

// Source provides the records to write.
type Source interface {
	// Dirty returns the jobs whose records changed since they were last encoded.
	Dirty() []describer.JobID
	// Encode returns the encoded record of a job and its generation. A nil record is removed from the
	// store. final reports whether the job has ended.
	Encode(id describer.JobID) (record []byte, generation int64, final bool, err error)
	// RecordStored reports that the record is stored up to and including generation.
	RecordStored(id describer.JobID, generation int64)
	// Committed reports the revision of a write, at which the leadership still held.
	Committed(revision describer.Revision)
}

// Persister writes records to the store. Its state is used by one goroutine only, and each write runs in
// a goroutine of its own. Wake may be called from any goroutine.
type Persister struct {
	store  describer.Store
	source Source
	// leadership is an expectation that holds only while this instance is the leader.
	leadership describer.Expectation
	// revisions are the last known revisions of the records in the store.
	revisions map[describer.JobID]describer.Revision
	// inboxCleared are the jobs whose description and cancellation have been removed.
	inboxCleared map[describer.JobID]bool
	// inFlight are the jobs whose record is part of an open write.
	inFlight map[describer.JobID]bool
	// retryPending are the jobs whose last write failed.
	retryPending map[describer.JobID]bool
	retryDelay   time.Duration
	// failures counts the writes in a row that failed, and retryAt is when failed records are written again.
	failures   int
	retryAt    time.Time
	openWrites int
	results    chan writeResult
	wake       chan struct{}
	// OnWriteFailed, if set, is called for each failed write with the number of its records.
	OnWriteFailed func(jobs int, err error)
}

// ErrLeadershipLost means that the leadership expectation no longer holds.
var ErrLeadershipLost = errors.New("another instance leads")

// recordChange is one record that a write stores or removes.
type recordChange struct {
	id         describer.JobID
	generation int64
	removed    bool
	final      bool
}

// writeResult is the outcome of a write.
type writeResult struct {
	records  []recordChange
	revision describer.Revision
	err      error
}

// New returns a Persister that writes the records of source while leadership holds.
func New(store describer.Store, source Source, leadership describer.Expectation) *Persister {
	return &Persister{
		store:        store,
		source:       source,
		leadership:   leadership,
		revisions:    map[describer.JobID]describer.Revision{},
		inboxCleared: map[describer.JobID]bool{},
		inFlight:     map[describer.JobID]bool{},
		retryPending: map[describer.JobID]bool{},
		results:      make(chan writeResult, maxOpenWrites),
		wake:         make(chan struct{}, 1),
		retryDelay:   defaultRetryDelay,
	}
}

// SetRevision sets the revision at which the record of a job was read from the store.
func (persister *Persister) SetRevision(id describer.JobID, revision describer.Revision) {
	persister.revisions[id] = revision
}

// Wake schedules a flush of the changed records.
func (persister *Persister) Wake() {
	select {
	case persister.wake <- struct{}{}:
	default:
	}
}

// Run writes changed records until ctx is done. It returns ErrLeadershipLost once another instance leads.
func (persister *Persister) Run(ctx context.Context) error {
	retryTicker := time.NewTicker(retryInterval)
	defer retryTicker.Stop()
	flushTimer := time.NewTimer(0)
	defer flushTimer.Stop()
	flushScheduled := true
	var lastFlush time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-persister.results:
			persister.openWrites--
			if err := persister.handleResult(result); err != nil {
				return err
			}
		case <-persister.wake:
		case <-retryTicker.C:
		case <-flushTimer.C:
			flushScheduled = false
			lastFlush = time.Now()
			persister.flush(ctx)
			continue
		}
		if !flushScheduled {
			flushScheduled = true
			flushTimer.Reset(max(batchInterval-time.Since(lastFlush), 0))
		}
	}
}

// flush starts writes for the changed records and the retries, up to maxOpenWrites open writes.
func (persister *Persister) flush(ctx context.Context) {
	retryDue := !time.Now().Before(persister.retryAt)
	if persister.openWrites >= maxOpenWrites {
		return
	}
	var ids []describer.JobID
	for _, id := range persister.source.Dirty() {
		if !persister.inFlight[id] && !persister.retryPending[id] {
			ids = append(ids, id)
		}
	}
	for id := range persister.retryPending {
		if retryDue && !persister.inFlight[id] {
			ids = append(ids, id)
		}
	}
	for len(ids) > 0 && persister.openWrites < maxOpenWrites {
		count := persister.startWrite(ctx, ids)
		ids = ids[count:]
	}
}

// startWrite starts one write with as many of the first ids as fit and returns how many it consumed.
func (persister *Persister) startWrite(ctx context.Context, ids []describer.JobID) int {
	change := describer.Change{
		Expect: []describer.Expectation{persister.leadership},
	}
	var records []recordChange
	batchBytes := 0
	consumed := 0
	for _, id := range ids {
		entryCount := len(change.Expect) + len(change.Writes) + len(change.Remove)
		if entryCount+maxEntriesPerRecord > describer.MaxChangeEntries || batchBytes > maxBatchBytes {
			break
		}
		consumed++
		record, generation, final, err := persister.source.Encode(id)
		if err != nil {
			persister.reportFailure(1, err)
			persister.retryPending[id] = true
			continue
		}
		delete(persister.retryPending, id)
		persister.inFlight[id] = true
		records = append(records, recordChange{
			id:         id,
			generation: generation,
			removed:    record == nil,
			final:      final,
		})
		batchBytes += len(record)
		persister.addRecord(&change, id, record, final)
	}
	if len(records) == 0 {
		return consumed
	}
	persister.openWrites++
	go func() {
		revision, err := persister.store.Commit(ctx, change)
		persister.results <- writeResult{
			records:  records,
			revision: revision,
			err:      err,
		}
	}()
	return consumed
}

// addRecord adds the write or removal of a job's record to change.
func (persister *Persister) addRecord(change *describer.Change, id describer.JobID, record []byte, final bool) {
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
	if final && !persister.inboxCleared[id] {
		change.Remove = append(change.Remove, JobPrefix+string(id), CancelPrefix+string(id))
	}
}

// handleResult processes the outcome of a write. Records of a failed write are scheduled for a retry.
func (persister *Persister) handleResult(result writeResult) error {
	for _, record := range result.records {
		delete(persister.inFlight, record.id)
	}
	var conflict *describer.ConflictError
	switch {
	case result.err == nil:
		persister.failures = 0
		persister.retryAt = time.Time{}
		persister.source.Committed(result.revision)
		persister.markStored(result)
		return nil
	case errors.As(result.err, &conflict):
		if conflict.Revision(persister.leadership.Key) != persister.leadership.Revision {
			return ErrLeadershipLost
		}
		// An earlier write of this leader took effect although its response was lost.
		for _, record := range result.records {
			revision := conflict.Revision(RecordPrefix + string(record.id))
			persister.revisions[record.id] = revision
			if revision == 0 {
				// Without the record the ID was free, so that there may be a new description or cancellation.
				delete(persister.inboxCleared, record.id)
			}
		}
	default:
		persister.reportFailure(len(result.records), result.err)
		persister.retryAt = time.Now().Add(persister.retryDelay << min(persister.failures, 1))
		persister.failures++
	}
	for _, record := range result.records {
		persister.retryPending[record.id] = true
	}
	return nil
}

// markStored updates the revisions after a successful write and reports the records as durable.
func (persister *Persister) markStored(result writeResult) {
	for _, record := range result.records {
		if record.removed {
			delete(persister.revisions, record.id)
			delete(persister.inboxCleared, record.id)
			continue
		}
		persister.revisions[record.id] = result.revision
		if record.final {
			persister.inboxCleared[record.id] = true
		}
		persister.source.RecordStored(record.id, record.generation)
	}
}

func (persister *Persister) reportFailure(jobs int, err error) {
	if persister.OnWriteFailed != nil {
		persister.OnWriteFailed(jobs, err)
	}
}
