package elector

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/watcher"
)

const (
	// leaderCheckInterval is the time between two checks of the leader key while the watch of the members fails. Callers
	// wait a few seconds for a leader.
	leaderCheckInterval = time.Second
	// leaderCheckTimeout bounds a check, which may try several instances.
	leaderCheckTimeout = 1500 * time.Millisecond
	// maxWatchAge is how long the watch may go without an answer. A call of it without a change takes DefaultWait.
	maxWatchAge = watcher.DefaultWait + time.Second
)

// noteWatchCall notes the outcome of a call of the watch.
func (elector *Elector) noteWatchCall(err error) {
	elector.mutex.Lock()
	elector.watchFailed = err != nil
	if err == nil {
		elector.watchedAt = time.Now()
	}
	elector.mutex.Unlock()
	if elector.options.OnStoreCall != nil {
		elector.options.OnStoreCall(err)
	}
}

// watchFails reports whether the watch does not tell changes at present.
func (elector *Elector) watchFails() bool {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.watchFailed || time.Since(elector.watchedAt) > maxWatchAge
}

// checkLeaders finds out who leads while the watch fails, through other instances if need be. An instance that the store
// turns away still answers callers, and does so by way of the leader.
func (elector *Elector) checkLeaders(ctx context.Context) {
	if elector.options.Commit == nil {
		return
	}
	for ctx.Err() == nil {
		watcher.Sleep(ctx, leaderCheckInterval)
		if elector.watchFails() {
			elector.checkLeader(ctx)
		}
	}
}

// checkLeader asks the store whether the leader key still has the revision that was seen, and takes what it has instead.
func (elector *Elector) checkLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderCheckTimeout)
	defer cancel()
	expected := elector.leaderRevision()
	_, err := elector.options.Commit(ctx, describer.Change{
		Expect: []describer.Expectation{{
			Key:      LeaderKey,
			Revision: expected,
		}},
	})
	var conflict *describer.ConflictError
	if !errors.As(err, &conflict) || elector.leaderRevision() != expected {
		// The key is as expected, no answer came, or the watch was faster.
		return
	}
	current := describer.Item{
		Key:     LeaderKey,
		Deleted: true,
	}
	for _, item := range conflict.Items {
		if item.Key == LeaderKey {
			current = item
		}
	}
	elector.updateView([]describer.Item{current}, false)
}

// leaderRevision returns the revision of the leader key as last seen, 0 without one.
func (elector *Elector) leaderRevision() describer.Revision {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return max(describer.Revision(elector.view.Fence), elector.view.unreadableLeader)
}
