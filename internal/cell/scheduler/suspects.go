package scheduler

import (
	"fmt"
	"net/netip"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/isolator"
)

const (
	// settlePeriod is how long a worker has to go on after the start of a run before it has survived the start.
	settlePeriod = 300 * time.Millisecond
	// soundPeriod is how long a run has to go on before the workers that were lost with its task are forgotten.
	soundPeriod = 30 * time.Second
	// knownPeriod is how long a queue is known for tasks that crash their workers after one was given up.
	knownPeriod = 30 * time.Second
	// returnPeriod is how long a worker that was lost may return and show that it had not crashed.
	returnPeriod = time.Minute
	// isolationTimeout is how long a suspect waits for a worker that starts nothing else, and lastingIsolationTimeout how
	// long a lasting one does, which has to run again within 6 s.
	isolationTimeout        = 8 * time.Second
	lastingIsolationTimeout = 2 * time.Second
	// isolationWeight is the weight of the used share of a worker's CPU in its score for a suspect.
	isolationWeight = 4
)

// lostWorker is a worker of which it is not known whether it has crashed.
type lostWorker struct {
	incarnation time.Time
	address     netip.AddrPort
	at          time.Time
	charges     []isolator.Charge
}

func (lost *lostWorker) confirm() {
	for _, charge := range lost.charges {
		charge.Confirm()
	}
}

// noteReturn decides whether a lost worker has crashed when a worker with its ID answers: in the same incarnation it
// was only cut off. Otherwise, or if it has taken the address of another, that one has crashed.
func (scheduler *Scheduler) noteReturn(worker *worker) {
	for id, lost := range scheduler.lost {
		switch {
		case id == worker.id && lost.incarnation.Equal(worker.incarnation):
			for _, charge := range lost.charges {
				charge.Withdraw()
			}
		case lost.incarnation.Before(worker.incarnation) && (id == worker.id || worker.hasAddress(lost.address)):
			lost.confirm()
		default:
			continue
		}
		delete(scheduler.lost, id)
	}
}

// hasAddress reports whether the worker is known to use address.
func (worker *worker) hasAddress(address netip.AddrPort) bool {
	return address.IsValid() && worker.knownAddress() == address
}

// forgetLost drops the charges of workers that did not return.
func (scheduler *Scheduler) forgetLost(now time.Time) {
	for id, lost := range scheduler.lost {
		if now.Sub(lost.at) > returnPeriod {
			delete(scheduler.lost, id)
		}
	}
}

// noteLoss notes that the worker was lost with its runs, and fails the jobs whose task is to blame. crashed means that it
// is known to have crashed. Runs that were not ordered yet or are over do not count, nor do those on a worker that was
// draining, which leaves without a crash.
func (scheduler *Scheduler) noteLoss(now time.Time, worker *worker, reason string, crashed bool) {
	var blamed []isolator.Run
	var tasks []*task
	for _, run := range worker.runs {
		if run.phase == phaseIntended || run.phase == phaseUnlisted || run.blamed {
			continue
		}
		run.blamed = true
		blamed = append(blamed, isolator.Run{
			History:   &run.task.history,
			Confirmed: !run.lastProgress.IsZero(),
			Survived:  run.survived,
		})
		tasks = append(tasks, run.task)
	}
	scheduler.emitLoss(now, worker, reason, blamed)
	if !worker.drainingSince.IsZero() {
		return
	}
	lost := &lostWorker{
		incarnation: worker.incarnation,
		at:          now,
		charges:     isolator.Blame(blamed),
	}
	lost.address = worker.knownAddress()
	switch {
	case crashed:
		lost.confirm()
	case len(blamed) > 0:
		scheduler.lost[worker.id] = lost
	}
	for _, task := range tasks {
		if job := task.step.job; !job.state.Final() {
			scheduler.markDirty(job)
			scheduler.giveUpHopeless(now, task)
			task.pauseLasting(worker)
		}
	}
}

// pauseLasting delays the next start of a lasting task that was lost with several workers, the last time with worker. No
// loss is a reason to give it up, so that the pause limits how many workers it can crash. It counts from the worker's last
// answer. A new leader that had none starts the task at once.
func (task *task) pauseLasting(worker *worker) {
	if !task.step.Perpetual || !worker.answeredInTerm {
		return
	}
	if until := worker.clockAt.Add(task.history.Pause()); until.After(task.retryAt) {
		task.retryAt = until
	}
}

// emitLoss reports the loss of a worker with the given runs.
func (scheduler *Scheduler) emitLoss(now time.Time, worker *worker, reason string, runs []isolator.Run) {
	event := Event{
		Kind:        EventWorkerLost,
		Worker:      worker.id,
		Detail:      reason,
		Runs:        len(runs),
		Incarnation: worker.incarnation,
		Lease:       worker.leaseBasis,
		LeaseAge:    now.Sub(worker.leaseFrom),
	}
	if !worker.silentSince.IsZero() {
		event.Age = now.Sub(worker.silentSince)
	}
	for _, run := range runs {
		if !run.Survived {
			event.Starting++
		}
	}
	scheduler.emit(event)
}

// giveUpHopeless fails the job of a task that crashes its workers. It reports whether it did. A lasting task has to be
// restarted however its runs end.
func (scheduler *Scheduler) giveUpHopeless(now time.Time, task *task) bool {
	if task.step.Perpetual {
		return false
	}
	queue := task.step.job.queue
	known := !queue.gaveUpAt.IsZero() && now.Sub(queue.gaveUpAt) < knownPeriod
	if !task.history.Hopeless(known) {
		return false
	}
	queue.gaveUpAt = now
	scheduler.stats.GivenUp++
	scheduler.finish(now, task.step.job, describer.JobFailed, fmt.Sprintf("%d workers crashed under task %s", task.history.Losses, task.id()))
	return true
}

// noteSurvival notes that the worker listed the run, which has gone on since it was confirmed.
func (scheduler *Scheduler) noteSurvival(now time.Time, run *run) {
	run.blamed = false
	age := now.Sub(run.confirmedAt)
	if run.confirmedAt.IsZero() || run.survived && age < soundPeriod || age < settlePeriod {
		return
	}
	run.survived = true
	history := &run.task.history
	before := *history
	history.Clear()
	if age >= soundPeriod {
		history.Forget()
	}
	if !history.Closed() {
		run.endProbation()
	}
	if *history != before {
		scheduler.markDirty(run.task.step.job)
		scheduler.changed = true
	}
}

// probation is a group of suspects that a worker starts together, and nothing else until it has survived their starts.
type probation struct {
	// runs are those whose starts the worker has yet to survive.
	runs map[*run]struct{}
	// room is the number of suspects that may join in the pass at openedAt.
	room     int
	openedAt time.Time
}

func newProbation(now time.Time, room int) *probation {
	return &probation{
		runs:     map[*run]struct{}{},
		room:     room,
		openedAt: now,
	}
}

// mayJoin reports whether the task is a suspect that the worker may start together with those that it has been given in
// this pass. Gangs and lasting tasks are not grouped, since the next crash would end the whole gang or a lasting task
// once more.
func (worker *worker) mayJoin(now time.Time, task *task) bool {
	probation := worker.probation
	return probation != nil && probation.room > 0 && probation.openedAt.Equal(now) && task.grouped()
}

// grouped reports whether the task is a suspect that is started in a group.
func (task *task) grouped() bool {
	return task.history.Group() > 1 && !task.step.Gang && !task.step.Perpetual
}

// beginProbation closes the worker of a suspect to other runs until it has survived the start, or as long as the run
// goes on if many workers were lost with its task.
func (run *run) beginProbation(now time.Time) {
	if !run.task.history.Suspect() {
		return
	}
	worker := run.worker
	if worker.probation == nil {
		room := 1
		if run.task.grouped() {
			room = run.task.history.Group()
		}
		worker.probation = newProbation(now, room)
	}
	worker.probation.runs[run] = struct{}{}
	worker.probation.room--
}

// closedTo reports whether the worker starts no task of step because of its suspects. A step that would take a quarantined
// worker is started beside lasting suspects whose start the worker has survived: they go on for as long as their job, and
// must not close a cell that is mostly idle.
func (worker *worker) closedTo(now time.Time, step *step) bool {
	if worker.probation == nil {
		return false
	}
	if !step.takesQuarantined(now) {
		return true
	}
	for run := range worker.probation.runs {
		if !run.task.step.Perpetual || !run.survived {
			return true
		}
	}
	return false
}

// endProbation opens the worker for other runs again once there is no other suspect whose start it has to survive.
func (run *run) endProbation() {
	probation := run.worker.probation
	if probation == nil {
		return
	}
	delete(probation.runs, run)
	if len(probation.runs) == 0 {
		run.worker.probation = nil
	}
}

// checkProbation polls a worker once the start of a suspect should have shown whether the worker survives it.
func (scheduler *Scheduler) checkProbation(now time.Time, worker *worker) {
	if worker.probation == nil {
		return
	}
	due := false
	for run := range worker.probation.runs {
		if run.checked || run.phase != phaseRunning || now.Sub(run.confirmedAt) < settlePeriod {
			continue
		}
		run.checked = true
		due = true
	}
	if due {
		scheduler.effects.Polls = append(scheduler.effects.Polls, worker.id)
	}
}

// starting reports whether the worker has a run whose start it has not survived yet.
func (worker *worker) starting() bool {
	for _, run := range worker.runs {
		if !run.survived && run.phase != phaseUnlisted {
			return true
		}
	}
	return false
}

// isolated reports whether task has to be started on a worker that starts nothing else.
func (scheduler *Scheduler) isolated(now time.Time, task *task) bool {
	from, timeout := task.waitingFrom, isolationTimeout
	if task.step.Perpetual {
		timeout = lastingIsolationTimeout
		if task.retryAt.After(from) {
			from = task.retryAt
		}
	}
	return task.history.Suspect() && now.Sub(from) < timeout
}
