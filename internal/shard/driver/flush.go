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

// snapshotThreshold is the used fraction of the ring at which a snapshot is written.
const snapshotThreshold = 0.5

// flushResult is the result of a journal write.
type flushResult struct {
	written int
	err     error
}

// scheduleFlush sets the timer for the earliest time at which the queue may be flushed.
func (term *term) scheduleFlush() {
	if !term.queue.Flushing {
		term.flushTimer.Reset(term.queue.UntilNextWrite(term.driver.options.Now()))
	}
}

// flush starts a journal write unless there is nothing to write, a write is in progress, or the rate limits
// or the store lease don't allow one now.
func (term *term) flush(ctx context.Context) {
	queue := &term.queue
	now := term.driver.options.Now()
	if len(queue.Appends) == 0 && !queue.Uncertain || queue.Flushing {
		return
	}
	if wait := queue.UntilNextWrite(now); wait > 0 {
		term.flushTimer.Reset(wait)
		return
	}
	if term.driver.options.Authority() != signaler.AuthorityFull {
		return
	}
	if limiter := term.driver.options.Limiter; limiter != nil && !limiter.AllowN(now, 1) {
		term.flushTimer.Reset(batcher.FlushInterval)
		return
	}
	var records []*recordpb.Record
	if !queue.Uncertain {
		queue.Attempted = len(queue.Appends)
		for _, action := range queue.Appends {
			records = append(records, action.Records...)
		}
	}
	queue.Flushing, queue.FlushedAt = true, now
	term.goroutines.Add(1)
	go term.write(ctx, records)
}

// write appends records to the journal. Without records, it resolves an uncertain append instead.
func (term *term) write(ctx context.Context, records []*recordpb.Record) {
	defer term.goroutines.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, span := term.driver.startSpan(ctx, "journal.append")
	defer span.End()
	begin := time.Now()
	var result flushResult
	if records == nil {
		result.written, result.err = term.journal.ResolveAppend(ctx)
	} else {
		result.written, result.err = term.journal.Append(ctx, records)
	}
	term.driver.metrics.appendLatency.RecordDuration(time.Since(begin))
	term.driver.metrics.appends.Inc(1)
	term.driver.metrics.records.Inc(int64(result.written))
	if result.err != nil {
		span.RecordError(result.err)
		term.driver.metrics.appendFailures.Inc(1)
	}
	term.flushResults <- result
}

// handleFlushResult updates the queue after a journal write and schedules the next one.
func (term *term) handleFlushResult(ctx context.Context, result flushResult) {
	queue := &term.queue
	queue.Flushing = false
	now := term.driver.options.Now()
	switch {
	case result.err == nil:
		queue.Uncertain, queue.Attempted, queue.FailedUntil = false, 0, time.Time{}
		for _, token := range queue.RemoveWritten(result.written) {
			term.step(ctx, signaler.Written{
				Token: token,
			})
		}
	case errors.Is(result.err, journaler.ErrFull):
		queue.Attempted = 0
	case errors.Is(result.err, journaler.ErrUnavailable):
		// This call wrote nothing. An uncertain append stays uncertain until ResolveAppend resolves it.
		queue.Attempted = 0
		term.handleWriteFailure(ctx, now, result.err)
	case errors.Is(result.err, journaler.ErrUncertain):
		queue.Uncertain = true
		term.handleWriteFailure(ctx, now, result.err)
	default:
		term.end(result.err.Error())
	}
	term.maybeSnapshot(ctx)
	if len(queue.Appends) > 0 || queue.Uncertain {
		term.scheduleFlush()
	}
}

// handleWriteFailure pauses the writes and refuses the droppable appends that can't have been written.
func (term *term) handleWriteFailure(ctx context.Context, now time.Time, err error) {
	term.driver.log(ctx, logger.EventJournalWriteFailed, logger.Error(err))
	term.queue.FailedUntil = now.Add(writeRetryPause)
	for _, token := range term.queue.Drop() {
		term.step(ctx, signaler.Refused{
			Token: token,
		})
	}
}

// maybeSnapshot starts a snapshot when the used part of the ring reaches snapshotThreshold. It requires that
// no write is in progress and no append is partly written: only then does the controller's durable state
// match the last batch in the journal exactly.
func (term *term) maybeSnapshot(ctx context.Context) {
	queue := &term.queue
	if queue.Snapshotting || queue.Flushing || queue.Uncertain || queue.Partial || term.endReason != "" {
		return
	}
	if term.journal.LogUsage() < snapshotThreshold || term.driver.options.Authority() != signaler.AuthorityFull {
		return
	}
	queue.Snapshotting = true
	sequence := term.journal.Sequence()
	records := term.controller.Snapshot()
	term.goroutines.Add(1)
	go func() {
		defer term.goroutines.Done()
		ctx, span := term.driver.startSpan(ctx, "journal.snapshot")
		defer span.End()
		term.snapshotResults <- term.journal.Snapshot(ctx, sequence, records)
	}()
}

// handleSnapshotResult ends the term if a snapshot failed for another reason than an unavailable store.
func (term *term) handleSnapshotResult(ctx context.Context, err error) {
	term.queue.Snapshotting = false
	term.driver.metrics.snapshots.Inc(1)
	switch {
	case err == nil:
	case errors.Is(err, journaler.ErrUnavailable):
		term.driver.log(ctx, logger.EventSnapshotFailed, logger.Error(err))
	default:
		term.end(err.Error())
	}
}

// handOver writes the queued records, so that the next owner finds them, and ends the term.
func (term *term) handOver(ctx context.Context) {
	deadline := time.NewTimer(handoverTimeout)
	defer deadline.Stop()
	for term.endReason == "" {
		if !term.queue.Flushing && len(term.queue.Appends) == 0 && !term.queue.Uncertain {
			term.end("handed over")
			return
		}
		select {
		case <-deadline.C:
			term.end("handed over with records that could not be written")
		case result := <-term.flushResults:
			term.handleFlushResult(ctx, result)
		case err := <-term.snapshotResults:
			term.handleSnapshotResult(ctx, err)
		case <-term.flushTimer.C:
			term.flush(ctx)
		}
	}
}
