package scheduler

import (
	"slices"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/evictor"
	"pomelomoor/internal/work/descriptor"
)

const (
	// evictionDelay is how long a lasting task that ran before waits for free capacity before other runs are stopped
	// for it.
	evictionDelay = 1200 * time.Millisecond
	// evictionRetryInterval is the time until workers are examined again for a step for which none could be cleared.
	evictionRetryInterval = 200 * time.Millisecond
	// minEvictionValidity is how long the ticket for a worker must be valid when runs are stopped there. A stop and
	// the record of the new run take less.
	minEvictionValidity = 1200 * time.Millisecond
	// placeHoldPeriod is how long the place of a lasting run that has ended is kept for the next run. It covers the
	// record and one request for advice.
	placeHoldPeriod = 1500 * time.Millisecond
	// evacuationDelay is how long a lasting task stays on a draining worker while no place for it is known. After
	// that it is stopped and started where it fits, since it would end with the worker.
	evacuationDelay = 1500 * time.Millisecond
	// quarantinedDelay is how long a lasting task that ran before waits for a sound worker before it is started on a
	// quarantined one.
	quarantinedDelay = 3 * time.Second
	// rackWeight is the weight of the share of a step's lasting tasks on a rack in the score of its workers.
	rackWeight = 0.5
)

// waitsSince returns when the first of the waiting tasks of a lasting step began to wait.
func (step *step) waitsSince() time.Time {
	if step.waitingFrom.IsZero() {
		return step.occurrence.due
	}
	return step.waitingFrom
}

// noteWaiting notes that a task of step waits for a run again.
func (step *step) noteWaiting(now time.Time) {
	if step.unplaced == 0 || step.waitingFrom.IsZero() {
		step.waitingFrom = now
	}
}

// evict stops runs of other work for a lasting task that has waited too long: by the rules of the platform's users
// it must run again soon, however full the workers are. One worker is cleared at a time for each step, and none for a task
// for which a place is kept.
func (scheduler *Scheduler) evict(now time.Time, step *step) {
	if !step.Perpetual || step.Gang || now.Sub(step.waitsSince()) < evictionDelay || now.Before(step.evictableFrom) {
		return
	}
	var task *task
	waiting := 0
	for _, candidate := range step.tasks {
		if candidate.state == taskWaiting && candidate.run > 0 && !now.Before(candidate.retryAt) {
			task = candidate
			waiting++
		}
	}
	if waiting <= scheduler.heldPlaces(now, step) {
		return
	}
	var best []*run
	var cleared *worker
	var bestLost float64
	for _, worker := range scheduler.evictionCandidates(now, step) {
		runs, victims := worker.evictable(now)
		chosen, lost, possible := evictor.Choose(step.Occupied(), worker.free(), victims)
		if !possible || len(chosen) == 0 || best != nil && lost >= bestLost {
			continue
		}
		best, bestLost, cleared = nil, lost, worker
		for _, index := range chosen {
			best = append(best, runs[index])
		}
	}
	if best == nil {
		step.evictableFrom = now.Add(evictionRetryInterval)
		return
	}
	step.evictableFrom = now.Add(minEvictionValidity)
	cleared.hold(now, step, step.evictableFrom)
	for _, run := range best {
		scheduler.stop(now, run, "its worker's capacity goes to the lasting task "+task.id().String())
	}
}

// evictionCandidates returns the workers that may run a task of step, whether or not they have free capacity.
func (scheduler *Scheduler) evictionCandidates(now time.Time, step *step) []*worker {
	var candidates []*worker
	for _, worker := range scheduler.ranked {
		if !worker.canRun(step) || step.MaxPerWorker > 0 && worker.runCount(step) >= step.MaxPerWorker {
			continue
		}
		if step.job.policy.Advice != nil && step.advice.tickets[worker.id].expires.Sub(now) < minEvictionValidity {
			continue
		}
		candidates = append(candidates, worker)
	}
	return candidates
}

// heldPlace is capacity of a worker that is kept for a task of a lasting step, until one of its tasks is placed there or
// until a time.
type heldPlace struct {
	step  *step
	until time.Time
}

// inForce reports whether a task waits for the place.
func (place heldPlace) inForce(now time.Time) bool {
	return now.Before(place.until) && place.step.unplaced > 0 && !place.step.job.state.Final()
}

// holdPlace keeps the capacity of a lasting run that has ended on a sound worker for its next run, which has to wait for
// its record and for advice.
func (scheduler *Scheduler) holdPlace(now time.Time, run *run) {
	if !run.worker.usable() || now.Before(run.worker.health.quarantinedUntil) {
		return
	}
	run.worker.hold(now, run.task.step, now.Add(placeHoldPeriod))
}

// hold keeps capacity of the worker for a task of a lasting step. It is the worker's own time that counts, since another
// task of the step may wait for much longer for a place that does not exist.
func (worker *worker) hold(now time.Time, step *step, until time.Time) {
	worker.heldPlaces = slices.DeleteFunc(worker.heldPlaces, func(place heldPlace) bool {
		return !place.inForce(now)
	})
	worker.heldPlaces = append(worker.heldPlaces, heldPlace{
		step:  step,
		until: until,
	})
	if until.After(step.placesHeldUntil) {
		step.placesHeldUntil = until
	}
}

// takePlace ends the hold of one place for step, which a task of step has taken.
func (worker *worker) takePlace(step *step) {
	for index, place := range worker.heldPlaces {
		if place.step == step {
			worker.heldPlaces = slices.Delete(worker.heldPlaces, index, index+1)
			return
		}
	}
}

// placesFor returns the number of places that the worker keeps for step.
func (worker *worker) placesFor(now time.Time, step *step) int {
	count := 0
	for _, place := range worker.heldPlaces {
		if place.step == step && place.inForce(now) {
			count++
		}
	}
	return count
}

// freeFor returns the capacity of the worker that is neither allocated to runs nor kept for a step other than step.
func (worker *worker) freeFor(now time.Time, step *step) descriptor.Resources {
	free := worker.free()
	for _, place := range worker.heldPlaces {
		if place.step != step && place.inForce(now) {
			free = free.Sub(place.step.Occupied())
		}
	}
	return free
}

// heldPlaces returns the number of places that are kept for step on workers that may be given work.
func (scheduler *Scheduler) heldPlaces(now time.Time, step *step) int {
	if !now.Before(step.placesHeldUntil) {
		return 0
	}
	count := 0
	for _, worker := range scheduler.ranked {
		count += worker.placesFor(now, step)
	}
	return count
}

// heldFirst moves the first worker on which a place is kept for step to the front of workers.
func heldFirst(now time.Time, step *step, workers []*worker) []*worker {
	if !now.Before(step.placesHeldUntil) {
		return workers
	}
	for index, worker := range workers {
		if worker.placesFor(now, step) > 0 {
			return slices.Concat(workers[index:index+1], workers[:index], workers[index+1:])
		}
	}
	return workers
}

// evictable returns the runs on the worker that may be stopped for a lasting task, in two forms. The members of a
// gang are left out, since a stop of one ends them all.
func (worker *worker) evictable(now time.Time) ([]*run, []evictor.Run) {
	var runs []*run
	var victims []evictor.Run
	for _, run := range worker.runs {
		step := run.task.step
		if run.phase != phaseRunning || step.Perpetual || step.Gang {
			continue
		}
		runs = append(runs, run)
		victims = append(victims, evictor.Run{
			Needs: step.Occupied(),
			Lost:  now.Sub(run.placedAt).Seconds() * float64(step.Needs.MilliCPU) / 1000,
		})
	}
	return runs, victims
}

// evacuate moves lasting tasks off draining workers. A task is stopped when another worker can take it, or when the
// worker may leave soon.
func (scheduler *Scheduler) evacuate(now time.Time) {
	for _, worker := range scheduler.workers {
		if worker.drainingSince.IsZero() || !worker.answered || !worker.silentSince.IsZero() {
			continue
		}
		for _, run := range worker.runs {
			step := run.task.step
			if run.phase != phaseRunning || !step.Perpetual || step.Gang || step.job.state.Final() {
				continue
			}
			step.evacuated = now
			scheduler.requestAdvice(now, queuedStep{
				step:       step,
				urgentFrom: worker.drainingSince,
			})
			place, _ := scheduler.chooseWorker(now, run.task, nil, "")
			if place == nil && now.Sub(worker.drainingSince) < evacuationDelay {
				continue
			}
			scheduler.stop(now, run, "its worker is draining")
		}
	}
}

// wantedTasks returns the number of tasks of step that need a place now or, on a draining worker, soon.
func (step *step) wantedTasks(now time.Time) int {
	if step.unplaced == 0 && step.evacuated.Equal(now) {
		return 1
	}
	return step.unplaced
}

// rackShare returns the share of the other tasks of a lasting step that run on the rack of worker.
func (scheduler *Scheduler) rackShare(step *step, worker *worker, assigned map[*worker]int) float64 {
	if worker.description.Rack == "" || step.Count < 2 {
		return 0
	}
	count := 0
	for _, task := range step.tasks {
		if task.active != nil && task.active.worker.description != nil && task.active.worker.description.Rack == worker.description.Rack {
			count++
		}
	}
	for other, tasks := range assigned {
		if other.description.Rack == worker.description.Rack {
			count += tasks
		}
	}
	return float64(count) / float64(step.Count-1)
}

// noteDraining notes since when a worker has reported that it is draining.
func (worker *worker) noteDraining(now time.Time, description *describer.Worker) {
	switch {
	case !description.Draining:
		worker.drainingSince = time.Time{}
	case worker.drainingSince.IsZero():
		worker.drainingSince = now
	}
}
