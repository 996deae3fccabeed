package watcher

import (
	"maps"
	"slices"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/work/descriptor"
)

// Fleet holds the workers of a shard. The zero value has none.
type Fleet struct {
	workers map[descriptor.WorkerID]*Worker
	// Listed tells that the platform's list is known.
	Listed bool
}

// Worker returns a worker, which is new if it was not known.
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

// Known returns a worker if it is known.
func (fleet *Fleet) Known(id descriptor.WorkerID) (*Worker, bool) {
	found, ok := fleet.workers[id]
	return found, ok
}

// Forget drops a worker.
func (fleet *Fleet) Forget(id descriptor.WorkerID) {
	delete(fleet.workers, id)
}

// Sorted returns the workers in the order of their IDs.
func (fleet *Fleet) Sorted() []*Worker {
	sorted := make([]*Worker, 0, len(fleet.workers))
	for _, id := range slices.Sorted(maps.Keys(fleet.workers)) {
		sorted = append(sorted, fleet.workers[id])
	}
	return sorted
}

// SetListed takes the platform's list and returns the listed workers in its order.
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

// Complete reports whether all listed workers have told what they can hold.
func (fleet *Fleet) Complete() bool {
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
