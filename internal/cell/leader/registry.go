package leader

import (
	"context"
	"strings"
	"time"

	"pomelomoor/internal/cell/describer"
)

// handleRegistry applies changes, or a full snapshot, of the worker registry.
func (leader *Leader) handleRegistry(ctx context.Context, items []describer.Item, snapshot bool) {
	now := time.Now()
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if snapshot {
		leader.replaceWorkers(ctx, now, items)
		return
	}
	for _, item := range items {
		leader.handleWorkerEntry(ctx, now, item)
	}
	leader.reportWorkers()
	leader.requestPass()
}

// reportWorkers calls OnWorkers.
func (leader *Leader) reportWorkers() {
	if leader.options.OnWorkers != nil {
		leader.options.OnWorkers(len(leader.polling))
	}
}

// replaceWorkers applies a full snapshot of the registry. It removes the known workers that are not in it.
func (leader *Leader) replaceWorkers(ctx context.Context, now time.Time, items []describer.Item) {
	listed := make(map[describer.WorkerID]bool, len(items))
	for _, item := range items {
		listed[describer.WorkerID(strings.TrimPrefix(item.Key, leader.options.WorkerPrefix))] = true
		leader.handleWorkerEntry(ctx, now, item)
	}
	for _, worker := range leader.scheduler.KnownWorkers() {
		if !listed[worker.ID] {
			leader.scheduler.RemoveWorker(worker.ID)
		}
	}
	leader.reportWorkers()
	leader.requestPass()
}

// handleWorkerEntry applies one registry entry and starts to poll the worker if it is new.
func (leader *Leader) handleWorkerEntry(ctx context.Context, now time.Time, item describer.Item) {
	id := describer.WorkerID(strings.TrimPrefix(item.Key, leader.options.WorkerPrefix))
	if item.Deleted {
		leader.scheduler.RemoveWorker(id)
		return
	}
	worker, err := leader.options.ParseWorker(item.Key, item.Value)
	if err != nil {
		leader.options.Observer.EntryUnreadable("worker", item.Key, err)
		return
	}
	leader.contain(item.Key, func() {
		leader.scheduler.SetWorker(now, worker)
	})
	if !leader.polling[id] {
		leader.polling[id] = true
		go leader.pollWorker(ctx, id)
	}
}
