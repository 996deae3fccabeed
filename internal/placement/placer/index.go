package placer

import (
	"maps"
	"slices"

	"pomelomoor/internal/placement/indexer"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// Filter is a conjunction of label selectors, prepared for repeated searches. The zero value matches
// every worker.
type Filter = indexer.Filter

// NewFilter returns the filter that requires all selectors to match.
func NewFilter(selectors ...selector.Selector) Filter {
	return indexer.NewFilter(selectors...)
}

// labels returns the worker's own labels and those for its region and site.
func (workerEntry *workerEntry) labels() descriptor.Labels {
	labels := maps.Clone(workerEntry.Labels)
	if labels == nil {
		labels = descriptor.Labels{}
	}
	if workerEntry.Place.Region != "" {
		labels["Region"] = workerEntry.Place.Region
	}
	if workerEntry.Place.Site != "" {
		labels["Site"] = workerEntry.Place.Site
	}
	return labels
}

// addToIndex adds a worker to the index, its rack and the total capacity of the shard.
func (placer *Placer) addToIndex(worker *workerEntry) {
	worker.item.Value = worker
	worker.item.Ordinal = worker.ordinal
	worker.item.Capacity = worker.Capacity
	worker.item.Tag = int(worker.State)
	placer.index.Add(&worker.item, worker.labels())
	placer.capacity = placer.capacity.Add(worker.Capacity)
	placer.weights = newResourceWeights(placer.capacity)
	placer.addToRack(worker)
	if worker.State == Trial {
		placer.trials = append(placer.trials, worker)
	}
	worker.reindex()
}

// addToRack adds a worker to its rack, which it creates if necessary.
func (placer *Placer) addToRack(worker *workerEntry) {
	name := worker.Place.Site + "/" + worker.Place.Rack
	target, ok := placer.racksByName[name]
	if !ok {
		target = &rack{
			name: name,
		}
		placer.racksByName[name] = target
		placer.racks = append(placer.racks, target)
	}
	if previous := worker.rack; previous != nil && previous != target {
		placer.moveRunCounts(worker, target)
	}
	worker.rack = target
	target.workers = append(target.workers, worker)
}

// moveRunCounts moves the runs of a worker to its new rack in the spread counts.
func (placer *Placer) moveRunCounts(worker *workerEntry, target *rack) {
	for _, run := range worker.runs {
		counts := placer.jobs[run.Run.Job]
		counts.racks[worker.rack]--
		if counts.racks[worker.rack] == 0 {
			delete(counts.racks, worker.rack)
		}
		counts.racks[target]++
	}
}

// removeFromIndex removes a worker from the index, its rack and the total capacity of the shard.
func (placer *Placer) removeFromIndex(worker *workerEntry) {
	placer.index.Remove(&worker.item)
	placer.capacity = placer.capacity.Sub(worker.Capacity)
	worker.rack.workers = removeItem(worker.rack.workers, worker)
	if len(worker.rack.workers) == 0 {
		delete(placer.racksByName, worker.rack.name)
		placer.racks = removeItem(placer.racks, worker.rack)
	}
	placer.trials = removeItem(placer.trials, worker)
}

func removeItem[T comparable](list []T, item T) []T {
	if i := slices.Index(list, item); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// reindex updates the free capacity of a worker in the index. The worker is available only if it is in
// use and its allocations don't exceed its capacity.
func (workerEntry *workerEntry) reindex() {
	if workerEntry.State != InUse || workerEntry.free.Negative() {
		workerEntry.item.SetUnavailable()
		return
	}
	workerEntry.item.SetAvailable(workerEntry.free, workerEntry.held)
}
