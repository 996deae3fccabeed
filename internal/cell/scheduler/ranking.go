package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/work/descriptor"
)

// rankLevels is the number of levels of free capacity that the ranking of workers tells apart. A pass ranks all workers
// up to a hundred times a second, so they are put into levels instead of being sorted.
const rankLevels = 256

// ranking holds all workers by ID, and the memory that ranking them reuses.
type ranking struct {
	workers []*worker
	usable  []*worker
	// quarantined holds the workers that could be used but are quarantined, by ID.
	quarantined []*worker
	levels      []uint8
}

// insert adds a worker.
func (ranking *ranking) insert(worker *worker) {
	index, _ := ranking.search(worker.id)
	ranking.workers = slices.Insert(ranking.workers, index, worker)
}

// remove removes a worker.
func (ranking *ranking) remove(id describer.WorkerID) {
	if index, found := ranking.search(id); found {
		ranking.workers = slices.Delete(ranking.workers, index, index+1)
	}
}

func (ranking *ranking) search(id describer.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(ranking.workers, id, func(worker *worker, id describer.WorkerID) int {
		return cmp.Compare(worker.id, id)
	})
}

// freeShare returns the free share of the worker's CPU capacity, divided by its slowdown.
func (worker *worker) freeShare() float64 {
	capacity := worker.description.Capacity
	if capacity.MilliCPU == 0 {
		return 0
	}
	free := worker.free()
	return float64(free.MilliCPU) / float64(capacity.MilliCPU) / worker.health.speed.Factor()
}

// rankLevel returns the level of the worker's free capacity; 0 is the highest.
func (worker *worker) rankLevel() uint8 {
	share := min(max(worker.freeShare(), 0), 1)
	return uint8((1 - share) * (rankLevels - 1))
}

// rankWorkers ranks the workers that may be given work by free capacity, for one pass. Workers of one level are ranked
// by ID.
func (scheduler *Scheduler) rankWorkers(now time.Time) {
	scheduler.totalMilliCPU, scheduler.freeShare = 0, 0
	scheduler.total = descriptor.Resources{}
	ranking := &scheduler.ranking
	ranking.usable, ranking.levels, ranking.quarantined = ranking.usable[:0], ranking.levels[:0], ranking.quarantined[:0]
	var starts [rankLevels + 1]int
	var used int64
	for _, worker := range ranking.workers {
		if !worker.usable() {
			continue
		}
		scheduler.totalMilliCPU += worker.description.Capacity.MilliCPU
		scheduler.total = scheduler.total.Add(worker.description.Capacity)
		used += worker.used.MilliCPU
		if now.Before(worker.health.quarantinedUntil) {
			ranking.quarantined = append(ranking.quarantined, worker)
			continue
		}
		level := worker.rankLevel()
		ranking.usable = append(ranking.usable, worker)
		ranking.levels = append(ranking.levels, level)
		starts[int(level)+1]++
	}
	if scheduler.totalMilliCPU > 0 {
		scheduler.freeShare = 1 - float64(used)/float64(scheduler.totalMilliCPU)
	}
	for level := range rankLevels {
		starts[level+1] += starts[level]
	}
	scheduler.ranked = slices.Grow(scheduler.ranked[:0], len(ranking.usable))[:len(ranking.usable)]
	for index, worker := range ranking.usable {
		level := ranking.levels[index]
		scheduler.ranked[starts[level]] = worker
		starts[level]++
	}
}
