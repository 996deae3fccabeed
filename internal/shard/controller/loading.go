package controller

import (
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/work/descriptor"
)

// load begins a term: the live view is rebuilt from the records, and all runs that may be in progress
// wait for the reports of their workers.
func (controller *Controller) load(now time.Time, event Loaded) {
	for _, record := range event.Records {
		if err := controller.durable.Apply(record); err != nil {
			controller.act(Halt{
				Reason: err.Error(),
			})
			return
		}
	}
	controller.epoch, controller.loaded = event.Epoch, true
	for _, id := range slices.Sorted(maps.Keys(controller.durable.Jobs)) {
		controller.revive(now, controller.durable.Jobs[id])
	}
	controller.crowd = true
}

// revive rebuilds the live view of a job.
func (controller *Controller) revive(now time.Time, durable *recorder.Job) {
	treatment := controller.config.JobTreatment(&durable.Description)
	// The selector was accepted together with the job.
	work, _ := allocator.NewWork(durable.ID, &durable.Description, treatment, durable.Accepted)
	job := &job{
		id:        durable.ID,
		work:      work,
		tasks:     make([]task, len(durable.Tasks)),
		held:      treatment.Hold,
		cancelled: !durable.Cancelled.IsZero(),
		ended:     durable.Ended(),
	}
	controller.jobs[job.id] = job
	for i := range durable.Tasks {
		controller.reviveTask(job, i, &durable.Tasks[i])
	}
	if !job.ended {
		controller.note(now, job, "Recovered", "taken over by epoch %d", controller.epoch)
	}
	for i := range durable.Tasks {
		ended := &durable.Tasks[i]
		if ended.Run.Outcome != "" {
			controller.apply(now, job, i, executor.RunResult{
				Outcome:    ended.Run.Outcome,
				Checkpoint: ended.Checkpoint,
				Reason:     ended.Run.Reason,
			})
		}
	}
	if job.ended {
		job.close(durable.End)
		return
	}
	controller.resumeJob(now, job)
}

func (controller *Controller) reviveTask(job *job, index int, durable *recorder.Task) {
	task := &job.tasks[index]
	last := durable.Run
	job.work.Attempts[index] = last.Attempt
	task.failures = len(durable.Failures)
	task.ran = durable.RanAttempt > 0
	task.checkpoint = durable.Checkpoint
	task.worker = last.Worker
	// An attempt that first counted as lost and then turned out never to have started stays final.
	task.lost = !recorder.Counts(last.Outcome) && slices.Contains(durable.Failures, last.Attempt)
	if !durable.Open() {
		return
	}
	controller.attach(&run{
		id: descriptor.RunID{
			Job:     job.id,
			Task:    index,
			Attempt: last.Attempt,
		},
		job:         job,
		worker:      controller.worker(last.Worker),
		incarnation: last.Incarnation,
		phase:       phaseUnsure,
		stop:        job.cancelled,
	})
}

// resumeJob continues what the last owner may have left half done.
func (controller *Controller) resumeJob(now time.Time, job *job) {
	waiting := job.inState(taskWaiting)
	switch {
	case job.cancelled:
		controller.cancelTasks(now, job)
	case job.gang() && len(waiting) > 0 && len(waiting) < len(job.tasks):
		controller.restart(now, job)
	case job.resume.IsZero():
		controller.queueAll(job)
	}
	controller.settle(now, job)
}

// close sets the tasks of an ended job that never got a run.
func (job *job) close(end descriptor.FateRecord) {
	for _, index := range job.inState(taskWaiting) {
		job.tasks[index].drop(end.Reason, end.Reason)
	}
}
