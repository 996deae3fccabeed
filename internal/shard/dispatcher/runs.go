package dispatcher

import (
	"fmt"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/monitor"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// beginRun records the intent to start a run that the allocator placed. The run becomes ready to start
// when the record is durable.
func (dispatcher *Dispatcher) beginRun(now time.Time, job *arbiter.Job, id descriptor.RunID, worker *monitor.Worker) {
	run := &arbiter.Run{
		ID:          id,
		Job:         job,
		Worker:      worker.ID,
		Incarnation: worker.Incarnation,
		Allocated:   true,
	}
	dispatcher.attachRun(run)
	dispatcher.addDecision(now, job, "Placed", "task %d, attempt %d: placed on %s", id.Task, id.Attempt, worker.ID)
	dispatcher.outbox.Record(recorder.RunIntended(id, worker.ID, worker.Incarnation, now), func(now time.Time) {
		run.Phase = arbiter.PhaseReady
		if worker.Unresponsive {
			dispatcher.stopRun(now, run, "the worker does not answer")
		}
		dispatcher.requestSync(worker)
	})
}

// attachRun makes a run the current one of its task and adds it to its worker.
func (dispatcher *Dispatcher) attachRun(run *arbiter.Run) {
	task := run.Task()
	task.State, task.Run, task.Worker = arbiter.TaskActive, run, run.Worker
	run.Job.QueuedJob.Attempts[run.ID.Task] = run.ID.Attempt
	dispatcher.fleet.Worker(run.Worker).Runs[run.ID] = run
}

// stopRun asks the worker of a run to stop it. A run whose start was never sent ends immediately.
func (dispatcher *Dispatcher) stopRun(now time.Time, run *arbiter.Run, reason string) {
	if run.Phase == arbiter.PhaseIntentPending || run.Phase == arbiter.PhaseReady {
		dispatcher.endRun(now, run, executor.RunResult{
			Outcome: recorder.OutcomeNotStarted,
			Reason:  reason,
		})
		return
	}
	run.Stop = true
	dispatcher.requestSync(dispatcher.fleet.Worker(run.Worker))
}

// endRun releases the capacity of a run, records its end and updates its task.
func (dispatcher *Dispatcher) endRun(now time.Time, run *arbiter.Run, result executor.RunResult) {
	if run.Ended {
		return
	}
	run.Ended = true
	result.Run = run.ID
	if result.Outcome == executor.OutcomeStopped && result.Started.IsZero() {
		// A worker that receives a stop before the start remembers it and never starts the run.
		result.Outcome = recorder.OutcomeNotStarted
	}
	if result.Outcome == recorder.OutcomeLost && result.Started.IsZero() {
		// The worker reported the start before the run was lost. The record must contain it, because a new
		// owner has no other source for it.
		result.Started = run.StartedAt
	}
	worker := dispatcher.fleet.Worker(run.Worker)
	delete(worker.Runs, run.ID)
	if run.Allocated {
		dispatcher.allocator.Release(run.Job.QueuedJob, run.ID)
	}
	dispatcher.schedulingDue = true
	dispatcher.recordStatistics(now, run, result)
	dispatcher.recordResult(now, run.Job, worker, result)
}

// recordStatistics updates the statistics of the allocator. Only runs that succeeded or failed count.
func (dispatcher *Dispatcher) recordStatistics(now time.Time, run *arbiter.Run, result executor.RunResult) {
	switch result.Outcome {
	case executor.OutcomeDone, executor.OutcomeFailed:
		failed := result.Outcome == executor.OutcomeFailed
		dispatcher.allocator.RecordRunEnd(now, run.Job.QueuedJob, run.Worker, result.Peak, result.Ended.Sub(result.Started), failed)
	}
}

// recordResult records the result of a run and applies it to the task. The worker may forget the run once
// the record is durable.
func (dispatcher *Dispatcher) recordResult(now time.Time, job *arbiter.Job, worker *monitor.Worker, result executor.RunResult) {
	id := result.Run
	task := &job.Tasks[id.Task]
	task.Run = nil
	worker.EndedRuns[id] = false
	dispatcher.outbox.Record(recorder.RunEnded(result), func(time.Time) {
		worker.EndedRuns[id] = true
		dispatcher.requestSync(worker)
	})
	if recorder.CountsAsFailure(result.Outcome) {
		task.Failures++
	}
	text := fmt.Sprintf("task %d, attempt %d: %s on %s", id.Task, id.Attempt, result.Outcome, worker.ID)
	if result.Reason != "" {
		text += ": " + result.Reason
	}
	dispatcher.addDecision(now, job, string(result.Outcome), "%s", text)
	dispatcher.applyResult(now, job, id.Task, result)
	dispatcher.endIfFinal(now, job)
}

// applyResult updates a task with the result of its run, and then retries the task, or restarts or stops
// its gang, as its new state requires.
func (dispatcher *Dispatcher) applyResult(now time.Time, job *arbiter.Job, index int, result executor.RunResult) {
	job.ApplyResult(index, result)
	task := &job.Tasks[index]
	if result.Outcome == executor.OutcomeFailed {
		job.AvoidWorker(task.Worker)
		job.QueuedJob.RecordFailure(now, index, task.Worker)
	}
	switch {
	case task.State == arbiter.TaskWaiting && job.IsGang():
		dispatcher.restartGang(now, job)
	case task.State == arbiter.TaskWaiting:
		dispatcher.retryTask(now, job, index, result.Outcome)
	case task.State != arbiter.TaskDone && job.IsGang():
		dispatcher.stopGang(now, job)
	}
	if job.Restarting {
		dispatcher.restartGang(now, job)
	}
}

// retryTask queues a task again, after a delay if its run failed, was refused, was lost or ended by itself
// although the job is a service.
func (dispatcher *Dispatcher) retryTask(now time.Time, job *arbiter.Job, index int, outcome executor.Outcome) {
	task := &job.Tasks[index]
	switch outcome {
	case executor.OutcomeFailed, executor.OutcomeRefused, executor.OutcomeDone, recorder.OutcomeLost:
		job.AvoidWorker(task.Worker)
		job.DelayRetry(now, task.Failures)
	default:
		dispatcher.enqueue(job, index)
	}
}

// restartGang stops the members of a gang, and queues all of them together once none is active. If the
// gang must not run again, its waiting members end instead.
func (dispatcher *Dispatcher) restartGang(now time.Time, job *arbiter.Job) {
	if !job.Restarting {
		job.Restarting = true
		dispatcher.stopGang(now, job)
	}
	if !job.Restarting || len(job.TasksInState(arbiter.TaskActive)) > 0 {
		return
	}
	job.Restarting = false
	finalTasks := len(job.TasksInState(arbiter.TaskFailed)) + len(job.TasksInState(arbiter.TaskUnknown))
	if finalTasks > 0 || !job.Repeatable() && job.MayHaveRun() {
		for _, index := range job.TasksInState(arbiter.TaskWaiting) {
			job.Tasks[index].EndWaiting("another member of the gang failed", "another member of the gang failed")
		}
		return
	}
	for i := range job.Tasks {
		job.Tasks[i].State = arbiter.TaskWaiting
		dispatcher.retryTask(now, job, i, executor.OutcomeFailed)
	}
}

// stopGang stops the active members of a gang, which runs as a whole or not at all. Unless the gang is
// being restarted, its waiting members end.
func (dispatcher *Dispatcher) stopGang(now time.Time, job *arbiter.Job) {
	for i := range job.Tasks {
		if run := job.Tasks[i].Run; run != nil && !run.Stop {
			dispatcher.stopRun(now, run, "another member of the gang ended early")
		}
	}
	if job.Restarting {
		return
	}
	for _, index := range job.TasksInState(arbiter.TaskWaiting) {
		job.Tasks[index].EndWaiting("another member of the gang failed", "another member of the gang failed")
	}
}

// endIfFinal records the final fate of a job once none of its tasks can change any more.
func (dispatcher *Dispatcher) endIfFinal(now time.Time, job *arbiter.Job) {
	if job.Ended {
		return
	}
	fate, final := job.FinalFate(now)
	if !final {
		return
	}
	end := descriptor.NewFateRecord(fate)
	end.At = now
	job.Ended = true
	dispatcher.allocator.RemoveFromQueue(job.ID)
	dispatcher.addDecision(now, job, "Ended", "%s: %s", end.Fate, end.Reason)
	dispatcher.outbox.Record(recorder.JobEnded(job.ID, end))
}
