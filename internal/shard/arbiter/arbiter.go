// Package arbiter holds the live view of jobs, tasks and runs and decides what an outcome makes of
// them. Its decisions depend on the records only, so that a new owner comes to the same ones.
package arbiter

import (
	"fmt"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// Job is the live view of a job.
type Job struct {
	ID    descriptor.JobID
	Work  *allocator.Work
	Tasks []Task
	// Unchecked tells that the job was accepted before all workers were known.
	Unchecked bool
	// Held is true while a policy keeps the job waiting.
	Held      bool
	Cancelled bool
	// Restarting is set while the members of a gang are being stopped to start again together.
	Restarting bool
	// Ended is set when the final fate is recorded.
	Ended bool
	// Resume is when a job that failed may be queued again; zero means at once.
	Resume time.Time
	// Reason tells what the waiting tasks wait for.
	Reason string
	Trail  []descriptor.Decision
}

// TaskState is the live state of a task.
type TaskState int

// The states of a task.
const (
	TaskWaiting TaskState = iota
	// TaskLive has a run that may be in progress.
	TaskLive
	TaskDone
	TaskFailed
	// TaskUnknown had a run that may have happened and that must not be repeated.
	TaskUnknown
	TaskNotRun
)

// Task is the live view of a task.
type Task struct {
	State TaskState
	// Run is nil unless the state is TaskLive.
	Run *Run
	// Worker is that of the latest run.
	Worker   descriptor.WorkerID
	Failures int
	// Ran tells that some run started, or may have.
	Ran bool
	// Lost tells that the state was TaskUnknown. Such a task is never started again.
	Lost       bool
	Checkpoint string
	Reason     string
}

// Phase is how far a run has come.
type Phase int

// The phases of a run.
const (
	// PhaseIntending means that the intent is not durable yet.
	PhaseIntending Phase = iota
	// PhaseReady means that the start was not sent yet.
	PhaseReady
	// PhaseSent means that the start was sent and the worker has not reported since.
	PhaseSent
	// PhaseUnsure means that an earlier owner may have sent the start.
	PhaseUnsure
	// PhaseRunning means that the worker reported the run.
	PhaseRunning
)

// Run is a run that may be in progress.
type Run struct {
	ID          descriptor.RunID
	Job         *Job
	Worker      descriptor.WorkerID
	Incarnation string
	Phase       Phase
	Since       time.Time
	// Sent is the time of the only message that carries the start.
	Sent time.Time
	// Reserved tells that the allocator counts the run.
	Reserved   bool
	Stop       bool
	Checkpoint bool
	Straggling bool
	Ended      bool
}

// Description returns what the caller asked for.
func (job *Job) Description() *descriptor.Job {
	return job.Work.Job
}

// Service reports whether the job runs until it is cancelled.
func (job *Job) Service() bool {
	return job.Work.Job.Kind == descriptor.KindService
}

// Gang reports whether all tasks have to run at the same time.
func (job *Job) Gang() bool {
	return job.Work.Job.Kind == descriptor.KindGang
}

// Repeatable reports whether a task may run again when an earlier run may have happened.
func (job *Job) Repeatable() bool {
	return job.Work.Job.Idempotent || job.Service()
}

// InState returns the tasks in a state.
func (job *Job) InState(state TaskState) []int {
	var found []int
	for i := range job.Tasks {
		if job.Tasks[i].State == state {
			found = append(found, i)
		}
	}
	return found
}

// Drop ends a waiting task. The first reason is for a task that never ran, the other one for a task
// whose earlier runs failed.
func (task *Task) Drop(notRun, failed string) {
	task.State, task.Reason = TaskNotRun, notRun
	if task.Ran {
		task.State, task.Reason = TaskFailed, failed
	}
}

// Task returns the task of the run.
func (run *Run) Task() *Task {
	return &run.Job.Tasks[run.ID.Task]
}

// Apply changes the state of a task by the outcome of its run.
func (job *Job) Apply(index int, result executor.RunResult) {
	task := &job.Tasks[index]
	task.Ran = task.Ran || recorder.Started(result.Outcome)
	task.Reason = fmt.Sprintf("%s on %s", result.Outcome, task.Worker)
	if result.Reason != "" {
		task.Reason = result.Reason
	}
	if result.Outcome == executor.OutcomeCheckpointed {
		task.Checkpoint = result.Checkpoint
	}
	task.State = job.next(task, result.Outcome)
	task.Lost = task.Lost || task.State == TaskUnknown
}

// Fate returns the final fate of the job, and false while some task can still change.
func (job *Job) Fate(now time.Time) (descriptor.Fate, bool) {
	var count [TaskNotRun + 1]int
	var reason string
	for i := range job.Tasks {
		task := &job.Tasks[i]
		count[task.State]++
		if reason == "" && (task.State == TaskFailed || task.State == TaskNotRun) {
			reason = task.Reason
		}
	}
	if count[TaskWaiting]+count[TaskLive]+count[TaskUnknown] > 0 {
		return nil, false
	}
	switch len(job.Tasks) {
	case count[TaskDone]:
		return descriptor.Done{
			At: now,
		}, true
	case count[TaskNotRun]:
		return descriptor.NotRun{
			Reason: reason,
		}, true
	default:
		return descriptor.Failed{
			At:     now,
			Reason: reason,
		}, true
	}
}

const (
	maxTrail  = 48
	keptTrail = 8
)

// Note adds a decision to the trail. The first ones and the latest ones are kept.
func (job *Job) Note(now time.Time, code, format string, args ...any) descriptor.Decision {
	decision := descriptor.Decision{
		At:   now,
		Code: code,
		Text: fmt.Sprintf(format, args...),
	}
	if len(job.Trail) == maxTrail {
		copy(job.Trail[keptTrail:], job.Trail[keptTrail+1:])
		job.Trail = job.Trail[:maxTrail-1]
	}
	job.Trail = append(job.Trail, decision)
	return decision
}

// next returns the state of a task after its run had this outcome.
func (job *Job) next(task *Task, outcome executor.Outcome) TaskState {
	switch {
	case task.Lost && !recorder.Started(outcome), job.Cancelled && !task.Ran:
		return TaskNotRun
	case job.Cancelled && job.Service():
		return TaskDone
	case outcome == executor.OutcomeDone && !job.Service():
		return TaskDone
	case outcome == recorder.OutcomeLost && (job.Cancelled || !job.Repeatable()):
		return TaskUnknown
	case job.Cancelled:
		return TaskFailed
	case job.Service():
		return TaskWaiting
	case !recorder.Started(outcome):
		return job.unstarted()
	case task.Lost, !job.Repeatable():
		return TaskFailed
	case task.Failures < job.Work.Treatment.MaxAttempts:
		return TaskWaiting
	case outcome == recorder.OutcomeLost:
		return TaskUnknown
	default:
		return TaskFailed
	}
}

// unstarted is the state of a task whose run never started. The other members of a gang may have
// started, and those of a gang that can't be repeated must not start again.
func (job *Job) unstarted() TaskState {
	if job.Gang() && !job.Repeatable() && job.Ran() {
		return TaskNotRun
	}
	return TaskWaiting
}

// Ran reports whether some task has started, or may have.
func (job *Job) Ran() bool {
	for i := range job.Tasks {
		if job.Tasks[i].Ran {
			return true
		}
	}
	return false
}

// Avoid has other workers preferred to one on which a run failed.
func (job *Job) Avoid(worker descriptor.WorkerID) {
	for _, avoided := range job.Work.Avoid {
		if avoided == worker {
			return
		}
	}
	job.Work.Avoid = append(job.Work.Avoid, worker)
	job.Work.Avoid = job.Work.Avoid[max(0, len(job.Work.Avoid)-maxAvoided):]
}

const maxAvoided = 8

// Close sets the tasks of an ended job that never got a run.
func (job *Job) Close(end descriptor.FateRecord) {
	for _, index := range job.InState(TaskWaiting) {
		job.Tasks[index].Drop(end.Reason, end.Reason)
	}
}
