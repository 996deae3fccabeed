package orderer

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Reservation is the right of one job that does not fit to have capacity kept for it.
type Reservation struct {
	Job descriptor.JobID
	// Start is when the job is expected to fit.
	Start time.Time
	// Until is when the reservation lapses.
	Until time.Time
}

// Reserve gives a waiting job the shard's only reservation, or renews the expected start of the one it
// has. It fails if another job has one, or if the job's last one lapsed so recently that others have
// not had as long a time without it.
func (orderer *Orderer) Reserve(now time.Time, job descriptor.JobID, start time.Time) bool {
	if _, ok := orderer.jobs[job]; !ok {
		return false
	}
	current, ok := orderer.Reservation(now)
	if ok {
		if current.Job == job {
			orderer.reservation.Start = start
		}
		return current.Job == job
	}
	if lapsed, ok := orderer.lapsed[job]; ok && now.Before(lapsed.Add(orderer.maxReservation())) {
		return false
	}
	delete(orderer.lapsed, job)
	orderer.reservation = Reservation{
		Job:   job,
		Start: start,
		Until: now.Add(orderer.maxReservation()),
	}
	return true
}

// Reservation returns the reservation in force.
func (orderer *Orderer) Reservation(now time.Time) (Reservation, bool) {
	if orderer.reservation.Job == "" {
		return Reservation{}, false
	}
	if !now.Before(orderer.reservation.Until) {
		orderer.lapsed[orderer.reservation.Job] = orderer.reservation.Until
		orderer.reservation = Reservation{}
		return Reservation{}, false
	}
	return orderer.reservation, true
}

// Unreserve ends the reservation of a job, if it has one.
func (orderer *Orderer) Unreserve(job descriptor.JobID) {
	if orderer.reservation.Job == job {
		orderer.reservation = Reservation{}
	}
}

// MayBackfill reports whether work that would end at this time may use the reserved capacity.
// The zero time means that the end is not known.
func (orderer *Orderer) MayBackfill(now, end time.Time) bool {
	current, ok := orderer.Reservation(now)
	return !ok || !end.IsZero() && !end.After(current.Start)
}

func (orderer *Orderer) maxReservation() time.Duration {
	if orderer.MaxReservation > 0 {
		return orderer.MaxReservation
	}
	return DefaultMaxReservation
}
