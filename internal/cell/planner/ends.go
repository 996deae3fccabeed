package planner

import (
	"time"

	"pomelomoor/internal/cell/describer"
)

// takeEnd takes one end of a worker's list.
func (planner *Planner) takeEnd(now time.Time, worker *worker, end describer.End) {
	if end.Number <= worker.handled {
		return
	}
	worker.handled = end.Number
	job := planner.jobs[end.Task.Job]
	unseen := unseenEnd{
		number: end.Number,
		job:    job,
	}
	if run := worker.runs[end.Task]; run != nil && run.number == end.Run {
		planner.endRun(now, run, end)
	}
	if job != nil {
		unseen.generation = job.generation
	}
	worker.unseen = append(worker.unseen, unseen)
}

// endRun applies the outcome of a run to its task.
func (planner *Planner) endRun(now time.Time, run *run, end describer.End) {
	planner.detach(run)
	task := run.task
	step := task.step
	planner.emit(Event{
		Kind:   EventRunEnded,
		Job:    step.job.ID,
		Task:   end.Task.String(),
		Run:    run.number,
		Worker: run.worker.id,
		Detail: end.Outcome.String(),
		Age:    now.Sub(run.placed),
	})
	planner.learn(now, run, end.Outcome)
	step.job.begin()
	if task.active != run {
		return
	}
	if end.Checkpoint != "" {
		task.checkpoint = end.Checkpoint
	}
	planner.touch(step.job)
	if end.Outcome == describer.OutcomeDone && !step.Perpetual {
		planner.complete(now, task)
		return
	}
	task.active = nil
	task.state = taskWaiting
	step.unplaced++
	if end.Outcome == describer.OutcomeFailed && !step.Perpetual {
		planner.countFailure(now, run)
	}
	if step.job.state.Final() {
		return
	}
	if step.Gang {
		planner.breakGang(now, step, run.number, end.Outcome.String())
	}
	planner.enqueue(step)
}

// countFailure fails the job when a task or a gang has failed as often as its queue allows.
func (planner *Planner) countFailure(now time.Time, run *run) {
	task := run.task
	step := task.step
	planner.stats.Failed++
	var failures int
	if step.Gang {
		if run.number > step.failedRun {
			step.failedRun = run.number
			step.gangFailures++
		}
		failures = step.gangFailures
	} else {
		task.failures++
		failures = task.failures
	}
	if most := step.job.policy.MostAttempts; most > 0 && failures >= most {
		planner.finish(now, step.job, describer.JobFailed, "task "+run.id().String()+" failed too often")
	}
}

// complete marks a task as done, and all of a gang, whose members end together.
func (planner *Planner) complete(now time.Time, task *task) {
	if task.step.Gang {
		for _, member := range task.step.tasks {
			planner.markDone(member)
		}
	} else {
		planner.markDone(task)
	}
	planner.settle(now, task.step.job)
}

// markDone marks a task as done and opens the steps that waited for its step.
func (planner *Planner) markDone(task *task) {
	step := task.step
	if task.state == taskDone {
		return
	}
	if task.state == taskWaiting {
		step.unplaced--
	}
	task.state = taskDone
	task.active = nil
	task.checkpoint = ""
	step.undone--
	if step.undone > 0 {
		return
	}
	delete(planner.waiting, step)
	occurrence := step.occurrence
	occurrence.undone--
	for _, later := range occurrence.steps {
		for _, earlier := range later.After {
			if earlier == step.index {
				later.blockers--
			}
		}
		planner.enqueue(later)
	}
}

// settle closes the occurrences that are done, and the job with the last of them.
func (planner *Planner) settle(now time.Time, job *job) {
	for number, occurrence := range job.occurrences {
		if occurrence.undone == 0 {
			delete(job.occurrences, number)
			job.completed++
		}
	}
	if job.completed == job.Occurrences() && !job.state.Final() {
		planner.finish(now, job, describer.JobCompleted, "all tasks are done")
	}
}
