package dispatcher

import (
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/monitor"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// sweepInterval is the time between two sweeps over all jobs.
const sweepInterval = time.Second

// Tick does everything that depends on the passage of time.
func (dispatcher *Dispatcher) Tick(now time.Time) {
	if !dispatcher.loaded {
		return
	}
	dispatcher.allocator.Tick(now)
	for _, worker := range dispatcher.fleet.Sorted() {
		dispatcher.tickWorker(now, worker)
	}
	if now.Sub(dispatcher.lastSweep) >= sweepInterval {
		dispatcher.lastSweep = now
		dispatcher.sweepJobs(now)
	}
	dispatcher.schedulingDue = true
}

// tickWorker requests the messages to a worker that are due, ends the runs of an unresponsive worker once
// they have provably lapsed, and removes a worker that is no longer listed and has no runs.
func (dispatcher *Dispatcher) tickWorker(now time.Time, worker *monitor.Worker) {
	if now.Sub(worker.LastSent) >= monitor.SyncInterval {
		dispatcher.markDue(worker)
	}
	if dispatcher.authority == signaler.AuthorityFull && !worker.SyncDue && worker.TakeEndPoll(now) {
		dispatcher.markDue(worker)
	}
	unresponsive := worker.Unresponsive || !worker.Reported
	if unresponsive && dispatcher.authority == signaler.AuthorityFull && len(worker.Runs) > 0 && dispatcher.recoverer.RunsEnded(worker.ID, now) {
		for _, run := range worker.SortedRuns() {
			dispatcher.endAfterLeaseExpiry(now, run)
		}
	}
	removable := !worker.Listed && dispatcher.fleet.Listed && len(worker.Runs) == 0 && !worker.InFlight
	if removable && (unresponsive || len(worker.EndedRuns) == 0) {
		dispatcher.fleet.Forget(worker.ID)
		dispatcher.allocator.RemoveWorker(worker.ID)
		dispatcher.recoverer.Forget(worker.ID)
		dispatcher.schedulingDue = true
	}
}

// endAfterLeaseExpiry ends a run whose task lease has provably expired.
func (dispatcher *Dispatcher) endAfterLeaseExpiry(now time.Time, run *arbiter.Run) {
	if run.Phase == arbiter.PhaseReady || run.Phase == arbiter.PhaseIntentPending {
		dispatcher.stopRun(now, run, "the worker was lost before the start was sent")
		return
	}
	dispatcher.endAsLost(now, run, "the worker was lost and its lease has lapsed")
}

// sweepJobs goes through all jobs. It queues those whose retry delay is over, expires those whose
// deadline has passed and displaces runs that last too long.
func (dispatcher *Dispatcher) sweepJobs(now time.Time) {
	if dispatcher.authority != signaler.AuthorityFull {
		return
	}
	dispatcher.throttler.QueueThrottled()
	var stragglers []allocator.Straggler
	for _, id := range slices.Sorted(maps.Keys(dispatcher.jobs)) {
		job := dispatcher.jobs[id]
		if job.Ended {
			continue
		}
		if !job.RetryAt.IsZero() && !now.Before(job.RetryAt) {
			job.RetryAt = time.Time{}
			dispatcher.enqueueWaiting(job)
		}
		if job.FeasibilityUnchecked && dispatcher.fleet.AllReported() {
			dispatcher.checkFeasibility(now, job)
		}
		deadline := job.Description().Deadline
		if !deadline.IsZero() && now.After(deadline) && !job.IsService() {
			dispatcher.expireJob(now, job)
		}
		stragglers = append(stragglers, dispatcher.findStragglers(now, job)...)
	}
	displaced := dispatcher.allocator.ChooseDisplaced(now, stragglers)
	for _, id := range slices.SortedFunc(maps.Keys(displaced), monitor.CompareRuns) {
		dispatcher.displaceRun(now, id, displaced[id])
	}
}

// checkFeasibility ends a job that is too large for every worker or matches none. It checks each job only
// once: a job that was feasible before waits for its workers to come back.
func (dispatcher *Dispatcher) checkFeasibility(now time.Time, job *arbiter.Job) {
	job.FeasibilityUnchecked = false
	reason := dispatcher.allocator.ImpossibleReason(now, job.QueuedJob)
	if reason == "" || job.MayHaveRun() || len(job.TasksInState(arbiter.TaskWaiting)) < len(job.Tasks) {
		return
	}
	for i := range job.Tasks {
		job.Tasks[i].EndWaiting("the job can never run: "+reason, reason)
	}
	dispatcher.endIfFinal(now, job)
}

// expireJob ends the waiting tasks of a job whose deadline has passed. Runs in progress continue.
func (dispatcher *Dispatcher) expireJob(now time.Time, job *arbiter.Job) {
	waiting := job.TasksInState(arbiter.TaskWaiting)
	if len(waiting) == 0 || job.Restarting {
		return
	}
	dispatcher.allocator.RemoveFromQueue(job.ID)
	dispatcher.addDecision(now, job, "Expired", "the deadline passed while %d tasks were waiting", len(waiting))
	for _, index := range waiting {
		job.Tasks[index].EndWaiting("the deadline passed before the task started", "the deadline passed between two attempts")
	}
	dispatcher.endIfFinal(now, job)
}

// findStragglers marks the runs of a job that last too long and returns those that may be displaced.
func (dispatcher *Dispatcher) findStragglers(now time.Time, job *arbiter.Job) []allocator.Straggler {
	if job.IsService() {
		return nil
	}
	var displaceable []allocator.Straggler
	for i := range job.Tasks {
		run := job.Tasks[i].Run
		if run == nil || run.Phase != arbiter.PhaseRunning {
			continue
		}
		elapsed := now.Sub(run.StartedAt)
		if !run.Straggling && dispatcher.allocator.Straggling(job.QueuedJob, elapsed) {
			run.Straggling = true
			dispatcher.addDecision(now, job, signaler.CodeStraggling, "task %d has been running far longer than expected, since %s", i, run.StartedAt.Format(time.RFC3339))
		}
		if run.Straggling && run.Displaceable() {
			displaceable = append(displaceable, allocator.Straggler{
				QueuedJob: job.QueuedJob,
				Run:       run.ID,
				Elapsed:   elapsed,
			})
		}
	}
	return displaceable
}

// displaceRun checkpoints a straggler. Its task then waits behind shorter work.
func (dispatcher *Dispatcher) displaceRun(now time.Time, id descriptor.RunID, displacedBy descriptor.JobID) {
	job := dispatcher.jobs[id.Job]
	run := job.Tasks[id.Task].Run
	run.Checkpoint = true
	job.QueuedJob.DisplacedAt = now
	dispatcher.addDecision(now, job, "Displaced", "task %d is checkpointed and waits behind shorter work, such as job %s", id.Task, displacedBy)
	dispatcher.requestSync(dispatcher.fleet.Worker(run.Worker))
}

// runSchedulingPass runs a scheduling pass and carries out its placements and preemptions.
func (dispatcher *Dispatcher) runSchedulingPass(now time.Time) {
	result := dispatcher.allocator.Schedule(now)
	for _, placement := range result.Placements {
		job := dispatcher.jobs[placement.QueuedJob.ID]
		job.WaitReason = ""
		dispatcher.beginRun(now, job, placement.Run, dispatcher.fleet.Worker(placement.Worker))
	}
	for _, blocked := range result.WaitReasons {
		job := dispatcher.jobs[blocked.Job]
		if job.SetWaitReason(blocked.Reason) {
			dispatcher.addDecision(now, job, "Waiting", "%s", blocked.Reason)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(result.Preemptions), monitor.CompareRuns) {
		dispatcher.preemptRun(now, id, result.Preemptions[id])
	}
}

// preemptRun checkpoints a run to free capacity for another job. It ignores runs that are already ending.
func (dispatcher *Dispatcher) preemptRun(now time.Time, id descriptor.RunID, preemptedBy descriptor.JobID) {
	job := dispatcher.jobs[id.Job]
	if job == nil {
		return
	}
	run := job.Tasks[id.Task].Run
	if run == nil || run.ID != id || run.Phase != arbiter.PhaseRunning || run.Stop || run.Checkpoint {
		return
	}
	run.Checkpoint = true
	dispatcher.addDecision(now, job, "Preempted", "task %d is checkpointed to free capacity for job %s", id.Task, preemptedBy)
	dispatcher.requestSync(dispatcher.fleet.Worker(run.Worker))
}
