// Package placer indexes the workers of one shard and chooses workers for tasks and gangs.
//
// The index holds reservations, so nothing can be reserved past a worker's capacity. A decision costs
// a logarithm of the number of workers.
package placer

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/placement/indexer"
	"pomelomoor/internal/work/descriptor"
)

// State tells what a worker may be used for.
type State int

// The states of a worker. The zero value takes work.
const (
	// InUse means that the worker takes work.
	InUse State = iota
	// Trial means that the worker takes one run at a time, and only from requests that allow it.
	Trial
	// Quarantined means that the worker takes no new runs because its runs fail.
	Quarantined
	// Leaving means that the worker takes no new runs because it is about to stop.
	Leaving
)

// Worker describes one worker.
type Worker struct {
	ID descriptor.WorkerID
	// Place gives the rack. Region and Site also count as labels of these names.
	Place    descriptor.Place
	Labels   descriptor.Labels
	Capacity descriptor.Resources
	State    State
}

// MaxRank is the largest rank of a reservation.
const MaxRank = 7

// Reservation is what a run takes of a worker.
type Reservation struct {
	Run  descriptor.RunID
	Need descriptor.Resources
	// Rank orders runs for preemption; runs with higher ranks go first. It is at most MaxRank.
	Rank int
	// Preemptible allows Probe to name the run.
	Preemptible bool
	// End is when the run is expected to end; zero means never.
	End time.Time
}

// Errors of reservations.
var (
	ErrUnknownWorker = errors.New("placer: unknown worker")
	ErrUnknownRun    = errors.New("placer: unknown run")
	ErrReserved      = errors.New("placer: run is already reserved")
	ErrOvercommit    = errors.New("placer: reservation exceeds the worker's free capacity")
	ErrInvalid       = errors.New("placer: invalid amount, rank or count")
)

// Placer is the index of a shard's workers. The zero value is empty and ready.
type Placer struct {
	workers map[descriptor.WorkerID]*entry
	runs    map[descriptor.RunID]*reservation
	index   indexer.Index[*entry]
	racks   []*rack
	byRack  map[string]*rack
	// jobs counts the runs of each job per rack and per worker, for spreading.
	jobs   map[descriptor.JobID]*spreadCount
	trials []*entry
	hold   Hold
	// ordinal numbers the workers, so that ties are broken in the same way in every replay.
	ordinal uint64
	// capacity is the sum over all workers and balance follows from it.
	capacity descriptor.Resources
	balance  balance
	// cursor is where the next search for preemption victims starts.
	cursor int
}

// entry is one worker.
type entry struct {
	Worker
	ordinal   uint64
	rack      *rack
	free      descriptor.Resources
	runs      []*reservation
	trialRuns int
	held      bool
	// preemptible sums the preemptible reservations of each rank.
	preemptible [MaxRank + 1]descriptor.Resources
	item        indexer.Item[*entry]
}

type reservation struct {
	Reservation
	worker *entry
	// position is the index in the worker's runs.
	position int
	trial    bool
}

type rack struct {
	name    string
	workers []*entry
}

type spreadCount struct {
	total   int
	racks   map[*rack]int
	workers map[*entry]int
}

// SetWorker adds a worker or updates its description. Reservations stay, even if they exceed a
// reduced capacity; the worker then takes no work until enough of them are released.
func (placer *Placer) SetWorker(worker Worker) error {
	if worker.Capacity.Negative() {
		return ErrInvalid
	}
	placer.init()
	current, ok := placer.workers[worker.ID]
	if !ok {
		placer.ordinal++
		current = &entry{
			ordinal: placer.ordinal,
			held:    slices.Contains(placer.hold.Workers, worker.ID),
		}
		placer.workers[worker.ID] = current
	} else {
		placer.detach(current)
	}
	if worker.State == Trial && current.State != Trial {
		current.trialRuns = 0
		for _, run := range current.runs {
			run.trial = false
		}
	}
	current.free = current.free.Add(worker.Capacity).Sub(current.Capacity)
	current.Worker = worker
	placer.attach(current)
	return nil
}

// RemoveWorker removes a worker and its reservations, which it returns in order of reservation.
func (placer *Placer) RemoveWorker(id descriptor.WorkerID) []Reservation {
	worker, ok := placer.workers[id]
	if !ok {
		return nil
	}
	var removed []Reservation
	for len(worker.runs) > 0 {
		run := worker.runs[len(worker.runs)-1]
		removed = append(removed, run.Reservation)
		placer.drop(run)
	}
	placer.detach(worker)
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

// Runs returns the reservations on a worker in no particular order.
func (placer *Placer) Runs(id descriptor.WorkerID) []Reservation {
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

// Totals returns the capacity and the free amount of all workers that take work.
func (placer *Placer) Totals() (capacity, free descriptor.Resources) {
	for _, worker := range placer.workers {
		if worker.State == InUse || worker.State == Trial {
			capacity = capacity.Add(worker.Capacity)
			free = free.Add(worker.free)
		}
	}
	return capacity, free
}

// Reserve takes capacity of a worker for a run. The worker's state does not matter, so that runs
// that are found on a worker can be adopted.
func (placer *Placer) Reserve(id descriptor.WorkerID, request Reservation) error {
	worker, ok := placer.workers[id]
	switch {
	case !ok:
		return ErrUnknownWorker
	case request.Need.Negative() || request.Rank < 0 || request.Rank > MaxRank:
		return ErrInvalid
	case placer.runs[request.Run] != nil:
		return ErrReserved
	case !request.Need.Fits(worker.free):
		return ErrOvercommit
	}
	run := &reservation{
		Reservation: request,
		worker:      worker,
		position:    len(worker.runs),
		trial:       worker.State == Trial,
	}
	placer.runs[request.Run] = run
	worker.runs = append(worker.runs, run)
	if run.trial {
		worker.trialRuns++
	}
	if request.Preemptible {
		worker.preemptible[request.Rank] = worker.preemptible[request.Rank].Add(request.Need)
	}
	placer.count(request.Run.Job, worker, 1)
	take(worker, request.Need)
	return nil
}

// Release returns a run's capacity to its worker.
func (placer *Placer) Release(run descriptor.RunID) error {
	current, ok := placer.runs[run]
	if !ok {
		return ErrUnknownRun
	}
	placer.drop(current)
	return nil
}

// Change replaces the amount, rank and expected end of a reservation. It fails without effect if the
// amount grows past the worker's free capacity.
func (placer *Placer) Change(request Reservation) error {
	current, ok := placer.runs[request.Run]
	if !ok {
		return ErrUnknownRun
	}
	growth := request.Need.Sub(current.Need)
	if request.Need.Negative() || request.Rank < 0 || request.Rank > MaxRank {
		return ErrInvalid
	}
	if !growth.Fits(positive(current.worker.free)) {
		return ErrOvercommit
	}
	worker := current.worker
	if current.Preemptible {
		worker.preemptible[current.Rank] = worker.preemptible[current.Rank].Sub(current.Need)
	}
	current.Reservation = request
	if request.Preemptible {
		worker.preemptible[request.Rank] = worker.preemptible[request.Rank].Add(request.Need)
	}
	take(worker, growth)
	return nil
}

// positive returns resources with negative components set to zero, so that an amount can shrink on
// a worker whose capacity was reduced below its reservations.
func positive(resources descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{
		MilliCPU:     max(resources.MilliCPU, 0),
		MemoryBytes:  max(resources.MemoryBytes, 0),
		Accelerators: max(resources.Accelerators, 0),
	}
}

func (placer *Placer) drop(run *reservation) {
	worker := run.worker
	last := worker.runs[len(worker.runs)-1]
	worker.runs[run.position] = last
	last.position = run.position
	worker.runs[len(worker.runs)-1] = nil
	worker.runs = worker.runs[:len(worker.runs)-1]
	delete(placer.runs, run.Run)
	if run.trial {
		worker.trialRuns--
	}
	if run.Preemptible {
		worker.preemptible[run.Rank] = worker.preemptible[run.Rank].Sub(run.Need)
	}
	placer.count(run.Run.Job, worker, -1)
	take(worker, descriptor.Resources{}.Sub(run.Need))
}

// take changes a worker's free capacity and its position in the index.
func take(worker *entry, amount descriptor.Resources) {
	worker.free = worker.free.Sub(amount)
	worker.reindex()
}

func (placer *Placer) count(job descriptor.JobID, worker *entry, change int) {
	counts, ok := placer.jobs[job]
	if !ok {
		counts = &spreadCount{
			racks:   map[*rack]int{},
			workers: map[*entry]int{},
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
	placer.workers = map[descriptor.WorkerID]*entry{}
	placer.runs = map[descriptor.RunID]*reservation{}
	placer.byRack = map[string]*rack{}
	placer.jobs = map[descriptor.JobID]*spreadCount{}
}
