package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

const (
	// sweepInterval is the time between two looks at all jobs.
	sweepInterval = time.Second
	// cleanInterval is the time between two searches for jobs and keys to forget.
	cleanInterval = time.Minute
)

// Tick looks at everything that depends on the time.
func (dispatcher *Dispatcher) Tick(now time.Time) {
	if !dispatcher.loaded {
		return
	}
	dispatcher.allocator.Tick(now)
	for _, worker := range dispatcher.sortedWorkers() {
		dispatcher.tickWorker(now, worker)
	}
	if now.Sub(dispatcher.swept) >= sweepInterval {
		dispatcher.swept = now
		dispatcher.sweep(now)
	}
	if now.Sub(dispatcher.cleaned) >= cleanInterval && dispatcher.authority == signaler.AuthorityAct {
		dispatcher.cleaned = now
		dispatcher.clean(now)
	}
	dispatcher.crowd = true
}

func (dispatcher *Dispatcher) tickWorker(now time.Time, worker *worker) {
	if now.Sub(worker.asked) >= syncInterval {
		dispatcher.due(worker)
	}
	silent := worker.suspect || !worker.reported
	if silent && dispatcher.authority == signaler.AuthorityAct && len(worker.runs) > 0 && dispatcher.recoverer.Gone(worker.id, now) {
		for _, run := range sortedRuns(worker.runs) {
			dispatcher.giveUp(now, run)
		}
	}
	unused := !worker.listed && dispatcher.listed && len(worker.runs) == 0 && !worker.inFlight
	if unused && (silent || len(worker.ends) == 0) {
		delete(dispatcher.workers, worker.id)
		dispatcher.allocator.RemoveWorker(worker.id)
		dispatcher.recoverer.Forget(worker.id)
		dispatcher.crowd = true
	}
}

// giveUp ends a run whose worker's lease has provably lapsed.
func (dispatcher *Dispatcher) giveUp(now time.Time, run *arbiter.Run) {
	if run.Phase == arbiter.PhaseReady || run.Phase == arbiter.PhaseIntending {
		dispatcher.end(now, run, executor.RunResult{
			Outcome: recorder.OutcomeNotStarted,
			Reason:  "the worker was lost before the start was sent",
		})
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
	for _, id := range slices.Sorted(maps.Keys(dispatcher.jobs)) {
		job := dispatcher.jobs[id]
		if job.Ended {
			continue
		}
		if !job.Resume.IsZero() && !now.Before(job.Resume) {
			job.Resume = time.Time{}
			dispatcher.queueAll(job)
		}
		if job.Unchecked && dispatcher.complete() {
			dispatcher.checkPossible(now, job)
		}
		deadline := job.Description().Deadline
		if !deadline.IsZero() && now.After(deadline) && !job.Service() {
			dispatcher.expire(now, job)
		}
		dispatcher.watch(now, job)
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

func (dispatcher *Dispatcher) watch(now time.Time, job *arbiter.Job) {
	if job.Service() {
		return
	}
	for i := range job.Tasks {
		run := job.Tasks[i].Run
		if run == nil || run.Phase != arbiter.PhaseRunning || run.Straggling {
			continue
		}
		if dispatcher.allocator.Straggling(job.Work, now.Sub(run.Since)) {
			run.Straggling = true
			dispatcher.note(now, job, "Straggling", "task %d runs far longer than expected, since %s", i, run.Since.Format(time.RFC3339))
		}
	}
}

// clean forgets jobs and keys that are past their retention.
func (dispatcher *Dispatcher) clean(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(dispatcher.jobs)) {
		durable := dispatcher.durable.Jobs[id]
		if durable == nil || !durable.Ended() || now.Sub(durable.End.At) <= registrar.Retention {
			continue
		}
		delete(dispatcher.jobs, id)
		dispatcher.outbox.Record(recorder.JobForgotten(id))
	}
	for _, id := range dispatcher.durable.Keys.Expired(dispatcher.shard, now) {
		dispatcher.outbox.Record(recorder.JobForgotten(id))
	}
}

// place starts what fits and names work to preempt.
func (dispatcher *Dispatcher) place(now time.Time) {
	result := dispatcher.allocator.Pass(now)
	for _, placement := range result.Placements {
		job := dispatcher.jobs[placement.Work.ID]
		job.Reason = ""
		dispatcher.begin(now, job, placement.Run, dispatcher.workers[placement.Worker])
	}
	for _, refusal := range result.Refusals {
		dispatcher.explainWait(now, dispatcher.jobs[refusal.Job], refusal)
	}
	for _, id := range slices.SortedFunc(maps.Keys(result.Preempt), compareRuns) {
		dispatcher.preempt(now, id, result.Preempt[id])
	}
}

// explainWait notes a reason in the trail only when its kind changes; its numbers change all the time.
func (dispatcher *Dispatcher) explainWait(now time.Time, job *arbiter.Job, refusal allocator.Refusal) {
	kind := func(reason string) string {
		before, _, _ := strings.Cut(reason, ":")
		return before
	}
	if kind(job.Reason) != kind(refusal.Reason) {
		dispatcher.note(now, job, "Waiting", "%s", refusal.Reason)
	}
	job.Reason = refusal.Reason
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
	dispatcher.wake(dispatcher.worker(run.Worker))
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

func sortedRuns(runs map[descriptor.RunID]*arbiter.Run) []*arbiter.Run {
	sorted := make([]*arbiter.Run, 0, len(runs))
	for _, id := range slices.SortedFunc(maps.Keys(runs), compareRuns) {
		sorted = append(sorted, runs[id])
	}
	return sorted
}

func (dispatcher *Dispatcher) sortedWorkers() []*worker {
	sorted := make([]*worker, 0, len(dispatcher.workers))
	for _, id := range slices.Sorted(maps.Keys(dispatcher.workers)) {
		sorted = append(sorted, dispatcher.workers[id])
	}
	return sorted
}
