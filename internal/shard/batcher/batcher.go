// Package batcher queues the records that are to be written to a shard's journal.
package batcher

import (
	"time"

	"pomelomoor/internal/shard/signaler"
)

// FlushInterval is the minimum time between two writes, so that one write combines the records of many
// decisions.
const FlushInterval = 50 * time.Millisecond

// Queue holds the appends that are not fully written yet, in order.
type Queue struct {
	Appends []signaler.Append
	// Partial is set while some records of the first append are durable and others are not.
	Partial bool
	// Attempted is the number of appends, from the front, that the write in progress or a write with an
	// unknown outcome may contain.
	Attempted int
	// Flushing is set while a write is in progress, and Uncertain while the outcome of the latest write is
	// unknown.
	Flushing  bool
	Uncertain bool
	// FailedUntil is set when the journal is unavailable. New submissions are refused until then.
	FailedUntil  time.Time
	FlushedAt    time.Time
	Snapshotting bool
}

// Add adds an append at the end of the queue.
func (queue *Queue) Add(action signaler.Append) {
	queue.Appends = append(queue.Appends, action)
}

// Unavailable reports whether new submissions are refused because the journal is unavailable.
func (queue *Queue) Unavailable(now time.Time) bool {
	return now.Before(queue.FailedUntil)
}

// Drop removes the droppable appends that no write can contain and returns their tokens.
func (queue *Queue) Drop() []signaler.Token {
	var tokens []signaler.Token
	kept := queue.Appends[:queue.Attempted:queue.Attempted]
	for _, action := range queue.Appends[queue.Attempted:] {
		if action.Droppable {
			tokens = append(tokens, action.Token)
			continue
		}
		kept = append(kept, action)
	}
	queue.Appends = kept
	return tokens
}

// RemoveWritten removes written records from the front and returns the tokens of the appends that are
// now fully written.
func (queue *Queue) RemoveWritten(written int) []signaler.Token {
	var tokens []signaler.Token
	for len(queue.Appends) > 0 && written >= len(queue.Appends[0].Records) {
		written -= len(queue.Appends[0].Records)
		tokens = append(tokens, queue.Appends[0].Token)
		queue.Appends = queue.Appends[1:]
		queue.Partial = false
	}
	if written > 0 {
		queue.Appends[0].Records = queue.Appends[0].Records[written:]
		// An append that is partly durable can no longer be refused.
		queue.Appends[0].Droppable = false
		queue.Partial = true
	}
	return tokens
}

// UntilNextWrite returns the time until the next write may start.
func (queue *Queue) UntilNextWrite(now time.Time) time.Duration {
	ready := queue.FlushedAt.Add(FlushInterval)
	if queue.FailedUntil.After(ready) {
		ready = queue.FailedUntil
	}
	return max(ready.Sub(now), 0)
}
