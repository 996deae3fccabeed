package arbiter

import (
	"fmt"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/recorder"
)

// ApplyResult updates a task with the result of its latest run.
func (job *Job) ApplyResult(index int, result executor.RunResult) {
	task := &job.Tasks[index]
	task.MayHaveRun = task.MayHaveRun || recorder.MayHaveRun(result.Outcome)
	if !result.Started.IsZero() {
		task.StartedAt = result.Started
	}
	task.Reason = fmt.Sprintf("%s on %s", result.Outcome, task.Worker)
	if result.Reason != "" {
		task.Reason = result.Reason
	}
	if result.Outcome == executor.OutcomeCheckpointed {
		task.Checkpoint = result.Checkpoint
	}
	task.State = job.nextState(task, result.Outcome)
	task.WasLost = task.WasLost || task.State == TaskUnknown
}

// nextState returns the state of a task after a run with this outcome.
func (job *Job) nextState(task *Task, outcome executor.Outcome) TaskState {
	switch {
	case task.WasLost && !recorder.MayHaveRun(outcome), job.Cancelled && !task.MayHaveRun:
		return TaskNotRun
	case job.Cancelled && job.IsService():
		return TaskDone
	case outcome == executor.OutcomeDone && !job.IsService():
		return TaskDone
	case outcome == recorder.OutcomeLost && (job.Cancelled || !job.Repeatable()):
		return TaskUnknown
	case job.Cancelled:
		return TaskFailed
	case job.IsService():
		return TaskWaiting
	case !recorder.MayHaveRun(outcome):
		return job.stateAfterNoStart()
	case task.WasLost, !job.Repeatable():
		return TaskFailed
	case task.Failures < job.QueuedJob.EffectivePolicy.MaxAttempts:
		return TaskWaiting
	case outcome == recorder.OutcomeLost:
		return TaskUnknown
	default:
		return TaskFailed
	}
}

// stateAfterNoStart returns the state of a task whose run never started. The task waits for another
// attempt, unless it belongs to a gang that can't be repeated and another member of it may have started.
func (job *Job) stateAfterNoStart() TaskState {
	if job.IsGang() && !job.Repeatable() && job.MayHaveRun() {
		return TaskNotRun
	}
	return TaskWaiting
}

// MayHaveRun reports whether some task of the job has started or may have.
func (job *Job) MayHaveRun() bool {
	for i := range job.Tasks {
		if job.Tasks[i].MayHaveRun {
			return true
		}
	}
	return false
}
