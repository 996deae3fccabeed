package dispatcher

// A sync is one exchange with a worker: the owner sends a message, and the worker returns a report.

import (
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/monitor"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recoverer"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// requestSync asks for a sync with a worker as soon as possible. It does nothing while the owner may only
// renew task leases, because the regular syncs are enough for that.
func (dispatcher *Dispatcher) requestSync(worker *monitor.Worker) {
	if dispatcher.authority != signaler.AuthorityFull {
		return
	}
	dispatcher.markDue(worker)
}

// markDue adds a worker to syncQueue for the next Sync. The worker may be in the queue already: its first
// message clears SyncDue, and Sync drops the entries of workers that are not due any more.
func (dispatcher *Dispatcher) markDue(worker *monitor.Worker) {
	worker.SyncDue = true
	dispatcher.syncQueue = append(dispatcher.syncQueue, worker)
}

// SetListedWorkers replaces the list of workers that the platform reports.
func (dispatcher *Dispatcher) SetListedWorkers(now time.Time, event signaler.ListedWorkersChanged) {
	listed := dispatcher.fleet.SetListed(event.Workers)
	ids := make([]descriptor.WorkerID, 0, len(listed))
	for _, worker := range listed {
		ids = append(ids, worker.ID)
		dispatcher.requestSync(worker)
	}
	dispatcher.recoverer.SetListed(now, ids)
	for _, worker := range dispatcher.fleet.Sorted() {
		dispatcher.updateAllocator(worker)
	}
	dispatcher.schedulingDue = true
}

// updateAllocator passes the present state of a worker to the allocator.
func (dispatcher *Dispatcher) updateAllocator(worker *monitor.Worker) {
	if !worker.Reported {
		return
	}
	dispatcher.allocator.SetWorker(worker.Describe())
}

// minSyncInterval is the minimum time between two messages to a worker whose every report requires another
// message.
const minSyncInterval = 10 * time.Millisecond

// Sync sends a message to each worker in syncQueue that is due. It drops the other entries: a worker may be
// in the queue more than once, a worker with a message in flight is queued again after its report or by
// Tick, and a worker without an address can't be reached. Each worker has at most one message in flight.
func (dispatcher *Dispatcher) Sync(now time.Time) {
	if !dispatcher.loaded {
		// The epoch is not known yet.
		return
	}
	due := dispatcher.syncQueue
	dispatcher.syncQueue = nil
	for _, worker := range due {
		switch {
		case !worker.SyncDue || worker.InFlight || !worker.Address.IsValid():
		case now.Sub(worker.LastSent) < minSyncInterval:
			dispatcher.syncQueue = append(dispatcher.syncQueue, worker)
		default:
			dispatcher.syncWorker(now, worker)
		}
	}
}

func (dispatcher *Dispatcher) syncWorker(now time.Time, worker *monitor.Worker) {
	if dispatcher.authority == signaler.AuthorityNone {
		return
	}
	// An unresponsive worker gets only the regular messages, even if commands wait for it.
	if worker.Unresponsive && now.Sub(worker.LastSent) < monitor.SyncInterval {
		return
	}
	worker.SyncDue, worker.InFlight, worker.LastSent = false, true, now
	request := executor.SyncRequest{
		Shard:  dispatcher.shard,
		Epoch:  dispatcher.epoch,
		Ticket: worker.ReportToken,
		MaxAge: recoverer.MaxReportTokenAge,
	}
	// The first message only requests a report: the worker's state must be known before its task
	// lease is renewed.
	if worker.Reported && !worker.Unresponsive && dispatcher.mayRenewLease(now) {
		request.Lease = recoverer.TaskLease
		dispatcher.recoverer.Sent(worker.ID, now)
	}
	if worker.Reported && !worker.Unresponsive && dispatcher.authority == signaler.AuthorityFull {
		for _, run := range worker.UnsentRunsOfEarlierIncarnations() {
			dispatcher.endRun(now, run, executor.RunResult{
				Outcome: recorder.OutcomeNotStarted,
				Reason:  "the worker restarted before the start was sent",
			})
		}
		worker.AddCommands(now, &request)
		dispatcher.outbox.Flush()
	}
	worker.SetReportKind(now, &request)
	dispatcher.outbox.Add(signaler.Sync{
		Worker:  worker.ID,
		Address: worker.Address,
		Request: request,
		Sent:    now,
	})
}

func (dispatcher *Dispatcher) mayRenewLease(now time.Time) bool {
	return dispatcher.authority == signaler.AuthorityFull || dispatcher.recoverer.MayRenew(now)
}

// HandleNoReport handles a message without a report, or with a report that can't be applied. The worker
// becomes unresponsive. Those of its runs end whose start was not sent or provably did not arrive.
func (dispatcher *Dispatcher) HandleNoReport(now time.Time, event signaler.NoReport) {
	worker, ok := dispatcher.fleet.Lookup(event.Worker)
	if !ok {
		return
	}
	worker.InFlight, worker.EndPollInFlight = false, false
	worker.Unresponsive = true
	dispatcher.recoverer.NoReport(worker.ID, event.MayHaveArrived)
	dispatcher.updateAllocator(worker)
	for _, run := range worker.SortedRuns() {
		if run.Phase == arbiter.PhaseSent && run.Sent.Equal(worker.LastSent) && !event.MayHaveArrived {
			run.Phase = arbiter.PhaseReady
		}
		if run.Phase == arbiter.PhaseReady {
			dispatcher.stopRun(now, run, "the worker does not answer")
		}
	}
}

// HandleReport handles the report of a worker. A report that can't be applied counts as missing.
func (dispatcher *Dispatcher) HandleReport(now time.Time, event signaler.Reported) {
	worker, ok := dispatcher.fleet.Lookup(event.Worker)
	if !ok {
		return
	}
	report := event.Report
	if !worker.CanApply(report) {
		dispatcher.HandleNoReport(now, signaler.NoReport{
			Worker:         event.Worker,
			MayHaveArrived: true,
		})
		return
	}
	dispatcher.recoverer.Reported(now, worker.ID, event.Sent)
	needsSync := !worker.Reported || worker.Unresponsive || report.Stale
	capacityChanged := needsSync || worker.Incarnation != report.Incarnation || !report.Partial && worker.Description.Capacity != report.Capacity
	worker.InFlight, worker.Unresponsive, worker.Reported = false, false, true
	worker.Incarnation, worker.ReportToken = report.Incarnation, report.Ticket
	if !report.Partial {
		worker.Description = allocator.Worker{
			ID:       worker.ID,
			Place:    report.Place,
			Labels:   report.Labels,
			Capacity: report.Capacity,
		}
	}
	worker.Description.Closed = report.Leaving
	dispatcher.updateAllocator(worker)
	runsBefore := len(worker.Runs)
	dispatcher.reconcile(now, worker, report)
	// Fewer runs than before means that the report ended a run, as finished or as missing. A lost run that
	// the report brings back may hide that; the end poll is then not returned to the worker.
	worker.ScheduleEndPoll(now, len(worker.Runs) < runsBefore)
	dispatcher.updateAllocator(worker)
	dispatcher.schedulingDue = dispatcher.schedulingDue || capacityChanged
	if needsSync || worker.SyncDue {
		dispatcher.requestSync(worker)
	}
}

// reconcile updates the runs of a worker from its report.
func (dispatcher *Dispatcher) reconcile(now time.Time, worker *monitor.Worker, report executor.SyncReply) {
	reportedRuns := make(map[descriptor.RunID]struct{}, len(report.Running)+len(report.Finished))
	worker.UnexpectedRuns = map[descriptor.RunID]struct{}{}
	for _, runReport := range report.Running {
		reportedRuns[runReport.Run] = struct{}{}
		dispatcher.handleRunning(now, worker, runReport)
	}
	for _, result := range report.Finished {
		reportedRuns[result.Run] = struct{}{}
		dispatcher.handleFinished(now, worker, result)
	}
	worker.RemoveAcknowledged(reportedRuns)
	for _, run := range worker.SortedRuns() {
		// A partial report leaves out runs that continue unchanged.
		if _, ok := reportedRuns[run.ID]; !ok && (!report.Partial || run.Phase != arbiter.PhaseRunning) {
			dispatcher.handleMissing(now, worker, run)
		}
	}
}

// handleRunning handles a run that a worker reports as running. A run that the owner doesn't know on this
// worker is marked as unexpected, so that the next message stops it.
func (dispatcher *Dispatcher) handleRunning(now time.Time, worker *monitor.Worker, runReport executor.RunReport) {
	run, ok := worker.Runs[runReport.Run]
	if !ok {
		run = dispatcher.reattachLostRun(now, worker, runReport.Run)
	}
	if run == nil {
		worker.UnexpectedRuns[runReport.Run] = struct{}{}
		dispatcher.requestSync(worker)
		return
	}
	if !run.Allocated {
		run.Allocated = true
		dispatcher.allocator.AdoptRun(run.Job.QueuedJob, run.ID, worker.ID, runReport.Started)
	}
	if run.Phase != arbiter.PhaseRunning {
		run.Phase, run.StartedAt = arbiter.PhaseRunning, runReport.Started
		run.Task().StartedAt = runReport.Started
		run.Task().MayHaveRun = true
		worker.SetExpectedEnd(now, run, dispatcher.allocator.RemainingTime(run.Job.QueuedJob, run.ElapsedAtFirstReport(now)))
		dispatcher.addDecision(now, run.Job, "Running", "task %d, attempt %d: running on %s", run.ID.Task, run.ID.Attempt, worker.ID)
	}
	if !runReport.Usage.At.IsZero() {
		dispatcher.recordUsage(worker, run, runReport.Usage)
	}
}

// reattachLostRun restores the run of a task whose fate was unknown until its worker came back. It returns
// nil if the run is not such a one.
func (dispatcher *Dispatcher) reattachLostRun(now time.Time, worker *monitor.Worker, id descriptor.RunID) *arbiter.Run {
	job := dispatcher.jobs[id.Job]
	if !job.HasLostRun(worker.ID, id) {
		return nil
	}
	run := &arbiter.Run{
		ID:          id,
		Job:         job,
		Worker:      worker.ID,
		Incarnation: worker.Incarnation,
		Phase:       arbiter.PhaseMaybeSent,
		Stop:        job.Cancelled,
	}
	dispatcher.attachRun(run)
	delete(worker.EndedRuns, id)
	dispatcher.addDecision(now, job, "Found", "task %d, attempt %d: found on %s", id.Task, id.Attempt, worker.ID)
	return run
}

// handleFinished handles a run that a worker reports as ended.
func (dispatcher *Dispatcher) handleFinished(now time.Time, worker *monitor.Worker, result executor.RunResult) {
	if run, ok := worker.Runs[result.Run]; ok {
		dispatcher.endRun(now, run, result)
		return
	}
	if job := dispatcher.jobs[result.Run.Job]; job.HasLostRun(worker.ID, result.Run) {
		if result.Outcome == executor.OutcomeStopped && result.Started.IsZero() {
			result.Outcome = recorder.OutcomeNotStarted
		}
		dispatcher.recordResult(now, job, worker, result)
		return
	}
	if _, ok := worker.EndedRuns[result.Run]; !ok {
		// The end of this attempt need not be recorded any more, so the worker may forget the run.
		worker.EndedRuns[result.Run] = true
	}
	if worker.EndedRuns[result.Run] {
		dispatcher.requestSync(worker)
	}
}

// handleMissing handles a run that a worker's report does not contain. The worker has accepted this epoch,
// and it ignores the commands in messages that were sent before the report, because they carry an older
// report token or a lower epoch. So a run that was never reported as running has not started and never
// will, unless the worker has restarted and lost its state after the run was placed on it. In that case,
// and if the run was reported as running before, its outcome is lost.
func (dispatcher *Dispatcher) handleMissing(now time.Time, worker *monitor.Worker, run *arbiter.Run) {
	switch {
	case run.Phase == arbiter.PhaseIntentPending || run.Phase == arbiter.PhaseReady:
		// The start has not been sent yet, so the worker can't know the run.
	case run.Phase != arbiter.PhaseRunning && run.Incarnation == worker.Incarnation:
		dispatcher.endRun(now, run, executor.RunResult{
			Outcome: recorder.OutcomeNotStarted,
			Reason:  "the worker never started it",
		})
	default:
		dispatcher.endAsLost(now, run, "the worker does not know the run any more")
	}
}

// endAsLost ends a run of which the worker can no longer tell the outcome.
func (dispatcher *Dispatcher) endAsLost(now time.Time, run *arbiter.Run, reason string) {
	dispatcher.endRun(now, run, executor.RunResult{
		Outcome: recorder.OutcomeLost,
		Ended:   now,
		Reason:  reason,
	})
}
