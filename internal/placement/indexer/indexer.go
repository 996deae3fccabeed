// Package indexer is an index of workers by labels and free capacity.
//
// Workers with equal labels form a label class, and selectors are matched once per label class. Within a
// label class, workers are kept in buckets by their number of free accelerators, and each bucket is a
// search tree ordered by free processor time. A search takes logarithmic time in the number of workers.
package indexer

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// maxCachedFilters limits the number of filters whose matching label classes are cached.
const maxCachedFilters = 1024

// MaxTag is the largest valid tag of an item.
const MaxTag = 7

// Filter is a conjunction of label selectors, prepared for repeated searches. The zero value matches
// every worker.
type Filter struct {
	// text identifies the filter in the cache.
	text      string
	selectors []selector.Selector
}

// NewFilter returns the filter that requires all selectors to match.
func NewFilter(selectors ...selector.Selector) Filter {
	var filter Filter
	var texts []string
	for _, sel := range selectors {
		if !sel.Empty() {
			filter.selectors = append(filter.selectors, sel)
			texts = append(texts, sel.String())
		}
	}
	filter.text = strings.Join(texts, ";")
	return filter
}

// Matches reports whether a worker with these labels passes the filter.
func (filter Filter) Matches(labels descriptor.Labels) bool {
	for _, sel := range filter.selectors {
		if !sel.Matches(labels) {
			return false
		}
	}
	return true
}

// Index holds items, grouped into label classes. The zero value is empty and ready to use.
type Index[T any] struct {
	classes map[string]*LabelClass[T]
	// matchCache holds the label classes that match a Filter, by its text. It is cleared when one is added
	// or removed.
	matchCache map[string][]*LabelClass[T]
}

// LabelClass is the set of items with equal labels that either all have accelerators or all have none.
type LabelClass[T any] struct {
	Labels      descriptor.Labels
	Accelerated bool
	Items       []*Item[T]
	// Capacities counts the items by capacity, and Tags counts them by tag.
	Capacities map[descriptor.Resources]int
	Tags       [MaxTag + 1]int

	key string
	// available and held are the buckets of available items, with separate buckets for held ones. The
	// index of a bucket is the number of free accelerators.
	available, held []*tree[T]
}

// Item is a worker in the index.
type Item[T any] struct {
	Value T
	// Ordinal is unique and breaks ties between items with equal free processor time.
	Ordinal uint64
	// Capacity and Tag must not change between Add and Remove.
	Capacity descriptor.Resources
	Tag      int

	class *LabelClass[T]
	// bucket is nil while the item is unavailable.
	bucket *tree[T]
	node   node[T]
}

// Add puts an item into the label class for its labels. Visit skips it until SetAvailable is called.
func (index *Index[T]) Add(item *Item[T], labels descriptor.Labels) {
	if index.classes == nil {
		index.classes = map[string]*LabelClass[T]{}
		index.matchCache = map[string][]*LabelClass[T]{}
	}
	accelerated := item.Capacity.Accelerators > 0
	key := classKey(labels, accelerated)
	class, ok := index.classes[key]
	if !ok {
		class = &LabelClass[T]{
			Labels:      labels,
			Accelerated: accelerated,
			Capacities:  map[descriptor.Resources]int{},
			key:         key,
		}
		index.classes[key] = class
		clear(index.matchCache)
	}
	item.class = class
	class.Items = append(class.Items, item)
	class.Capacities[item.Capacity]++
	class.Tags[item.Tag]++
}

// Remove takes an item out of its label class.
func (index *Index[T]) Remove(item *Item[T]) {
	item.SetUnavailable()
	class := item.class
	i := slices.Index(class.Items, item)
	class.Items = slices.Delete(class.Items, i, i+1)
	class.Tags[item.Tag]--
	class.Capacities[item.Capacity]--
	if class.Capacities[item.Capacity] == 0 {
		delete(class.Capacities, item.Capacity)
	}
	if len(class.Items) == 0 {
		delete(index.classes, class.key)
		clear(index.matchCache)
	}
}

// Matching returns the label classes that match the filter, those without accelerators first.
func (index *Index[T]) Matching(filter Filter) []*LabelClass[T] {
	if classes, ok := index.matchCache[filter.text]; ok {
		return classes
	}
	var plain, accelerated []*LabelClass[T]
	for _, key := range slices.Sorted(maps.Keys(index.classes)) {
		class := index.classes[key]
		switch {
		case !filter.Matches(class.Labels):
		case class.Accelerated:
			accelerated = append(accelerated, class)
		default:
			plain = append(plain, class)
		}
	}
	if len(index.matchCache) >= maxCachedFilters {
		clear(index.matchCache)
	}
	classes := slices.Concat(plain, accelerated)
	if index.matchCache != nil {
		index.matchCache[filter.text] = classes
	}
	return classes
}

// classKey returns a unique key for a label class.
func classKey(labels descriptor.Labels, accelerated bool) string {
	var key strings.Builder
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		key.WriteString(strconv.Quote(name))
		key.WriteString(strconv.Quote(labels[name]))
	}
	key.WriteString(strconv.FormatBool(accelerated))
	return key.String()
}

// Visit calls consider for the available items in which need fits, in ascending order of free
// accelerators, then of free processor time. If consider returns false for more, the other items with
// the same number of free accelerators are skipped. Visit ends after the first bucket in which consider
// returned true for found. It visits the held items if held is true, and the others if it is false.
func (labelClass *LabelClass[T]) Visit(held bool, need descriptor.Resources, consider func(T) (found, more bool)) {
	buckets := labelClass.available
	if held {
		buckets = labelClass.held
	}
	for i := need.Accelerators; i < int64(len(buckets)); i++ {
		foundAny := false
		buckets[i].root.visit(need.MilliCPU, need.MemoryBytes, func(value T) bool {
			found, more := consider(value)
			foundAny = foundAny || found
			return more
		})
		if foundAny {
			return
		}
	}
}

// Labels returns the labels of the item's label class.
func (item *Item[T]) Labels() descriptor.Labels {
	return item.class.Labels
}

// SetAvailable makes an item available with this free capacity, or updates its free capacity.
// Held items are visited separately.
func (item *Item[T]) SetAvailable(free descriptor.Resources, held bool) {
	item.SetUnavailable()
	buckets := &item.class.available
	if held {
		buckets = &item.class.held
	}
	for int64(len(*buckets)) <= free.Accelerators {
		*buckets = append(*buckets, &tree[T]{})
	}
	item.bucket = (*buckets)[free.Accelerators]
	item.node = node[T]{
		value:     item.Value,
		ordinal:   item.Ordinal,
		milliCPU:  free.MilliCPU,
		memory:    free.MemoryBytes,
		maxMemory: free.MemoryBytes,
	}
	item.bucket.insert(&item.node)
}

// SetUnavailable hides an item from Visit.
func (item *Item[T]) SetUnavailable() {
	if item.bucket != nil {
		item.bucket.remove(&item.node)
		item.bucket = nil
	}
}

// IsAvailable reports whether Visit may return the item.
func (item *Item[T]) IsAvailable() bool {
	return item.bucket != nil
}
