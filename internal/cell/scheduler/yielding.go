package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/placement/accountant"
	"pomelomoor/internal/placement/yielder"
	"pomelomoor/internal/work/descriptor"
)

// entitle decides for the jobs that are new in the queue whether their organisations are entitled to them.
func (scheduler *Scheduler) entitle(queue []queuedStep) {
	var jobs []*job
	for index := range queue {
		if job := queue[index].step.job; job.account != nil && !job.entitled {
			job.entitled = true
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(left, right *job) int {
		return cmp.Or(left.Submitted.Compare(right.Submitted), cmp.Compare(left.ID, right.ID))
	})
	for _, job := range jobs {
		job.excess = !job.account.Arrive(job.Submitted)
	}
}

// maxOverShare is the multiple of its fair share of the cell up to which an organisation does not yield to others.
const maxOverShare = 1.25

// overShare returns the accounts of the organisations that have more of the cell running than their weight gives them
// beside the other organisations that have work. Their waiting steps yield: an unused share is lent, and comes back as
// runs end.
func (scheduler *Scheduler) overShare(queue []queuedStep) map[*accountant.Account]bool {
	active := map[*accountant.Account]bool{}
	for index := range queue {
		if account := queue[index].step.job.account; account != nil {
			active[account] = true
		}
	}
	weights := 0.0
	for _, account := range scheduler.accounts {
		if active[account] || account.Used() != (descriptor.Resources{}) {
			weights += account.Weight
		}
	}
	over := map[*accountant.Account]bool{}
	for account := range active {
		if account.Share(scheduler.total)*weights > maxOverShare {
			over[account] = true
		}
	}
	return over
}

// chooseYielding marks the steps that yield: those of organisations above their share, and, if there is too little room to
// end all others in time that still can, those among them whose delay costs least. It reports whether any step yields.
func (scheduler *Scheduler) chooseYielding(now time.Time, queue []queuedStep) bool {
	var candidates []*queuedStep
	waiting := 0.0
	anyYields := false
	over := scheduler.overShare(queue)
	for index := range queue {
		queued := &queue[index]
		switch {
		case queued.lateness > 0 || queued.step.Perpetual || !scheduler.feasible(now, queued.step):
		case over[queued.step.job.account]:
			queued.yields = true
			anyYields = true
		default:
			waiting += scheduler.amount(queued.step)
			candidates = append(candidates, queued)
		}
	}
	if waiting < scheduler.freeShare {
		// All of it could end within a second.
		return anyYields
	}
	slices.SortStableFunc(candidates, func(left, right *queuedStep) int {
		return scheduler.due(left).Compare(scheduler.due(right))
	})
	items := make([]yielder.Work, 0, len(candidates))
	for _, queued := range candidates {
		items = append(items, yielder.Work{
			Excess:   queued.step.job.excess,
			Priority: queued.step.job.policy.Priority,
			Due:      scheduler.due(queued),
			Amount:   scheduler.amount(queued.step),
			Done:     queued.step.occurrence.done(),
			Arrived:  queued.step.job.Submitted,
		})
	}
	for index, yields := range yielder.Choose(now, scheduler.supply(now), items) {
		candidates[index].yields = yields
		anyYields = anyYields || yields
	}
	return anyYields
}

// due returns when the tasks of a step have to end for the objective of its occurrence to be met.
func (scheduler *Scheduler) due(queued *queuedStep) time.Time {
	return queued.urgentFrom.Add(scheduler.runTime(queued.step))
}

// amount returns the share of the cell that the waiting tasks of step occupy, times the seconds that they take.
func (scheduler *Scheduler) amount(step *step) float64 {
	return step.Occupied().DominantShare(scheduler.total) * float64(step.unplaced) * scheduler.runTime(step).Seconds()
}

// done returns the share of the steps of the occurrence that are done.
func (occurrence *occurrence) done() float64 {
	return 1 - float64(occurrence.unfinished)/float64(max(len(occurrence.steps), 1))
}

// supply returns what the runs leave free in the time to come.
func (scheduler *Scheduler) supply(now time.Time) *yielder.Supply {
	supply := &yielder.Supply{}
	for _, worker := range scheduler.ranking.usable {
		for _, run := range worker.runs {
			if run.phase == phaseUnlisted {
				continue
			}
			remaining := scheduler.expectedEnd(now, run).Sub(now)
			if run.task.step.Perpetual {
				remaining = maxEstimate
			}
			supply.AddRunning(run.task.step.Occupied().DominantShare(scheduler.total), remaining)
		}
	}
	return supply
}

// minRemaining is the least time until a run is expected to end that has taken longer than expected.
const minRemaining = 100 * time.Millisecond

// expectedEnd returns when the end of a run is expected to be known.
func (scheduler *Scheduler) expectedEnd(now time.Time, run *run) time.Time {
	took := time.Duration(float64(scheduler.runTime(run.task.step)) * run.worker.health.speed.Factor())
	end := run.placedAt.Add(took)
	if run.phase == phaseStopping {
		end = now
	}
	if earliest := now.Add(minRemaining); end.Before(earliest) {
		return earliest
	}
	return end
}
