package arbiter

import (
	"slices"
	"time"

	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// Status returns the status of the job for its caller. It reveals only what follows from durable records.
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
			Fate:    descriptor.NewFateRecord(fates[i]),
			Worker:  durable.Tasks[i].Run.Worker,
		})
	}
	if !durable.Ended() {
		status.Fate = descriptor.NewFateRecord(job.unfinishedFate(fates, durable))
	}
	if explain {
		status.Trail = slices.Clone(job.Trail)
	}
	return status
}

// taskFate returns the fate of a task. It returns a final one only if that follows from durable records.
func (job *Job) taskFate(index int, durableJob *recorder.Job) descriptor.Fate {
	task := &job.Tasks[index]
	durableTask, ended := &durableJob.Tasks[index], durableJob.Ended()
	noMoreRuns := ended || !durableJob.Cancelled.IsZero() && !durableTask.MayBeRunning()
	outcomeDurable := durableTask.Run.Outcome != "" && durableTask.Run.Attempt == job.QueuedJob.Attempts[index]
	// A lost run that was found again is reported as Unknown until its end is durable.
	stillUnknown := task.WasLost && slices.Contains(durableTask.Failures, job.QueuedJob.Attempts[index])
	switch {
	case task.State == TaskDone && outcomeDurable:
		return descriptor.Done{
			At: durableTask.Run.Ended,
		}
	case task.State == TaskFailed && (outcomeDurable || noMoreRuns):
		return descriptor.Failed{
			At:     durableTask.Run.Ended,
			Reason: task.Reason,
		}
	case task.State == TaskNotRun && noMoreRuns:
		return descriptor.NotRun{
			Reason: task.Reason,
		}
	case task.State == TaskUnknown && outcomeDurable, stillUnknown:
		return descriptor.Unknown{
			Reason: task.Reason + "; ask again, the fate becomes final when worker " + string(task.Worker) + " reports",
		}
	case task.Run != nil && task.Run.Phase == PhaseRunning:
		return descriptor.Running{
			Since: task.Run.StartedAt,
		}
	case task.Run != nil:
		return descriptor.Pending{
			Reason: "waiting for worker " + string(task.Worker),
		}
	case task.State != TaskWaiting && !task.StartedAt.IsZero():
		// The run has ended, but the record of its end is not durable yet.
		return descriptor.Running{
			Since: task.StartedAt,
		}
	case task.State == TaskNotRun:
		return descriptor.Pending{
			Reason: task.Reason,
		}
	default:
		return descriptor.Pending{
			Reason: job.WaitReason,
		}
	}
}

// unfinishedFate combines the fates of the tasks of a job that has not ended. Once a task has started, the
// job counts as Running, also between two runs. The reason of a pending job is that of a task whose run may
// be in progress, if there is one: after a takeover, the last owner may have reported that run as running.
func (job *Job) unfinishedFate(fates []descriptor.Fate, durable *recorder.Job) descriptor.Fate {
	var startedAt time.Time
	var unknown, pending descriptor.Fate
	anyUnfinished, anyRun := false, false
	for i, fate := range fates {
		task := &job.Tasks[i]
		if !task.StartedAt.IsZero() && (startedAt.IsZero() || task.StartedAt.Before(startedAt)) {
			startedAt = task.StartedAt
		}
		switch fate.(type) {
		case descriptor.Unknown:
			unknown = fate
		case descriptor.Pending:
			if task.Run != nil || !anyRun {
				pending = fate
			}
			anyRun = anyRun || task.Run != nil
			// A task in TaskNotRun waits only for the end of the job, unless it got there by a
			// cancellation that is not durable yet, of which a new owner of the shard would not know. This
			// does not apply to gangs, because the loss of one member ends the waiting ones anyway.
			mayBeReverted := job.Cancelled && durable.Cancelled.IsZero() && !job.IsGang()
			// A new owner would not know either that a run has ended if its end is not durable.
			mayBeReverted = mayBeReverted || durable.Tasks[i].MayBeRunning()
			ended := task.State == TaskNotRun && !mayBeReverted
			anyUnfinished = anyUnfinished || !ended
		case descriptor.Running:
			anyUnfinished = true
		default:
			if task.WasLost {
				// The job was Unknown and must stay so until its own end is durable.
				unknown = descriptor.Unknown{
					Reason: "the end of the job is being recorded",
				}
			}
		}
	}
	switch {
	case unknown != nil && !anyUnfinished:
		return unknown
	case !startedAt.IsZero():
		return descriptor.Running{
			Since: startedAt,
		}
	case pending != nil:
		return pending
	default:
		return descriptor.Pending{}
	}
}
