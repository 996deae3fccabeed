package scheduler

import (
	"time"

	"pomelomoor/internal/cell/prioritizer"
)

// objective returns the time after its due time within which the caller wants the occurrence of step to be done.
func (scheduler *Scheduler) objective(step *step) time.Duration {
	policy := &step.job.policy
	var longest time.Duration
	for _, other := range step.occurrence.steps {
		longest = max(longest, other.criticalPath)
	}
	return time.Duration(min(policy.SlackFactor*float64(longest), float64(maxObjective))) + min(policy.LatencyAllowance, maxObjective)
}

// latestStart returns when step has to start for its occurrence to meet its objective, without margins for delays.
func (scheduler *Scheduler) latestStart(step *step) time.Time {
	return step.occurrence.due.Add(scheduler.objective(step) - step.criticalPath)
}

// queuedStep is a waiting step with its priority in a pass.
type queuedStep struct {
	step *step
	// lateness is 0 if the step can still start early enough to meet its objective, 1 if only part of the job's value
	// can be saved, and 2 if none is left. Steps of lower lateness are placed first.
	lateness int
	// urgentFrom is the step's latestStart less margins for delays. If the step starts later, its objective counts as
	// missed.
	urgentFrom time.Time
	// worthlessFrom is from when no value is left; zero for a lasting step.
	worthlessFrom time.Time
	// yields means that there is too little room for all steps, and that a delay of this one costs callers least.
	yields bool
}

// rank returns the rank of the step. A lasting one is never excess: each moment without it is lost.
func (queued *queuedStep) rank() prioritizer.Rank {
	return prioritizer.Rank{
		Lateness:   queued.lateness,
		Yields:     queued.yields,
		Excess:     queued.step.job.excess && !queued.step.Perpetual,
		UrgentFrom: queued.urgentFrom,
	}
}

func (scheduler *Scheduler) newQueuedStep(now time.Time, step *step) queuedStep {
	queued := queuedStep{
		step:       step,
		urgentFrom: scheduler.latestStart(step),
	}
	if step.Perpetual {
		// A lasting task has no end to be late for: each moment without it is lost, also long after its job came.
		queued.urgentFrom = step.waitsSince()
		return queued
	}
	// Without these margins, work that can barely meet its objective would displace other work and then miss
	// the objective at the first delay.
	queued.urgentFrom = queued.urgentFrom.Add(-reportDelay - time.Duration(estimateMargin*float64(step.criticalPath)))
	queued.worthlessFrom = queued.urgentFrom.Add((partialValueFactor - 1) * scheduler.objective(step))
	switch {
	case now.After(queued.worthlessFrom):
		queued.lateness = 2
	case now.After(queued.urgentFrom):
		queued.lateness = 1
	}
	return queued
}

func compareQueuedSteps(left, right queuedStep) int {
	if compared := left.rank().Compare(right.rank()); compared != 0 {
		return compared
	}
	if left.step.job.ID != right.step.job.ID {
		if left.step.job.ID < right.step.job.ID {
			return -1
		}
		return 1
	}
	return left.step.index - right.step.index
}

// Backlog returns the number of jobs that have not ended, the number of steps with tasks to place, and how many of those
// steps belong to jobs without any value left.
func (scheduler *Scheduler) Backlog(now time.Time) (jobs, waitingSteps, overdueSteps int) {
	for step := range scheduler.waiting {
		if scheduler.newQueuedStep(now, step).lateness == 2 {
			overdueSteps++
		}
	}
	return len(scheduler.jobs) - len(scheduler.ended), len(scheduler.waiting), overdueSteps
}

// Scarcity tells how much of the cell is free and how many of the waiting steps give way, as of the last pass.
type Scarcity struct {
	// FreeShare is the share of the CPU of the usable workers that is not allocated to runs.
	FreeShare float64
	// YieldingSteps could still be in time and yield to others. ExcessSteps are of jobs that their organisations are not
	// entitled to.
	YieldingSteps, ExcessSteps int
}

// Scarcity returns how scarce room was in the last pass.
func (scheduler *Scheduler) Scarcity() Scarcity {
	scarcity := scheduler.scarcity
	scarcity.FreeShare = scheduler.freeShare
	return scarcity
}
