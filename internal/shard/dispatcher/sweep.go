package dispatcher

import (
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/watcher"
	"pomelomoor/internal/work/descriptor"
)

// sweepInterval is the time between two looks at all jobs.
const sweepInterval = time.Second

// Tick looks at everything that depends on the time.
func (dispatcher *Dispatcher) Tick(now time.Time) {
	if !dispatcher.loaded {
		return
	}
	dispatcher.allocator.Tick(now)
	for _, worker := range dispatcher.fleet.Sorted() {
		dispatcher.tickWorker(now, worker)
	}
	if now.Sub(dispatcher.swept) >= sweepInterval {
		dispatcher.swept = now
		dispatcher.sweep(now)
	}
	dispatcher.placementDue = true
}

func (dispatcher *Dispatcher) tickWorker(now time.Time, worker *watcher.Worker) {
	if now.Sub(worker.Asked) >= watcher.Interval {
		dispatcher.due(worker)
	}
	if dispatcher.authority == signaler.AuthorityAct && !worker.Urgent && worker.AskForEnd(now) {
		dispatcher.due(worker)
	}
	silent := worker.Suspect || !worker.Reported
	if silent && dispatcher.authority == signaler.AuthorityAct && len(worker.Runs) > 0 && dispatcher.recoverer.Gone(worker.ID, now) {
		for _, run := range worker.SortedRuns() {
			dispatcher.giveUp(now, run)
		}
	}
	unused := !worker.Listed && dispatcher.fleet.Listed && len(worker.Runs) == 0 && !worker.InFlight
	if unused && (silent || len(worker.Ends) == 0) {
		dispatcher.fleet.Forget(worker.ID)
		dispatcher.allocator.RemoveWorker(worker.ID)
		dispatcher.recoverer.Forget(worker.ID)
		dispatcher.placementDue = true
	}
}

// giveUp ends a run whose worker's lease has provably lapsed.
func (dispatcher *Dispatcher) giveUp(now time.Time, run *arbiter.Run) {
	if run.Phase == arbiter.PhaseReady || run.Phase == arbiter.PhaseIntending {
		dispatcher.stop(now, run, "the worker was lost before the start was sent")
		return
	}
	dispatcher.lose(now, run, "the worker was lost and its lease has lapsed")
}

// sweep looks at the times of all jobs: pauses that are over, deadlines that have passed, runs that
// last too long.
func (dispatcher *Dispatcher) sweep(now time.Time) {
	if dispatcher.authority != signaler.AuthorityAct {
		return
	}
	dispatcher.throttler.Review()
	var stragglers []allocator.Straggler
	for _, id := range slices.Sorted(maps.Keys(dispatcher.jobs)) {
		job := dispatcher.jobs[id]
		if job.Ended {
			continue
		}
		if !job.Resume.IsZero() && !now.Before(job.Resume) {
			job.Resume = time.Time{}
			dispatcher.queueAll(job)
		}
		if job.Unchecked && dispatcher.fleet.Complete() {
			dispatcher.checkPossible(now, job)
		}
		deadline := job.Description().Deadline
		if !deadline.IsZero() && now.After(deadline) && !job.Service() {
			dispatcher.expire(now, job)
		}
		stragglers = append(stragglers, dispatcher.watch(now, job)...)
	}
	displaced := dispatcher.allocator.Displace(now, stragglers)
	for _, id := range slices.SortedFunc(maps.Keys(displaced), watcher.CompareRuns) {
		dispatcher.displace(now, id, displaced[id])
	}
}

// checkPossible ends a job that no worker could ever hold. It looks once: a job that was possible
// waits for its workers to come back.
func (dispatcher *Dispatcher) checkPossible(now time.Time, job *arbiter.Job) {
	job.Unchecked = false
	reason := dispatcher.allocator.Impossible(now, job.Work)
	if reason == "" || job.Ran() || len(job.InState(arbiter.TaskWaiting)) < len(job.Tasks) {
		return
	}
	for i := range job.Tasks {
		job.Tasks[i].Drop("the job can never run: "+reason, reason)
	}
	dispatcher.settle(now, job)
}

// expire ends the waiting tasks of a job whose deadline has passed. Runs in progress go on.
func (dispatcher *Dispatcher) expire(now time.Time, job *arbiter.Job) {
	waiting := job.InState(arbiter.TaskWaiting)
	if len(waiting) == 0 || job.Restarting {
		return
	}
	dispatcher.allocator.Unqueue(job.ID)
	dispatcher.note(now, job, "Expired", "the deadline passed while %d tasks were waiting", len(waiting))
	for _, index := range waiting {
		job.Tasks[index].Drop("the deadline passed before the task started", "the deadline passed between two attempts")
	}
	dispatcher.settle(now, job)
}

// watch notes the runs of a job that last too long and returns those that may give way to others.
func (dispatcher *Dispatcher) watch(now time.Time, job *arbiter.Job) []allocator.Straggler {
	if job.Service() {
		return nil
	}
	var movable []allocator.Straggler
	for i := range job.Tasks {
		run := job.Tasks[i].Run
		if run == nil || run.Phase != arbiter.PhaseRunning {
			continue
		}
		elapsed := now.Sub(run.Since)
		if !run.Straggling && dispatcher.allocator.Straggling(job.Work, elapsed) {
			run.Straggling = true
			dispatcher.note(now, job, signaler.CodeStraggling, "task %d runs far longer than expected, since %s", i, run.Since.Format(time.RFC3339))
		}
		if run.Straggling && run.Movable() {
			movable = append(movable, allocator.Straggler{
				Work:    job.Work,
				Run:     run.ID,
				Elapsed: elapsed,
			})
		}
	}
	return movable
}

// displace checkpoints a straggler. Its task waits behind shorter work afterwards.
func (dispatcher *Dispatcher) displace(now time.Time, id descriptor.RunID, by descriptor.JobID) {
	job := dispatcher.jobs[id.Job]
	run := job.Tasks[id.Task].Run
	run.Checkpoint = true
	job.Work.Behind = now
	dispatcher.note(now, job, "Displaced", "task %d is checkpointed and waits behind shorter work, such as job %s", id.Task, by)
	dispatcher.wake(dispatcher.fleet.Worker(run.Worker))
}

// place starts what fits and names work to preempt.
func (dispatcher *Dispatcher) place(now time.Time) {
	result := dispatcher.allocator.Pass(now)
	for _, placement := range result.Placements {
		job := dispatcher.jobs[placement.Work.ID]
		job.Reason = ""
		dispatcher.begin(now, job, placement.Run, dispatcher.fleet.Worker(placement.Worker))
	}
	for _, refusal := range result.Refusals {
		job := dispatcher.jobs[refusal.Job]
		if job.Wait(refusal.Reason) {
			dispatcher.note(now, job, "Waiting", "%s", refusal.Reason)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(result.Preempt), watcher.CompareRuns) {
		dispatcher.preempt(now, id, result.Preempt[id])
	}
}

func (dispatcher *Dispatcher) preempt(now time.Time, id descriptor.RunID, by descriptor.JobID) {
	job := dispatcher.jobs[id.Job]
	if job == nil {
		return
	}
	run := job.Tasks[id.Task].Run
	if run == nil || run.ID != id || run.Phase != arbiter.PhaseRunning || run.Stop || run.Checkpoint {
		return
	}
	run.Checkpoint = true
	dispatcher.note(now, job, "Preempted", "task %d is checkpointed to make room for job %s", id.Task, by)
	dispatcher.wake(dispatcher.fleet.Worker(run.Worker))
}
