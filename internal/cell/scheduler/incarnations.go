package scheduler

import (
	"time"

	"pomelomoor/internal/cell/describer"
)

// formerOrderPeriod is how long after the start of an incarnation it may still carry out orders that were meant for a
// former one, unless it has seen a newer fencing token.
const formerOrderPeriod = 20 * time.Second

// clockTolerance is how far a worker's clock may be ahead of what is expected of the known incarnation, since the answer that
// told it may have been late. clockPrecision is how far it may be behind.
const (
	clockTolerance = 2 * time.Second
	clockPrecision = 10 * time.Millisecond
)

// SetFence takes a fencing token that is higher than those of all orders so far and lower than that of any later term: the
// revision of a change that was made while this instance led.
func (scheduler *Scheduler) SetFence(fence describer.Fence) {
	scheduler.fence = max(scheduler.fence, fence)
	for id, worker := range scheduler.awaitingFence {
		if scheduler.fence > worker.fence {
			worker.fence = scheduler.fence
			delete(scheduler.awaitingFence, id)
			scheduler.effects.Polls = append(scheduler.effects.Polls, id)
		}
	}
}

// raiseFence gives the current incarnation of a worker a token of its own. Once it has seen the token, it refuses orders
// that were meant for a former incarnation, however late they arrive.
func (scheduler *Scheduler) raiseFence(worker *worker) {
	if scheduler.fence > worker.fence {
		worker.fence = scheduler.fence
		return
	}
	scheduler.awaitingFence[worker.id] = worker
	scheduler.effects.RaiseFence = true
}

// isFenced reports whether a worker that has answered poll refuses orders that were meant for a former incarnation.
func (scheduler *Scheduler) isFenced(worker *worker, poll Poll) bool {
	return scheduler.awaitingFence[worker.id] == nil && poll.Fence >= worker.fence
}

// Superseded reports whether the worker gets orders with a newer fencing token than fence in this term.
func (scheduler *Scheduler) Superseded(id describer.WorkerID, fence describer.Fence) bool {
	worker := scheduler.workers[id]
	return worker != nil && (fence < worker.fence || scheduler.awaitingFence[id] != nil)
}

// noteRestart handles the restart of a worker. The new incarnation has the same address and ID, so it may have
// carried out orders that were meant for the earlier one. Its list has to show what became of each run.
func (scheduler *Scheduler) noteRestart(now time.Time, worker *worker, answer describer.PollAnswer) {
	former := worker.incarnation
	worker.incarnation = answer.Incarnation
	if former.IsZero() {
		return
	}
	worker.formerDeadline = max(worker.formerDeadline, worker.latestDeadline)
	worker.latestDeadline = 0
	scheduler.emit(Event{
		Kind:              EventWorkerRestarted,
		Worker:            worker.id,
		Incarnation:       answer.Incarnation,
		FormerIncarnation: former,
		DeadlineAhead:     max(worker.formerDeadline-answer.Clock, 0),
	})
	scheduler.noteLoss(now, worker, "restarted with a new incarnation", true)
	for _, run := range worker.runs {
		run.survived = false
		if run.phase == phaseRunning {
			run.phase = phaseRecovered
		}
	}
	worker.answered = false
	worker.clockAt = time.Time{}
	worker.formerHold = 0
	if scheduler.holdByFormerOrders(now, worker, answer.Clock) > 0 {
		// Until the new incarnation has seen its fencing token, the longest lease may still begin.
		worker.formerHold = answer.Clock + 2*scheduler.options.MaxLease
	}
	worker.handledEnd = 0
	worker.acknowledgedEnd = 0
	worker.unacknowledged = nil
	worker.firstListed = 0
	worker.listedAgain = false
	worker.truncatedEnd = 0
	worker.health = health{}
	clear(worker.strays)
	if _, forgotten := scheduler.forgotten[worker.id]; worker.answeredInTerm || forgotten {
		scheduler.raiseFence(worker)
	}
}

// boundLease bounds the leases on a worker whose current incarnation has seen the present fencing token.
func (scheduler *Scheduler) boundLease(now time.Time, worker *worker, answer describer.PollAnswer, firstInTerm bool) {
	if worker.fenced.Equal(worker.incarnation) {
		worker.extendLease(now, scheduler.leaseDuration(), LeaseTakenOver)
		return
	}
	worker.fenced = worker.incarnation
	worker.leaseUntil = time.Time{}
	worker.extendLease(now, scheduler.leaseDuration(), LeaseTakenOver)
	var hold time.Duration
	if firstInTerm {
		hold = scheduler.inheritedHold(now, worker, answer)
		scheduler.noteInheritedOrders(now, worker, answer)
	} else {
		hold = scheduler.holdByFormerOrders(now, worker, answer.Clock)
	}
	worker.formerHold = 0
	if hold = min(hold, scheduler.options.MaxLease); hold > 0 {
		worker.formerHold = answer.Clock + hold
		worker.extendLease(now, hold, LeaseFormer)
	}
}

// holdByFormerOrders returns for how long orders for former incarnations may have extended the leases on a worker whose
// current one has the given clock.
func (scheduler *Scheduler) holdByFormerOrders(now time.Time, worker *worker, clock time.Duration) time.Duration {
	if now.Before(worker.inheritedOrdersUntil) {
		return scheduler.options.MaxLease
	}
	return max(worker.formerDeadline, worker.latestDeadline) - clock
}

// noteInheritedOrders notes which orders of an earlier leader the next incarnation of a worker may carry out.
func (scheduler *Scheduler) noteInheritedOrders(now time.Time, worker *worker, answer describer.PollAnswer) {
	worker.latestDeadline = max(worker.latestDeadline, answer.Clock+scheduler.options.InheritedRenewal+scheduler.leaseDuration())
	if age := now.Sub(answer.Incarnation); age < formerOrderPeriod {
		// Those for the incarnation before have deadlines by a clock that this leader has not read.
		worker.inheritedOrdersUntil = now.Add(formerOrderPeriod - max(age, 0))
	}
}

// inheritedHold returns for how long an earlier leader's orders for a former incarnation may have extended the leases on a
// worker.
func (scheduler *Scheduler) inheritedHold(now time.Time, worker *worker, answer describer.PollAnswer) time.Duration {
	switch {
	case worker.recorded.Equal(answer.Incarnation):
		return worker.formerHold - answer.Clock
	case worker.recorded.IsZero() && now.Sub(answer.Incarnation) > formerOrderPeriod+scheduler.options.MaxLease:
		return 0
	default:
		return scheduler.options.MaxLease
	}
}

// noteInheritedRestart bounds the leases on a worker that has not answered in this term when its entry names a later
// incarnation than the records, so that it has started since an earlier leader gave it work.
func (scheduler *Scheduler) noteInheritedRestart(worker *worker, description *describer.Worker) {
	if !worker.recorded.IsZero() && description.Incarnation.After(worker.recorded) {
		worker.extendLease(scheduler.options.Takeover.Add(scheduler.options.InheritedRenewal), scheduler.options.MaxLease, LeaseFormer)
	}
}

// noteUnansweredRestart bounds the leases on a worker when its entry names a later incarnation than has answered, which may
// have received orders for the present one.
func (scheduler *Scheduler) noteUnansweredRestart(now time.Time, worker *worker, description *describer.Worker) {
	if !description.Incarnation.After(worker.incarnation) {
		return
	}
	scheduler.extendByFormerOrders(now, worker, description.Clock)
}

// extendByFormerOrders bounds the leases on a worker whose new incarnation, with the given clock, has not answered a poll yet.
func (scheduler *Scheduler) extendByFormerOrders(now time.Time, worker *worker, clock time.Duration) {
	hold := scheduler.holdByFormerOrders(now, worker, clock)
	if hold = min(hold, scheduler.options.MaxLease); hold > 0 {
		worker.extendLease(now, hold, LeaseFormer)
	}
}

// NoteClock notes the clock in a worker's answer to an order that was sent at sent. A clock that cannot be that of the known
// incarnation shows that the worker has restarted: the order, and others before it, were carried out by the new incarnation.
func (scheduler *Scheduler) NoteClock(now, sent time.Time, id describer.WorkerID, clock time.Duration) {
	worker := scheduler.workers[id]
	if worker == nil || !worker.answered || clock > worker.leastClock(sent)-clockPrecision && clock < worker.clockNow(now)+clockTolerance {
		return
	}
	worker.answered = false
	scheduler.extendByFormerOrders(now, worker, clock)
	scheduler.effects.Polls = append(scheduler.effects.Polls, id)
}
