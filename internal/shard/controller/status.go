package controller

import (
	"slices"
	"time"

	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// Status returns what the caller of a job may know: nothing that is not durable.
func (controller *Controller) Status(id descriptor.JobID, explain bool) (descriptor.JobStatus, *descriptor.Problem) {
	durable, ok := controller.durable.Jobs[id]
	live := controller.jobs[id]
	switch {
	case !controller.loaded || controller.authority == AuthorityNone:
		return descriptor.JobStatus{}, controller.unavailable()
	case !ok || live == nil:
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeNotFound, 0, "job %s is not known", id)
	}
	status := descriptor.JobStatus{
		ID:       id,
		Job:      durable.Description,
		Accepted: durable.Accepted,
		Fate:     durable.End,
	}
	fates := make([]descriptor.Fate, len(durable.Tasks))
	for i := range durable.Tasks {
		fates[i] = live.taskFate(i, durable)
		status.Tasks = append(status.Tasks, descriptor.TaskStatus{
			Task:    i,
			Attempt: durable.Tasks[i].Run.Attempt,
			Fate:    descriptor.Record(fates[i]),
			Worker:  durable.Tasks[i].Run.Worker,
		})
	}
	if !durable.Ended() {
		status.Fate = descriptor.Record(live.fate(fates))
	}
	if explain {
		status.Trail = slices.Clone(live.trail)
	}
	return status, nil
}

// taskFate returns a final fate only when it follows from durable records.
func (job *job) taskFate(index int, record *recorder.Job) descriptor.Fate {
	task := &job.tasks[index]
	durable, ended := &record.Tasks[index], record.Ended()
	closed := ended || !record.Cancelled.IsZero() && !durable.Open()
	known := durable.Run.Outcome != "" && durable.Run.Attempt == job.work.Attempts[index]
	switch {
	case task.state == taskDone && known:
		return descriptor.Done{
			At: durable.Run.Ended,
		}
	case task.state == taskFailed && (known || closed):
		return descriptor.Failed{
			At:     durable.Run.Ended,
			Reason: task.reason,
		}
	case task.state == taskUnknown && known:
		return descriptor.Unknown{
			Reason: task.reason + "; ask again, the fate becomes final when worker " + string(task.worker) + " reports",
		}
	case task.state == taskNotRun && closed:
		return descriptor.NotRun{
			Reason: task.reason,
		}
	case task.run != nil && task.run.phase == phaseRunning:
		return descriptor.Running{
			Since: task.run.since,
		}
	case task.run != nil:
		return descriptor.Pending{
			Reason: "waiting for worker " + string(task.worker),
		}
	case task.state == taskNotRun:
		return descriptor.Pending{
			Reason: task.reason,
		}
	default:
		return descriptor.Pending{
			Reason: job.reason,
		}
	}
}

// fate sums up the tasks of a job that has not ended.
func (job *job) fate(fates []descriptor.Fate) descriptor.Fate {
	var since time.Time
	var unknown, pending descriptor.Fate
	for _, fate := range fates {
		switch fate := fate.(type) {
		case descriptor.Running:
			if since.IsZero() || fate.Since.Before(since) {
				since = fate.Since
			}
		case descriptor.Unknown:
			unknown = fate
		case descriptor.Pending:
			pending = fate
		}
	}
	switch {
	case !since.IsZero():
		return descriptor.Running{
			Since: since,
		}
	case pending != nil && (unknown == nil || len(job.inState(taskWaiting))+len(job.inState(taskLive)) > 0):
		return pending
	case unknown != nil:
		return unknown
	default:
		return descriptor.Pending{}
	}
}
