package arbiter

import (
	"slices"
	"time"

	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// Status returns what the caller of the job may know: nothing that is not durable.
func (job *Job) Status(durable *recorder.Job, explain bool) descriptor.JobStatus {
	status := descriptor.JobStatus{
		ID:       job.ID,
		Job:      durable.Description,
		Accepted: durable.Accepted,
		Fate:     durable.End,
	}
	fates := make([]descriptor.Fate, len(durable.Tasks))
	for i := range durable.Tasks {
		fates[i] = job.taskFate(i, durable)
		status.Tasks = append(status.Tasks, descriptor.TaskStatus{
			Task:    i,
			Attempt: durable.Tasks[i].Run.Attempt,
			Fate:    descriptor.Record(fates[i]),
			Worker:  durable.Tasks[i].Run.Worker,
		})
	}
	if !durable.Ended() {
		status.Fate = descriptor.Record(job.present(fates, durable))
	}
	if explain {
		status.Trail = slices.Clone(job.Trail)
	}
	return status
}

// taskFate returns a final fate only when it follows from durable records.
func (job *Job) taskFate(index int, record *recorder.Job) descriptor.Fate {
	task := &job.Tasks[index]
	durable, ended := &record.Tasks[index], record.Ended()
	closed := ended || !record.Cancelled.IsZero() && !durable.Open()
	known := durable.Run.Outcome != "" && durable.Run.Attempt == job.Work.Attempts[index]
	// A lost run that is found again stays unknown until its end is durable.
	lost := task.Lost && slices.Contains(durable.Failures, job.Work.Attempts[index])
	switch {
	case task.State == TaskDone && known:
		return descriptor.Done{
			At: durable.Run.Ended,
		}
	case task.State == TaskFailed && (known || closed):
		return descriptor.Failed{
			At:     durable.Run.Ended,
			Reason: task.Reason,
		}
	case task.State == TaskNotRun && closed:
		return descriptor.NotRun{
			Reason: task.Reason,
		}
	case task.State == TaskUnknown && known, lost:
		return descriptor.Unknown{
			Reason: task.Reason + "; ask again, the fate becomes final when worker " + string(task.Worker) + " reports",
		}
	case task.Run != nil && task.Run.Phase == PhaseRunning:
		return descriptor.Running{
			Since: task.Run.Since,
		}
	case task.Run != nil:
		return descriptor.Pending{
			Reason: "waiting for worker " + string(task.Worker),
		}
	case task.State != TaskWaiting && !task.Since.IsZero():
		// The run has ended, but its end is not durable yet.
		return descriptor.Running{
			Since: task.Since,
		}
	case task.State == TaskNotRun:
		return descriptor.Pending{
			Reason: task.Reason,
		}
	default:
		return descriptor.Pending{
			Reason: job.Reason,
		}
	}
}

// present sums up the tasks of a job that has not ended. Once a task has started, the job is Running
// also between two runs.
func (job *Job) present(fates []descriptor.Fate, durable *recorder.Job) descriptor.Fate {
	var since time.Time
	var unknown, pending descriptor.Fate
	open := false
	for i, fate := range fates {
		task := &job.Tasks[i]
		if !task.Since.IsZero() && (since.IsZero() || task.Since.Before(since)) {
			since = task.Since
		}
		switch fate.(type) {
		case descriptor.Unknown:
			unknown = fate
		case descriptor.Pending:
			pending = fate
			// A task that was dropped waits only for the end of the job, unless it was dropped by a
			// cancellation that is not durable yet. One that was lost drops the rest of its gang.
			undone := job.Cancelled && durable.Cancelled.IsZero() && !job.Gang()
			// The next owner does not know of an end that is not durable.
			undone = undone || durable.Tasks[i].Open()
			dropped := task.State == TaskNotRun && !undone
			open = open || !dropped
		case descriptor.Running:
			open = true
		default:
			if task.Lost {
				// The job was Unknown and stays so until its own end is durable.
				unknown = descriptor.Unknown{
					Reason: "the end of the job is being recorded",
				}
			}
		}
	}
	switch {
	case unknown != nil && !open:
		return unknown
	case !since.IsZero():
		return descriptor.Running{
			Since: since,
		}
	case pending != nil:
		return pending
	default:
		return descriptor.Pending{}
	}
}
