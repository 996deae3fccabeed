// Package indexer finds workers by labels and free capacity.
//
// Workers with equal labels form a class, and selectors are matched once per class. Within a class,
// workers are kept in buckets by their number of free accelerators, and each bucket is a tree in order
// of free processor time. A search therefore costs a logarithm of the number of workers.
package indexer

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

// MaxTag is the largest tag of an item.
const MaxTag = 7

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

// Matches reports whether a worker with these labels meets the condition.
func (where Where) Matches(labels descriptor.Labels) bool {
	for _, one := range where.selectors {
		if !one.Matches(labels) {
			return false
		}
	}
	return true
}

// Index holds items in classes. The zero value is empty.
type Index[T any] struct {
	classes map[string]*Class[T]
	// matches caches the classes that a Where matches; it is dropped when a class comes or goes.
	matches map[string][]*Class[T]
}

// Class is the set of items with equal labels that agree on having accelerators.
type Class[T any] struct {
	Labels      descriptor.Labels
	Accelerated bool
	Items       []*Item[T]
	// Capacities counts the items of each size and Tags those with each tag.
	Capacities map[descriptor.Resources]int
	Tags       [MaxTag + 1]int

	key string
	// open and held hold the buckets of items by free accelerators.
	open, held []*tree[T]
}

// Item is a worker in the index.
type Item[T any] struct {
	Value T
	// Ordinal is unique and breaks ties.
	Ordinal uint64
	// Capacity and Tag must not change between Add and Remove.
	Capacity descriptor.Resources
	Tag      int

	class *Class[T]
	// bucket is nil while the item is not open.
	bucket *tree[T]
	node   node[T]
}

// Add puts an item into the class for its labels. It is found only once it is open.
func (index *Index[T]) Add(item *Item[T], labels descriptor.Labels) {
	if index.classes == nil {
		index.classes = map[string]*Class[T]{}
		index.matches = map[string][]*Class[T]{}
	}
	accelerated := item.Capacity.Accelerators > 0
	key := classKey(labels, accelerated)
	class, ok := index.classes[key]
	if !ok {
		class = &Class[T]{
			Labels:      labels,
			Accelerated: accelerated,
			Capacities:  map[descriptor.Resources]int{},
			key:         key,
		}
		index.classes[key] = class
		clear(index.matches)
	}
	item.class = class
	class.Items = append(class.Items, item)
	class.Capacities[item.Capacity]++
	class.Tags[item.Tag]++
}

// Remove takes an item out of its class.
func (index *Index[T]) Remove(item *Item[T]) {
	item.Close()
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
		clear(index.matches)
	}
}

// Matching returns the classes that where matches, those without accelerators first.
func (index *Index[T]) Matching(where Where) []*Class[T] {
	if classes, ok := index.matches[where.text]; ok {
		return classes
	}
	var plain, accelerated []*Class[T]
	for _, key := range slices.Sorted(maps.Keys(index.classes)) {
		class := index.classes[key]
		switch {
		case !where.Matches(class.Labels):
		case class.Accelerated:
			accelerated = append(accelerated, class)
		default:
			plain = append(plain, class)
		}
	}
	if len(index.matches) >= maxMatches {
		clear(index.matches)
	}
	classes := slices.Concat(plain, accelerated)
	if index.matches != nil {
		index.matches[where.text] = classes
	}
	return classes
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

// Visit offers the open items with room for need to accept, in order of free processor time, until
// it returns false. It starts with the items that have the fewest free accelerators and ends with the
// first bucket in which accept counts an item as found.
func (class *Class[T]) Visit(held bool, need descriptor.Resources, accept func(T) (found, more bool)) {
	buckets := class.open
	if held {
		buckets = class.held
	}
	for i := need.Accelerators; i < int64(len(buckets)); i++ {
		foundAny := false
		buckets[i].root.visit(need.MilliCPU, need.MemoryBytes, func(value T) bool {
			found, more := accept(value)
			foundAny = foundAny || found
			return more
		})
		if foundAny {
			return
		}
	}
}

// Labels returns the labels of the item's class.
func (item *Item[T]) Labels() descriptor.Labels {
	return item.class.Labels
}

// Open makes an item available with this free amount, or changes the amount.
// Held items are visited separately.
func (item *Item[T]) Open(free descriptor.Resources, held bool) {
	item.Close()
	buckets := &item.class.open
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

// Close makes an item unavailable.
func (item *Item[T]) Close() {
	if item.bucket != nil {
		item.bucket.remove(&item.node)
		item.bucket = nil
	}
}

// IsOpen reports whether the item is available.
func (item *Item[T]) IsOpen() bool {
	return item.bucket != nil
}
