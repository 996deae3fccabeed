package queuer

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// waitSteps is the part of a mean service time that a wait may be longer than predicted.
const waitSteps = 8

// ranks is the number of urgency classes.
const ranks = 3

// lane holds the items of one lane by urgency class, most urgent first.
type lane struct {
	classes [ranks]class
	times   times
	// lateAt is when an item was last refused as too late.
	lateAt time.Time
}

// pressed reports whether the lane gets more work than it can serve.
func (lane *lane) pressed(now time.Time) bool {
	return !lane.lateAt.IsZero() && now.Sub(lane.lateAt) < lane.times.tail(now)
}

// reserve returns how much of the time that an item has left is set aside for its service. It
// leaves room for slow answers, because work that ends late wastes its slot. A pressed lane needs
// only as many waiting items as keep the slots busy; otherwise at most half of the time is set
// aside, so that a short burst is served and a few stragglers do not close the queue.
func (lane *lane) reserve(now time.Time, left time.Duration) time.Duration {
	mean, tail := lane.times.mean(now), lane.times.tail(now)
	if lane.pressed(now) {
		return max(mean, min(tail, left-2*mean/waitSteps))
	}
	return max(mean, min(tail, left/2))
}

// floor returns the time that a waiting item must have left to be worth a slot.
func (lane *lane) floor(now time.Time, waiting *entry) time.Duration {
	mean := lane.times.mean(now)
	if lane.pressed(now) {
		return max(mean, waiting.reserve-mean/waitSteps)
	}
	return mean
}

func (lane *lane) length() int {
	total := 0
	for i := range lane.classes {
		total += lane.classes[i].length
	}
	return total
}

// rank returns that of the most urgent item.
func (lane *lane) rank() int {
	for i := range lane.classes {
		if lane.classes[i].length > 0 {
			return i
		}
	}
	return ranks
}

func (lane *lane) peek() *entry {
	return lane.classes[lane.rank()].peek()
}

// last returns the item that would be served last: the latest one of the caller with the longest queue in the
// least urgent class.
func (lane *lane) last() *entry {
	for _, class := range slices.Backward(lane.classes[:]) {
		if class.length > 0 {
			queue := class.longest[0]
			return queue.entries[len(queue.entries)-1]
		}
	}
	return nil
}

// ahead returns how many waiting items would be served before a new item.
func (lane *lane) ahead(item Item) int {
	rank := item.Urgency.Rank()
	total := 0
	for i := range rank {
		total += lane.classes[i].length
	}
	return total + lane.classes[rank].ahead(item)
}

// waitBehind predicts the wait of an item with this many items before it.
func (lane *lane) waitBehind(now time.Time, ahead int, slots Slots) time.Duration {
	if ahead < slots.Free {
		return 0
	}
	turns := ahead - slots.Free + 1
	return time.Duration(float64(turns) / float64(max(slots.Usable, 1)) * float64(lane.times.mean(now)))
}

func (lane *lane) admit(now time.Time, item Item, slots Slots) *Refusal {
	left := item.Deadline.Sub(now)
	if left <= 0 {
		return lane.refuse(now, item, ReasonExpired, slots)
	}
	if slots.Usable <= 0 {
		return lane.refuse(now, item, ReasonNoSlots, slots)
	}
	wait := lane.waitBehind(now, lane.ahead(item), slots)
	service := lane.times.mean(now)
	if wait > 0 {
		service = lane.reserve(now, left)
	}
	if wait+service > left {
		lane.lateAt = now
		return lane.refuse(now, item, ReasonLate, slots)
	}
	return nil
}

func (lane *lane) refuse(now time.Time, item Item, reason Reason, slots Slots) *Refusal {
	return &Refusal{
		Item:       item,
		Reason:     reason,
		RetryAfter: max(MinRetryAfter, lane.waitBehind(now, lane.length(), slots)),
	}
}

// entry is a waiting item.
type entry struct {
	item     Item
	sequence uint64
	queue    *callerQueue
	// reserve is the time that was set aside for the item's service when it was admitted.
	reserve time.Duration
}

// yieldsTo reports whether the waiting item gives its place in a full lane to arrival.
func (waiting *entry) yieldsTo(arrival Item, lane *lane) bool {
	rank := arrival.Urgency.Rank()
	if waiting.item.Urgency.Rank() != rank {
		return waiting.item.Urgency.Rank() > rank
	}
	own := 0
	if queue := lane.classes[rank].callers[arrival.Caller]; queue != nil {
		own = len(queue.entries)
	}
	return len(waiting.queue.entries) > own+1
}

func compareEntries(a, b *entry) int {
	return cmp.Or(a.item.Deadline.Compare(b.item.Deadline), cmp.Compare(a.sequence, b.sequence))
}

// callerQueue holds the items of one caller in one class, by deadline.
type callerQueue struct {
	caller  string
	class   *class
	entries []*entry
	// index is the place in class.longest, or -1.
	index int
	// turning tells whether the queue is in class.turns.
	turning bool
}

// class holds the items of one urgency class in one lane.
type class struct {
	length  int
	callers map[string]*callerQueue
	// turns is the order in which callers are served next. It may contain empty queues.
	turns []*callerQueue
	// longest is a heap with the longest queue first.
	longest longestFirst
	// atLeast[n] counts the callers with more than n items. Its prefix sums tell how many items
	// are served before the n-th of any caller.
	atLeast []int
}

func (class *class) insert(added *entry) {
	if class.callers == nil {
		class.callers = map[string]*callerQueue{}
	}
	queue := class.callers[added.item.Caller]
	if queue == nil {
		queue = &callerQueue{
			caller: added.item.Caller,
			class:  class,
			index:  -1,
		}
		class.callers[queue.caller] = queue
	}
	added.queue = queue
	at, _ := slices.BinarySearchFunc(queue.entries, added, compareEntries)
	queue.entries = slices.Insert(queue.entries, at, added)
	if len(class.atLeast) < len(queue.entries) {
		class.atLeast = append(class.atLeast, 0)
	}
	class.atLeast[len(queue.entries)-1]++
	class.length++
	if !queue.turning {
		queue.turning = true
		class.turns = append(class.turns, queue)
	}
	if queue.index < 0 {
		heap.Push(&class.longest, queue)
		return
	}
	heap.Fix(&class.longest, queue.index)
}

func (class *class) remove(gone *entry) {
	queue := gone.queue
	at, found := slices.BinarySearchFunc(queue.entries, gone, compareEntries)
	if !found {
		return
	}
	if at == 0 {
		// Moving the start costs nothing, and the usual removal is at the head.
		queue.entries[0] = nil
		queue.entries = queue.entries[1:]
	} else {
		queue.entries = slices.Delete(queue.entries, at, at+1)
	}
	class.atLeast[len(queue.entries)]--
	class.length--
	if len(queue.entries) > 0 {
		heap.Fix(&class.longest, queue.index)
		return
	}
	heap.Remove(&class.longest, queue.index)
	switch {
	case class.length == 0:
		// Empty queues that keep their turn would pile up when all items are cancelled.
		clear(class.callers)
		class.turns = nil
	case !queue.turning:
		delete(class.callers, queue.caller)
	}
}

// peek returns the first item of the caller whose turn it is. The class must not be empty.
func (class *class) peek() *entry {
	for {
		queue := class.turns[0]
		if len(queue.entries) > 0 {
			return queue.entries[0]
		}
		class.endTurn()
	}
}

// endTurn passes the turn to the next caller.
func (class *class) endTurn() {
	if len(class.turns) == 0 {
		return
	}
	queue := class.turns[0]
	class.turns[0] = nil
	class.turns = class.turns[1:]
	queue.turning = len(queue.entries) > 0
	if queue.turning {
		class.turns = append(class.turns, queue)
		return
	}
	delete(class.callers, queue.caller)
}

// ahead counts the items of the class that would be served before a new one.
func (class *class) ahead(item Item) int {
	own := 0
	if queue := class.callers[item.Caller]; queue != nil {
		own, _ = slices.BinarySearchFunc(queue.entries, item.Deadline, func(waiting *entry, deadline time.Time) int {
			if waiting.item.Deadline.After(deadline) {
				return 1
			}
			return -1
		})
	}
	total := 0
	for _, callers := range class.atLeast[:min(own+1, len(class.atLeast))] {
		total += callers
	}
	return total
}

// longestFirst implements heap.Interface with the longest queue first.
type longestFirst []*callerQueue

func (longestFirst longestFirst) Len() int { return len(longestFirst) }

func (longestFirst longestFirst) Less(i, j int) bool {
	a, b := longestFirst[i], longestFirst[j]
	if len(a.entries) != len(b.entries) {
		return len(a.entries) > len(b.entries)
	}
	return a.caller < b.caller
}

func (longestFirst longestFirst) Swap(i, j int) {
	longestFirst[i], longestFirst[j] = longestFirst[j], longestFirst[i]
	longestFirst[i].index = i
	longestFirst[j].index = j
}

func (longestFirst *longestFirst) Push(queue any) {
	added := queue.(*callerQueue)
	added.index = len(*longestFirst)
	*longestFirst = append(*longestFirst, added)
}

func (longestFirst *longestFirst) Pop() any {
	last := len(*longestFirst) - 1
	gone := (*longestFirst)[last]
	(*longestFirst)[last] = nil
	*longestFirst = (*longestFirst)[:last]
	gone.index = -1
	return gone
}
