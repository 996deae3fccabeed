package recorder

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/work/descriptor"
)

// Records returns the records from which the state can be rebuilt, in a deterministic order.
func (state *State) Records() []*recordpb.Record {
	records := state.Keys.Records()
	for _, id := range slices.Sorted(maps.Keys(state.Jobs)) {
		records = append(records, state.Jobs[id].records()...)
	}
	for _, class := range slices.Sorted(maps.Keys(state.Estimates)) {
		records = append(records, &recordpb.Record{
			Change: &recordpb.Record_Estimate{
				Estimate: state.Estimates[class],
			},
		})
	}
	return records
}

func (job *Job) records() []*recordpb.Record {
	records := []*recordpb.Record{JobAccepted(job.ID, &job.Description, job.Accepted)}
	if !job.Cancelled.IsZero() {
		records = append(records, JobCancelled(job.ID, job.Cancelled))
	}
	for i := range job.Tasks {
		records = append(records, job.taskRecords(i)...)
	}
	if job.Ended() {
		records = append(records, JobEnded(job.ID, job.End))
	}
	return records
}

// taskRecords returns the records of a task. The ends of earlier runs precede the latest run, because
// failures count towards the maximum number of attempts, and a task that has started is not reported as
// pending again.
func (job *Job) taskRecords(index int) []*recordpb.Record {
	task := &job.Tasks[index]
	var records []*recordpb.Record
	id := descriptor.RunID{
		Job:  job.ID,
		Task: index,
	}
	for _, attempt := range task.Failures {
		if attempt == task.Run.Attempt {
			continue
		}
		id.Attempt = attempt
		records = append(records, RunEnded(executor.RunResult{
			Run:     id,
			Outcome: executor.OutcomeFailed,
		}))
	}
	if task.StartedAttempt > 0 && (task.StartedAttempt != task.Run.Attempt || task.Run.Started.IsZero()) {
		id.Attempt = task.StartedAttempt
		records = append(records, RunEnded(executor.RunResult{
			Run:     id,
			Outcome: executor.OutcomeStopped,
			Started: task.Started,
		}))
	}
	if task.LastRanAttempt > task.StartedAttempt && task.LastRanAttempt != task.Run.Attempt {
		id.Attempt = task.LastRanAttempt
		records = append(records, RunEnded(executor.RunResult{
			Run:     id,
			Outcome: executor.OutcomeStopped,
		}))
	}
	if task.CheckpointAttempt > 0 {
		id.Attempt = task.CheckpointAttempt
		records = append(records, RunEnded(executor.RunResult{
			Run:        id,
			Outcome:    executor.OutcomeCheckpointed,
			Checkpoint: task.Checkpoint,
		}))
	}
	if task.Run.Attempt == 0 {
		return records
	}
	id.Attempt = task.Run.Attempt
	records = append(records, RunIntended(id, task.Run.Worker, task.Run.Incarnation, task.Run.Intended))
	if task.Run.Outcome == "" {
		return records
	}
	return append(records, RunEnded(executor.RunResult{
		Run:        id,
		Outcome:    task.Run.Outcome,
		Started:    task.Run.Started,
		Ended:      task.Run.Ended,
		Checkpoint: task.Checkpoint,
		Reason:     task.Run.Reason,
	}))
}

// JobAccepted returns the record that a job was accepted.
func JobAccepted(id descriptor.JobID, job *descriptor.Job, at time.Time) *recordpb.Record {
	// Marshalling can't fail: a job consists of strings, numbers and times only.
	description, _ := json.Marshal(job)
	return &recordpb.Record{
		Change: &recordpb.Record_JobAccepted{
			JobAccepted: &recordpb.JobAccepted{
				Job:          string(id),
				Description:  description,
				AtUnixMillis: at.UnixMilli(),
			},
		},
	}
}

// JobCancelled returns the record that a job was cancelled.
func JobCancelled(id descriptor.JobID, at time.Time) *recordpb.Record {
	return &recordpb.Record{
		Change: &recordpb.Record_JobCancelled{
			JobCancelled: &recordpb.JobCancelled{
				Job:          string(id),
				AtUnixMillis: at.UnixMilli(),
			},
		},
	}
}

// JobEnded returns the record of a job's final fate.
func JobEnded(id descriptor.JobID, end descriptor.FateRecord) *recordpb.Record {
	return &recordpb.Record{
		Change: &recordpb.Record_JobEnded{
			JobEnded: &recordpb.JobEnded{
				Job:          string(id),
				Fate:         end.Fate,
				Reason:       end.Reason,
				AtUnixMillis: end.At.UnixMilli(),
			},
		},
	}
}

// JobForgotten returns the record that removes a job and its key after their retention.
func JobForgotten(id descriptor.JobID) *recordpb.Record {
	return &recordpb.Record{
		Change: &recordpb.Record_JobForgotten{
			JobForgotten: &recordpb.JobForgotten{
				Job: string(id),
			},
		},
	}
}

// RunIntended returns the record of the intent to start a run on a worker.
func RunIntended(id descriptor.RunID, worker descriptor.WorkerID, incarnation string, at time.Time) *recordpb.Record {
	return &recordpb.Record{
		Change: &recordpb.Record_RunIntended{
			RunIntended: &recordpb.RunIntended{
				Job:          string(id.Job),
				Task:         uint32(id.Task),
				Attempt:      uint32(id.Attempt),
				Worker:       string(worker),
				Incarnation:  incarnation,
				AtUnixMillis: at.UnixMilli(),
			},
		},
	}
}

// RunEnded returns the record that a run ended.
func RunEnded(result executor.RunResult) *recordpb.Record {
	return &recordpb.Record{
		Change: &recordpb.Record_RunEnded{
			RunEnded: &recordpb.RunEnded{
				Job:               string(result.Run.Job),
				Task:              uint32(result.Run.Task),
				Attempt:           uint32(result.Run.Attempt),
				Outcome:           string(result.Outcome),
				Checkpoint:        result.Checkpoint,
				Reason:            result.Reason,
				StartedUnixMillis: timeToMillis(result.Started),
				EndedUnixMillis:   timeToMillis(result.Ended),
			},
		},
	}
}
