package dispatcher

import (
	"fmt"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/watcher"
	"pomelomoor/internal/work/descriptor"
)

// begin records the intent of a run that the allocator placed.
func (dispatcher *Dispatcher) begin(now time.Time, job *arbiter.Job, id descriptor.RunID, worker *watcher.Worker) {
	run := &arbiter.Run{
		ID:          id,
		Job:         job,
		Worker:      worker.ID,
		Incarnation: worker.Incarnation,
		Reserved:    true,
	}
	dispatcher.attach(run)
	dispatcher.note(now, job, "Placed", "task %d, attempt %d: placed on %s", id.Task, id.Attempt, worker.ID)
	dispatcher.outbox.Record(recorder.RunIntended(id, worker.ID, worker.Incarnation, now), func(now time.Time) {
		run.Phase = arbiter.PhaseReady
		if worker.Suspect {
			dispatcher.stop(now, run, "the worker does not answer")
		}
		dispatcher.wake(worker)
	})
}

func (dispatcher *Dispatcher) attach(run *arbiter.Run) {
	task := run.Task()
	task.State, task.Run, task.Worker = arbiter.TaskLive, run, run.Worker
	run.Job.Work.Attempts[run.ID.Task] = run.ID.Attempt
	dispatcher.fleet.Worker(run.Worker).Runs[run.ID] = run
}

// stop ends a run. One whose start was never sent ends at once.
func (dispatcher *Dispatcher) stop(now time.Time, run *arbiter.Run, reason string) {
	if run.Phase == arbiter.PhaseIntending || run.Phase == arbiter.PhaseReady {
		dispatcher.end(now, run, executor.RunResult{
			Outcome: recorder.OutcomeNotStarted,
			Reason:  reason,
		})
		return
	}
	run.Stop = true
	dispatcher.wake(dispatcher.fleet.Worker(run.Worker))
}

// end records the end of a run and decides what becomes of its task.
func (dispatcher *Dispatcher) end(now time.Time, run *arbiter.Run, result executor.RunResult) {
	if run.Ended {
		return
	}
	run.Ended = true
	result.Run = run.ID
	if result.Outcome == executor.OutcomeStopped && result.Started.IsZero() {
		// The worker notes a stop that comes before the start and then never starts the run.
		result.Outcome = recorder.OutcomeNotStarted
	}
	if result.Outcome == recorder.OutcomeLost && result.Started.IsZero() {
		// The start was reported before the run was lost. A new owner learns of it from the record only.
		result.Started = run.Since
	}
	worker := dispatcher.fleet.Worker(run.Worker)
	delete(worker.Runs, run.ID)
	if run.Reserved {
		dispatcher.allocator.Release(run.Job.Work, run.ID)
	}
	dispatcher.placementDue = true
	dispatcher.learn(now, run, result)
	dispatcher.conclude(now, run.Job, worker, result)
}

func (dispatcher *Dispatcher) learn(now time.Time, run *arbiter.Run, result executor.RunResult) {
	switch result.Outcome {
	case executor.OutcomeDone, executor.OutcomeFailed:
		failed := result.Outcome == executor.OutcomeFailed
		dispatcher.allocator.Report(now, run.Job.Work, run.Worker, result.Peak, result.Ended.Sub(result.Started), failed)
	}
}

// conclude records an outcome and applies it to the live task. The worker may forget the run as soon
// as the record is durable.
func (dispatcher *Dispatcher) conclude(now time.Time, job *arbiter.Job, worker *watcher.Worker, result executor.RunResult) {
	id := result.Run
	task := &job.Tasks[id.Task]
	task.Run = nil
	worker.Ends[id] = false
	dispatcher.outbox.Record(recorder.RunEnded(result), func(time.Time) {
		worker.Ends[id] = true
		dispatcher.wake(worker)
	})
	if recorder.Counts(result.Outcome) {
		task.Failures++
	}
	text := fmt.Sprintf("task %d, attempt %d: %s on %s", id.Task, id.Attempt, result.Outcome, worker.ID)
	if result.Reason != "" {
		text += ": " + result.Reason
	}
	dispatcher.note(now, job, string(result.Outcome), "%s", text)
	dispatcher.apply(now, job, id.Task, result)
	dispatcher.settle(now, job)
}

// apply changes a task by the outcome of its run and does what follows from its new state.
func (dispatcher *Dispatcher) apply(now time.Time, job *arbiter.Job, index int, result executor.RunResult) {
	job.Apply(index, result)
	task := &job.Tasks[index]
	if result.Outcome == executor.OutcomeFailed {
		job.Avoid(task.Worker)
		job.Work.Fail(now, index, task.Worker)
	}
	switch {
	case task.State == arbiter.TaskWaiting && job.Gang():
		dispatcher.restart(now, job)
	case task.State == arbiter.TaskWaiting:
		dispatcher.repeat(now, job, index, result.Outcome)
	case task.State != arbiter.TaskDone && job.Gang():
		dispatcher.stopGang(now, job)
	}
	if job.Restarting {
		dispatcher.restart(now, job)
	}
}

// repeat queues a task again, after a pause if it failed or was refused.
func (dispatcher *Dispatcher) repeat(now time.Time, job *arbiter.Job, index int, outcome executor.Outcome) {
	task := &job.Tasks[index]
	switch outcome {
	case executor.OutcomeFailed, executor.OutcomeRefused, executor.OutcomeDone, recorder.OutcomeLost:
		job.Avoid(task.Worker)
		job.Pause(now, task.Failures)
	default:
		dispatcher.queue(job, index)
	}
}

// restart stops the members of a gang and queues all of them together when none is left.
func (dispatcher *Dispatcher) restart(now time.Time, job *arbiter.Job) {
	if !job.Restarting {
		job.Restarting = true
		dispatcher.stopGang(now, job)
	}
	if !job.Restarting || len(job.InState(arbiter.TaskLive)) > 0 {
		return
	}
	job.Restarting = false
	final := len(job.InState(arbiter.TaskFailed)) + len(job.InState(arbiter.TaskUnknown))
	if final > 0 || !job.Repeatable() && job.Ran() {
		for _, index := range job.InState(arbiter.TaskWaiting) {
			job.Tasks[index].Drop("another member of the gang failed", "another member of the gang failed")
		}
		return
	}
	for i := range job.Tasks {
		job.Tasks[i].State = arbiter.TaskWaiting
		dispatcher.repeat(now, job, i, executor.OutcomeFailed)
	}
}

// stopGang stops the members in progress, because a gang runs as a whole or not at all.
func (dispatcher *Dispatcher) stopGang(now time.Time, job *arbiter.Job) {
	for i := range job.Tasks {
		if run := job.Tasks[i].Run; run != nil && !run.Stop {
			dispatcher.stop(now, run, "another member of the gang ended early")
		}
	}
	if job.Restarting {
		return
	}
	for _, index := range job.InState(arbiter.TaskWaiting) {
		job.Tasks[index].Drop("another member of the gang failed", "another member of the gang failed")
	}
}

// settle records the final fate of a job when none of its tasks can change any more.
func (dispatcher *Dispatcher) settle(now time.Time, job *arbiter.Job) {
	if job.Ended {
		return
	}
	fate, final := job.Fate(now)
	if !final {
		return
	}
	end := descriptor.Record(fate)
	end.At = now
	job.Ended = true
	dispatcher.allocator.Unqueue(job.ID)
	dispatcher.note(now, job, "Ended", "%s: %s", end.Fate, end.Reason)
	dispatcher.outbox.Record(recorder.JobEnded(job.ID, end))
}
