package scheduler

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

const (
	// feasibilityInterval is how often it is checked whether a waiting step could be placed at all, unless the workers change.
	feasibilityInterval = 500 * time.Millisecond
	// maxIdleWait is how long a step without a run leaves workers to gangs, or its requests for advice to earlier steps,
	// while more than idleShare of the cell is free. By the rules of the platform's users it must start within 3 s then.
	maxIdleWait = 1500 * time.Millisecond
	// idleQuarantinedDelay is how long such a step waits for a sound worker before it is started on a quarantined one.
	idleQuarantinedDelay = 2500 * time.Millisecond
)

// feasibility tells whether a step could be placed if all runs that end had ended.
type feasibility struct {
	feasible bool
	// checkedAt is when that was checked, for the workers that had total as their capacity and answers answers of the
	// advice service.
	checkedAt time.Time
	total     descriptor.Resources
	answers   int
}

// feasible reports whether step could be placed on the workers as they are, a gang once all runs but lasting ones have ended.
// Workers without advice yet count as allowed. What is not feasible must keep nothing from others: it may wait for ever.
func (scheduler *Scheduler) feasible(now time.Time, step *step) bool {
	known := &step.feasibility
	if known.total != scheduler.total || known.answers != step.advice.answers || now.Sub(known.checkedAt) > feasibilityInterval {
		*known = feasibility{
			feasible:  scheduler.fitsIdleWorkers(step),
			checkedAt: now,
			total:     scheduler.total,
			answers:   step.advice.answers,
		}
	}
	return known.feasible
}

// fitsIdleWorkers reports whether as many tasks of step as have to find a place together fit on the usable workers, those of
// a gang beside the lasting runs. A lasting run may yet make room for a single task, which must not wait for the next check.
func (scheduler *Scheduler) fitsIdleWorkers(step *step) bool {
	missing := step.neededSlots()
	for _, workers := range [][]*worker{scheduler.ranking.usable, scheduler.ranking.quarantined} {
		for _, worker := range workers {
			scheduler.stats.Examined++
			if !step.mayUse(worker) {
				continue
			}
			capacity := worker.description.Capacity
			if step.Gang {
				capacity = capacity.Sub(worker.usedByLasting)
			}
			missing -= step.slots(capacity)
			if missing <= 0 {
				return true
			}
		}
	}
	return false
}

// noteIdle notes since when no task of step has run although more than idleShare of the cell is free.
func (scheduler *Scheduler) noteIdle(now time.Time, step *step) {
	switch {
	case scheduler.freeShare <= idleShare || step.unplaced < step.unfinished:
		step.idleFrom = time.Time{}
	case step.idleFrom.IsZero():
		step.idleFrom = now
	}
}

// starves reports whether step has waited in a mostly idle cell for so long that it gives way to no other.
func (step *step) starves(now time.Time) bool {
	return !step.idleFrom.IsZero() && now.Sub(step.idleFrom) >= maxIdleWait
}

// takesQuarantined reports whether step has waited for so long that a quarantined worker is better than none: a lasting one
// that ran before, or one without a run in a mostly idle cell. A gang waits, since it would be lost as a whole.
func (step *step) takesQuarantined(now time.Time) bool {
	switch {
	case step.unplaced == 0 || step.Gang:
		return false
	case step.Perpetual && !step.waitingFrom.IsZero():
		return now.Sub(step.waitingFrom) >= quarantinedDelay
	default:
		return !step.idleFrom.IsZero() && now.Sub(step.idleFrom) >= idleQuarantinedDelay
	}
}

// eachQuarantined calls visit for each quarantined worker that may be given a task of step, with its ticket.
func (scheduler *Scheduler) eachQuarantined(now time.Time, step *step, visit func(worker *worker, ticket ticket)) {
	for _, worker := range scheduler.ranking.quarantined {
		ticket := step.advice.tickets[worker.id]
		if worker.canRun(step) && (step.job.policy.Advice == nil || ticket.valid(now)) {
			visit(worker, ticket)
		}
	}
}
