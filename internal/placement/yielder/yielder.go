// Package yielder decides which waiting work yields when there is too little room to end all of it in time: the work
// whose delay costs callers least, by its entitlement, its priority, its deadline and the work that it needs. It does no
// I/O and reads no clock.
package yielder

import (
	"container/heap"
	"time"
)

// Work is waiting work that can still end in time.
type Work struct {
	// Excess means that its organisation is not entitled to it.
	Excess bool
	// Priority is that of its queue. 0 is the highest.
	Priority int
	// Due is when it has to end for its caller to be served in time.
	Due time.Time
	// Amount is the work that is left: the share of the cell that it occupies times the seconds that it takes.
	Amount float64
	// Done is the share of its job's work that is done, which is lost for the caller if the job is late.
	Done float64
	// Arrived is when its job was submitted.
	Arrived time.Time
}

// yieldsBefore reports whether work yields before other: first what its organisation is not entitled to, then that of
// lower queues, then jobs of which less is done, then those that came later.
func (work *Work) yieldsBefore(other *Work) bool {
	switch {
	case work.Excess != other.Excess:
		return work.Excess
	case work.Priority != other.Priority:
		return work.Priority > other.Priority
	case work.Done != other.Done:
		return work.Done < other.Done
	default:
		return work.Arrived.After(other.Arrived)
	}
}

// Choose returns for each item whether it yields. The items are ordered by Due. As long as the items up to some Due need
// more than supply gives until then, the one among them whose delay costs least yields. What yields may still be started
// where nothing else can use the room.
func Choose(now time.Time, supply *Supply, items []Work) []bool {
	yields := make([]bool, len(items))
	kept := &keptWork{
		items: items,
	}
	demand := 0.0
	for index := range items {
		demand += items[index].Amount
		heap.Push(kept, index)
		for available := supply.Until(items[index].Due.Sub(now)); demand > available && kept.Len() > 1; {
			yielding, _ := heap.Pop(kept).(int)
			demand -= items[yielding].Amount
			yields[yielding] = true
		}
	}
	return yields
}

// keptWork holds the indices of the items that do not yield, the first to yield on top. It implements heap.Interface.
type keptWork struct {
	items   []Work
	indices []int
}

func (keptWork *keptWork) Len() int {
	return len(keptWork.indices)
}

func (keptWork *keptWork) Less(left, right int) bool {
	first, second := keptWork.indices[left], keptWork.indices[right]
	switch {
	case keptWork.items[first].yieldsBefore(&keptWork.items[second]):
		return true
	case keptWork.items[second].yieldsBefore(&keptWork.items[first]):
		return false
	default:
		return first > second
	}
}

func (keptWork *keptWork) Swap(left, right int) {
	keptWork.indices[left], keptWork.indices[right] = keptWork.indices[right], keptWork.indices[left]
}

// Push implements heap.Interface.
func (keptWork *keptWork) Push(added any) {
	if index, ok := added.(int); ok {
		keptWork.indices = append(keptWork.indices, index)
	}
}

// Pop implements heap.Interface.
func (keptWork *keptWork) Pop() any {
	last := len(keptWork.indices) - 1
	index := keptWork.indices[last]
	keptWork.indices = keptWork.indices[:last]
	return index
}
