package driver

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/shard/journaler"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/signaler"
)

// snapshotAt is the used part of the ring at which a snapshot is written.
const snapshotAt = 0.5

// queue holds what is to be written, in order.
type queue struct {
	appends []signaler.Append
	// partial tells that some records of the first append are durable already.
	partial bool
	// attempted is the number of appends that the write in progress, or one whose outcome is not
	// known, may contain.
	attempted int
	flushing  bool
	undecided bool
	// failedUntil is set while the journal is unavailable: new submissions are refused until then.
	failedUntil time.Time
	flushedAt   time.Time
	snapshot    bool
}

type flushResult struct {
	written int
	err     error
}

func (queue *queue) add(action signaler.Append) {
	queue.appends = append(queue.appends, action)
}

func (queue *queue) down(now time.Time) bool {
	return now.Before(queue.failedUntil)
}

// drop takes out the droppable appends that no write can contain and returns their tokens.
func (queue *queue) drop() []signaler.Token {
	var tokens []signaler.Token
	kept := queue.appends[:queue.attempted:queue.attempted]
	for _, action := range queue.appends[queue.attempted:] {
		if action.Droppable {
			tokens = append(tokens, action.Token)
			continue
		}
		kept = append(kept, action)
	}
	queue.appends = kept
	return tokens
}

// take removes written records from the front and returns the tokens that are complete.
func (queue *queue) take(written int) []signaler.Token {
	var tokens []signaler.Token
	for len(queue.appends) > 0 && written >= len(queue.appends[0].Records) {
		written -= len(queue.appends[0].Records)
		tokens = append(tokens, queue.appends[0].Token)
		queue.appends = queue.appends[1:]
		queue.partial = false
	}
	if written > 0 {
		queue.appends[0].Records = queue.appends[0].Records[written:]
		// What is partly durable can't be refused any more.
		queue.appends[0].Droppable = false
		queue.partial = true
	}
	return tokens
}

// schedule has the queue flushed as soon as that is allowed again.
func (term *term) schedule() {
	if !term.queue.flushing {
		term.timer.Reset(term.queue.wait(term.driver.options.Now()))
	}
}

// wait returns the time until the next write may start.
func (queue *queue) wait(now time.Time) time.Duration {
	ready := queue.flushedAt.Add(flushInterval)
	if queue.failedUntil.After(ready) {
		ready = queue.failedUntil
	}
	return max(ready.Sub(now), 0)
}

// flush starts a write unless one is in progress or nothing may be written now.
func (term *term) flush(ctx context.Context) {
	queue := &term.queue
	now := term.driver.options.Now()
	if len(queue.appends) == 0 && !queue.undecided || queue.flushing {
		return
	}
	if wait := queue.wait(now); wait > 0 {
		term.timer.Reset(wait)
		return
	}
	if term.driver.options.Authority() != signaler.AuthorityAct {
		return
	}
	if limiter := term.driver.options.Limiter; limiter != nil && !limiter.AllowN(now, 1) {
		term.timer.Reset(flushInterval)
		return
	}
	var records []*recordpb.Record
	if !queue.undecided {
		queue.attempted = len(queue.appends)
		for _, action := range queue.appends {
			records = append(records, action.Records...)
		}
	}
	queue.flushing, queue.flushedAt = true, now
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
	queue.flushing = false
	now := term.driver.options.Now()
	switch {
	case result.err == nil:
		queue.undecided, queue.attempted, queue.failedUntil = false, 0, time.Time{}
		for _, token := range queue.take(result.written) {
			term.step(ctx, signaler.Written{
				Token: token,
			})
		}
	case errors.Is(result.err, journaler.ErrFull):
		queue.attempted = 0
	case errors.Is(result.err, journaler.ErrUnavailable):
		// Nothing was written: an undecided append stays undecided until Settle says otherwise.
		queue.attempted = 0
		term.refuse(ctx, now, result.err)
	case errors.Is(result.err, journaler.ErrUndecided):
		queue.undecided = true
		term.refuse(ctx, now, result.err)
	default:
		term.end(result.err.Error())
	}
	term.maybeSnapshot(ctx)
	if len(queue.appends) > 0 || queue.undecided {
		term.schedule()
	}
}

// refuse tells the submissions that can't have been written, and pauses the writes.
func (term *term) refuse(ctx context.Context, now time.Time, err error) {
	term.driver.options.Logger.WarnContext(ctx, "journal is unavailable", "Event", eventJournalDown,
		"Shard", term.driver.options.Shard, "Error", err)
	term.queue.failedUntil = now.Add(retryPause)
	for _, token := range term.queue.drop() {
		term.step(ctx, signaler.Refused{
			Token: token,
		})
	}
}

// maybeSnapshot starts a snapshot when the ring fills up. The controller's durable state is exactly
// that of the last batch when no write is in progress and no append is partly written.
func (term *term) maybeSnapshot(ctx context.Context) {
	queue := &term.queue
	if queue.snapshot || queue.flushing || queue.undecided || queue.partial || term.over != "" {
		return
	}
	if term.journal.Used() < snapshotAt || term.driver.options.Authority() != signaler.AuthorityAct {
		return
	}
	queue.snapshot = true
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
	term.queue.snapshot = false
	term.driver.metrics.snapshots.Inc(1)
	switch {
	case err == nil:
	case errors.Is(err, journaler.ErrUnavailable):
		term.driver.options.Logger.WarnContext(ctx, "snapshot failed", "Event", eventSnapshotFailed,
			"Shard", term.driver.options.Shard, "Error", err)
	default:
		term.end(err.Error())
	}
}

// handOver writes what is decided already, so that the next owner finds it, and ends the term.
func (term *term) handOver(ctx context.Context) {
	deadline := time.NewTimer(handoverTimeout)
	defer deadline.Stop()
	for term.over == "" {
		if !term.queue.flushing && len(term.queue.appends) == 0 && !term.queue.undecided {
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
