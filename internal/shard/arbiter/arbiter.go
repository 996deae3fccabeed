// Package arbiter holds the live view of jobs, tasks and runs and decides what an outcome makes of
// them. Its decisions depend on the records only, so that a new owner comes to the same ones.
package arbiter

import (
	"fmt"
	"strings"
	"time"

	"pomelomoor/internal/shard/allocator"
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
	// Since is the start of the latest run that a worker reported; zero means none.
	Since time.Time
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
	Reserved bool
	// Usage is the latest reported one.
	Usage descriptor.Usage
	// Throttled is when the run was told to keep to its declared size; zero means never.
	Throttled  time.Time
	Stop       bool
	Checkpoint bool
	Straggling bool
	Ended      bool
	// Expected is when the worker should be asked whether the run has ended; zero leaves that to the
	// regular messages. Gap is the time since the last such question.
	Expected time.Time
	Gap      time.Duration
}

// Elapsed returns how long the run has lasted when it is reported for the first time. A run that this
// owner started has just begun.
func (run *Run) Elapsed(now time.Time) time.Duration {
	if !run.Sent.IsZero() {
		return 0
	}
	return max(now.Sub(run.Since), 0)
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

// Movable reports whether the run can be checkpointed to go on later, behind other work. A job is queued
// as a whole, so its other waiting tasks would be put behind together with this one.
func (run *Run) Movable() bool {
	job := run.Job
	return !run.Stop && !run.Checkpoint && !job.Cancelled && !job.Gang() &&
		job.Description().Idempotent && job.Description().Checkpointable &&
		len(job.InState(TaskWaiting)) == 0
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

const (
	// minPause is the pause after a first failure; it doubles with every further one.
	minPause     = 250 * time.Millisecond
	maxDoublings = 8
)

// Pause keeps the job from being queued again for a time that grows with the failures of a task.
func (job *Job) Pause(now time.Time, failures int) {
	resume := now.Add(minPause << min(failures, maxDoublings))
	if resume.After(job.Resume) {
		job.Resume = resume
	}
}

// Wait sets the reason for waiting and reports whether its kind is new. Its numbers change all the time.
func (job *Job) Wait(reason string) bool {
	before, _, _ := strings.Cut(job.Reason, ":")
	after, _, _ := strings.Cut(reason, ":")
	job.Reason = reason
	return before != after
}

// LostOn reports whether the run counts as unknown since its worker was lost. A nil job has no runs.
func (job *Job) LostOn(worker descriptor.WorkerID, id descriptor.RunID) bool {
	if job == nil || id.Task < 0 || id.Task >= len(job.Tasks) {
		return false
	}
	task := &job.Tasks[id.Task]
	return task.State == TaskUnknown && task.Worker == worker && job.Work.Attempts[id.Task] == id.Attempt
}
