package scheduler

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

// allocate assigns a run to its worker and takes up the resources that the run needs.
func (scheduler *Scheduler) allocate(run *run) {
	task := run.task
	worker := run.worker
	worker.runs[run.id()] = run
	worker.occupy(task.step)
	run.charge()
	task.active = run
	task.state = taskActive
	task.step.unplaced--
	task.step.idleFrom = time.Time{}
	if task.step.unplaced == 0 {
		delete(scheduler.waiting, task.step)
	}
}

// occupy takes up what a task of step needs on the worker.
func (worker *worker) occupy(step *step) {
	worker.used = worker.used.Add(step.Occupied())
	if step.Perpetual {
		worker.usedByLasting = worker.usedByLasting.Add(step.Occupied())
	}
}

// vacate frees what a task of step needs on the worker.
func (worker *worker) vacate(step *step) {
	worker.used = worker.used.Sub(step.Occupied())
	if step.Perpetual {
		worker.usedByLasting = worker.usedByLasting.Sub(step.Occupied())
	}
}

// deallocate frees the resources of a run on its worker.
func (scheduler *Scheduler) deallocate(run *run) {
	id := run.id()
	if run.worker.runs[id] != run {
		return
	}
	delete(run.worker.runs, id)
	if run.phase != phaseUnlisted {
		scheduler.freeResources(run)
	}
}

// freeResources frees what a run takes up on its worker.
func (scheduler *Scheduler) freeResources(run *run) {
	run.endProbation()
	run.worker.vacate(run.task.step)
	run.credit()
	scheduler.changed = true
}

// release ends a run that has no outcome, and enqueues its task again.
func (scheduler *Scheduler) release(now time.Time, run *run, reason string) {
	scheduler.emit(Event{
		Kind:   EventRunReleased,
		Job:    run.task.step.job.ID,
		Task:   run.id().String(),
		Run:    run.number,
		Worker: run.worker.id,
		Detail: reason,
		Age:    now.Sub(run.placedAt),
	})
	scheduler.deallocate(run)
	task := run.task
	if task.active != run {
		return
	}
	task.active = nil
	task.givenUp = run.number
	task.state = taskWaiting
	task.waitingFrom = now
	task.step.noteWaiting(now)
	task.step.unplaced++
	scheduler.markDirty(task.step.job)
	if task.step.Gang {
		scheduler.stopGang(now, task.step, run.number, reason)
	}
	scheduler.enqueue(task.step)
}

// stopGang stops the remaining tasks of a run of a gang.
func (scheduler *Scheduler) stopGang(now time.Time, step *step, number int, reason string) {
	for _, task := range step.tasks {
		if task.active != nil && task.active.number == number {
			scheduler.stop(now, task.active, "another task of the gang ended: "+reason)
		}
	}
}

// stop stops a run. A run whose start order was not issued yet is released at once.
func (scheduler *Scheduler) stop(now time.Time, run *run, reason string) {
	switch run.phase {
	case phaseIntended:
		run.phase = phaseStopping
		scheduler.release(now, run, reason)
	case phaseStopping, phaseUnlisted:
	default:
		run.phase = phaseStopping
		run.confirmedAt = time.Time{}
		run.placedAt = now
		scheduler.orderStop(run, reason)
	}
}

func (scheduler *Scheduler) orderStop(run *run, reason string) {
	if run.worker.description == nil {
		return
	}
	run.openStops++
	scheduler.effects.Stops = append(scheduler.effects.Stops, Stop{
		Worker: run.worker.description,
		Fence:  run.worker.fence,
		Order: describer.StopOrder{
			Task: run.id(),
			Run:  run.number,
		},
		Reason: reason,
	})
}

// ErrNotSent means that a start order was not sent, since it would have come too late.
var ErrNotSent = errors.New("start order was not sent in time")

// orderStart issues the start order of a run whose record is durable.
func (scheduler *Scheduler) orderStart(now time.Time, run *run) {
	worker := run.worker
	if !worker.usable() || run.task.step.job.state.Final() {
		run.phase = phaseStopping
		scheduler.release(now, run, "worker became unusable or job ended before the start")
		return
	}
	if run.ticket.expired(now) {
		run.phase = phaseStopping
		scheduler.release(now, run, "ticket expired before the record was stored")
		return
	}
	run.phase = phaseStarting
	run.heldUntil = leaseEnd(now.Add(startValidity), scheduler.options.MaxLease)
	worker.extendLease(now, startValidity, LeaseStarted)
	deadline := worker.clockNow(now) + startValidity
	worker.latestDeadline = max(worker.latestDeadline, deadline)
	sendBy := now.Add(startValidity - orderTransit)
	if expires := run.ticket.expires; !expires.IsZero() && expires.Add(-orderTransit).Before(sendBy) {
		sendBy = expires.Add(-orderTransit)
	}
	queued := scheduler.newQueuedStep(now, run.task.step)
	scheduler.effects.Starts = append(scheduler.effects.Starts, Start{
		Rank:   queued.rank(),
		SendBy: sendBy,
		Worker: worker.description,
		Fence:  worker.fence,
		Order: describer.StartOrder{
			Task:       run.id(),
			Run:        run.number,
			Payload:    run.task.step.job.Payload,
			Checkpoint: run.task.checkpoint,
			Ticket:     run.ticket.text,
			Deadline:   deadline,
		},
		Waited: now.Sub(run.task.step.job.Submitted),
	})
}

// findRun returns the run that an order refers to, or nil if it has ended.
func (scheduler *Scheduler) findRun(id describer.WorkerID, task describer.TaskID, number int) *run {
	worker := scheduler.workers[id]
	if worker == nil {
		return nil
	}
	run := worker.runs[task]
	if run == nil || run.number != number {
		return nil
	}
	return run
}

// StartAnswered processes the result of a start order.
func (scheduler *Scheduler) StartAnswered(now time.Time, start Start, err error) {
	run := scheduler.findRun(start.Worker.ID, start.Order.Task, start.Order.Run)
	if run == nil {
		return
	}
	switch {
	case err == nil && run.phase == phaseStopping:
		run.confirmedAt = time.Time{}
		scheduler.orderStop(run, "run was stopped while it was starting")
	case err == nil:
		scheduler.noteLatency(now, run)
		if run.phase == phaseStarting {
			run.phase = phaseRunning
		}
		run.confirmedAt = now
		run.lastProgress = now
		if run.worker.answered {
			run.heldUntil = time.Time{}
		}
		run.task.refusals = 0
		run.task.step.job.markStarted()
	case errors.Is(err, describer.ErrUncertain):
		scheduler.noteUnanswered(now)
		run.noteRefusal(now)
		if run.phase == phaseStarting {
			// The worker may have started the run although its answer was lost. Its list tells.
			run.unansweredAt = now
			scheduler.effects.Polls = append(scheduler.effects.Polls, run.worker.id)
		}
	case errors.Is(err, describer.ErrIncarnationChanged):
		// Another incarnation of the worker answered.
		run.worker.health.suspect(now)
		scheduler.release(now, run, err.Error())
	case errors.Is(err, ErrNotSent), errors.Is(err, describer.ErrFenced):
		// An order with an older fencing token was meant for a former incarnation.
		scheduler.release(now, run, err.Error())
	case errors.Is(err, describer.ErrTicketRejected):
		run.task.step.advice.drop(run.worker.id)
		scheduler.release(now, run, err.Error())
	case errors.Is(err, describer.ErrNoEffect):
		run.noteRefusal(now)
		scheduler.release(now, run, err.Error())
	default:
		run.worker.health.suspect(now)
		scheduler.release(now, run, err.Error())
	}
}

// noteRefusal notes that the worker did not accept the start of the run. The worker is avoided for a while. When several
// in a row did not accept the task, it is the more likely cause: then the task waits, twice as long each time.
func (run *run) noteRefusal(now time.Time) {
	task := run.task
	task.refusals++
	if task.refusals < refusalThreshold {
		run.worker.health.suspect(now)
		return
	}
	delay := minRefusalDelay << min(task.refusals-refusalThreshold, 16)
	task.retryAt = now.Add(min(delay, maxRefusalDelay))
}

// StopAnswered processes the result of a stop order.
func (scheduler *Scheduler) StopAnswered(now time.Time, stop Stop, err error) {
	run := scheduler.findRun(stop.Worker.ID, stop.Order.Task, stop.Order.Run)
	if run == nil {
		return
	}
	run.openStops = max(run.openStops-1, 0)
	if err != nil || run.phase != phaseStopping {
		return
	}
	run.confirmedAt = now
	if run.lastProgress.IsZero() {
		// The worker lists an end only if the run had started. Otherwise no end would complete the pending poll early.
		scheduler.effects.Polls = append(scheduler.effects.Polls, run.worker.id)
	}
}
