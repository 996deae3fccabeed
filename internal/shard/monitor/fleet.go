package monitor

import (
	"maps"
	"slices"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/work/descriptor"
)

// Fleet is the set of a shard's workers. The zero value is empty and ready to use.
type Fleet struct {
	workers map[descriptor.WorkerID]*Worker
	// Listed is set once the platform's list has been received.
	Listed bool
}

// Worker returns the worker with the ID and adds it if it is missing.
func (fleet *Fleet) Worker(id descriptor.WorkerID) *Worker {
	found, ok := fleet.workers[id]
	if ok {
		return found
	}
	if fleet.workers == nil {
		fleet.workers = map[descriptor.WorkerID]*Worker{}
	}
	found = New(id)
	fleet.workers[id] = found
	return found
}

// Lookup returns the worker with the ID, and whether it is in the fleet.
func (fleet *Fleet) Lookup(id descriptor.WorkerID) (*Worker, bool) {
	found, ok := fleet.workers[id]
	return found, ok
}

// Forget removes a worker from the fleet.
func (fleet *Fleet) Forget(id descriptor.WorkerID) {
	delete(fleet.workers, id)
}

// Sorted returns the workers sorted by ID.
func (fleet *Fleet) Sorted() []*Worker {
	sorted := make([]*Worker, 0, len(fleet.workers))
	for _, id := range slices.Sorted(maps.Keys(fleet.workers)) {
		sorted = append(sorted, fleet.workers[id])
	}
	return sorted
}

// SetListed applies the platform's list to the workers, adds missing ones and returns the listed workers
// in the order of the list.
func (fleet *Fleet) SetListed(instances []lister.Instance) []*Worker {
	fleet.Listed = true
	for _, worker := range fleet.workers {
		worker.Listed = false
	}
	listed := make([]*Worker, 0, len(instances))
	for _, instance := range instances {
		worker := fleet.Worker(descriptor.WorkerID(instance.ID))
		worker.Address = instance.Address
		worker.Listed = true
		worker.Leaving = instance.State == lister.StateLeaving
		listed = append(listed, worker)
	}
	return listed
}

// AllReported reports whether the platform lists workers and all of them have reported their capacity.
func (fleet *Fleet) AllReported() bool {
	listed := 0
	for _, worker := range fleet.workers {
		if !worker.Listed {
			continue
		}
		if !worker.Reported {
			return false
		}
		listed++
	}
	return fleet.Listed && listed > 0
}
