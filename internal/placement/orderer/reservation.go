package orderer

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Reservation entitles a waiting job to have capacity kept free until it fits.
type Reservation struct {
	Job descriptor.JobID
	// Start is when the job is expected to fit.
	Start time.Time
	// Expires is when the reservation expires.
	Expires time.Time
}

// Reserve grants the shard's only reservation to a waiting job, or updates the expected start if the
// job holds it. It returns false if another job holds the reservation, or if a reservation of the job
// expired less than the maximum duration ago, so that other jobs get as much time without it.
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
	if expiredAt, ok := orderer.reservationExpiredAt[job]; ok && now.Before(expiredAt.Add(orderer.maxReservationTime())) {
		return false
	}
	delete(orderer.reservationExpiredAt, job)
	orderer.reservation = Reservation{
		Job:     job,
		Start:   start,
		Expires: now.Add(orderer.maxReservationTime()),
	}
	return true
}

// Reservation returns the current reservation, if there is one.
func (orderer *Orderer) Reservation(now time.Time) (Reservation, bool) {
	if orderer.reservation.Job == "" {
		return Reservation{}, false
	}
	if !now.Before(orderer.reservation.Expires) {
		orderer.reservationExpiredAt[orderer.reservation.Job] = orderer.reservation.Expires
		orderer.reservation = Reservation{}
		return Reservation{}, false
	}
	return orderer.reservation, true
}

// CancelReservation cancels the reservation of a job, if it holds one.
func (orderer *Orderer) CancelReservation(job descriptor.JobID) {
	if orderer.reservation.Job == job {
		orderer.reservation = Reservation{}
	}
}

// MayBackfill reports whether work with this expected end may use the held workers, which is the case
// if it ends before the job with the reservation starts. A zero end means that the end is unknown.
func (orderer *Orderer) MayBackfill(now, end time.Time) bool {
	current, ok := orderer.Reservation(now)
	return !ok || !end.IsZero() && !end.After(current.Start)
}

func (orderer *Orderer) maxReservationTime() time.Duration {
	if orderer.MaxReservationTime > 0 {
		return orderer.MaxReservationTime
	}
	return DefaultMaxReservationTime
}
