package planner

import (
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/work/descriptor"
)

const (
	// extendSilent is how long the leases of a silent worker are still renewed. A worker that is cut off
	// one way keeps its runs that long; after it the leases lapse, so that the runs can start elsewhere.
	extendSilent = 1500 * time.Millisecond
	// stopRepeat is the pause between two orders to stop the same run.
	stopRepeat = 400 * time.Millisecond
	// lookWait is how long a worker may wait for an end before it answers a look.
	lookWait = time.Second
	// cautiousWait is the same while calls to several workers get no answer. A look without an answer hides the
	// ends on its worker until it has timed out.
	cautiousWait = 300 * time.Millisecond
	// lookPace is the least mean time between two looks that wait so short, so that the looks at many workers do
	// not keep a leader from the answers to its orders.
	lookPace = 3 * time.Millisecond
	// cautiousTime is how long calls without an answer are remembered. Source: faults of the way to the workers
	// last seconds.
	cautiousTime = 3 * time.Second
	// cautiousAfter is the number of calls without an answer that are more than the loss of one worker.
	cautiousAfter = 3
)

// worker is what is known of a worker.
type worker struct {
	id          describer.WorkerID
	description *describer.Worker
	born        time.Time
	// known means that the worker answered in this term, so that its list is complete.
	known bool
	// gone means that the registry does not list the worker.
	gone bool
	runs map[describer.TaskID]*run
	used descriptor.Resources
	// strangers are runs that the planner does not know; their room is unknown until they have ended.
	strangers map[describer.TaskID]int
	// clock is the least that the worker's clock showed at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseUntil is when all leases on the worker have lapsed unless they are renewed.
	leaseUntil time.Time
	// silentSince is when the worker stopped answering; zero while it answers.
	silentSince time.Time
	// handled is the number of the last end that was taken, seen of the last that is durable.
	handled int64
	seen    int64
	unseen  []unseenEnd
	health  health
	// rank is the room at the begin of a pass.
	rank float64
}

// unseenEnd is an end that the worker must not forget before a record is durable.
type unseenEnd struct {
	number     int64
	job        *job
	generation int64
}

func (planner *Planner) worker(id describer.WorkerID) *worker {
	known := planner.workers[id]
	if known == nil {
		known = &worker{
			id:        id,
			gone:      true,
			runs:      map[describer.TaskID]*run{},
			strangers: map[describer.TaskID]int{},
		}
		planner.workers[id] = known
	}
	return known
}

// SetWorker takes a worker's entry in the registry.
func (planner *Planner) SetWorker(now time.Time, description *describer.Worker) {
	worker := planner.worker(description.ID)
	if worker.description != nil && description.Born.Before(worker.born) {
		return
	}
	if description.Born.After(worker.born) {
		planner.reborn(worker, description.Born)
	}
	if worker.clockAt.IsZero() {
		worker.clock = description.Clock
		worker.clockAt = now
	}
	worker.description = description
	worker.gone = false
	planner.changed = true
}

// RemoveWorker says that the registry no longer lists a worker.
func (planner *Planner) RemoveWorker(id describer.WorkerID) {
	if worker := planner.workers[id]; worker != nil {
		worker.gone = true
	}
}

// reborn notes that worker started anew. The new incarnation has the same address and ID, so it may have
// carried out orders that were meant for the earlier one: its list has to show what became of each run.
func (planner *Planner) reborn(worker *worker, born time.Time) {
	fresh := worker.born.IsZero()
	worker.born = born
	if fresh {
		return
	}
	planner.emit(Event{
		Kind:   EventWorkerReborn,
		Worker: worker.id,
	})
	for _, run := range worker.runs {
		if run.phase == phaseRunning {
			run.phase = phaseRecovered
		}
	}
	worker.known = false
	worker.clockAt = time.Time{}
	worker.handled = 0
	worker.seen = 0
	worker.unseen = nil
	worker.health = health{}
	clear(worker.strangers)
}

func (planner *Planner) loseRuns(now time.Time, worker *worker, reason string) {
	for _, run := range worker.runs {
		planner.stats.Lost++
		planner.emit(Event{
			Kind:   EventRunLost,
			Job:    run.task.step.job.ID,
			Task:   run.id().String(),
			Run:    run.number,
			Worker: worker.id,
			Detail: reason,
			Age:    now.Sub(run.placed),
		})
		planner.release(now, run, reason)
	}
}

// Reachable returns the workers that have an address.
func (planner *Planner) Reachable() []*describer.Worker {
	var all []*describer.Worker
	for _, worker := range planner.workers {
		if worker.description != nil {
			all = append(all, worker.description)
		}
	}
	return all
}

// LookOrder returns the next order to look at a worker. Nil means that the worker is forgotten. Unseen means
// that ends wait for their records, so that the worker would answer at once.
func (planner *Planner) LookOrder(now time.Time, id describer.WorkerID) (description *describer.Worker, order describer.LookOrder, unseen bool) {
	worker := planner.workers[id]
	if worker == nil || worker.description == nil {
		return nil, order, false
	}
	worker.advanceSeen()
	order.Seen = worker.seen
	order.Wait = lookWait
	if planner.cautious(now) {
		order.Wait = min(max(cautiousWait, time.Duration(len(planner.workers))*lookPace), lookWait)
	}
	if !worker.known || !worker.silentSince.IsZero() {
		order.Wait = 0
		// A new incarnation, whose ends count from 1, may answer: it must not forget any yet.
		order.Seen = 0
	}
	if worker.silentSince.IsZero() || now.Sub(worker.silentSince) < extendSilent {
		order.Deadline = worker.clockNow(now) + planner.lease()
		worker.extend(now, planner.lease())
	}
	return worker.description, order, len(worker.unseen) > 0
}

// unanswer notes a call without an answer to a worker that was not silent before.
func (planner *Planner) unanswer(now time.Time) {
	planner.unanswered = append(planner.unanswered, now)
	planner.unanswered = planner.unanswered[max(len(planner.unanswered)-cautiousAfter, 0):]
}

// cautious tells whether calls to workers are being lost.
func (planner *Planner) cautious(now time.Time) bool {
	return len(planner.unanswered) == cautiousAfter && now.Sub(planner.unanswered[0]) < cautiousTime
}

// lease is how long the leases of workers are renewed for.
func (planner *Planner) lease() time.Duration {
	return min(planner.options.LongestLease, usualLease)
}

// extend notes that an order may make the leases on worker last for lease.
func (worker *worker) extend(now time.Time, lease time.Duration) {
	until := now.Add(time.Duration(float64(lease)/clockSlowness) + leaseMargin)
	if until.After(worker.leaseUntil) {
		worker.leaseUntil = until
	}
}

// clockNow estimates the worker's clock.
func (worker *worker) clockNow(now time.Time) time.Duration {
	return worker.clock + now.Sub(worker.clockAt)
}

// advanceSeen lets the worker forget the ends whose records are durable.
func (worker *worker) advanceSeen() {
	for len(worker.unseen) > 0 {
		first := worker.unseen[0]
		if first.job != nil && first.job.durable < first.generation {
			return
		}
		worker.seen = first.number
		worker.unseen = worker.unseen[1:]
	}
}

// Looked takes a worker's answer to a look that was sent at sent.
func (planner *Planner) Looked(now, sent time.Time, id describer.WorkerID, look describer.Look) {
	worker := planner.workers[id]
	if worker == nil || look.Born.Before(worker.born) {
		return
	}
	if look.Born.After(worker.born) {
		planner.reborn(worker, look.Born)
	}
	if !worker.silentSince.IsZero() {
		planner.emit(Event{
			Kind:   EventWorkerBack,
			Worker: worker.id,
			Age:    now.Sub(worker.silentSince),
		})
		worker.silentSince = time.Time{}
		planner.changed = true
	}
	if !worker.known {
		worker.known = true
		planner.changed = true
	}
	worker.clock = look.Clock
	worker.clockAt = now
	for _, end := range look.Ended {
		planner.takeEnd(now, worker, end)
	}
	planner.compare(now, sent, worker, look)
}

// compare brings the runs that are known of worker in line with its list.
func (planner *Planner) compare(now, sent time.Time, worker *worker, look describer.Look) {
	listed := make(map[describer.TaskID]bool, len(look.Running))
	strangers := len(worker.strangers)
	clear(worker.strangers)
	for index := range look.Running {
		running := &look.Running[index]
		run := worker.runs[running.Task]
		if run == nil || run.number != running.Run {
			planner.stopStranger(worker, running)
			continue
		}
		listed[running.Task] = true
		planner.progress(now, run, running)
	}
	if strangers > 0 && len(worker.strangers) == 0 {
		planner.changed = true
	}
	for id, run := range worker.runs {
		if listed[id] {
			continue
		}
		switch run.phase {
		case phaseRecovered:
			if run.confirmed.IsZero() || run.confirmed.Before(sent) {
				planner.release(now, run, "was not started or ended with the worker's earlier incarnation")
			}
		case phaseRunning, phaseStopping:
			if !run.confirmed.IsZero() && run.confirmed.Before(sent) {
				planner.release(now, run, "is not in the worker's list")
			}
		}
	}
}

// progress takes a row of a worker's list.
func (planner *Planner) progress(now time.Time, run *run, running *describer.Running) {
	if running.Checkpoint != "" && run.task.active == run {
		run.task.checkpoint = running.Checkpoint
	}
	if run.phase == phaseStarting || run.phase == phaseRecovered {
		run.phase = phaseRunning
		run.confirmed = now
		run.progressed = now
		run.task.step.job.begin()
	}
	if running.Percent != run.percent {
		run.percent = running.Percent
		run.progressed = now
	}
	planner.checkStall(now, run)
}

// stopStranger stops a run that no record knows, such as one of a job that was cancelled under an earlier leader.
func (planner *Planner) stopStranger(worker *worker, running *describer.Running) {
	worker.strangers[running.Task] = running.Run
	planner.effects.Stops = append(planner.effects.Stops, Stop{
		Worker: worker.description,
		Order: describer.StopOrder{
			Task: running.Task,
			Run:  running.Run,
		},
		Reason: "run is not in the records",
	})
	planner.emit(Event{
		Kind:   EventStrangerStopped,
		Job:    running.Task.Job,
		Task:   running.Task.String(),
		Run:    running.Run,
		Worker: worker.id,
	})
}

// LookFailed says that a worker did not answer a look.
func (planner *Planner) LookFailed(now time.Time, id describer.WorkerID, err error) {
	worker := planner.workers[id]
	if worker == nil {
		return
	}
	if worker.silentSince.IsZero() {
		worker.silentSince = now
		planner.unanswer(now)
		planner.emit(Event{
			Kind:   EventWorkerSilent,
			Worker: worker.id,
			Detail: err.Error(),
			Age:    now.Sub(worker.clockAt),
		})
	}
}

// tickWorker ends the runs of a silent worker whose leases have lapsed and repeats orders to stop.
func (planner *Planner) tickWorker(now time.Time, worker *worker) {
	if !worker.known || !worker.silentSince.IsZero() {
		if now.After(worker.leaseUntil) && len(worker.runs) > 0 {
			planner.loseRuns(now, worker, "leases have lapsed")
		}
		if worker.gone && len(worker.runs) == 0 && now.After(worker.leaseUntil) {
			delete(planner.workers, worker.id)
		}
		return
	}
	for _, run := range worker.runs {
		if run.phase == phaseStopping && run.confirmed.IsZero() && now.Sub(run.placed) > stopRepeat {
			run.placed = now
			planner.orderStop(run, "order to stop got no answer")
		}
	}
}
