// Package prioritizer holds what waits to be sent, the most urgent first.
package prioritizer

import (
	"cmp"
	"container/heap"
	"time"
)

// Rank is the urgency of an item.
type Rank struct {
	// Lateness is 0 if the item's job can meet its objective, 1 if it can only save part of its value, and 2 if it has no
	// value left. Lower values come first.
	Lateness int
	// Yields means that there is too little room for all items and that a delay of this one costs callers least. It comes
	// after the items of the same lateness that do not yield.
	Yields bool
	// Excess means that the job's organisation is not entitled to it. It comes after all others that have any value.
	Excess bool
	// UrgentFrom is when the item's step has to start to meet its objective. It orders items of one class; earlier times
	// come first.
	UrgentFrom time.Time
}

// The classes of ranks, the first one first.
const (
	classInTime = iota
	classYielding
	classLate
	classExcess
	classExcessLate
	classWorthless
)

func (rank Rank) class() int {
	switch {
	case rank.Lateness > 1:
		return classWorthless
	case rank.Excess && rank.Lateness > 0:
		return classExcessLate
	case rank.Excess:
		return classExcess
	case rank.Lateness > 0:
		return classLate
	case rank.Yields:
		return classYielding
	default:
		return classInTime
	}
}

// Compare returns a negative number if the rank comes before other, and a positive one if it comes after it.
func (rank Rank) Compare(other Rank) int {
	return cmp.Or(rank.class()-other.class(), rank.UrgentFrom.Compare(other.UrgentFrom))
}

// Queue holds items by rank, those of equal rank in the order in which they were added. The zero value is empty. It is
// not safe for concurrent use.
type Queue[Item any] struct {
	entries entries[Item]
	// lastNumber is the number of the last item that was added.
	lastNumber int64
}

type entry[Item any] struct {
	rank   Rank
	number int64
	item   Item
}

// Len returns the number of items.
func (queue *Queue[Item]) Len() int {
	return len(queue.entries)
}

// Add adds an item.
func (queue *Queue[Item]) Add(rank Rank, item Item) {
	queue.lastNumber++
	heap.Push(&queue.entries, entry[Item]{
		rank:   rank,
		number: queue.lastNumber,
		item:   item,
	})
}

// First returns the rank of the first item. The queue must not be empty.
func (queue *Queue[Item]) First() Rank {
	return queue.entries[0].rank
}

// Take removes and returns the first item. The queue must not be empty.
func (queue *Queue[Item]) Take() Item {
	taken, _ := heap.Pop(&queue.entries).(entry[Item])
	return taken.item
}

// Refresh looks up the lateness of the first item, which may have become late since it was added, until the first one is
// where it belongs. Otherwise those that have waited too long would always come first, and all would come too late.
func (queue *Queue[Item]) Refresh(latenessOf func(item *Item) int) {
	for len(queue.entries) > 0 {
		first := &queue.entries[0]
		lateness := latenessOf(&first.item)
		if lateness <= first.rank.Lateness {
			return
		}
		first.rank.Lateness = lateness
		heap.Fix(&queue.entries, 0)
	}
}

// entries implements heap.Interface.
type entries[Item any] []entry[Item]

func (entries entries[Item]) Len() int {
	return len(entries)
}

func (entries entries[Item]) Less(left, right int) bool {
	return cmp.Or(entries[left].rank.Compare(entries[right].rank), cmp.Compare(entries[left].number, entries[right].number)) < 0
}

func (entries entries[Item]) Swap(left, right int) {
	entries[left], entries[right] = entries[right], entries[left]
}

// Push implements heap.Interface.
func (entries *entries[Item]) Push(added any) {
	if entry, ok := added.(entry[Item]); ok {
		*entries = append(*entries, entry)
	}
}

// Pop implements heap.Interface.
func (entries *entries[Item]) Pop() any {
	last := len(*entries) - 1
	taken := (*entries)[last]
	// The memory must not keep the item.
	(*entries)[last] = entry[Item]{}
	*entries = (*entries)[:last]
	return taken
}
