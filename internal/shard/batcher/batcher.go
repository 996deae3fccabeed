// Package batcher keeps the records that wait to be written to a shard's journal, in order.
package batcher

import (
	"time"

	"pomelomoor/internal/shard/signaler"
)

// FlushInterval combines the records of many decisions into one write.
const FlushInterval = 50 * time.Millisecond

// Queue holds what is to be written, in order.
type Queue struct {
	Appends []signaler.Append
	// Partial tells that some records of the first append are durable already.
	Partial bool
	// Attempted is the number of appends that the write in progress, or one whose outcome is not
	// known, may contain.
	Attempted int
	Flushing  bool
	Undecided bool
	// FailedUntil is set while the journal is unavailable: new submissions are refused until then.
	FailedUntil time.Time
	FlushedAt   time.Time
	Snapshot    bool
}

// Add puts an append at the end.
func (queue *Queue) Add(action signaler.Append) {
	queue.Appends = append(queue.Appends, action)
}

// Down reports whether new submissions are refused because the journal is unavailable.
func (queue *Queue) Down(now time.Time) bool {
	return now.Before(queue.FailedUntil)
}

// Drop takes out the droppable appends that no write can contain and returns their tokens.
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

// Take removes written records from the front and returns the tokens that are complete.
func (queue *Queue) Take(written int) []signaler.Token {
	var tokens []signaler.Token
	for len(queue.Appends) > 0 && written >= len(queue.Appends[0].Records) {
		written -= len(queue.Appends[0].Records)
		tokens = append(tokens, queue.Appends[0].Token)
		queue.Appends = queue.Appends[1:]
		queue.Partial = false
	}
	if written > 0 {
		queue.Appends[0].Records = queue.Appends[0].Records[written:]
		// What is partly durable can't be refused any more.
		queue.Appends[0].Droppable = false
		queue.Partial = true
	}
	return tokens
}

// Wait returns the time until the next write may start.
func (queue *Queue) Wait(now time.Time) time.Duration {
	ready := queue.FlushedAt.Add(FlushInterval)
	if queue.FailedUntil.After(ready) {
		ready = queue.FailedUntil
	}
	return max(ready.Sub(now), 0)
}
