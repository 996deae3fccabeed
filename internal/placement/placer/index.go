package placer

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// maxMatches bounds the cache of matched selectors.
const maxMatches = 1024

// Where is a condition on workers, prepared for repeated use. The zero value matches every worker.
type Where struct {
	text      string
	selectors []selector.Selector
}

// NewWhere returns the condition that all selectors match.
func NewWhere(selectors ...selector.Selector) Where {
	var where Where
	var texts []string
	for _, one := range selectors {
		if !one.Empty() {
			where.selectors = append(where.selectors, one)
			texts = append(texts, one.String())
		}
	}
	where.text = strings.Join(texts, ";")
	return where
}

func (where Where) matches(labels descriptor.Labels) bool {
	for _, one := range where.selectors {
		if !one.Matches(labels) {
			return false
		}
	}
	return true
}

// class is the set of workers with equal labels that agree on having accelerators.
type class struct {
	key         string
	labels      descriptor.Labels
	accelerated bool
	workers     []*entry
	// capacities counts the workers of each size, to tell work that can never run.
	capacities map[descriptor.Resources]int
	// states counts the workers of each state.
	states [Leaving + 1]int
	// open and held hold the buckets of workers by free accelerators. Held workers are kept for a gang.
	open, held []*tree
}

func (placer *Placer) attach(worker *entry) {
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
	accelerated := worker.Capacity.Accelerators > 0
	key := classKey(labels, accelerated)
	group, ok := placer.classes[key]
	if !ok {
		group = &class{
			key:         key,
			labels:      labels,
			accelerated: accelerated,
			capacities:  map[descriptor.Resources]int{},
		}
		placer.classes[key] = group
		clear(placer.matches)
	}
	worker.class = group
	group.workers = append(group.workers, worker)
	group.capacities[worker.Capacity]++
	group.states[worker.State]++
	placer.capacity = placer.capacity.Add(worker.Capacity)
	placer.balance = newBalance(placer.capacity)
	placer.joinRack(worker)
	if worker.State == Trial {
		placer.trials = append(placer.trials, worker)
	}
	worker.index()
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
	worker.unindex()
	group := worker.class
	group.workers = without(group.workers, worker)
	group.states[worker.State]--
	placer.capacity = placer.capacity.Sub(worker.Capacity)
	group.capacities[worker.Capacity]--
	if group.capacities[worker.Capacity] == 0 {
		delete(group.capacities, worker.Capacity)
	}
	if len(group.workers) == 0 {
		delete(placer.classes, group.key)
		clear(placer.matches)
	}
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

func classKey(labels descriptor.Labels, accelerated bool) string {
	var key strings.Builder
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		key.WriteString(strconv.Quote(name))
		key.WriteString(strconv.Quote(labels[name]))
	}
	key.WriteString(strconv.FormatBool(accelerated))
	return key.String()
}

// matching returns the classes that where matches, those without accelerators first.
func (placer *Placer) matching(where Where) []*class {
	if groups, ok := placer.matches[where.text]; ok {
		return groups
	}
	var groups []*class
	for _, key := range slices.Sorted(maps.Keys(placer.classes)) {
		if group := placer.classes[key]; where.matches(group.labels) {
			groups = append(groups, group)
		}
	}
	slices.SortStableFunc(groups, func(a, b *class) int {
		switch {
		case a.accelerated == b.accelerated:
			return 0
		case b.accelerated:
			return -1
		default:
			return 1
		}
	})
	if len(placer.matches) >= maxMatches {
		clear(placer.matches)
	}
	if placer.matches != nil {
		placer.matches[where.text] = groups
	}
	return groups
}

// index puts a worker that takes work into the bucket for its free accelerators.
func (worker *entry) index() {
	if worker.State != InUse || worker.free.Negative() {
		return
	}
	buckets := &worker.class.open
	if worker.held {
		buckets = &worker.class.held
	}
	for int64(len(*buckets)) <= worker.free.Accelerators {
		*buckets = append(*buckets, &tree{})
	}
	worker.bucket = (*buckets)[worker.free.Accelerators]
	worker.node = node{
		worker:    worker,
		priority:  mix(worker.ordinal),
		milliCPU:  worker.free.MilliCPU,
		memory:    worker.free.MemoryBytes,
		maxMemory: worker.free.MemoryBytes,
	}
	worker.bucket.insert(&worker.node)
}

func (worker *entry) unindex() {
	if worker.bucket == nil {
		return
	}
	worker.bucket.remove(&worker.node)
	worker.bucket = nil
}
