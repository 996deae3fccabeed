package worker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/work/descriptor"
)

// Sync applies one sync request and reports the shard's runs. The only error is executor.ErrFenced, for an
// epoch lower than one seen before.
func (worker *Worker) Sync(request executor.SyncRequest) (executor.SyncReply, error) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	shard := worker.shardFor(request.Shard)
	// After a pause of the process the request may be handled before the lease timer fires. It must not renew
	// an expired lease while runs under it are in progress.
	worker.endRunsIfExpired(shard, now)
	if request.Epoch < shard.epoch {
		return executor.SyncReply{}, executor.ErrFenced
	}
	shard.epoch = request.Epoch
	stale := worker.isStale(shard, request, now)
	if !stale {
		worker.renewLease(shard, request.Lease, now)
		worker.applyRunCommands(shard, request, now)
		for _, start := range request.Start {
			worker.startRun(shard, request, start, now)
		}
		worker.enforceMemory(now)
	}
	shard.ticketNumber++
	shard.ticketIssuedAt = now
	partial := request.Changes && request.Ticket != "" && !stale
	return worker.report(shard, stale, partial, now), nil
}

// isStale reports whether the request carries another ticket than the current one, because the worker has since handled
// another request of the shard or lost its state, or whether the ticket is older than its maximum age. Requests without
// a ticket are never stale.
func (worker *Worker) isStale(shard *shard, request executor.SyncRequest, now time.Time) bool {
	if request.Ticket == "" {
		return false
	}
	maxTicketAge := cmp.Or(request.MaxAge, request.Lease)
	tooOld := maxTicketAge > 0 && now.Sub(shard.ticketIssuedAt) > maxTicketAge
	return tooOld || request.Ticket != worker.currentTicket(shard)
}

// currentTicket returns the ticket of the shard. It identifies the worker's latest response to the shard; a request
// carries the ticket of the response that it is based on.
func (worker *Worker) currentTicket(shard *shard) string {
	return fmt.Sprintf("%s-%d", worker.incarnation, shard.ticketNumber)
}

func (worker *Worker) shardFor(id descriptor.ShardID) *shard {
	existing := worker.shards[id]
	if existing != nil {
		return existing
	}
	created := &shard{
		running:      make(map[descriptor.RunID]*run),
		finished:     make(map[descriptor.RunID]executor.RunResult),
		acknowledged: make(map[descriptor.RunID]struct{}),
	}
	created.leaseTimer = time.AfterFunc(time.Hour, func() {
		worker.mutex.Lock()
		defer worker.mutex.Unlock()
		worker.endRunsIfExpired(created, time.Now())
	})
	created.leaseTimer.Stop()
	worker.shards[id] = created
	return created
}

// endRunsIfExpired ends all runs of the shard if its lease has expired.
func (worker *Worker) endRunsIfExpired(shard *shard, now time.Time) {
	if now.Before(shard.leaseExpiresAt) {
		return
	}
	for _, run := range shard.running {
		worker.finishRun(shard, run, executor.RunResult{
			Outcome: executor.OutcomeLeaseLapsed,
			Reason:  "shard lease expired",
		}, now)
	}
}

func (worker *Worker) renewLease(shard *shard, lease time.Duration, now time.Time) {
	expires := now.Add(lease)
	if lease <= 0 || !expires.After(shard.leaseExpiresAt) {
		return
	}
	shard.leaseExpiresAt = expires
	shard.leaseTimer.Reset(lease)
}

func (worker *Worker) applyRunCommands(shard *shard, request executor.SyncRequest, now time.Time) {
	for _, id := range request.Acknowledge {
		worker.acknowledgeRun(shard, id, now)
	}
	for _, id := range request.Stop {
		worker.stopRun(shard, id, now)
	}
	for _, id := range request.Checkpoint {
		if run := shard.running[id]; run != nil {
			worker.finishRun(shard, run, executor.RunResult{
				Outcome:    executor.OutcomeCheckpointed,
				Checkpoint: run.checkpoint(now),
			}, now)
		}
	}
	for _, id := range request.Throttle {
		if run := shard.running[id]; run != nil && run.throttledAt.IsZero() {
			run.throttledAt = now
			run.schedule(now)
		}
	}
}

func (worker *Worker) acknowledgeRun(shard *shard, id descriptor.RunID, now time.Time) {
	if _, ok := shard.finished[id]; !ok {
		return
	}
	delete(shard.finished, id)
	shard.acknowledged[id] = struct{}{}
	shard.acknowledgedOrder = append(shard.acknowledgedOrder, acknowledgement{
		run: id,
		at:  now,
	})
	for now.Sub(shard.acknowledgedOrder[0].at) > acknowledgedRetention {
		delete(shard.acknowledged, shard.acknowledgedOrder[0].run)
		shard.acknowledgedOrder = shard.acknowledgedOrder[1:]
	}
}

// stopRun ends a run. It also records a run that is unknown as stopped, so that a delayed start of it has no
// effect.
func (worker *Worker) stopRun(shard *shard, id descriptor.RunID, now time.Time) {
	if run := shard.running[id]; run != nil {
		worker.finishRun(shard, run, executor.RunResult{
			Outcome: executor.OutcomeStopped,
		}, now)
		return
	}
	if shard.hasSeen(id) {
		return
	}
	shard.finished[id] = executor.RunResult{
		Run:     id,
		Outcome: executor.OutcomeStopped,
		Ended:   now,
		Reason:  "stopped before it was started",
	}
}

func (shard *shard) hasSeen(id descriptor.RunID) bool {
	_, finished := shard.finished[id]
	_, acknowledged := shard.acknowledged[id]
	return finished || acknowledged || shard.running[id] != nil
}

// startRun starts a run, or records it as refused. A run that the worker already knows is ignored. start.Task
// is the declared size of the task, while start.Run.Task is its index in the job.
func (worker *Worker) startRun(shard *shard, request executor.SyncRequest, start executor.Start, now time.Time) {
	if shard.hasSeen(start.Run) {
		return
	}
	if reason := worker.refusalReason(shard, start, now); reason != "" {
		shard.finished[start.Run] = executor.RunResult{
			Run:     start.Run,
			Outcome: executor.OutcomeRefused,
			Ended:   now,
			Reason:  reason,
		}
		return
	}
	run := newRun(start, worker.options.RunTime, now)
	run.recordIndex = len(worker.history)
	worker.history = append(worker.history, Record{
		Run:         start.Run,
		Worker:      worker.options.ID,
		Incarnation: worker.incarnation,
		Shard:       request.Shard,
		Epoch:       request.Epoch,
		Declared:    start.Task,
		Started:     now,
	})
	worker.declaredTotal = worker.declaredTotal.Add(start.Task)
	shard.running[start.Run] = run
	if worker.faults.FailAll {
		run.payload.RunTime.Duration = run.restoredProgress + failDelay
		run.payload.Fail, run.untilStopped = true, false
	}
	run.endTimer = time.AfterFunc(time.Hour, func() {
		worker.completeRun(shard, run)
	})
	run.schedule(now)
	if after := run.payload.UseAfter.Duration; after > 0 {
		time.AfterFunc(after, worker.checkMemory)
	}
}

// refusalReason returns why the run cannot start, or an empty string. start.Task is the declared size of the task.
func (worker *Worker) refusalReason(shard *shard, start executor.Start, now time.Time) string {
	switch {
	case worker.faults.Leaving:
		return "worker is leaving"
	case !now.Before(shard.leaseExpiresAt):
		return "shard has no valid lease"
	case start.Task.Negative():
		return "declared size is negative"
	case !worker.declaredTotal.Add(start.Task).Fits(worker.options.Capacity):
		return "declared size exceeds the free capacity"
	default:
		return ""
	}
}

// schedule sets the timer to the expected end of the run.
func (run *run) schedule(now time.Time) {
	if run.untilStopped {
		run.endTimer.Stop()
		return
	}
	run.endTimer.Reset(max(run.remaining(now), 0))
}

func (worker *Worker) completeRun(shard *shard, run *run) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	if shard.running[run.start.Run] != run || run.untilStopped || run.remaining(now) > 0 {
		return
	}
	result := executor.RunResult{
		Outcome: executor.OutcomeDone,
	}
	if run.payload.Fail {
		result.Outcome, result.Reason = executor.OutcomeFailed, "task failed"
	}
	worker.finishRun(shard, run, result, now)
}

// finishRun ends a run in progress and records its result.
func (worker *Worker) finishRun(shard *shard, run *run, result executor.RunResult, now time.Time) {
	run.endTimer.Stop()
	result.Run = run.start.Run
	result.Started = run.started
	result.Ended = now
	result.Peak = run.peak(now)
	delete(shard.running, result.Run)
	shard.finished[result.Run] = result
	worker.declaredTotal = worker.declaredTotal.Sub(run.start.Task)
	record := &worker.history[run.recordIndex]
	record.Ended, record.Outcome, record.Reason = now, result.Outcome, result.Reason
}

func (worker *Worker) checkMemory() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.enforceMemory(time.Now())
}

// enforceMemory fails runs until the memory in use fits the worker, first the one that exceeds its declared
// memory most. Runs within their declared memory are never failed.
func (worker *Worker) enforceMemory(now time.Time) {
	for {
		var total, largestExcess int64
		var victim *run
		var victimShard *shard
		for _, shard := range worker.shards {
			for _, run := range shard.running {
				used := run.useAt(now).MemoryBytes
				total += used
				if excess := used - run.start.Task.MemoryBytes; excess > largestExcess {
					largestExcess, victim, victimShard = excess, run, shard
				}
			}
		}
		if victim == nil || total <= worker.options.Capacity.MemoryBytes {
			return
		}
		worker.finishRun(victimShard, victim, executor.RunResult{
			Outcome: executor.OutcomeFailed,
			Reason:  "out of memory",
		}, now)
	}
}

// report returns the response to a sync. A partial response holds only the runs whose usage differs from the
// previous response. It is only correct for a request that carried the current ticket, which proves that the
// shard's owner received that response.
func (worker *Worker) report(shard *shard, stale, partial bool, now time.Time) executor.SyncReply {
	response := executor.SyncReply{
		Worker:      worker.options.ID,
		Incarnation: worker.incarnation,
		Ticket:      worker.currentTicket(shard),
		Stale:       stale,
		Partial:     partial,
		Leaving:     worker.faults.Leaving,
	}
	if !partial {
		response.Place, response.Labels, response.Capacity = worker.options.Place, worker.options.Labels, worker.options.Capacity
	}
	reported := make(map[descriptor.RunID]descriptor.Resources, len(shard.running))
	for id, run := range shard.running {
		report := run.report(now, worker.options.UsageLag)
		reported[id] = report.Usage.Resources
		if usage, ok := shard.reported[id]; !partial || !ok || usage != report.Usage.Resources {
			response.Running = append(response.Running, report)
		}
	}
	shard.reported = reported
	for _, result := range shard.finished {
		response.Finished = append(response.Finished, result)
	}
	// A fixed order makes recorded responses comparable.
	slices.SortFunc(response.Running, func(left, right executor.RunReport) int {
		return compareRuns(left.Run, right.Run)
	})
	slices.SortFunc(response.Finished, func(left, right executor.RunResult) int {
		return compareRuns(left.Run, right.Run)
	})
	return response
}

// compareRuns orders runs by job, index of the task in the job, and attempt.
func compareRuns(left, right descriptor.RunID) int {
	return cmp.Or(
		cmp.Compare(left.Job, right.Job),
		cmp.Compare(left.Task, right.Task),
		cmp.Compare(left.Attempt, right.Attempt),
	)
}
