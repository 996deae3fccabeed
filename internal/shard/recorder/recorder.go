// Package recorder rebuilds the durable state of a shard from the records of its journal, and encodes the
// state as records.
package recorder

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/work/descriptor"
)

// Outcomes that the shard's owner assigns to runs, in addition to those that workers report.
const (
	// OutcomeLost means that the outcome of the run can no longer be obtained from its worker.
	OutcomeLost executor.Outcome = "Lost"
	// OutcomeNotStarted means that the run certainly never started.
	OutcomeNotStarted executor.Outcome = "NotStarted"
)

// ErrUnknownJob means that a record refers to a job that no earlier record contains.
var ErrUnknownJob = errors.New("record of an unknown job")

// maxFailures limits the failures kept for each task, because services may fail any number of times.
const maxFailures = 16

// Run is the latest run of a task.
type Run struct {
	Attempt     int
	Worker      descriptor.WorkerID
	Incarnation string
	Intended    time.Time
	// Outcome is empty while the run may be in progress.
	Outcome executor.Outcome
	Reason  string
	Started time.Time
	Ended   time.Time
}

// Task is the durable state of one task.
type Task struct {
	// Run has Attempt 0 before the first run.
	Run Run
	// Failures lists the attempts that count towards the maximum number of attempts, up to maxFailures.
	Failures []int
	// LastRanAttempt is the latest ended attempt that ran or may have run.
	LastRanAttempt int
	// Started is the start of StartedAttempt, the latest ended attempt whose start its worker reported.
	Started        time.Time
	StartedAttempt int
	// Checkpoint identifies the latest saved state, and CheckpointAttempt the attempt that saved it.
	Checkpoint        string
	CheckpointAttempt int
}

// MayBeRunning reports whether the latest run may still be in progress.
func (task *Task) MayBeRunning() bool {
	return task.Run.Attempt > 0 && task.Run.Outcome == ""
}

// LostBeforeReport reports whether some run of the task may have happened, and no owner that recorded the end
// of a run knew when the run had started.
func (task *Task) LostBeforeReport() bool {
	return task.LastRanAttempt > 0 && task.StartedAttempt == 0
}

// Job is the durable state of one job.
type Job struct {
	ID          descriptor.JobID
	Description descriptor.Job
	Accepted    time.Time
	// Cancelled is zero unless the job was cancelled.
	Cancelled time.Time
	// End is the final fate; it is empty until the job has ended.
	End   descriptor.FateRecord
	Tasks []Task
}

// Ended reports whether the job has a final fate.
func (job *Job) Ended() bool {
	return job.End.Fate != ""
}

// State is the durable state of a shard. The zero value is empty and ready to use.
type State struct {
	Jobs      map[descriptor.JobID]*Job
	Keys      registrar.Registrar
	Estimates map[string]*recordpb.Estimate
}

// Apply applies one record to the state. Records must be applied in the order of the journal.
func (state *State) Apply(record *recordpb.Record) error {
	if state.Jobs == nil {
		state.Jobs = map[descriptor.JobID]*Job{}
		state.Estimates = map[string]*recordpb.Estimate{}
	}
	switch change := record.Change.(type) {
	case *recordpb.Record_KeyBound:
		state.Keys.Bind(registrar.FromRecord(change.KeyBound))
	case *recordpb.Record_JobAccepted:
		return state.applyJobAccepted(change.JobAccepted)
	case *recordpb.Record_JobForgotten:
		delete(state.Jobs, descriptor.JobID(change.JobForgotten.Job))
		state.Keys.Forget(descriptor.JobID(change.JobForgotten.Job))
	case *recordpb.Record_JobCancelled:
		return state.updateJob(change.JobCancelled.Job, func(job *Job) {
			job.Cancelled = time.UnixMilli(change.JobCancelled.AtUnixMillis)
		})
	case *recordpb.Record_JobEnded:
		return state.updateJob(change.JobEnded.Job, func(job *Job) {
			job.End = descriptor.FateRecord{
				Fate:   change.JobEnded.Fate,
				At:     time.UnixMilli(change.JobEnded.AtUnixMillis),
				Reason: change.JobEnded.Reason,
			}
		})
	case *recordpb.Record_RunIntended:
		return state.updateJob(change.RunIntended.Job, func(job *Job) {
			job.applyRunIntended(change.RunIntended)
		})
	case *recordpb.Record_RunEnded:
		return state.updateJob(change.RunEnded.Job, func(job *Job) {
			job.applyRunEnded(change.RunEnded)
		})
	case *recordpb.Record_Estimate:
		state.Estimates[change.Estimate.Class] = change.Estimate
	case *recordpb.Record_Fence:
	default:
		return errors.Errorf("record of unknown kind %T", change)
	}
	return nil
}

func (state *State) applyJobAccepted(accepted *recordpb.JobAccepted) error {
	job := &Job{
		ID:       descriptor.JobID(accepted.Job),
		Accepted: time.UnixMilli(accepted.AtUnixMillis),
	}
	if err := json.Unmarshal(accepted.Description, &job.Description); err != nil {
		return errors.Wrapf(err, "description of job %s", accepted.Job)
	}
	job.Tasks = make([]Task, job.Description.TaskCount())
	state.Jobs[job.ID] = job
	return nil
}

// updateJob calls update with the job. It returns ErrUnknownJob if there is none.
func (state *State) updateJob(id string, update func(*Job)) error {
	job, ok := state.Jobs[descriptor.JobID(id)]
	if !ok {
		return errors.Wrap(ErrUnknownJob, id)
	}
	update(job)
	return nil
}

func (job *Job) applyRunIntended(intended *recordpb.RunIntended) {
	job.Tasks[intended.Task].Run = Run{
		Attempt:     int(intended.Attempt),
		Worker:      descriptor.WorkerID(intended.Worker),
		Incarnation: intended.Incarnation,
		Intended:    time.UnixMilli(intended.AtUnixMillis),
	}
}

func (job *Job) applyRunEnded(ended *recordpb.RunEnded) {
	task := &job.Tasks[ended.Task]
	attempt := int(ended.Attempt)
	outcome := executor.Outcome(ended.Outcome)
	if CountsAsFailure(outcome) && !slices.Contains(task.Failures, attempt) {
		task.Failures = append(task.Failures, attempt)
		task.Failures = task.Failures[max(0, len(task.Failures)-maxFailures):]
	}
	if MayHaveRun(outcome) {
		task.LastRanAttempt = max(task.LastRanAttempt, attempt)
		if ended.StartedUnixMillis != 0 && attempt >= task.StartedAttempt {
			task.Started, task.StartedAttempt = millisToTime(ended.StartedUnixMillis), attempt
		}
	}
	if outcome == executor.OutcomeCheckpointed {
		task.Checkpoint, task.CheckpointAttempt = ended.Checkpoint, attempt
	}
	if attempt != task.Run.Attempt {
		return
	}
	task.Run.Outcome = outcome
	task.Run.Reason = ended.Reason
	task.Run.Started = millisToTime(ended.StartedUnixMillis)
	task.Run.Ended = millisToTime(ended.EndedUnixMillis)
}

// MayHaveRun reports whether a run with this outcome ran or may have run.
func MayHaveRun(outcome executor.Outcome) bool {
	return outcome != "" && outcome != executor.OutcomeRefused && outcome != OutcomeNotStarted
}

// CountsAsFailure reports whether a run with this outcome counts towards the maximum number of attempts.
func CountsAsFailure(outcome executor.Outcome) bool {
	switch outcome {
	case executor.OutcomeFailed, executor.OutcomeLeaseLapsed, OutcomeLost:
		return true
	default:
		return false
	}
}

// millisToTime converts Unix milliseconds to a time. Zero stands for the zero time.
func millisToTime(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// timeToMillis converts a time to Unix milliseconds. The zero time becomes 0.
func timeToMillis(timestamp time.Time) int64 {
	if timestamp.IsZero() {
		return 0
	}
	return timestamp.UnixMilli()
}
