package planner

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

// attach books a run on its worker.
func (planner *Planner) attach(run *run) {
	task := run.task
	worker := run.worker
	worker.runs[run.id()] = run
	worker.used = worker.used.Add(task.step.Occupied())
	task.active = run
	task.state = taskActive
	task.step.unplaced--
	if task.step.unplaced == 0 {
		delete(planner.waiting, task.step)
	}
}

// detach frees what a run occupied on its worker.
func (planner *Planner) detach(run *run) {
	id := run.id()
	if run.worker.runs[id] != run {
		return
	}
	delete(run.worker.runs, id)
	run.worker.used = run.worker.used.Sub(run.task.step.Occupied())
	planner.changed = true
}

// release ends a run that is over without an outcome of its own, and queues its task again.
func (planner *Planner) release(now time.Time, run *run, reason string) {
	planner.emit(Event{
		Kind:   EventRunReleased,
		Job:    run.task.step.job.ID,
		Task:   run.id().String(),
		Run:    run.number,
		Worker: run.worker.id,
		Detail: reason,
		Age:    now.Sub(run.placed),
	})
	planner.detach(run)
	task := run.task
	if task.active != run {
		return
	}
	task.active = nil
	task.state = taskWaiting
	task.step.unplaced++
	planner.touch(task.step.job)
	if task.step.Gang {
		planner.breakGang(now, task.step, run.number, reason)
	}
	planner.enqueue(task.step)
}

// breakGang stops the members that are left of a run of a gang.
func (planner *Planner) breakGang(now time.Time, step *step, number int, reason string) {
	for _, task := range step.tasks {
		if task.active != nil && task.active.number == number {
			planner.stop(now, task.active, "member of the gang is missing: "+reason)
		}
	}
}

// stop orders the end of a run. A run whose order was not sent yet is over at once.
func (planner *Planner) stop(now time.Time, run *run, reason string) {
	switch run.phase {
	case phaseIntended:
		run.phase = phaseStopping
		planner.release(now, run, reason)
	case phaseStopping:
	default:
		run.phase = phaseStopping
		run.confirmed = time.Time{}
		run.placed = now
		planner.orderStop(run, reason)
	}
}

func (planner *Planner) orderStop(run *run, reason string) {
	if run.worker.description == nil {
		return
	}
	planner.effects.Stops = append(planner.effects.Stops, Stop{
		Worker: run.worker.description,
		Order: describer.StopOrder{
			Task: run.id(),
			Run:  run.number,
		},
		Reason: reason,
	})
}

// launch orders the start of a run whose record is durable.
func (planner *Planner) launch(now time.Time, run *run) {
	worker := run.worker
	if !worker.usable() || run.task.step.job.state.Final() {
		run.phase = phaseStopping
		planner.release(now, run, "worker left before the start")
		return
	}
	if run.ticket.expired(now) {
		run.phase = phaseStopping
		planner.release(now, run, "ticket expired before the record was stored")
		return
	}
	run.phase = phaseStarting
	worker.extend(now, startDeadline)
	planner.effects.Starts = append(planner.effects.Starts, Start{
		Worker: worker.description,
		Order: describer.StartOrder{
			Task:       run.id(),
			Run:        run.number,
			Payload:    run.task.step.job.Payload,
			Checkpoint: run.task.checkpoint,
			Ticket:     run.ticket.text,
			Deadline:   worker.clockNow(now) + startDeadline,
		},
		Waited: now.Sub(run.task.step.job.Submitted),
	})
}

// find returns the run that an order was about, or nil if it is over.
func (planner *Planner) find(id describer.WorkerID, task describer.TaskID, number int) *run {
	worker := planner.workers[id]
	if worker == nil {
		return nil
	}
	run := worker.runs[task]
	if run == nil || run.number != number {
		return nil
	}
	return run
}

// Started takes the answer to an order to start.
func (planner *Planner) Started(now time.Time, start Start, err error) {
	run := planner.find(start.Worker.ID, start.Order.Task, start.Order.Run)
	if run == nil {
		return
	}
	switch {
	case err == nil && run.phase == phaseStopping:
		run.confirmed = time.Time{}
		planner.orderStop(run, "stopped during its start")
	case err == nil:
		if run.phase == phaseStarting {
			run.phase = phaseRunning
		}
		run.confirmed = now
		run.progressed = now
		run.task.step.job.begin()
	case errors.Is(err, describer.ErrUncertain):
		planner.unanswer(now)
		run.worker.health.suspect(now)
		planner.stop(now, run, "start got no answer")
	case errors.Is(err, describer.ErrReborn):
		// Another worker answers at the address.
		run.worker.health.suspect(now)
		planner.release(now, run, err.Error())
	case errors.Is(err, describer.ErrTicket):
		delete(run.task.step.advice.tickets, run.worker.id)
		planner.release(now, run, err.Error())
	default:
		run.worker.health.suspect(now)
		planner.release(now, run, err.Error())
	}
}

// Stopped takes the answer to an order to stop.
func (planner *Planner) Stopped(now time.Time, stop Stop, err error) {
	run := planner.find(stop.Worker.ID, stop.Order.Task, stop.Order.Run)
	if run == nil || err != nil || run.phase != phaseStopping {
		return
	}
	run.confirmed = now
	if run.progressed.IsZero() {
		// The worker lists an end only if the run had begun. If it had not, no end wakes the look that waits.
		planner.effects.Looks = append(planner.effects.Looks, run.worker.id)
	}
}
