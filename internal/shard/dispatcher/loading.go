package dispatcher

import (
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// Revive begins a term: the live view is rebuilt from the durable state, and all runs that may be in
// progress wait for the reports of their workers.
func (dispatcher *Dispatcher) Revive(now time.Time, epoch uint64) {
	dispatcher.epoch, dispatcher.loaded = epoch, true
	for _, id := range slices.Sorted(maps.Keys(dispatcher.durable.Jobs)) {
		dispatcher.revive(now, dispatcher.durable.Jobs[id])
	}
	dispatcher.crowd = true
}

// revive rebuilds the live view of a job.
func (dispatcher *Dispatcher) revive(now time.Time, durable *recorder.Job) {
	treatment := dispatcher.config.JobTreatment(&durable.Description)
	// The selector was accepted together with the job.
	work, _ := allocator.NewWork(durable.ID, &durable.Description, treatment, durable.Accepted)
	job := &arbiter.Job{
		ID:        durable.ID,
		Work:      work,
		Tasks:     make([]arbiter.Task, len(durable.Tasks)),
		Held:      treatment.Hold,
		Cancelled: !durable.Cancelled.IsZero(),
		Ended:     durable.Ended(),
	}
	dispatcher.jobs[job.ID] = job
	for i := range durable.Tasks {
		dispatcher.reviveTask(job, i, &durable.Tasks[i])
	}
	if !job.Ended {
		dispatcher.note(now, job, "Recovered", "taken over by epoch %d", dispatcher.epoch)
	}
	for i := range durable.Tasks {
		ended := &durable.Tasks[i]
		if ended.Run.Outcome != "" {
			dispatcher.apply(now, job, i, executor.RunResult{
				Outcome:    ended.Run.Outcome,
				Checkpoint: ended.Checkpoint,
				Reason:     ended.Run.Reason,
			})
		}
	}
	if job.Ended {
		job.Close(durable.End)
		return
	}
	dispatcher.resumeJob(now, job)
}

func (dispatcher *Dispatcher) reviveTask(job *arbiter.Job, index int, durable *recorder.Task) {
	task := &job.Tasks[index]
	last := durable.Run
	job.Work.Attempts[index] = last.Attempt
	task.Failures = len(durable.Failures)
	task.Ran = durable.RanAttempt > 0
	task.Checkpoint = durable.Checkpoint
	task.Worker = last.Worker
	// An attempt that first counted as lost and then turned out never to have started stays final.
	task.Lost = !recorder.Counts(last.Outcome) && slices.Contains(durable.Failures, last.Attempt)
	if !durable.Open() {
		return
	}
	dispatcher.attach(&arbiter.Run{
		ID: descriptor.RunID{
			Job:     job.ID,
			Task:    index,
			Attempt: last.Attempt,
		},
		Job:         job,
		Worker:      last.Worker,
		Incarnation: last.Incarnation,
		Phase:       arbiter.PhaseUnsure,
		Stop:        job.Cancelled,
	})
}

// resumeJob continues what the last owner may have left half done.
func (dispatcher *Dispatcher) resumeJob(now time.Time, job *arbiter.Job) {
	waiting := job.InState(arbiter.TaskWaiting)
	switch {
	case job.Cancelled:
		dispatcher.cancelTasks(now, job)
	case job.Gang() && len(waiting) > 0 && len(waiting) < len(job.Tasks):
		dispatcher.restart(now, job)
	case job.Resume.IsZero():
		dispatcher.queueAll(job)
	}
	dispatcher.settle(now, job)
}
