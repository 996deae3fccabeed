// Package recoverer decides, for one term of a shard's owner, when the leases of tasks may be renewed
// without the store and when the runs of an unreachable worker are over (decision D5).
package recoverer

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

const (
	// TaskLease is how long tasks run without a renewal.
	TaskLease = 15 * time.Second
	// QuorumWindow is how long an answer of a worker shows that it has not accepted a newer epoch.
	QuorumWindow = 4 * time.Second
	// MessageAge is the age of its ticket from which a worker does not carry out a message. Without this
	// bound, a renewal that waits in the socket buffer of a paused worker extends the lease too late.
	MessageAge = 4 * time.Second
	// Margin covers differences between clocks.
	Margin = 500 * time.Millisecond
	// ReassignAfter is the time from the contact that bounds the last renewal to the provable end of a run:
	// a renewal may be sent within QuorumWindow and arrive MessageAge later.
	ReassignAfter = TaskLease + QuorumWindow + MessageAge + Margin
)

// Recoverer tracks the contacts with the workers of a shard in one term. The zero value knows no
// workers and is ready.
type Recoverer struct {
	contacts map[descriptor.WorkerID]*contact
	listed   bool
	// quorum is when a majority had accepted the epoch.
	quorum time.Time
}

type contact struct {
	listed bool
	// asked is when the last answered message was sent. The worker had accepted no newer epoch then.
	asked time.Time
	// renewed is the latest time at which a message that may have renewed the lease was sent.
	renewed time.Time
	// pending is when a renewal without an answer yet was sent.
	pending time.Time
}

func (recoverer *Recoverer) contact(worker descriptor.WorkerID) *contact {
	if recoverer.contacts == nil {
		recoverer.contacts = map[descriptor.WorkerID]*contact{}
	}
	found, ok := recoverer.contacts[worker]
	if !ok {
		found = &contact{}
		recoverer.contacts[worker] = found
	}
	return found
}

// SetListed replaces the workers that the platform lists. There is no quorum before the first call.
func (recoverer *Recoverer) SetListed(now time.Time, workers []descriptor.WorkerID) {
	recoverer.listed = true
	for _, known := range recoverer.contacts {
		known.listed = false
	}
	for _, worker := range workers {
		recoverer.contact(worker).listed = true
	}
	recoverer.checkQuorum(now)
}

// Sent notes a message that renews the lease of the worker's tasks.
func (recoverer *Recoverer) Sent(worker descriptor.WorkerID, at time.Time) {
	recoverer.contact(worker).pending = at
}

// Answered notes the answer to the message sent at a time, from a worker that accepted the epoch.
func (recoverer *Recoverer) Answered(now time.Time, worker descriptor.WorkerID, sent time.Time) {
	contact := recoverer.contact(worker)
	contact.settle(true)
	if sent.After(contact.asked) {
		contact.asked = sent
	}
	recoverer.checkQuorum(now)
}

// Unanswered notes that the message in flight got no answer and whether it may have had an effect.
func (recoverer *Recoverer) Unanswered(worker descriptor.WorkerID, mayHaveArrived bool) {
	recoverer.contact(worker).settle(mayHaveArrived)
}

func (contact *contact) settle(arrived bool) {
	if arrived && contact.pending.After(contact.renewed) {
		contact.renewed = contact.pending
	}
	contact.pending = time.Time{}
}

func (recoverer *Recoverer) checkQuorum(now time.Time) {
	if recoverer.quorum.IsZero() && recoverer.majority(time.Time{}) {
		recoverer.quorum = now
	}
}

// majority reports whether more than half of the listed workers answered messages sent after since.
func (recoverer *Recoverer) majority(since time.Time) bool {
	if !recoverer.listed {
		return false
	}
	listed, answered := 0, 0
	for _, contact := range recoverer.contacts {
		if !contact.listed {
			continue
		}
		listed++
		if contact.asked.After(since) {
			answered++
		}
	}
	return listed == 0 || answered*2 > listed
}

// MayRenew reports whether leases may be renewed past the owner's own deadline: a majority of the
// workers accepted no newer epoch within the window.
func (recoverer *Recoverer) MayRenew(now time.Time) bool {
	return recoverer.majority(now.Add(-QuorumWindow))
}

// Quorum reports whether a majority of the workers has accepted the epoch.
func (recoverer *Recoverer) Quorum() bool {
	return !recoverer.quorum.IsZero()
}

// Gone reports whether the runs of a worker that does not answer have provably ended: no older owner
// can have renewed their lease any more, and neither has this one.
func (recoverer *Recoverer) Gone(worker descriptor.WorkerID, now time.Time) bool {
	contact := recoverer.contact(worker)
	last := contact.renewed
	if contact.pending.After(last) {
		last = contact.pending
	}
	if contact.asked.IsZero() {
		if recoverer.quorum.IsZero() {
			return false
		}
		if recoverer.quorum.After(last) {
			last = recoverer.quorum
		}
	}
	if contact.asked.After(last) {
		last = contact.asked
	}
	return !now.Before(last.Add(ReassignAfter))
}

// Forget drops a worker that is neither listed nor holds runs.
func (recoverer *Recoverer) Forget(worker descriptor.WorkerID) {
	delete(recoverer.contacts, worker)
}
