package scheduler

import (
	"net/netip"
	"time"

	"pomelomoor/internal/cell/describer"
)

// sameProcess reports whether two entries tell of one process of a worker.
func sameProcess(left, right *describer.Worker) bool {
	return left != nil && right != nil && left.Incarnation.Equal(right.Incarnation) && left.Address == right.Address
}

// noteDisputed notes an entry whose incarnation or address is not the one at which the worker has answered. The worker
// gets no new work until it has answered again.
func (scheduler *Scheduler) noteDisputed(now time.Time, worker *worker, description *describer.Worker) {
	switch {
	case sameProcess(worker.description, description):
		scheduler.use(now, worker, description)
	case sameProcess(worker.disputed, description):
		worker.disputed = description
	case worker.silentSince.IsZero():
		scheduler.noteUnansweredRestart(now, worker, description)
		// The poll that is on its way decides. One beside it could be answered first by a new incarnation, which would get
		// work before the other arrives there and acknowledges ends of the former one.
		worker.disputed = description
		worker.answered = false
	default:
		scheduler.noteUnansweredRestart(now, worker, description)
		worker.disputed = description
		scheduler.swapDisputed(now, worker)
	}
}

// swapDisputed uses the disputed entry instead of the description of a worker that does not answer, and the other way
// round after the next poll without an answer, until the worker answers at one of the two.
func (scheduler *Scheduler) swapDisputed(now time.Time, worker *worker) {
	former := worker.description
	scheduler.use(now, worker, worker.disputed)
	worker.disputed = former
}

// settleDisputed applies the incarnation of an answer to the disputed entry, and to one that named an earlier incarnation
// than had answered: the machine's wall clock was set back if that answers.
func (scheduler *Scheduler) settleDisputed(now time.Time, worker *worker, incarnation time.Time) {
	if outdated := worker.outdated; outdated != nil && outdated.Incarnation.Equal(incarnation) && !worker.described() {
		scheduler.use(now, worker, outdated)
		worker.outdated = nil
	}
	switch {
	case worker.disputed == nil:
	case worker.disputed.Incarnation.Before(incarnation):
		worker.disputed = nil
	case worker.disputed.Incarnation.Equal(incarnation) && !worker.description.Incarnation.Equal(incarnation):
		scheduler.use(now, worker, worker.disputed)
		worker.disputed = nil
	}
}

// knownAddress returns the address at which the worker has answered, or that of its entry while it has not.
func (worker *worker) knownAddress() netip.AddrPort {
	if worker.answeredInTerm || worker.description == nil {
		return worker.address
	}
	return worker.description.Address
}

// latestStart returns the start of the worker's latest incarnation that is known from its answers, or from its entry and
// the records while it has not answered.
func (worker *worker) latestStart() time.Time {
	if !worker.answeredInTerm && worker.description != nil && worker.description.Incarnation.After(worker.incarnation) {
		return worker.description.Incarnation
	}
	return worker.incarnation
}
