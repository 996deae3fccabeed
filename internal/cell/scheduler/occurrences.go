package scheduler

import "time"

// openDue opens the due occurrences of job.
func (scheduler *Scheduler) openDue(now time.Time, job *job) {
	for job.nextOccurrence < job.Occurrences() && !now.Before(job.Due(job.nextOccurrence)) {
		scheduler.openOccurrence(job, job.nextOccurrence)
		job.nextOccurrence++
	}
	if job.nextOccurrence < job.Occurrences() {
		scheduler.scheduled[job] = struct{}{}
	} else {
		delete(scheduler.scheduled, job)
	}
}

// openOccurrence creates the steps of an occurrence and enqueues those that do not depend on others.
func (scheduler *Scheduler) openOccurrence(job *job, number int) *occurrence {
	occurrence := &occurrence{
		number:     number,
		due:        job.Due(number),
		unfinished: len(job.Steps),
	}
	job.occurrences[number] = occurrence
	for index := range job.Steps {
		description := &job.Steps[index]
		step := &step{
			Step:       description,
			job:        job,
			occurrence: occurrence,
			index:      index,
			unplaced:   description.Count,
			unfinished: description.Count,
			blockers:   len(description.After),
		}
		for task := range description.Count {
			step.tasks = append(step.tasks, newTask(step, task))
		}
		occurrence.steps = append(occurrence.steps, step)
	}
	for index := len(occurrence.steps) - 1; index >= 0; index-- {
		step := occurrence.steps[index]
		runTime := scheduler.runTime(step)
		step.criticalPath = min(max(step.criticalPath, 0)+runTime, maxCriticalPath)
		for _, earlier := range step.After {
			predecessor := occurrence.steps[earlier]
			predecessor.criticalPath = max(predecessor.criticalPath, step.criticalPath)
		}
	}
	for _, step := range occurrence.steps {
		scheduler.enqueue(step)
	}
	return occurrence
}

func newTask(step *step, index int) *task {
	return &task{
		step:  step,
		index: index,
	}
}

// enqueue adds step to the waiting steps if it has tasks that can be placed.
func (scheduler *Scheduler) enqueue(step *step) {
	if step.unplaced > 0 && step.blockers == 0 && !step.job.state.Final() {
		scheduler.waiting[step] = struct{}{}
		scheduler.changed = true
	}
}
