package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/work/descriptor"
)

// candidate is a worker with room for tasks of a step.
type candidate struct {
	placement

	slots int
	score float64
}

// candidates are the workers with room for the tasks of a step, the best first. Placing a task on a worker makes it
// better for the next one, since less of it is free, so that the order stays as it is and each worker is filled in turn.
type candidates struct {
	workers []candidate
	// slots is the number of tasks that fit on all of them together.
	slots int
}

// uniform reports whether any task of step may take any place: no task waits for a worker of its own, and no place is
// better for its rack.
func (step *step) uniform() bool {
	if step.Perpetual {
		return false
	}
	for _, task := range step.tasks {
		if task.history.Suspect() {
			return false
		}
	}
	return true
}

// candidates returns the workers with room for tasks of step on rack, or on any rack if it is empty.
func (scheduler *Scheduler) candidates(now time.Time, step *step, rack string) *candidates {
	found := &candidates{}
	task := scheduler.estimatorTask(now, step)
	consider := func(worker *worker, ticket ticket) {
		if scheduler.isReserved(worker, step) || rack != "" && worker.description.Rack != rack ||
			worker.closedTo(now, step) {
			return
		}
		free := worker.freeFor(now, step)
		slots := step.slots(free)
		if slots > 0 && step.MaxPerWorker > 0 {
			slots = min(slots, step.MaxPerWorker-worker.runCount(step))
		}
		slots = scheduler.trialSlots(now, worker, step, slots)
		if slots <= 0 {
			return
		}
		found.slots += slots
		found.workers = append(found.workers, candidate{
			placement: placement{
				worker: worker,
				ticket: ticket,
			},
			slots: slots,
			score: scheduler.score(worker, step.tasks[0], task, free),
		})
	}
	scheduler.eachAllowed(now, step, consider)
	if found.slots == 0 && step.takesQuarantined(now) {
		scheduler.eachQuarantined(now, step, consider)
	}
	if found.slots < step.neededSlots() {
		return found
	}
	slices.SortFunc(found.workers, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(left.score, right.score), cmp.Compare(left.worker.id, right.worker.id))
	})
	return found
}

// neededSlots returns how many tasks of step have to find a place for any of them to be placed.
func (step *step) neededSlots() int {
	if step.Gang {
		return step.Count
	}
	return 1
}

// eachAllowed calls visit for each worker that may be given a task of step now, with its ticket.
func (scheduler *Scheduler) eachAllowed(now time.Time, step *step, visit func(worker *worker, ticket ticket)) {
	if step.job.policy.Advice == nil {
		scheduler.stats.Examined += int64(len(scheduler.ranked))
		for _, worker := range scheduler.ranked {
			if worker.canRun(step) {
				visit(worker, ticket{})
			}
		}
		return
	}
	scheduler.stats.Examined += int64(len(step.advice.tickets))
	for id, ticket := range step.advice.tickets {
		if worker := scheduler.ticketed(now, step, id, ticket); worker != nil {
			visit(worker, ticket)
		}
	}
}

// ticketed returns the worker of a ticket if it may be given a task of step now, or nil.
func (scheduler *Scheduler) ticketed(now time.Time, step *step, id describer.WorkerID, ticket ticket) *worker {
	if !ticket.valid(now) {
		return nil
	}
	worker := ticket.worker
	if worker == nil || worker.forgotten {
		worker = scheduler.workers[id]
	}
	if worker == nil || !worker.usable() || now.Before(worker.health.quarantinedUntil) || !worker.canRun(step) {
		return nil
	}
	return worker
}

// take returns the place for the next task, or nil if there is none.
func (candidates *candidates) take() *candidate {
	if len(candidates.workers) == 0 {
		return nil
	}
	first := &candidates.workers[0]
	first.slots--
	candidates.slots--
	if first.slots == 0 {
		candidates.workers = candidates.workers[1:]
	}
	return first
}

// slots returns the number of tasks of step that fit into the given resources of one worker.
func (step *step) slots(resources descriptor.Resources) int {
	needs := step.Occupied()
	count := step.Count
	if step.MaxPerWorker > 0 {
		count = min(count, step.MaxPerWorker)
	}
	for _, resource := range []struct{ need, free int64 }{
		{
			need: needs.MilliCPU,
			free: resources.MilliCPU,
		},
		{
			need: needs.MemoryBytes,
			free: resources.MemoryBytes,
		},
		{
			need: needs.Accelerators,
			free: resources.Accelerators,
		},
	} {
		switch {
		case resource.need > resource.free:
			return 0
		case resource.need > 0:
			count = int(min(int64(count), resource.free/resource.need))
		}
	}
	return count
}
