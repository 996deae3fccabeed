package arbiter

import (
	"fmt"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/recorder"
)

// Apply changes the state of a task by the outcome of its run.
func (job *Job) Apply(index int, result executor.RunResult) {
	task := &job.Tasks[index]
	task.Ran = task.Ran || recorder.Started(result.Outcome)
	if !result.Started.IsZero() {
		task.Since = result.Started
	}
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
