package dispatcher

import (
	"time"

	"pomelomoor/internal/shard/arbiter"
)

// treat looks up the policies for a job and moves it in the queue.
func (dispatcher *Dispatcher) treat(job *arbiter.Job) {
	treatment := dispatcher.config.JobTreatment(job.Description())
	// The selector was accepted together with the job.
	_ = job.Work.Treat(treatment)
	job.Held = treatment.Hold
	if job.Ended {
		return
	}
	if job.Held {
		dispatcher.allocator.Unqueue(job.ID)
		job.Reason = "held by a policy"
		return
	}
	if waiting := job.InState(arbiter.TaskWaiting); len(waiting) > 0 && job.Resume.IsZero() {
		dispatcher.queue(job, waiting...)
	}
}

func (dispatcher *Dispatcher) queueAll(job *arbiter.Job) {
	dispatcher.queue(job, job.InState(arbiter.TaskWaiting)...)
}

func (dispatcher *Dispatcher) queue(job *arbiter.Job, tasks ...int) {
	if job.Held || job.Cancelled || job.Ended || len(tasks) == 0 {
		return
	}
	dispatcher.allocator.Queue(job.Work, tasks...)
	dispatcher.crowd = true
}

// Cancel ends the waiting tasks of a job and stops the others.
func (dispatcher *Dispatcher) Cancel(now time.Time, job *arbiter.Job) {
	if job.Cancelled {
		return
	}
	dispatcher.note(now, job, "Cancelled", "cancelled by its caller")
	dispatcher.cancelTasks(now, job)
}

func (dispatcher *Dispatcher) cancelTasks(now time.Time, job *arbiter.Job) {
	// A gang that was being stopped to start again is only stopped now.
	job.Cancelled, job.Restarting = true, false
	dispatcher.allocator.Unqueue(job.ID)
	for i := range job.Tasks {
		task := &job.Tasks[i]
		switch {
		case task.State == arbiter.TaskWaiting:
			task.Drop("cancelled before it started", "cancelled between two attempts")
		case task.Run != nil:
			dispatcher.stop(now, task.Run, "cancelled")
		}
	}
	dispatcher.settle(now, job)
}
