// Package arbiter holds the in-memory state of jobs, tasks and runs, and decides how the outcome of a run
// changes the state of its task and job. The decisions depend on journal records only, so that a new
// owner of the shard makes the same ones.
package arbiter

import (
	"fmt"
	"strings"
	"time"

	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/work/descriptor"
)

// Job is the in-memory state of a job.
type Job struct {
	ID        descriptor.JobID
	QueuedJob *allocator.QueuedJob
	Tasks     []Task
	// FeasibilityUnchecked is set when the job was accepted before the capacity of all workers was known.
	FeasibilityUnchecked bool
	// HeldByPolicy is set while a policy keeps the job waiting.
	HeldByPolicy bool
	Cancelled    bool
	// Restarting is set while the members of a gang are being stopped, to be started again together.
	Restarting bool
	// Ended is set when the final fate has been recorded.
	Ended bool
	// RetryAt is when a job that failed may be queued again; zero means that no retry is delayed.
	RetryAt time.Time
	// WaitReason says what the waiting tasks wait for.
	WaitReason string
	Trail      []descriptor.Decision
}

// TaskState is the state of a task in memory.
type TaskState int

// The states of a task.
const (
	TaskWaiting TaskState = iota
	// TaskActive means that the task has a run that may be in progress.
	TaskActive
	TaskDone
	TaskFailed
	// TaskUnknown means that a run of the task may have happened, and that it must not be repeated.
	TaskUnknown
	TaskNotRun
)

// Task is the in-memory state of a task.
type Task struct {
	State TaskState
	// Run is nil unless the state is TaskActive.
	Run *Run
	// Worker is the worker of the latest run.
	Worker   descriptor.WorkerID
	Failures int
	// MayHaveRun is set when some run of the task has started or may have.
	MayHaveRun bool
	// StartedAt is when the latest run reported by a worker started; zero means that none was reported.
	StartedAt time.Time
	// WasLost is set once the state has been TaskUnknown. Such a task is never started again.
	WasLost    bool
	Checkpoint string
	Reason     string
}

// Phase is the progress of a run towards being reported by its worker.
type Phase int

// The phases of a run.
const (
	// PhaseIntentPending means that the record of the intent is not durable yet.
	PhaseIntentPending Phase = iota
	// PhaseReady means that the start command may be sent but has not been.
	PhaseReady
	// PhaseSent means that the start command was sent and that the worker has not reported since.
	PhaseSent
	// PhaseMaybeSent means that an earlier owner may have sent the start command.
	PhaseMaybeSent
	// PhaseRunning means that the worker has reported the run.
	PhaseRunning
)

// Run is a run that may be in progress.
type Run struct {
	ID          descriptor.RunID
	Job         *Job
	Worker      descriptor.WorkerID
	Incarnation string
	Phase       Phase
	StartedAt   time.Time
	// Sent is when the start command was sent. It is sent only once.
	Sent time.Time
	// Allocated is set while the allocator holds capacity for the run.
	Allocated bool
	// Usage is the latest usage that the worker reported.
	Usage descriptor.Usage
	// Throttled is when the run was limited to its declared size; zero means never.
	Throttled  time.Time
	Stop       bool
	Checkpoint bool
	Straggling bool
	Ended      bool
	// NextEndPoll is when the next end poll for this run is due; zero if the regular messages are enough to
	// learn of the end. EndPollGap is the current delay between two end polls.
	NextEndPoll time.Time
	EndPollGap  time.Duration
}

// ElapsedAtFirstReport returns how long the run has lasted when its worker reports it for the first time.
// A run that this owner started has only just begun.
func (run *Run) ElapsedAtFirstReport(now time.Time) time.Duration {
	if !run.Sent.IsZero() {
		return 0
	}
	return max(now.Sub(run.StartedAt), 0)
}

// Description returns the job as its caller described it.
func (job *Job) Description() *descriptor.Job {
	return job.QueuedJob.Job
}

// IsService reports whether the job is a service, which runs until it is cancelled.
func (job *Job) IsService() bool {
	return job.QueuedJob.Job.Kind == descriptor.KindService
}

// IsGang reports whether the job is a gang, whose tasks have to run at the same time.
func (job *Job) IsGang() bool {
	return job.QueuedJob.Job.Kind == descriptor.KindGang
}

// Repeatable reports whether a task may run again after a run that has, or may have, happened.
func (job *Job) Repeatable() bool {
	return job.QueuedJob.Job.Idempotent || job.IsService()
}

// TasksInState returns the indexes of the tasks in a state.
func (job *Job) TasksInState(state TaskState) []int {
	var found []int
	for i := range job.Tasks {
		if job.Tasks[i].State == state {
			found = append(found, i)
		}
	}
	return found
}

// EndWaiting ends a waiting task. The task is NotRun for the first reason if no run of it can have
// started, and Failed for the second one otherwise.
func (task *Task) EndWaiting(notRun, failed string) {
	task.State, task.Reason = TaskNotRun, notRun
	if task.MayHaveRun {
		task.State, task.Reason = TaskFailed, failed
	}
}

// Task returns the task of the run.
func (run *Run) Task() *Task {
	return &run.Job.Tasks[run.ID.Task]
}

// Displaceable reports whether the run can be checkpointed and continued later, behind other work. The
// queue position belongs to the whole job, so a run is not displaced while other tasks of its job wait:
// they would lose their position too.
func (run *Run) Displaceable() bool {
	job := run.Job
	return !run.Stop && !run.Checkpoint && !job.Cancelled && !job.IsGang() &&
		job.Description().Idempotent && job.Description().Checkpointable &&
		len(job.TasksInState(TaskWaiting)) == 0
}

// FinalFate returns the final fate of the job. It returns false while some task can still change.
func (job *Job) FinalFate(now time.Time) (descriptor.Fate, bool) {
	var counts [TaskNotRun + 1]int
	var reason string
	for i := range job.Tasks {
		task := &job.Tasks[i]
		counts[task.State]++
		if reason == "" && (task.State == TaskFailed || task.State == TaskNotRun) {
			reason = task.Reason
		}
	}
	if counts[TaskWaiting]+counts[TaskActive]+counts[TaskUnknown] > 0 {
		return nil, false
	}
	switch len(job.Tasks) {
	case counts[TaskDone]:
		return descriptor.Done{
			At: now,
		}, true
	case counts[TaskNotRun]:
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
	maxTrailLength = 48
	keptTrailHead  = 8
)

// AddDecision adds a decision to the trail. When the trail is full, the oldest decision after the first
// keptTrailHead ones is dropped.
func (job *Job) AddDecision(now time.Time, code, format string, args ...any) descriptor.Decision {
	decision := descriptor.Decision{
		At:   now,
		Code: code,
		Text: fmt.Sprintf(format, args...),
	}
	if len(job.Trail) == maxTrailLength {
		copy(job.Trail[keptTrailHead:], job.Trail[keptTrailHead+1:])
		job.Trail = job.Trail[:maxTrailLength-1]
	}
	job.Trail = append(job.Trail, decision)
	return decision
}

// AvoidWorker makes later runs of the job prefer other workers to one on which a run failed.
func (job *Job) AvoidWorker(worker descriptor.WorkerID) {
	for _, avoided := range job.QueuedJob.Avoid {
		if avoided == worker {
			return
		}
	}
	job.QueuedJob.Avoid = append(job.QueuedJob.Avoid, worker)
	job.QueuedJob.Avoid = job.QueuedJob.Avoid[max(0, len(job.QueuedJob.Avoid)-maxAvoidedWorkers):]
}

const maxAvoidedWorkers = 8

// CloseTasks ends the tasks of an ended job that are still waiting.
func (job *Job) CloseTasks(end descriptor.FateRecord) {
	for _, index := range job.TasksInState(TaskWaiting) {
		job.Tasks[index].EndWaiting(end.Reason, end.Reason)
	}
}

const (
	// minRetryDelay is the retry delay of a task that has not failed yet, for instance after a refusal. It
	// doubles with every failure, at most maxDelayDoublings times.
	minRetryDelay     = 250 * time.Millisecond
	maxDelayDoublings = 8
)

// DelayRetry keeps the job from being queued again for a time that grows with the number of failures of a
// task.
func (job *Job) DelayRetry(now time.Time, failures int) {
	retryAt := now.Add(minRetryDelay << min(failures, maxDelayDoublings))
	if retryAt.After(job.RetryAt) {
		job.RetryAt = retryAt
	}
}

// SetWaitReason sets the reason for waiting and reports whether its kind has changed. The kind is the part
// before the first colon; the numbers after it change all the time.
func (job *Job) SetWaitReason(reason string) bool {
	oldKind, _, _ := strings.Cut(job.WaitReason, ":")
	newKind, _, _ := strings.Cut(reason, ":")
	job.WaitReason = reason
	return oldKind != newKind
}

// HasLostRun reports whether the outcome of a run has been unknown since the run was lost on a worker. It
// may be called on a nil job, which has no runs.
func (job *Job) HasLostRun(worker descriptor.WorkerID, id descriptor.RunID) bool {
	if job == nil || id.Task < 0 || id.Task >= len(job.Tasks) {
		return false
	}
	task := &job.Tasks[id.Task]
	return task.State == TaskUnknown && task.Worker == worker && job.QueuedJob.Attempts[id.Task] == id.Attempt
}
