package driver

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/shard/batcher"
	"pomelomoor/internal/shard/journaler"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/signaler"
)

// snapshotAt is the used part of the ring at which a snapshot is written.
const snapshotAt = 0.5

type flushResult struct {
	written int
	err     error
}

// schedule has the queue flushed as soon as that is allowed again.
func (term *term) schedule() {
	if !term.queue.Flushing {
		term.timer.Reset(term.queue.Wait(term.driver.options.Now()))
	}
}

// flush starts a write unless one is in progress or nothing may be written now.
func (term *term) flush(ctx context.Context) {
	queue := &term.queue
	now := term.driver.options.Now()
	if len(queue.Appends) == 0 && !queue.Undecided || queue.Flushing {
		return
	}
	if wait := queue.Wait(now); wait > 0 {
		term.timer.Reset(wait)
		return
	}
	if term.driver.options.Authority() != signaler.AuthorityAct {
		return
	}
	if limiter := term.driver.options.Limiter; limiter != nil && !limiter.AllowN(now, 1) {
		term.timer.Reset(batcher.FlushInterval)
		return
	}
	var records []*recordpb.Record
	if !queue.Undecided {
		queue.Attempted = len(queue.Appends)
		for _, action := range queue.Appends {
			records = append(records, action.Records...)
		}
	}
	queue.Flushing, queue.FlushedAt = true, now
	term.work.Add(1)
	go term.write(ctx, records)
}

// write appends records, or settles the last append when there are none.
func (term *term) write(ctx context.Context, records []*recordpb.Record) {
	defer term.work.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, span := term.driver.start(ctx, "journal.append")
	defer span.End()
	begin := time.Now()
	var result flushResult
	if records == nil {
		result.written, result.err = term.journal.Settle(ctx)
	} else {
		result.written, result.err = term.journal.Append(ctx, records)
	}
	term.driver.metrics.append.RecordDuration(time.Since(begin))
	term.driver.metrics.appends.Inc(1)
	term.driver.metrics.records.Inc(int64(result.written))
	if result.err != nil {
		span.RecordError(result.err)
		term.driver.metrics.failures.Inc(1)
	}
	term.flushed <- result
}

// settleFlush takes the result of a write into account.
func (term *term) settleFlush(ctx context.Context, result flushResult) {
	queue := &term.queue
	queue.Flushing = false
	now := term.driver.options.Now()
	switch {
	case result.err == nil:
		queue.Undecided, queue.Attempted, queue.FailedUntil = false, 0, time.Time{}
		for _, token := range queue.Take(result.written) {
			term.step(ctx, signaler.Written{
				Token: token,
			})
		}
	case errors.Is(result.err, journaler.ErrFull):
		queue.Attempted = 0
	case errors.Is(result.err, journaler.ErrUnavailable):
		// Nothing was written: an undecided append stays undecided until Settle says otherwise.
		queue.Attempted = 0
		term.refuse(ctx, now, result.err)
	case errors.Is(result.err, journaler.ErrUndecided):
		queue.Undecided = true
		term.refuse(ctx, now, result.err)
	default:
		term.end(result.err.Error())
	}
	term.maybeSnapshot(ctx)
	if len(queue.Appends) > 0 || queue.Undecided {
		term.schedule()
	}
}

// refuse tells the submissions that can't have been written, and pauses the writes.
func (term *term) refuse(ctx context.Context, now time.Time, err error) {
	term.driver.log(ctx, logger.EventJournalWriteFailed, logger.Error(err))
	term.queue.FailedUntil = now.Add(retryPause)
	for _, token := range term.queue.Drop() {
		term.step(ctx, signaler.Refused{
			Token: token,
		})
	}
}

// maybeSnapshot starts a snapshot when the ring fills up. The controller's durable state is exactly
// that of the last batch when no write is in progress and no append is partly written.
func (term *term) maybeSnapshot(ctx context.Context) {
	queue := &term.queue
	if queue.Snapshot || queue.Flushing || queue.Undecided || queue.Partial || term.over != "" {
		return
	}
	if term.journal.Used() < snapshotAt || term.driver.options.Authority() != signaler.AuthorityAct {
		return
	}
	queue.Snapshot = true
	sequence := term.journal.Sequence()
	records := term.machine.Snapshot()
	term.work.Add(1)
	go func() {
		defer term.work.Done()
		ctx, span := term.driver.start(ctx, "journal.snapshot")
		defer span.End()
		term.snapshotted <- term.journal.Snapshot(ctx, sequence, records)
	}()
}

func (term *term) settleSnapshot(ctx context.Context, err error) {
	term.queue.Snapshot = false
	term.driver.metrics.snapshots.Inc(1)
	switch {
	case err == nil:
	case errors.Is(err, journaler.ErrUnavailable):
		term.driver.log(ctx, logger.EventSnapshotFailed, logger.Error(err))
	default:
		term.end(err.Error())
	}
}

// handOver writes what is decided already, so that the next owner finds it, and ends the term.
func (term *term) handOver(ctx context.Context) {
	deadline := time.NewTimer(handoverTimeout)
	defer deadline.Stop()
	for term.over == "" {
		if !term.queue.Flushing && len(term.queue.Appends) == 0 && !term.queue.Undecided {
			term.end("handed over")
			return
		}
		select {
		case <-deadline.C:
			term.end("handed over with records that could not be written")
		case result := <-term.flushed:
			term.settleFlush(ctx, result)
		case err := <-term.snapshotted:
			term.settleSnapshot(ctx, err)
		case <-term.timer.C:
			term.flush(ctx)
		}
	}
}
