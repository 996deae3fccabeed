package worker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/work/descriptor"
)

// Sync carries out one message. Its error is executor.ErrFenced.
func (worker *Worker) Sync(request executor.SyncRequest) (executor.SyncReply, error) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	shard := worker.shard(request.Shard)
	// After a pause the message may come before the timer, and must not revive what has lapsed.
	worker.lapse(shard, now)
	if request.Epoch < shard.epoch {
		return executor.SyncReply{}, executor.ErrFenced
	}
	shard.epoch = request.Epoch
	stale := worker.stale(shard, request, now)
	if !stale {
		worker.renew(shard, request.Lease, now)
		worker.endRuns(shard, request, now)
		for _, start := range request.Start {
			worker.start(shard, request, start, now)
		}
		worker.enforceMemory(now)
	}
	shard.ticket++
	shard.ticketAt = now
	partial := request.Changes && request.Ticket != "" && !stale
	return worker.report(shard, stale, partial, now), nil
}

// stale reports whether the message was overtaken, or was on its way for too long.
func (worker *Worker) stale(shard *shard, request executor.SyncRequest, now time.Time) bool {
	if request.Ticket == "" {
		return false
	}
	limit := cmp.Or(request.MaxAge, request.Lease)
	old := limit > 0 && now.Sub(shard.ticketAt) > limit
	return old || request.Ticket != worker.ticket(shard)
}

func (worker *Worker) ticket(shard *shard) string {
	return fmt.Sprintf("%s-%d", worker.incarnation, shard.ticket)
}

func (worker *Worker) shard(id descriptor.ShardID) *shard {
	known := worker.shards[id]
	if known != nil {
		return known
	}
	created := &shard{
		running:   make(map[descriptor.RunID]*run),
		finished:  make(map[descriptor.RunID]executor.RunResult),
		forgotten: make(map[descriptor.RunID]struct{}),
	}
	created.timer = time.AfterFunc(time.Hour, func() {
		worker.mutex.Lock()
		defer worker.mutex.Unlock()
		worker.lapse(created, time.Now())
	})
	created.timer.Stop()
	worker.shards[id] = created
	return created
}

// lapse ends the runs of a shard whose lease has run out.
func (worker *Worker) lapse(shard *shard, now time.Time) {
	if now.Before(shard.expires) {
		return
	}
	for _, run := range shard.running {
		worker.finish(shard, run, executor.RunResult{
			Outcome: executor.OutcomeLeaseLapsed,
			Reason:  "no renewal came in time",
		}, now)
	}
}

func (worker *Worker) renew(shard *shard, lease time.Duration, now time.Time) {
	expires := now.Add(lease)
	if lease <= 0 || !expires.After(shard.expires) {
		return
	}
	shard.expires = expires
	shard.timer.Reset(lease)
}

func (worker *Worker) endRuns(shard *shard, request executor.SyncRequest, now time.Time) {
	for _, id := range request.Acknowledge {
		worker.acknowledge(shard, id, now)
	}
	for _, id := range request.Stop {
		worker.stop(shard, id, now)
	}
	for _, id := range request.Checkpoint {
		if run := shard.running[id]; run != nil {
			worker.finish(shard, run, executor.RunResult{
				Outcome:    executor.OutcomeCheckpointed,
				Checkpoint: run.checkpoint(now),
			}, now)
		}
	}
	for _, id := range request.Throttle {
		if run := shard.running[id]; run != nil && run.throttled.IsZero() {
			run.throttled = now
			run.schedule(now)
		}
	}
}

func (worker *Worker) acknowledge(shard *shard, id descriptor.RunID, now time.Time) {
	if _, ok := shard.finished[id]; !ok {
		return
	}
	delete(shard.finished, id)
	shard.forgotten[id] = struct{}{}
	shard.forgottenOrder = append(shard.forgottenOrder, forgotten{
		run: id,
		at:  now,
	})
	for now.Sub(shard.forgottenOrder[0].at) > forgetAfter {
		delete(shard.forgotten, shard.forgottenOrder[0].run)
		shard.forgottenOrder = shard.forgottenOrder[1:]
	}
}

// stop ends a run. It also notes a run that never came, so that a delayed start has no effect.
func (worker *Worker) stop(shard *shard, id descriptor.RunID, now time.Time) {
	if run := shard.running[id]; run != nil {
		worker.finish(shard, run, executor.RunResult{
			Outcome: executor.OutcomeStopped,
		}, now)
		return
	}
	if shard.knows(id) {
		return
	}
	shard.finished[id] = executor.RunResult{
		Run:     id,
		Outcome: executor.OutcomeStopped,
		Ended:   now,
		Reason:  "was never started",
	}
}

func (shard *shard) knows(id descriptor.RunID) bool {
	_, finished := shard.finished[id]
	_, forgotten := shard.forgotten[id]
	return finished || forgotten || shard.running[id] != nil
}

func (worker *Worker) start(shard *shard, request executor.SyncRequest, start executor.Start, now time.Time) {
	if shard.knows(start.Run) {
		return
	}
	if reason := worker.refusal(shard, start, now); reason != "" {
		shard.finished[start.Run] = executor.RunResult{
			Run:     start.Run,
			Outcome: executor.OutcomeRefused,
			Ended:   now,
			Reason:  reason,
		}
		return
	}
	run := newRun(start, worker.options.RunTime, now)
	run.record = len(worker.history)
	worker.history = append(worker.history, Record{
		Run:         start.Run,
		Worker:      worker.options.ID,
		Incarnation: worker.incarnation,
		Shard:       request.Shard,
		Epoch:       request.Epoch,
		Declared:    start.Task,
		Started:     now,
	})
	worker.declared = worker.declared.Add(start.Task)
	shard.running[start.Run] = run
	if worker.faults.FailAll {
		run.payload.RunTime.Duration = run.restored + failDelay
		run.payload.Fail, run.forever = true, false
	}
	run.timer = time.AfterFunc(time.Hour, func() {
		worker.complete(shard, run)
	})
	run.schedule(now)
	if after := run.payload.UseAfter.Duration; after > 0 {
		time.AfterFunc(after, worker.checkMemory)
	}
}

func (worker *Worker) refusal(shard *shard, start executor.Start, now time.Time) string {
	switch {
	case worker.faults.Leaving:
		return "worker is leaving"
	case !now.Before(shard.expires):
		return "shard has no lease"
	case start.Task.Negative():
		return "declared size is negative"
	case !worker.declared.Add(start.Task).Fits(worker.options.Capacity):
		return "declared size exceeds the free capacity"
	default:
		return ""
	}
}

// schedule sets the timer to the end of the run.
func (run *run) schedule(now time.Time) {
	if run.forever {
		run.timer.Stop()
		return
	}
	run.timer.Reset(max(run.remaining(now), 0))
}

func (worker *Worker) complete(shard *shard, run *run) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	if shard.running[run.start.Run] != run || run.forever || run.remaining(now) > 0 {
		return
	}
	result := executor.RunResult{
		Outcome: executor.OutcomeDone,
	}
	if run.payload.Fail {
		result.Outcome, result.Reason = executor.OutcomeFailed, "task failed"
	}
	worker.finish(shard, run, result, now)
}

// finish ends a run in progress.
func (worker *Worker) finish(shard *shard, run *run, result executor.RunResult, now time.Time) {
	run.timer.Stop()
	result.Run = run.start.Run
	result.Started = run.started
	result.Ended = now
	result.Peak = run.peak(now)
	delete(shard.running, result.Run)
	shard.finished[result.Run] = result
	worker.declared = worker.declared.Sub(run.start.Task)
	record := &worker.history[run.record]
	record.Ended, record.Outcome, record.Reason = now, result.Outcome, result.Reason
}

func (worker *Worker) checkMemory() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.enforceMemory(time.Now())
}

// enforceMemory fails the runs that exceed their declared memory most until the rest fits.
func (worker *Worker) enforceMemory(now time.Time) {
	for {
		var total, excess int64
		var largest *run
		var owner *shard
		for _, shard := range worker.shards {
			for _, run := range shard.running {
				used := run.use(now).MemoryBytes
				total += used
				if over := used - run.start.Task.MemoryBytes; over > excess {
					excess, largest, owner = over, run, shard
				}
			}
		}
		if largest == nil || total <= worker.options.Capacity.MemoryBytes {
			return
		}
		worker.finish(owner, largest, executor.RunResult{
			Outcome: executor.OutcomeFailed,
			Reason:  "out of memory",
		}, now)
	}
}

// report describes the shard's runs, or what changed about them since the latest reply. A message with
// the current ticket proves that the owner has that reply.
func (worker *Worker) report(shard *shard, stale, partial bool, now time.Time) executor.SyncReply {
	reply := executor.SyncReply{
		Worker:      worker.options.ID,
		Incarnation: worker.incarnation,
		Ticket:      worker.ticket(shard),
		Stale:       stale,
		Partial:     partial,
		Leaving:     worker.faults.Leaving,
	}
	if !partial {
		reply.Place, reply.Labels, reply.Capacity = worker.options.Place, worker.options.Labels, worker.options.Capacity
	}
	told := make(map[descriptor.RunID]descriptor.Resources, len(shard.running))
	for id, run := range shard.running {
		report := run.report(now, worker.options.UsageLag)
		told[id] = report.Usage.Resources
		if usage, ok := shard.told[id]; !partial || !ok || usage != report.Usage.Resources {
			reply.Running = append(reply.Running, report)
		}
	}
	shard.told = told
	for _, result := range shard.finished {
		reply.Finished = append(reply.Finished, result)
	}
	// The same runs are always reported in the same order, so that recorded messages can be compared.
	slices.SortFunc(reply.Running, func(left, right executor.RunReport) int {
		return compare(left.Run, right.Run)
	})
	slices.SortFunc(reply.Finished, func(left, right executor.RunResult) int {
		return compare(left.Run, right.Run)
	})
	return reply
}

func compare(left, right descriptor.RunID) int {
	return cmp.Or(
		cmp.Compare(left.Job, right.Job),
		cmp.Compare(left.Task, right.Task),
		cmp.Compare(left.Attempt, right.Attempt),
	)
}
