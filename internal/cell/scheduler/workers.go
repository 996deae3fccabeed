package scheduler

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/estimator"
	"pomelomoor/internal/work/descriptor"
)

const (
	// silentRenewalPeriod is how long the leases of a silent worker are still renewed. A worker whose answers are
	// lost keeps its runs that long. After that its leases lapse, so that the runs can start elsewhere.
	silentRenewalPeriod = time.Second
	// startCheckTimeout is how long a start order without an answer waits for the worker's list before the run is
	// stopped.
	startCheckTimeout = 600 * time.Millisecond
	// stopRetryInterval is the interval between stop orders for the same run.
	stopRetryInterval = 400 * time.Millisecond
	// pollWait is how long a worker may wait for a run to end before it answers a poll.
	pollWait = time.Second
	// lossyPollWait replaces pollWait while calls to several workers get no answer. A lost poll hides the ended
	// runs of its worker until it times out.
	lossyPollWait = 300 * time.Millisecond
	// minPollInterval is the minimum mean time between polls to all workers while lossyPollWait applies, so that
	// polling many workers does not delay the processing of answers to orders.
	minPollInterval = 3 * time.Millisecond
	// lossWindow is how long unanswered calls count, since network faults on the way to the workers last seconds.
	lossWindow = 3 * time.Second
	// lossThreshold is the number of unanswered calls that indicates more than the loss of one worker.
	lossThreshold = 3
)

// worker is the scheduler's view of a worker.
type worker struct {
	id describer.WorkerID
	// description is the registry entry that is in use. disputed is one with another incarnation or address than those at
	// which the worker has answered: another writer may have left it, so that the worker's answers decide.
	description *describer.Worker
	disputed    *describer.Worker
	// outdated is the last entry that named an earlier incarnation than had answered; nil if none did.
	outdated *describer.Worker
	// incarnation is the start time of the worker's latest known incarnation: that of its last answer or, while
	// answeredInTerm is not set, that in the records.
	incarnation time.Time
	// answeredInTerm means that an incarnation of the worker has answered a poll in this term, the last time at address.
	answeredInTerm bool
	address        netip.AddrPort
	// answered means that the worker's current incarnation has answered a poll in this term with the present fencing
	// token, so that its runs are known. It is cleared by a disputed entry until the next answer.
	answered bool
	// fence is the fencing token of orders for the current incarnation, and fenced the last incarnation that is known to
	// have seen its token, so that it refuses orders that were meant for a former one.
	fence  describer.Fence
	fenced time.Time
	// unregistered means that the registry does not list the worker.
	unregistered bool
	// forgotten means that the scheduler no longer holds the worker.
	forgotten bool
	runs      map[describer.TaskID]*run
	used      descriptor.Resources
	// usedByLasting is the part of used that lasting runs take up.
	usedByLasting descriptor.Resources
	// strays are runs on the worker without a record. Their resource use is unknown, so the worker is not usable
	// until they have ended.
	strays map[describer.TaskID]int
	// clock is a lower bound of the worker's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseUntil is when all leases on the worker are certain to have lapsed unless they are renewed. It rests on
	// leaseBasis, since leaseFrom.
	leaseUntil time.Time
	leaseBasis LeaseBasis
	leaseFrom  time.Time
	// latestDeadline is the latest deadline that was ordered, on the clock of the current incarnation, and formerDeadline
	// that of orders for former ones, on their clocks.
	latestDeadline time.Duration
	formerDeadline time.Duration
	// inheritedOrdersUntil is until when the next incarnation may carry out an earlier leader's orders for incarnations
	// whose clocks are unknown.
	inheritedOrdersUntil time.Time
	// formerHold is the time on the worker's clock until which orders for a former incarnation may have extended the
	// leases; 0 if none may have.
	formerHold time.Duration
	// recorded is the incarnation that the records of an earlier leader name; zero if there is none.
	recorded time.Time
	// silentSince is when the worker stopped answering; zero while it answers.
	silentSince time.Time
	// handledEnd is the number of the last end that was processed; acknowledgedEnd that of the last whose record is
	// durable, so that the worker may forget it.
	handledEnd      int64
	acknowledgedEnd int64
	unacknowledged  []unacknowledgedEnd
	// firstListed is the number of the first end in the worker's last answer, 0 if there was none. listedAgain means that
	// the worker could have forgotten it before that answer.
	firstListed int64
	listedAgain bool
	// truncatedEnd is the number of the last end in the latest list of ends that was truncated.
	truncatedEnd int64
	health       health
	// latency is that of orders to the worker's data centre.
	latency *estimator.Latency
	// drainingSince is when the worker first reported that it is draining; zero while it is not.
	drainingSince time.Time
	// heldPlaces are the places that are kept for lasting steps, also those that are not in force any more.
	heldPlaces []heldPlace
	// probation holds the suspects whose starts the worker has to survive before it gets other runs; nil if none.
	probation *probation
}

// unacknowledgedEnd is an end that the worker must not forget before the job's record is durable.
type unacknowledgedEnd struct {
	number     int64
	job        *job
	generation int64
}

func (scheduler *Scheduler) workerEntry(id describer.WorkerID) *worker {
	entry := scheduler.workers[id]
	if entry == nil {
		entry = &worker{
			id:           id,
			fence:        scheduler.fence,
			incarnation:  scheduler.forgotten[id],
			unregistered: true,
			runs:         map[describer.TaskID]*run{},
			strays:       map[describer.TaskID]int{},
		}
		scheduler.workers[id] = entry
		scheduler.ranking.insert(entry)
	}
	return entry
}

// SetWorker applies a worker's entry in the registry. The answers of a worker in use, not its entry, tell where it is
// and whether it has restarted.
func (scheduler *Scheduler) SetWorker(now time.Time, description *describer.Worker) {
	worker := scheduler.workerEntry(description.ID)
	if worker.description == nil || !worker.answeredInTerm {
		scheduler.use(now, worker, description)
		scheduler.noteInheritedRestart(worker, description)
		worker.unregistered = false
		return
	}
	if description.Incarnation.Before(worker.incarnation) {
		worker.outdated = description
		return
	}
	worker.unregistered = false
	if description.Incarnation.Equal(worker.incarnation) && description.Address == worker.address {
		worker.disputed = nil
		scheduler.use(now, worker, description)
		return
	}
	scheduler.noteDisputed(now, worker, description)
}

// use makes description the one in use.
func (scheduler *Scheduler) use(now time.Time, worker *worker, description *describer.Worker) {
	if worker.clockAt.IsZero() {
		worker.clock = description.Clock
		worker.clockAt = now
	}
	worker.noteDraining(now, description)
	worker.description = description
	worker.latency = scheduler.latencyOf(description.DataCentre)
	scheduler.changed = true
	scheduler.releaseExcess(now, worker)
}

// releaseExcess gives back runs that were placed on the worker, and not ordered yet, when its capacity has shrunk below
// what its runs need. Those that it runs go on.
func (scheduler *Scheduler) releaseExcess(now time.Time, worker *worker) {
	if fits(worker.used, worker.description.Capacity) {
		return
	}
	var intended []*run
	for _, run := range worker.runs {
		if run.phase == phaseIntended {
			intended = append(intended, run)
		}
	}
	// The least urgent would be the best to give back; the one that was placed last is close to it.
	slices.SortFunc(intended, func(left, right *run) int {
		return cmp.Or(right.placedAt.Compare(left.placedAt), cmp.Compare(right.id().String(), left.id().String()))
	})
	for _, run := range intended {
		if fits(worker.used, worker.description.Capacity) {
			return
		}
		scheduler.stop(now, run, "its worker's capacity has shrunk")
	}
}

// RemoveWorker notes that the registry no longer lists a worker.
func (scheduler *Scheduler) RemoveWorker(id describer.WorkerID) {
	if worker := scheduler.workers[id]; worker != nil {
		worker.unregistered = true
		worker.disputed = nil
	}
}

func (scheduler *Scheduler) loseRuns(now time.Time, worker *worker, reason string, crashed bool) {
	scheduler.noteLoss(now, worker, reason, crashed)
	for _, run := range worker.runs {
		if !crashed && !now.After(run.heldUntil) {
			continue
		}
		scheduler.stats.Lost++
		scheduler.emit(Event{
			Kind:   EventRunLost,
			Job:    run.task.step.job.ID,
			Task:   run.id().String(),
			Run:    run.number,
			Worker: worker.id,
			Detail: reason,
			Losses: run.task.history.Losses,
			Age:    now.Sub(run.placedAt),
		})
		scheduler.release(now, run, reason)
	}
}

// anyLapsed reports whether a run on the worker cannot go on.
func (worker *worker) anyLapsed(now time.Time) bool {
	if !now.After(worker.leaseUntil) {
		return false
	}
	for _, run := range worker.runs {
		if now.After(run.heldUntil) {
			return true
		}
	}
	return false
}

// loseFormer gives up the runs of earlier workers at the address of a worker that has answered there. Their processes
// are gone, so that their leases need not lapse first.
func (scheduler *Scheduler) loseFormer(now time.Time, worker *worker) {
	for _, former := range scheduler.workers {
		if former == worker || former.description == nil || !worker.hasAddress(former.knownAddress()) ||
			!former.latestStart().Before(worker.incarnation) {
			continue
		}
		former.unregistered = true
		if len(former.runs) > 0 {
			scheduler.loseRuns(now, former, "another worker has its address", true)
		}
	}
}

// KnownWorkers returns the workers whose description, and thus address, is known.
func (scheduler *Scheduler) KnownWorkers() []*describer.Worker {
	var all []*describer.Worker
	for _, worker := range scheduler.workers {
		if worker.description != nil {
			all = append(all, worker.description)
		}
	}
	return all
}

// PollOrder returns the next poll of a worker. It renews the leases on the worker only if renew is set, which means that
// this term is sure to be the newest, and only by the clock of an incarnation that has answered: another one takes a
// deadline by its own clock.
func (scheduler *Scheduler) PollOrder(now time.Time, id describer.WorkerID, renew bool) Poll {
	worker := scheduler.workers[id]
	if worker == nil || worker.description == nil {
		return Poll{}
	}
	worker.advanceAcknowledged()
	poll := Poll{
		Worker: worker.description,
		Fence:  worker.fence,
		Order: describer.PollOrder{
			Wait: pollWait,
		},
		RecordsPending: len(worker.unacknowledged) > 0 || scheduler.awaitingFence[id] != nil,
	}
	if scheduler.losingCalls(now) {
		poll.Order.Wait = min(max(lossyPollWait, time.Duration(len(scheduler.workers))*minPollInterval), pollWait)
	}
	if !worker.answered || !worker.silentSince.IsZero() {
		// A new incarnation may answer. It numbers its ends from 1 and must not forget any of them yet.
		poll.Order.Wait = 0
	} else if worker.acknowledge(now, &poll.Order) {
		poll.RecordsPending = false
	}
	if renew && worker.answered && (worker.silentSince.IsZero() || now.Sub(worker.silentSince) < silentRenewalPeriod) {
		poll.Order.Deadline = worker.clockNow(now) + scheduler.leaseDuration()
		worker.latestDeadline = max(worker.latestDeadline, poll.Order.Deadline)
		worker.extendLease(now, scheduler.leaseDuration(), LeaseRenewed)
	}
	return poll
}

// noteUnanswered records a call to a worker that got no answer. Of consecutive lost polls to one worker only the first
// counts.
func (scheduler *Scheduler) noteUnanswered(now time.Time) {
	scheduler.unansweredCalls = append(scheduler.unansweredCalls, now)
	scheduler.unansweredCalls = scheduler.unansweredCalls[max(len(scheduler.unansweredCalls)-lossThreshold, 0):]
}

// losingCalls reports whether calls to several workers got no answer recently.
func (scheduler *Scheduler) losingCalls(now time.Time) bool {
	return len(scheduler.unansweredCalls) == lossThreshold && now.Sub(scheduler.unansweredCalls[0]) < lossWindow
}

// leaseDuration returns the duration for which the leases of workers are renewed.
func (scheduler *Scheduler) leaseDuration() time.Duration {
	return min(scheduler.options.MaxLease, defaultLease)
}

// leaseEnd returns when a lease that an order sent at from grants has ended for certain.
func leaseEnd(from time.Time, lease time.Duration) time.Time {
	return from.Add(time.Duration(float64(lease)/minClockRate) + leaseMargin)
}

// extendLease notes that an order sent at from may extend the leases on the worker by lease.
func (worker *worker) extendLease(from time.Time, lease time.Duration, basis LeaseBasis) {
	until := leaseEnd(from, lease)
	if until.After(worker.leaseUntil) {
		worker.leaseUntil = until
		worker.leaseBasis = basis
		worker.leaseFrom = from
	}
}

// clockNow estimates the current reading of the worker's clock.
func (worker *worker) clockNow(now time.Time) time.Duration {
	return worker.clock + now.Sub(worker.clockAt)
}

// leastClock returns a lower bound of the reading of the known incarnation's clock at a time. The clock may be slow.
func (worker *worker) leastClock(at time.Time) time.Duration {
	elapsed := at.Sub(worker.clockAt)
	if elapsed > 0 {
		elapsed = time.Duration(float64(elapsed) * minClockRate)
	}
	return worker.clock + elapsed
}

// advanceAcknowledged acknowledges the ends whose records are durable, so that the worker may forget them.
func (worker *worker) advanceAcknowledged() {
	for len(worker.unacknowledged) > 0 {
		first := worker.unacknowledged[0]
		if first.job != nil && first.job.storedGeneration < first.generation {
			return
		}
		worker.acknowledgedEnd = first.number
		worker.unacknowledged = worker.unacknowledged[1:]
	}
}

// PollAnswered processes a worker's answer to a poll that was sent at sent.
func (scheduler *Scheduler) PollAnswered(now, sent time.Time, poll Poll, answer describer.PollAnswer) {
	worker := scheduler.workers[poll.Worker.ID]
	if worker == nil {
		return
	}
	earlier := worker.answeredInTerm && answer.Incarnation.Before(worker.incarnation)
	if earlier && !sent.After(worker.clockAt) {
		return
	}
	// The machine's wall clock was set back if an incarnation answers that started earlier than one that has answered before
	// the poll was sent.
	if earlier || answer.Incarnation.After(worker.incarnation) {
		scheduler.noteRestart(now, worker, answer)
	}
	// An earlier leader may have taken a later incarnation, which the worker contradicts, from an entry.
	worker.incarnation = answer.Incarnation
	firstInTerm := worker.fenced.IsZero()
	worker.answeredInTerm = true
	if worker.description != nil {
		worker.address = worker.description.Address
	}
	scheduler.settleDisputed(now, worker, answer.Incarnation)
	scheduler.endSilence(now, worker)
	worker.clock = answer.Clock
	worker.clockAt = now
	if !worker.answered && !scheduler.isFenced(worker, poll) {
		// Orders that were meant for a former incarnation may still change what the lists tell. SetFence polls a worker that
		// waits for a token.
		if scheduler.awaitingFence[worker.id] == nil {
			scheduler.effects.Polls = append(scheduler.effects.Polls, worker.id)
		}
		return
	}
	if !worker.answered {
		worker.answered = true
		scheduler.changed = true
		scheduler.boundLease(now, worker, answer, firstInTerm)
		scheduler.loseFormer(now, worker)
	}
	worker.noteListed(&answer)
	for _, end := range answer.Ended {
		scheduler.handleEnd(now, worker, end)
	}
	scheduler.reconcile(now, sent, worker, answer)
}

// endSilence notes that the worker answers again.
func (scheduler *Scheduler) endSilence(now time.Time, worker *worker) {
	if !worker.answered || !worker.silentSince.IsZero() {
		scheduler.noteReturn(worker)
	}
	if worker.silentSince.IsZero() {
		return
	}
	scheduler.emit(Event{
		Kind:   EventWorkerBack,
		Worker: worker.id,
		Age:    now.Sub(worker.silentSince),
	})
	worker.silentSince = time.Time{}
	scheduler.changed = true
}

// PollFailed notes that a worker did not answer a poll.
func (scheduler *Scheduler) PollFailed(now time.Time, id describer.WorkerID, err error) {
	worker := scheduler.workers[id]
	if worker == nil {
		return
	}
	if worker.silentSince.IsZero() {
		worker.silentSince = now
		scheduler.noteUnanswered(now)
		scheduler.emit(Event{
			Kind:   EventWorkerSilent,
			Worker: worker.id,
			Detail: err.Error(),
			Age:    now.Sub(worker.clockAt),
		})
	}
	if worker.disputed != nil {
		scheduler.swapDisputed(now, worker)
	}
}

// tickWorker releases the runs of a silent worker whose leases have lapsed, and retries stop orders.
func (scheduler *Scheduler) tickWorker(now time.Time, worker *worker) {
	if !worker.answered || !worker.silentSince.IsZero() {
		if worker.anyLapsed(now) {
			scheduler.loseRuns(now, worker, "leases have lapsed", false)
		}
		if worker.unregistered && len(worker.runs) == 0 && now.After(worker.leaseUntil) {
			delete(scheduler.workers, worker.id)
			delete(scheduler.awaitingFence, worker.id)
			worker.forgotten = true
			scheduler.forgotten[worker.id] = worker.incarnation
			scheduler.ranking.remove(worker.id)
		}
		return
	}
	if !worker.drainingSince.IsZero() && len(worker.runs) > 0 {
		// Lasting tasks may have to leave the worker, which takes a pass.
		scheduler.changed = true
	}
	if worker.formerHold < worker.clockNow(now) {
		worker.formerHold = 0
	}
	scheduler.checkProbation(now, worker)
	for _, run := range worker.runs {
		if run.phase == phaseStarting && !run.unansweredAt.IsZero() && now.Sub(run.unansweredAt) > startCheckTimeout {
			scheduler.stop(now, run, "start order got no answer")
		}
		if run.phase == phaseStopping && run.openStops == 0 && run.confirmedAt.IsZero() && now.Sub(run.placedAt) > stopRetryInterval {
			run.placedAt = now
			scheduler.orderStop(run, "stop order got no answer")
		}
	}
}
