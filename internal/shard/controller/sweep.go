package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/work/descriptor"
)

const (
	// sweepInterval is the time between two looks at all jobs.
	sweepInterval = time.Second
	// cleanInterval is the time between two searches for jobs and keys to forget.
	cleanInterval = time.Minute
)

func (controller *Controller) tick(now time.Time) {
	if !controller.loaded {
		return
	}
	controller.allocator.Tick(now)
	for _, worker := range controller.sortedWorkers() {
		controller.tickWorker(now, worker)
	}
	if now.Sub(controller.swept) >= sweepInterval {
		controller.swept = now
		controller.sweep(now)
	}
	if now.Sub(controller.cleaned) >= cleanInterval && controller.authority == AuthorityAct {
		controller.cleaned = now
		controller.clean(now)
	}
	controller.crowd = true
}

func (controller *Controller) tickWorker(now time.Time, worker *worker) {
	if now.Sub(worker.asked) >= syncInterval {
		controller.due(worker)
	}
	silent := worker.suspect || !worker.reported
	if silent && controller.authority == AuthorityAct && len(worker.runs) > 0 && controller.recoverer.Gone(worker.id, now) {
		for _, run := range sortedRuns(worker.runs) {
			controller.giveUp(now, run)
		}
	}
	unused := !worker.listed && controller.listed && len(worker.runs) == 0 && !worker.inFlight
	if unused && (silent || len(worker.ends) == 0) {
		delete(controller.workers, worker.id)
		controller.allocator.RemoveWorker(worker.id)
		controller.recoverer.Forget(worker.id)
		controller.crowd = true
	}
}

// giveUp ends a run whose worker's lease has provably lapsed.
func (controller *Controller) giveUp(now time.Time, run *run) {
	if run.phase == phaseReady || run.phase == phaseIntending {
		controller.end(now, run, executor.RunResult{
			Outcome: recorder.OutcomeNotStarted,
			Reason:  "the worker was lost before the start was sent",
		})
		return
	}
	controller.lose(now, run, "the worker was lost and its lease has lapsed")
}

// sweep looks at the times of all jobs: pauses that are over, deadlines that have passed, runs that
// last too long.
func (controller *Controller) sweep(now time.Time) {
	if controller.authority != AuthorityAct {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(controller.jobs)) {
		job := controller.jobs[id]
		if job.ended {
			continue
		}
		if !job.resume.IsZero() && !now.Before(job.resume) {
			job.resume = time.Time{}
			controller.queueAll(job)
		}
		if job.unchecked && controller.complete() {
			controller.checkPossible(now, job)
		}
		deadline := job.description().Deadline
		if !deadline.IsZero() && now.After(deadline) && !job.service() {
			controller.expire(now, job)
		}
		controller.watch(now, job)
	}
}

// checkPossible ends a job that no worker could ever hold. It looks once: a job that was possible
// waits for its workers to come back.
func (controller *Controller) checkPossible(now time.Time, job *job) {
	job.unchecked = false
	reason := controller.allocator.Impossible(now, job.work)
	if reason == "" || job.ran() || len(job.inState(taskWaiting)) < len(job.tasks) {
		return
	}
	for i := range job.tasks {
		job.tasks[i].drop("the job can never run: "+reason, reason)
	}
	controller.settle(now, job)
}

// expire ends the waiting tasks of a job whose deadline has passed. Runs in progress go on.
func (controller *Controller) expire(now time.Time, job *job) {
	waiting := job.inState(taskWaiting)
	if len(waiting) == 0 || job.restarting {
		return
	}
	controller.allocator.Unqueue(job.id)
	controller.note(now, job, "Expired", "the deadline passed while %d tasks were waiting", len(waiting))
	for _, index := range waiting {
		job.tasks[index].drop("the deadline passed before the task started", "the deadline passed between two attempts")
	}
	controller.settle(now, job)
}

func (controller *Controller) watch(now time.Time, job *job) {
	if job.service() {
		return
	}
	for i := range job.tasks {
		run := job.tasks[i].run
		if run == nil || run.phase != phaseRunning || run.straggling {
			continue
		}
		if controller.allocator.Straggling(job.work, now.Sub(run.since)) {
			run.straggling = true
			controller.note(now, job, "Straggling", "task %d runs far longer than expected, since %s", i, run.since.Format(time.RFC3339))
		}
	}
}

// clean forgets jobs and keys that are past their retention.
func (controller *Controller) clean(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(controller.jobs)) {
		durable := controller.durable.Jobs[id]
		if durable == nil || !durable.Ended() || now.Sub(durable.End.At) <= registrar.Retention {
			continue
		}
		delete(controller.jobs, id)
		controller.record(recorder.JobForgotten(id))
	}
	for _, id := range controller.durable.Keys.Expired(controller.shard, now) {
		controller.record(recorder.JobForgotten(id))
	}
}

// place starts what fits and names work to preempt.
func (controller *Controller) place(now time.Time) {
	result := controller.allocator.Pass(now)
	for _, placement := range result.Placements {
		job := controller.jobs[placement.Work.ID]
		job.reason = ""
		controller.begin(now, job, placement.Run, controller.workers[placement.Worker])
	}
	for _, refusal := range result.Refusals {
		controller.explainWait(now, controller.jobs[refusal.Job], refusal)
	}
	for _, id := range slices.SortedFunc(maps.Keys(result.Preempt), compareRuns) {
		controller.preempt(now, id, result.Preempt[id])
	}
}

// explainWait notes a reason in the trail only when its kind changes; its numbers change all the time.
func (controller *Controller) explainWait(now time.Time, job *job, refusal allocator.Refusal) {
	kind := func(reason string) string {
		before, _, _ := strings.Cut(reason, ":")
		return before
	}
	if kind(job.reason) != kind(refusal.Reason) {
		controller.note(now, job, "Waiting", "%s", refusal.Reason)
	}
	job.reason = refusal.Reason
}

func (controller *Controller) preempt(now time.Time, id descriptor.RunID, by descriptor.JobID) {
	job := controller.jobs[id.Job]
	if job == nil {
		return
	}
	run := job.tasks[id.Task].run
	if run == nil || run.id != id || run.phase != phaseRunning || run.stop || run.checkpoint {
		return
	}
	run.checkpoint = true
	controller.note(now, job, "Preempted", "task %d is checkpointed to make room for job %s", id.Task, by)
	controller.wake(run.worker)
}

func compareRuns(one, other descriptor.RunID) int {
	return cmp.Or(
		cmp.Compare(one.Job, other.Job),
		cmp.Compare(one.Task, other.Task),
		cmp.Compare(one.Attempt, other.Attempt),
	)
}

func sortRuns(ids []descriptor.RunID) {
	slices.SortFunc(ids, compareRuns)
}

func sortedRuns(runs map[descriptor.RunID]*run) []*run {
	sorted := make([]*run, 0, len(runs))
	for _, id := range slices.SortedFunc(maps.Keys(runs), compareRuns) {
		sorted = append(sorted, runs[id])
	}
	return sorted
}

func (controller *Controller) sortedWorkers() []*worker {
	sorted := make([]*worker, 0, len(controller.workers))
	for _, id := range slices.Sorted(maps.Keys(controller.workers)) {
		sorted = append(sorted, controller.workers[id])
	}
	return sorted
}
