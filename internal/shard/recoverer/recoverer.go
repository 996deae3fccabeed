// Package recoverer decides, for one term of a shard's owner, whether task leases may be renewed while
// the store is unreachable and when the runs of an unreachable worker have certainly ended (design
// decision D5).
package recoverer

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

const (
	// TaskLease is how long a worker keeps tasks running without a lease renewal.
	TaskLease = 15 * time.Second
	// QuorumWindow is how long a worker's report counts as evidence that it has not accepted a newer
	// epoch.
	QuorumWindow = 4 * time.Second
	// MaxReportTokenAge is the age of its report token from which a worker ignores the commands and the lease
	// in a message. The worker issues a token, called Ticket in messages, with each report, and the next
	// message returns it to show how fresh it is. Without this bound, a renewal left in the socket
	// buffer of a paused worker would extend the lease too late.
	MaxReportTokenAge = 4 * time.Second
	// ClockMargin allows for differences between the clocks of instances and workers.
	ClockMargin = 500 * time.Millisecond
	// ReassignAfter is the time after the last contact with a worker at which its runs have certainly
	// ended: a renewal may be sent up to QuorumWindow after the contact and arrive up to MaxReportTokenAge later.
	ReassignAfter = TaskLease + QuorumWindow + MaxReportTokenAge + ClockMargin
)

// Recoverer tracks when the workers of a shard were contacted in one term. The zero value has no
// workers and is ready to use.
type Recoverer struct {
	contacts map[descriptor.WorkerID]*contact
	listed   bool
	// quorumReached is when a majority of the workers had accepted the epoch; zero before that.
	quorumReached time.Time
}

// contact holds the times of the exchanges with one worker.
type contact struct {
	listed bool
	// lastReportedSent is when the latest message that got a report was sent. At that time, the
	// worker had accepted no newer epoch.
	lastReportedSent time.Time
	// lastRenewalSent is when the latest message that may have renewed the lease was sent.
	lastRenewalSent time.Time
	// pendingRenewalSent is when the renewal in flight, which has no report yet, was sent; zero if
	// there is none.
	pendingRenewalSent time.Time
}

// contactFor returns the contact of a worker and creates it if necessary.
func (recoverer *Recoverer) contactFor(worker descriptor.WorkerID) *contact {
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

// SetListed replaces the set of workers in the platform's list. There is no quorum before the first
// call.
func (recoverer *Recoverer) SetListed(now time.Time, workers []descriptor.WorkerID) {
	recoverer.listed = true
	for _, contact := range recoverer.contacts {
		contact.listed = false
	}
	for _, worker := range workers {
		recoverer.contactFor(worker).listed = true
	}
	recoverer.checkQuorum(now)
}

// Sent records that a message which renews the lease of the worker's tasks was sent.
func (recoverer *Recoverer) Sent(worker descriptor.WorkerID, sent time.Time) {
	recoverer.contactFor(worker).pendingRenewalSent = sent
}

// Reported records a worker's report on the message sent at the given time. The report shows that the
// worker has accepted the epoch.
func (recoverer *Recoverer) Reported(now time.Time, worker descriptor.WorkerID, sent time.Time) {
	contact := recoverer.contactFor(worker)
	contact.resolvePending(true)
	if sent.After(contact.lastReportedSent) {
		contact.lastReportedSent = sent
	}
	recoverer.checkQuorum(now)
}

// NoReport records that the message in flight got no report that could be applied, and whether the
// message may have taken effect.
func (recoverer *Recoverer) NoReport(worker descriptor.WorkerID, mayHaveArrived bool) {
	recoverer.contactFor(worker).resolvePending(mayHaveArrived)
}

// resolvePending clears the renewal in flight, and counts it as sent if it may have arrived.
func (contact *contact) resolvePending(mayHaveArrived bool) {
	if mayHaveArrived && contact.pendingRenewalSent.After(contact.lastRenewalSent) {
		contact.lastRenewalSent = contact.pendingRenewalSent
	}
	contact.pendingRenewalSent = time.Time{}
}

// checkQuorum records the time at which a majority of the workers has accepted the epoch.
func (recoverer *Recoverer) checkQuorum(now time.Time) {
	if recoverer.quorumReached.IsZero() && recoverer.majorityReportedSince(time.Time{}) {
		recoverer.quorumReached = now
	}
}

// majorityReportedSince reports whether more than half of the listed workers have returned reports on
// messages that were sent after since.
func (recoverer *Recoverer) majorityReportedSince(since time.Time) bool {
	if !recoverer.listed {
		return false
	}
	listed, reported := 0, 0
	for _, contact := range recoverer.contacts {
		if !contact.listed {
			continue
		}
		listed++
		if contact.lastReportedSent.After(since) {
			reported++
		}
	}
	return listed == 0 || reported*2 > listed
}

// MayRenew reports whether task leases may be renewed after the deadline of the owner's own store
// lease. That is safe while a majority of the workers has confirmed within QuorumWindow that there is no
// newer epoch.
func (recoverer *Recoverer) MayRenew(now time.Time) bool {
	return recoverer.majorityReportedSince(now.Add(-QuorumWindow))
}

// Quorum reports whether a majority of the workers has accepted the epoch.
func (recoverer *Recoverer) Quorum() bool {
	return !recoverer.quorumReached.IsZero()
}

// RunsEnded reports whether the runs of an unresponsive worker have certainly ended: their lease has
// expired, whether an earlier owner or this one renewed it last.
func (recoverer *Recoverer) RunsEnded(worker descriptor.WorkerID, now time.Time) bool {
	contact := recoverer.contactFor(worker)
	lastContact := contact.lastRenewalSent
	if contact.pendingRenewalSent.After(lastContact) {
		lastContact = contact.pendingRenewalSent
	}
	if contact.lastReportedSent.IsZero() {
		if recoverer.quorumReached.IsZero() {
			return false
		}
		if recoverer.quorumReached.After(lastContact) {
			lastContact = recoverer.quorumReached
		}
	}
	if contact.lastReportedSent.After(lastContact) {
		lastContact = contact.lastReportedSent
	}
	return !now.Before(lastContact.Add(ReassignAfter))
}

// Forget removes a worker. It must be neither listed nor have runs.
func (recoverer *Recoverer) Forget(worker descriptor.WorkerID) {
	delete(recoverer.contacts, worker)
}
