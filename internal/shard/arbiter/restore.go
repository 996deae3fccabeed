package arbiter

import (
	"slices"

	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// New returns the in-memory state of a job that is being accepted.
func New(queuedJob *allocator.QueuedJob, feasibilityUnchecked bool) *Job {
	return &Job{
		ID:                   queuedJob.ID,
		QueuedJob:            queuedJob,
		Tasks:                make([]Task, queuedJob.Job.TaskCount()),
		HeldByPolicy:         queuedJob.EffectivePolicy.Hold,
		FeasibilityUnchecked: feasibilityUnchecked,
	}
}

// Restore builds the in-memory state of a job from its durable state and returns it with the runs that an
// earlier owner may have started. The caller must still apply the outcomes of the ended runs.
func Restore(durable *recorder.Job, queuedJob *allocator.QueuedJob) (*Job, []*Run) {
	job := &Job{
		ID:           durable.ID,
		QueuedJob:    queuedJob,
		Tasks:        make([]Task, len(durable.Tasks)),
		HeldByPolicy: queuedJob.EffectivePolicy.Hold,
		Cancelled:    !durable.Cancelled.IsZero(),
		Ended:        durable.Ended(),
	}
	var unfinishedRuns []*Run
	for i := range durable.Tasks {
		if run := job.restoreTask(i, &durable.Tasks[i]); run != nil {
			unfinishedRuns = append(unfinishedRuns, run)
		}
	}
	return job, unfinishedRuns
}

func (job *Job) restoreTask(index int, durable *recorder.Task) *Run {
	task := &job.Tasks[index]
	lastRun := durable.Run
	job.QueuedJob.Attempts[index] = lastRun.Attempt
	task.Failures = len(durable.Failures)
	task.MayHaveRun = durable.LastRanAttempt > 0
	task.Checkpoint = durable.Checkpoint
	task.Worker = lastRun.Worker
	task.StartedAt = durable.Started
	// If the latest attempt was first recorded as lost and later proved never to have started, the task
	// must not start again.
	task.WasLost = !recorder.CountsAsFailure(lastRun.Outcome) && slices.Contains(durable.Failures, lastRun.Attempt)
	if !durable.MayBeRunning() {
		return nil
	}
	return &Run{
		ID: descriptor.RunID{
			Job:     job.ID,
			Task:    index,
			Attempt: lastRun.Attempt,
		},
		Job:         job,
		Worker:      lastRun.Worker,
		Incarnation: lastRun.Incarnation,
		Phase:       PhaseMaybeSent,
		Stop:        job.Cancelled,
	}
}
