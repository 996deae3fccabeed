// Package watcher follows the keys under a prefix of the store. It starts with all of them and starts
// anew when the store no longer has the history.
package watcher

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

const (
	// DefaultWait is how long a watch waits for a change. A connection that went silent is noticed that late.
	DefaultWait = 2 * time.Second
	// retryPause is the pause after a failed call. It doubles with each further one up to mostRetryPause.
	retryPause     = 100 * time.Millisecond
	mostRetryPause = 800 * time.Millisecond
)

// Watcher follows one prefix. Its functions are called by one goroutine.
type Watcher struct {
	Store  describer.Store
	Prefix string
	// Wait is how long a watch waits; 0 means DefaultWait.
	Wait time.Duration
	// Pace is the least time between two watches, so that changes come together.
	Pace time.Duration
	// Snapshot takes all items under the prefix; those that are not among them do not exist.
	Snapshot func(items []describer.Item)
	// Change takes what has changed.
	Change func(items []describer.Item)
	// Contact, if set, is told of each answer and each failure of the store.
	Contact func(err error)

	failures int
}

// Run follows the prefix until ctx ends.
func (watcher *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		items, at, err := describer.ListAll(ctx, watcher.Store, watcher.Prefix)
		watcher.contact(ctx, err)
		if err != nil {
			watcher.backOff(ctx)
			continue
		}
		watcher.failures = 0
		watcher.Snapshot(items)
		watcher.Follow(ctx, at)
	}
	return ctx.Err()
}

// Follow hands on all changes after a revision until the store no longer has the history or ctx ends.
func (watcher *Watcher) Follow(ctx context.Context, after describer.Revision) {
	wait := watcher.Wait
	if wait == 0 {
		wait = DefaultWait
	}
	for ctx.Err() == nil {
		events, at, err := watcher.Store.Watch(ctx, watcher.Prefix, after, wait)
		watcher.contact(ctx, err)
		switch {
		case errors.Is(err, describer.ErrCompacted):
			return
		case err != nil:
			watcher.backOff(ctx)
			continue
		}
		watcher.failures = 0
		if len(events) > 0 {
			watcher.Change(events)
		}
		after = max(after, at)
		if watcher.Pace > 0 {
			Pause(ctx, watcher.Pace)
		}
	}
}

func (watcher *Watcher) contact(ctx context.Context, err error) {
	if watcher.Contact != nil && ctx.Err() == nil {
		watcher.Contact(err)
	}
}

// backOff waits before a failed call is made again.
func (watcher *Watcher) backOff(ctx context.Context) {
	shift := min(watcher.failures, 8)
	watcher.failures++
	Pause(ctx, min(retryPause<<shift, mostRetryPause))
}

// Pause waits for duration or until ctx ends.
func Pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
