// Package placer chooses workers of one shard for tasks and gangs.
//
// It keeps an index of the workers with the capacity that is allocated on them, so that allocations
// can't exceed a worker's capacity. A placement takes logarithmic time in the number of workers.
package placer

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/placement/indexer"
	"pomelomoor/internal/work/descriptor"
)

// WorkerState tells which runs a worker accepts. Its values must not be converted to or from those of
// detector.WorkerState, which are numbered differently.
type WorkerState int

// The states of a worker. The zero value is InUse.
const (
	// InUse means that the worker accepts runs without restriction.
	InUse WorkerState = iota
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
	State    WorkerState
}

// MaxRank is the largest rank of an allocation.
const MaxRank = 7

// Allocation is the capacity of a worker that a run occupies.
type Allocation struct {
	Run  descriptor.RunID
	Need descriptor.Resources
	// Rank orders runs for preemption: runs with higher ranks are preempted first. It is at most MaxRank.
	Rank int
	// Preemptible allows FindVictims and FindVictimsOnAnyWorker to return the run.
	Preemptible bool
	// End is when the run is expected to end. Zero means never.
	End time.Time
}

// Errors of operations on workers and allocations.
var (
	ErrUnknownWorker = errors.New("placer: unknown worker")
	ErrUnknownRun    = errors.New("placer: unknown run")
	ErrAllocated     = errors.New("placer: run already has an allocation")
	ErrOvercommit    = errors.New("placer: allocation exceeds the worker's free capacity")
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
	// cursor is the offset among the workers at which the next call of FindVictimsOnAnyWorker starts.
	cursor int
}

// workerEntry is a worker with its allocations.
type workerEntry struct {
	Worker
	ordinal   uint64
	rack      *rack
	free      descriptor.Resources
	runs      []*runEntry
	trialRuns int
	held      bool
	// preemptible is the sum of the preemptible allocations of each rank.
	preemptible [MaxRank + 1]descriptor.Resources
	item        indexer.Item[*workerEntry]
}

// runEntry is an allocation with the worker that it is on.
type runEntry struct {
	Allocation
	worker *workerEntry
	// position is the index in the worker's runs.
	position int
	// onTrial means that the worker was on trial when capacity was allocated to the run.
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

// SetWorker adds a worker or updates its description. Allocations stay, even if they exceed a
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

// RemoveWorker removes a worker and returns its allocations, which are removed too.
func (placer *Placer) RemoveWorker(id descriptor.WorkerID) []Allocation {
	worker, ok := placer.workers[id]
	if !ok {
		return nil
	}
	var removed []Allocation
	for len(worker.runs) > 0 {
		run := worker.runs[len(worker.runs)-1]
		removed = append(removed, run.Allocation)
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

// Allocations returns the allocations on a worker in no particular order.
func (placer *Placer) Allocations(id descriptor.WorkerID) []Allocation {
	worker, ok := placer.workers[id]
	if !ok {
		return nil
	}
	runs := make([]Allocation, 0, len(worker.runs))
	for _, run := range worker.runs {
		runs = append(runs, run.Allocation)
	}
	return runs
}

// Allocation returns the allocation of a run and its worker.
func (placer *Placer) Allocation(run descriptor.RunID) (Allocation, descriptor.WorkerID, bool) {
	current, ok := placer.runs[run]
	if !ok {
		return Allocation{}, "", false
	}
	return current.Allocation, current.worker.ID, true
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

// Allocate allocates capacity on a worker to a run. It ignores the state of the worker, so that capacity
// can also be allocated to runs that are already running on it.
func (placer *Placer) Allocate(id descriptor.WorkerID, allocation Allocation) error {
	worker, ok := placer.workers[id]
	switch {
	case !ok:
		return ErrUnknownWorker
	case allocation.Need.Negative() || allocation.Rank < 0 || allocation.Rank > MaxRank:
		return ErrInvalid
	case placer.runs[allocation.Run] != nil:
		return ErrAllocated
	case !allocation.Need.Fits(worker.free):
		return ErrOvercommit
	}
	run := &runEntry{
		Allocation: allocation,
		worker:     worker,
		position:   len(worker.runs),
		onTrial:    worker.State == Trial,
	}
	placer.runs[allocation.Run] = run
	worker.runs = append(worker.runs, run)
	if run.onTrial {
		worker.trialRuns++
	}
	if allocation.Preemptible {
		worker.preemptible[allocation.Rank] = worker.preemptible[allocation.Rank].Add(allocation.Need)
	}
	placer.countRun(allocation.Run.Job, worker, 1)
	subtractFree(worker, allocation.Need)
	return nil
}

// Release removes the allocation of a run.
func (placer *Placer) Release(run descriptor.RunID) error {
	current, ok := placer.runs[run]
	if !ok {
		return ErrUnknownRun
	}
	placer.removeRun(current)
	return nil
}

// UpdateAllocation replaces the allocation of a run on its worker. It fails without effect if the growth
// exceeds the worker's free capacity.
func (placer *Placer) UpdateAllocation(allocation Allocation) error {
	current, ok := placer.runs[allocation.Run]
	if !ok {
		return ErrUnknownRun
	}
	growth := allocation.Need.Sub(current.Need)
	if allocation.Need.Negative() || allocation.Rank < 0 || allocation.Rank > MaxRank {
		return ErrInvalid
	}
	if !growth.Fits(clampNegative(current.worker.free)) {
		return ErrOvercommit
	}
	worker := current.worker
	if current.Preemptible {
		worker.preemptible[current.Rank] = worker.preemptible[current.Rank].Sub(current.Need)
	}
	current.Allocation = allocation
	if allocation.Preemptible {
		worker.preemptible[allocation.Rank] = worker.preemptible[allocation.Rank].Add(allocation.Need)
	}
	subtractFree(worker, growth)
	return nil
}

// clampNegative returns resources with negative components set to zero, so that an allocation can
// shrink on a worker whose capacity was reduced below its allocations.
func clampNegative(resources descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{
		MilliCPU:     max(resources.MilliCPU, 0),
		MemoryBytes:  max(resources.MemoryBytes, 0),
		Accelerators: max(resources.Accelerators, 0),
	}
}

// removeRun removes an allocation from its worker.
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
	subtractFree(worker, descriptor.Resources{}.Sub(run.Need))
}

// subtractFree subtracts amount from the free capacity of a worker and updates the index. A negative amount
// frees capacity.
func subtractFree(worker *workerEntry, amount descriptor.Resources) {
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
