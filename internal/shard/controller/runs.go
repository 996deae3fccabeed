package controller

import (
	"fmt"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

type taskState int

const (
	taskWaiting taskState = iota
	// taskLive has a run that may be in progress.
	taskLive
	taskDone
	taskFailed
	// taskUnknown had a run that may have happened and that must not be repeated.
	taskUnknown
	taskNotRun
)

// task is the live view of a task.
type task struct {
	state taskState
	run   *run
	// worker is that of the latest run.
	worker   descriptor.WorkerID
	failures int
	// ran tells that some run started.
	ran bool
	// lost tells that the state was Unknown. Such a task is never started again.
	lost       bool
	checkpoint string
	reason     string
}

// drop ends a waiting task.
func (task *task) drop(notRun, failed string) {
	task.state, task.reason = taskNotRun, notRun
	if task.ran {
		task.state, task.reason = taskFailed, failed
	}
}

func (job *job) inState(state taskState) []int {
	var found []int
	for i := range job.tasks {
		if job.tasks[i].state == state {
			found = append(found, i)
		}
	}
	return found
}

type phase int

const (
	// phaseIntending means that the intent is not durable yet.
	phaseIntending phase = iota
	// phaseReady means that the start was not sent yet.
	phaseReady
	// phaseSent means that the start was sent and the worker has not reported since.
	phaseSent
	// phaseUnsure means that an earlier owner may have sent the start.
	phaseUnsure
	phaseRunning
)

// run is a run that may be in progress.
type run struct {
	id          descriptor.RunID
	job         *job
	worker      *worker
	incarnation string
	phase       phase
	since       time.Time
	// sent is the time of the only message that carries the start.
	sent time.Time
	// reserved tells that the allocator counts the run.
	reserved   bool
	stop       bool
	checkpoint bool
	straggling bool
	ended      bool
}

func (run *run) task() *task {
	return &run.job.tasks[run.id.Task]
}

// begin records the intent of a run that the allocator placed.
func (controller *Controller) begin(now time.Time, job *job, id descriptor.RunID, worker *worker) {
	run := &run{
		id:          id,
		job:         job,
		worker:      worker,
		incarnation: worker.incarnation,
		reserved:    true,
	}
	controller.attach(run)
	controller.note(now, job, "Placed", "task %d, attempt %d: placed on %s", id.Task, id.Attempt, worker.id)
	controller.record(recorder.RunIntended(id, worker.id, worker.incarnation, now), func(now time.Time) {
		run.phase = phaseReady
		if worker.suspect {
			controller.stop(now, run, "the worker does not answer")
		}
		controller.wake(worker)
	})
}

func (controller *Controller) attach(run *run) {
	task := run.task()
	task.state, task.run, task.worker = taskLive, run, run.worker.id
	run.job.work.Attempts[run.id.Task] = run.id.Attempt
	run.worker.runs[run.id] = run
}

// stop ends a run. One whose start was never sent ends at once.
func (controller *Controller) stop(now time.Time, run *run, reason string) {
	if run.phase == phaseIntending || run.phase == phaseReady {
		controller.end(now, run, executor.RunResult{
			Outcome: recorder.OutcomeNotStarted,
			Reason:  reason,
		})
		return
	}
	run.stop = true
	controller.wake(run.worker)
}

// end records the end of a run and decides what becomes of its task.
func (controller *Controller) end(now time.Time, run *run, result executor.RunResult) {
	if run.ended {
		return
	}
	run.ended = true
	result.Run = run.id
	if result.Outcome == executor.OutcomeStopped && result.Started.IsZero() {
		// The worker notes a stop that comes before the start and then never starts the run.
		result.Outcome = recorder.OutcomeNotStarted
	}
	delete(run.worker.runs, run.id)
	if run.reserved {
		controller.allocator.Release(run.job.work, run.id)
	}
	controller.crowd = true
	controller.learn(now, run, result)
	controller.conclude(now, run.job, run.worker, result)
}

func (controller *Controller) learn(now time.Time, run *run, result executor.RunResult) {
	switch result.Outcome {
	case executor.OutcomeDone, executor.OutcomeFailed:
		failed := result.Outcome == executor.OutcomeFailed
		controller.allocator.Report(now, run.job.work, run.worker.id, result.Peak, result.Ended.Sub(result.Started), failed)
	}
}

// conclude records an outcome and applies it to the live task. The worker may forget the run as soon
// as the record is durable.
func (controller *Controller) conclude(now time.Time, job *job, worker *worker, result executor.RunResult) {
	id := result.Run
	task := &job.tasks[id.Task]
	task.run = nil
	worker.ends[id] = false
	controller.record(recorder.RunEnded(result), func(time.Time) {
		worker.ends[id] = true
		controller.wake(worker)
	})
	if recorder.Counts(result.Outcome) {
		task.failures++
	}
	text := fmt.Sprintf("task %d, attempt %d: %s on %s", id.Task, id.Attempt, result.Outcome, worker.id)
	if result.Reason != "" {
		text += ": " + result.Reason
	}
	controller.note(now, job, string(result.Outcome), "%s", text)
	controller.apply(now, job, id.Task, result)
	controller.settle(now, job)
}

// apply decides the state of a task after a run. It depends on the records only, so that a new owner
// comes to the same state.
func (controller *Controller) apply(now time.Time, job *job, index int, result executor.RunResult) {
	task := &job.tasks[index]
	task.ran = task.ran || recorder.Started(result.Outcome)
	task.reason = fmt.Sprintf("%s on %s", result.Outcome, task.worker)
	if result.Reason != "" {
		task.reason = result.Reason
	}
	if result.Outcome == executor.OutcomeCheckpointed {
		task.checkpoint = result.Checkpoint
	}
	task.state = job.next(task, result.Outcome)
	task.lost = task.lost || task.state == taskUnknown
	switch {
	case task.state == taskWaiting && job.gang():
		controller.restart(now, job)
	case task.state == taskWaiting:
		controller.repeat(now, job, index, result.Outcome)
	case task.state != taskDone && job.gang():
		controller.stopGang(now, job)
	}
	if job.restarting {
		controller.restart(now, job)
	}
}

// next returns the state of a task after its run had this outcome.
func (job *job) next(task *task, outcome executor.Outcome) taskState {
	switch {
	case task.lost && !recorder.Started(outcome), job.cancelled && !task.ran:
		return taskNotRun
	case job.cancelled && job.service():
		return taskDone
	case outcome == executor.OutcomeDone && !job.service():
		return taskDone
	case outcome == recorder.OutcomeLost && (job.cancelled || !job.repeatable()):
		return taskUnknown
	case job.cancelled:
		return taskFailed
	case job.service():
		return taskWaiting
	case !recorder.Started(outcome):
		return job.unstarted()
	case task.lost, !job.repeatable():
		return taskFailed
	case task.failures < job.work.Treatment.MaxAttempts:
		return taskWaiting
	case outcome == recorder.OutcomeLost:
		return taskUnknown
	default:
		return taskFailed
	}
}

// unstarted is the state of a task whose run never started. The other members of a gang may have
// started, and those of a gang that can't be repeated must not start again.
func (job *job) unstarted() taskState {
	if job.gang() && !job.repeatable() && job.ran() {
		return taskNotRun
	}
	return taskWaiting
}

func (job *job) ran() bool {
	for i := range job.tasks {
		if job.tasks[i].ran {
			return true
		}
	}
	return false
}

// repeat queues a task again, after a pause if it failed or was refused.
func (controller *Controller) repeat(now time.Time, job *job, index int, outcome executor.Outcome) {
	task := &job.tasks[index]
	switch outcome {
	case executor.OutcomeFailed, executor.OutcomeRefused, executor.OutcomeDone, recorder.OutcomeLost:
		job.avoid(task.worker)
		pause := minPause << min(task.failures, maxDoublings)
		if resume := now.Add(pause); resume.After(job.resume) {
			job.resume = resume
		}
	default:
		controller.queue(job, index)
	}
}

const (
	minPause     = 250 * time.Millisecond
	maxDoublings = 8
	maxAvoided   = 8
)

func (job *job) avoid(worker descriptor.WorkerID) {
	for _, avoided := range job.work.Avoid {
		if avoided == worker {
			return
		}
	}
	job.work.Avoid = append(job.work.Avoid, worker)
	job.work.Avoid = job.work.Avoid[max(0, len(job.work.Avoid)-maxAvoided):]
}

// restart stops the members of a gang and queues all of them together when none is left.
func (controller *Controller) restart(now time.Time, job *job) {
	if !job.restarting {
		job.restarting = true
		controller.stopGang(now, job)
	}
	if !job.restarting || len(job.inState(taskLive)) > 0 {
		return
	}
	job.restarting = false
	final := len(job.inState(taskFailed)) + len(job.inState(taskUnknown))
	if final > 0 || !job.repeatable() && job.ran() {
		for _, index := range job.inState(taskWaiting) {
			job.tasks[index].drop("another member of the gang failed", "another member of the gang failed")
		}
		return
	}
	for i := range job.tasks {
		job.tasks[i].state = taskWaiting
		controller.repeat(now, job, i, executor.OutcomeFailed)
	}
}

// stopGang stops the members in progress, because a gang runs as a whole or not at all.
func (controller *Controller) stopGang(now time.Time, job *job) {
	for i := range job.tasks {
		if run := job.tasks[i].run; run != nil && !run.stop {
			controller.stop(now, run, "another member of the gang ended early")
		}
	}
	if job.restarting {
		return
	}
	for _, index := range job.inState(taskWaiting) {
		job.tasks[index].drop("another member of the gang failed", "another member of the gang failed")
	}
}

// settle records the final fate of a job when none of its tasks can change any more.
func (controller *Controller) settle(now time.Time, job *job) {
	if job.ended {
		return
	}
	var count [taskNotRun + 1]int
	var reason string
	for i := range job.tasks {
		task := &job.tasks[i]
		count[task.state]++
		if reason == "" && (task.state == taskFailed || task.state == taskNotRun) {
			reason = task.reason
		}
	}
	if count[taskWaiting]+count[taskLive]+count[taskUnknown] > 0 {
		return
	}
	var fate descriptor.Fate = descriptor.Failed{
		At:     now,
		Reason: reason,
	}
	switch len(job.tasks) {
	case count[taskDone]:
		fate = descriptor.Done{
			At: now,
		}
	case count[taskNotRun]:
		fate = descriptor.NotRun{
			Reason: reason,
		}
	}
	end := descriptor.Record(fate)
	end.At = now
	job.ended = true
	controller.allocator.Unqueue(job.id)
	controller.note(now, job, "Ended", "%s: %s", end.Fate, end.Reason)
	controller.record(recorder.JobEnded(job.id, end))
}
