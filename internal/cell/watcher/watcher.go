// Package watcher watches the keys under a prefix of the store. It starts with a snapshot of all items, and takes
// a new one when the store no longer has the history after the last revision seen.
package watcher

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

const (
	// DefaultWait is how long one watch call waits for a change. A connection that stopped delivering data is noticed
	// after this time.
	DefaultWait = 2 * time.Second
	// initialRetryDelay is the delay after the first failed call. It doubles with each further failure, up to
	// maxRetryDelay.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
)

// Watcher watches one prefix. Its callbacks run on a single goroutine.
type Watcher struct {
	Store  describer.Store
	Prefix string
	// Wait is how long one watch call waits for a change; 0 means DefaultWait.
	Wait time.Duration
	// MinInterval is the minimum time between two watch calls, so that changes are delivered in batches.
	MinInterval time.Duration
	// Snapshot is called with all items under the prefix; other keys do not exist.
	Snapshot func(items []describer.Item)
	// Change is called with the items that changed.
	Change func(items []describer.Item)
	// OnAnswer, if set, is called after each list or watch call that the store answered, before its items are delivered.
	OnAnswer func(sent time.Time)
	// OnStoreCall, if set, is called with the outcome of each call to the store.
	OnStoreCall func(err error)

	failures int
}

// Run watches the prefix until ctx is cancelled.
func (watcher *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sent := time.Now()
		items, at, err := describer.ListAll(ctx, watcher.Store, watcher.Prefix)
		watcher.reportStoreCall(ctx, err)
		if err != nil {
			watcher.backOff(ctx)
			continue
		}
		watcher.failures = 0
		watcher.reportAnswer(sent)
		watcher.Snapshot(items)
		watcher.Follow(ctx, at)
	}
	return ctx.Err()
}

// Follow delivers all changes after a revision until the store no longer has the history or ctx is cancelled.
func (watcher *Watcher) Follow(ctx context.Context, after describer.Revision) {
	wait := watcher.Wait
	if wait == 0 {
		wait = DefaultWait
	}
	for ctx.Err() == nil {
		sent := time.Now()
		events, at, err := watcher.Store.Watch(ctx, watcher.Prefix, after, wait)
		watcher.reportStoreCall(ctx, err)
		switch {
		case errors.Is(err, describer.ErrCompacted):
			return
		case err != nil:
			watcher.backOff(ctx)
			continue
		}
		watcher.failures = 0
		watcher.reportAnswer(sent)
		if len(events) > 0 {
			watcher.Change(events)
		}
		after = max(after, at)
		if watcher.MinInterval > 0 {
			Sleep(ctx, watcher.MinInterval)
		}
	}
}

func (watcher *Watcher) reportAnswer(sent time.Time) {
	if watcher.OnAnswer != nil {
		watcher.OnAnswer(sent)
	}
}

func (watcher *Watcher) reportStoreCall(ctx context.Context, err error) {
	if watcher.OnStoreCall != nil && ctx.Err() == nil {
		watcher.OnStoreCall(err)
	}
}

// backOff waits before a failed call is repeated. The delay grows exponentially.
func (watcher *Watcher) backOff(ctx context.Context) {
	shift := min(watcher.failures, 8)
	watcher.failures++
	Sleep(ctx, min(initialRetryDelay<<shift, maxRetryDelay))
}

// Sleep waits for duration or until ctx is cancelled.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
