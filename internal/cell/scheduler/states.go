package scheduler

import "pomelomoor/internal/cell/describer"

// State returns the state of a job as shown to callers. A final state is shown only when it is durable.
func (scheduler *Scheduler) State(id describer.JobID) describer.JobState {
	job := scheduler.jobs[id]
	switch {
	case job == nil:
		return describer.JobUnknown
	case job.state.Final() && job.storedGeneration < job.finalGeneration:
		return describer.JobRunning
	default:
		return job.state
	}
}

// Organisation returns the name of the organisation that a job belongs to; empty if it has none or is not known.
func (scheduler *Scheduler) Organisation(id describer.JobID) string {
	job := scheduler.jobs[id]
	if job == nil {
		return ""
	}
	return job.Organisation
}

// Pending returns the number of jobs that have not started, by queue.
func (scheduler *Scheduler) Pending() map[string]int {
	counts := map[string]int{}
	for _, job := range scheduler.jobs {
		if job.state == describer.JobQueued {
			counts[job.Queue]++
		}
	}
	return counts
}
