// Package placer chooses workers of one shard for tasks and gangs.
//
// It keeps an index of the workers with the capacity that is reserved on them, so that reservations
// can't exceed a worker's capacity. A placement takes logarithmic time in the number of workers.
package placer

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/placement/indexer"
	"pomelomoor/internal/work/descriptor"
)

// State tells which runs a worker accepts.
type State int

// The states of a worker. The zero value is InUse.
const (
	// InUse means that the worker accepts runs without restriction.
	InUse State = iota
	// Trial means that the worker accepts one run at a time, and only from requests that allow it.
	Trial
	// Quarantined means that the worker accepts no new runs because its runs fail.
	Quarantined
	// Leaving means that the worker accepts no new runs because it is about to stop.
	Leaving
)

// Worker describes one worker.
type Worker struct {
	ID descriptor.WorkerID
	// Place is the location, including the rack. Its Region and Site also count as labels with these
	// names.
	Place    descriptor.Place
	Labels   descriptor.Labels
	Capacity descriptor.Resources
	State    State
}

// MaxRank is the largest rank of a reservation.
const MaxRank = 7

// Reservation is the capacity of a worker that a run occupies.
type Reservation struct {
	Run  descriptor.RunID
	Need descriptor.Resources
	// Rank orders runs for preemption: runs with higher ranks are preempted first. It is at most MaxRank.
	Rank int
	// Preemptible allows FindVictims and ProbeAny to return the run.
	Preemptible bool
	// End is when the run is expected to end. Zero means never.
	End time.Time
}

// Errors of operations on workers and reservations.
var (
	ErrUnknownWorker = errors.New("placer: unknown worker")
	ErrUnknownRun    = errors.New("placer: unknown run")
	ErrReserved      = errors.New("placer: run is already reserved")
	ErrOvercommit    = errors.New("placer: reservation exceeds the worker's free capacity")
	ErrInvalid       = errors.New("placer: invalid amount, rank or count")
)

// Placer is the index of a shard's workers. The zero value is empty and ready to use.
type Placer struct {
	workers     map[descriptor.WorkerID]*workerEntry
	runs        map[descriptor.RunID]*runEntry
	index       indexer.Index[*workerEntry]
	racks       []*rack
	racksByName map[string]*rack
	// jobs counts the runs of each job per rack and per worker, for spreading.
	jobs map[descriptor.JobID]*spreadCounts
	// trials lists the workers on trial.
	trials []*workerEntry
	hold   Hold
	// ordinal is the number of the worker added last. Workers are numbered so that ties are broken in the
	// same way in every replay.
	ordinal uint64
	// capacity is the sum over all workers, and weights is derived from it.
	capacity descriptor.Resources
	weights  resourceWeights
	// cursor is the offset among the workers at which the next call of ProbeAny starts.
	cursor int
}

// workerEntry is a worker with its reservations.
type workerEntry struct {
	Worker
	ordinal   uint64
	rack      *rack
	free      descriptor.Resources
	runs      []*runEntry
	trialRuns int
	held      bool
	// preemptible is the sum of the preemptible reservations of each rank.
	preemptible [MaxRank + 1]descriptor.Resources
	item        indexer.Item[*workerEntry]
}

// runEntry is a reservation with the worker that it is on.
type runEntry struct {
	Reservation
	worker *workerEntry
	// position is the index in the worker's runs.
	position int
	// onTrial means that the worker was on trial when the run was reserved.
	onTrial bool
}

type rack struct {
	name    string
	workers []*workerEntry
}

// spreadCounts counts the runs of a job in total, by rack and by worker.
type spreadCounts struct {
	total   int
	racks   map[*rack]int
	workers map[*workerEntry]int
}

// SetWorker adds a worker or updates its description. Reservations stay, even if they exceed a
// reduced capacity. The worker then accepts no runs until enough of them are released.
func (placer *Placer) SetWorker(worker Worker) error {
	if worker.Capacity.Negative() {
		return ErrInvalid
	}
	placer.init()
	current, ok := placer.workers[worker.ID]
	if !ok {
		placer.ordinal++
		current = &workerEntry{
			ordinal: placer.ordinal,
			held:    slices.Contains(placer.hold.Workers, worker.ID),
		}
		placer.workers[worker.ID] = current
	} else {
		placer.removeFromIndex(current)
	}
	if worker.State == Trial && current.State != Trial {
		current.trialRuns = 0
		for _, run := range current.runs {
			run.onTrial = false
		}
	}
	current.free = current.free.Add(worker.Capacity).Sub(current.Capacity)
	current.Worker = worker
	placer.addToIndex(current)
	return nil
}

// RemoveWorker removes a worker and returns its reservations, which are removed too.
func (placer *Placer) RemoveWorker(id descriptor.WorkerID) []Reservation {
	worker, ok := placer.workers[id]
	if !ok {
		return nil
	}
	var removed []Reservation
	for len(worker.runs) > 0 {
		run := worker.runs[len(worker.runs)-1]
		removed = append(removed, run.Reservation)
		placer.removeRun(run)
	}
	placer.removeFromIndex(worker)
	delete(placer.workers, id)
	slices.Reverse(removed)
	return removed
}

// Worker returns a worker's description and free capacity.
func (placer *Placer) Worker(id descriptor.WorkerID) (worker Worker, free descriptor.Resources, ok bool) {
	current, ok := placer.workers[id]
	if !ok {
		return Worker{}, descriptor.Resources{}, false
	}
	return current.Worker, current.free, true
}

// Reservations returns the reservations on a worker in no particular order.
func (placer *Placer) Reservations(id descriptor.WorkerID) []Reservation {
	worker, ok := placer.workers[id]
	if !ok {
		return nil
	}
	runs := make([]Reservation, 0, len(worker.runs))
	for _, run := range worker.runs {
		runs = append(runs, run.Reservation)
	}
	return runs
}

// Reserved returns the reservation of a run and its worker.
func (placer *Placer) Reserved(run descriptor.RunID) (Reservation, descriptor.WorkerID, bool) {
	current, ok := placer.runs[run]
	if !ok {
		return Reservation{}, "", false
	}
	return current.Reservation, current.worker.ID, true
}

// Totals returns the total and the free capacity of all workers in use or on trial.
func (placer *Placer) Totals() (capacity, free descriptor.Resources) {
	for _, worker := range placer.workers {
		if worker.State == InUse || worker.State == Trial {
			capacity = capacity.Add(worker.Capacity)
			free = free.Add(worker.free)
		}
	}
	return capacity, free
}

// Reserve reserves capacity on a worker for a run. It ignores the state of the worker, so that runs
// that are already running on it can be reserved too.
func (placer *Placer) Reserve(id descriptor.WorkerID, reservation Reservation) error {
	worker, ok := placer.workers[id]
	switch {
	case !ok:
		return ErrUnknownWorker
	case reservation.Need.Negative() || reservation.Rank < 0 || reservation.Rank > MaxRank:
		return ErrInvalid
	case placer.runs[reservation.Run] != nil:
		return ErrReserved
	case !reservation.Need.Fits(worker.free):
		return ErrOvercommit
	}
	run := &runEntry{
		Reservation: reservation,
		worker:      worker,
		position:    len(worker.runs),
		onTrial:     worker.State == Trial,
	}
	placer.runs[reservation.Run] = run
	worker.runs = append(worker.runs, run)
	if run.onTrial {
		worker.trialRuns++
	}
	if reservation.Preemptible {
		worker.preemptible[reservation.Rank] = worker.preemptible[reservation.Rank].Add(reservation.Need)
	}
	placer.countRun(reservation.Run.Job, worker, 1)
	allocate(worker, reservation.Need)
	return nil
}

// Release removes the reservation of a run.
func (placer *Placer) Release(run descriptor.RunID) error {
	current, ok := placer.runs[run]
	if !ok {
		return ErrUnknownRun
	}
	placer.removeRun(current)
	return nil
}

// Change replaces the reservation of a run on its worker. It fails without effect if the growth
// exceeds the worker's free capacity.
func (placer *Placer) Change(reservation Reservation) error {
	current, ok := placer.runs[reservation.Run]
	if !ok {
		return ErrUnknownRun
	}
	growth := reservation.Need.Sub(current.Need)
	if reservation.Need.Negative() || reservation.Rank < 0 || reservation.Rank > MaxRank {
		return ErrInvalid
	}
	if !growth.Fits(clampNegative(current.worker.free)) {
		return ErrOvercommit
	}
	worker := current.worker
	if current.Preemptible {
		worker.preemptible[current.Rank] = worker.preemptible[current.Rank].Sub(current.Need)
	}
	current.Reservation = reservation
	if reservation.Preemptible {
		worker.preemptible[reservation.Rank] = worker.preemptible[reservation.Rank].Add(reservation.Need)
	}
	allocate(worker, growth)
	return nil
}

// clampNegative returns resources with negative components set to zero, so that a reservation can
// shrink on a worker whose capacity was reduced below its reservations.
func clampNegative(resources descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{
		MilliCPU:     max(resources.MilliCPU, 0),
		MemoryBytes:  max(resources.MemoryBytes, 0),
		Accelerators: max(resources.Accelerators, 0),
	}
}

// removeRun removes a reservation from its worker.
func (placer *Placer) removeRun(run *runEntry) {
	worker := run.worker
	last := worker.runs[len(worker.runs)-1]
	worker.runs[run.position] = last
	last.position = run.position
	worker.runs[len(worker.runs)-1] = nil
	worker.runs = worker.runs[:len(worker.runs)-1]
	delete(placer.runs, run.Run)
	if run.onTrial {
		worker.trialRuns--
	}
	if run.Preemptible {
		worker.preemptible[run.Rank] = worker.preemptible[run.Rank].Sub(run.Need)
	}
	placer.countRun(run.Run.Job, worker, -1)
	allocate(worker, descriptor.Resources{}.Sub(run.Need))
}

// allocate subtracts amount from the free capacity of a worker and updates the index. A negative amount
// frees capacity.
func allocate(worker *workerEntry, amount descriptor.Resources) {
	worker.free = worker.free.Sub(amount)
	worker.reindex()
}

// countRun adds change to the number of runs of the job on the worker and its rack.
func (placer *Placer) countRun(job descriptor.JobID, worker *workerEntry, change int) {
	counts, ok := placer.jobs[job]
	if !ok {
		counts = &spreadCounts{
			racks:   map[*rack]int{},
			workers: map[*workerEntry]int{},
		}
		placer.jobs[job] = counts
	}
	counts.total += change
	counts.racks[worker.rack] += change
	counts.workers[worker] += change
	if counts.racks[worker.rack] == 0 {
		delete(counts.racks, worker.rack)
	}
	if counts.workers[worker] == 0 {
		delete(counts.workers, worker)
	}
	if counts.total == 0 {
		delete(placer.jobs, job)
	}
}

func (placer *Placer) init() {
	if placer.workers != nil {
		return
	}
	placer.workers = map[descriptor.WorkerID]*workerEntry{}
	placer.runs = map[descriptor.RunID]*runEntry{}
	placer.racksByName = map[string]*rack{}
	placer.jobs = map[descriptor.JobID]*spreadCounts{}
}
