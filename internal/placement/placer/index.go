package placer

import (
	"maps"
	"slices"

	"pomelomoor/internal/placement/indexer"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// Where is a condition on workers, prepared for repeated use. The zero value matches every worker.
type Where = indexer.Where

// NewWhere returns the condition that all selectors match.
func NewWhere(selectors ...selector.Selector) Where {
	return indexer.NewWhere(selectors...)
}

// labels returns the worker's own labels and those that follow from its place.
func (worker *entry) labels() descriptor.Labels {
	labels := maps.Clone(worker.Labels)
	if labels == nil {
		labels = descriptor.Labels{}
	}
	if worker.Place.Region != "" {
		labels["Region"] = worker.Place.Region
	}
	if worker.Place.Site != "" {
		labels["Site"] = worker.Place.Site
	}
	return labels
}

func (placer *Placer) attach(worker *entry) {
	worker.item.Value = worker
	worker.item.Ordinal = worker.ordinal
	worker.item.Capacity = worker.Capacity
	worker.item.Tag = int(worker.State)
	placer.index.Add(&worker.item, worker.labels())
	placer.capacity = placer.capacity.Add(worker.Capacity)
	placer.balance = newBalance(placer.capacity)
	placer.joinRack(worker)
	if worker.State == Trial {
		placer.trials = append(placer.trials, worker)
	}
	worker.reindex()
}

func (placer *Placer) joinRack(worker *entry) {
	name := worker.Place.Site + "/" + worker.Place.Rack
	shelf, ok := placer.byRack[name]
	if !ok {
		shelf = &rack{
			name: name,
		}
		placer.byRack[name] = shelf
		placer.racks = append(placer.racks, shelf)
	}
	if previous := worker.rack; previous != nil && previous != shelf {
		placer.recount(worker, shelf)
	}
	worker.rack = shelf
	shelf.workers = append(shelf.workers, worker)
}

// recount moves the runs of a worker to its new rack in the counts for spreading.
func (placer *Placer) recount(worker *entry, shelf *rack) {
	for _, run := range worker.runs {
		counts := placer.jobs[run.Run.Job]
		counts.racks[worker.rack]--
		if counts.racks[worker.rack] == 0 {
			delete(counts.racks, worker.rack)
		}
		counts.racks[shelf]++
	}
}

func (placer *Placer) detach(worker *entry) {
	placer.index.Remove(&worker.item)
	placer.capacity = placer.capacity.Sub(worker.Capacity)
	worker.rack.workers = without(worker.rack.workers, worker)
	if len(worker.rack.workers) == 0 {
		delete(placer.byRack, worker.rack.name)
		placer.racks = without(placer.racks, worker.rack)
	}
	placer.trials = without(placer.trials, worker)
}

func without[T comparable](list []T, item T) []T {
	if i := slices.Index(list, item); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// reindex makes a worker that takes work available with its free capacity.
func (worker *entry) reindex() {
	if worker.State != InUse || worker.free.Negative() {
		worker.item.Close()
		return
	}
	worker.item.Open(worker.free, worker.held)
}
