package arbiter

import (
	"slices"

	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// New returns the live view of a job that is being accepted.
func New(work *allocator.Work, unchecked bool) *Job {
	return &Job{
		ID:        work.ID,
		Work:      work,
		Tasks:     make([]Task, work.Job.TaskCount()),
		Held:      work.Treatment.Hold,
		Unchecked: unchecked,
	}
}

// Revive returns the live view of a durable job before the outcomes of its ended runs are applied,
// and the runs that an earlier owner may have started.
func Revive(durable *recorder.Job, work *allocator.Work) (*Job, []*Run) {
	job := &Job{
		ID:        durable.ID,
		Work:      work,
		Tasks:     make([]Task, len(durable.Tasks)),
		Held:      work.Treatment.Hold,
		Cancelled: !durable.Cancelled.IsZero(),
		Ended:     durable.Ended(),
	}
	var open []*Run
	for i := range durable.Tasks {
		if run := job.reviveTask(i, &durable.Tasks[i]); run != nil {
			open = append(open, run)
		}
	}
	return job, open
}

func (job *Job) reviveTask(index int, durable *recorder.Task) *Run {
	task := &job.Tasks[index]
	last := durable.Run
	job.Work.Attempts[index] = last.Attempt
	task.Failures = len(durable.Failures)
	task.Ran = durable.RanAttempt > 0
	task.Checkpoint = durable.Checkpoint
	task.Worker = last.Worker
	task.Since = last.Started
	// An attempt that first counted as lost and then turned out never to have started stays final.
	task.Lost = !recorder.Counts(last.Outcome) && slices.Contains(durable.Failures, last.Attempt)
	if !durable.Open() {
		return nil
	}
	return &Run{
		ID: descriptor.RunID{
			Job:     job.ID,
			Task:    index,
			Attempt: last.Attempt,
		},
		Job:         job,
		Worker:      last.Worker,
		Incarnation: last.Incarnation,
		Phase:       PhaseUnsure,
		Stop:        job.Cancelled,
	}
}
