package queuer

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// waitToleranceDivisor sets the tolerance for waits longer than predicted: the mean service time
// divided by it.
const waitToleranceDivisor = 8

// urgencyClasses is the number of urgency classes.
const urgencyClasses = 3

// lane holds the waiting items of one lane by urgency class, most urgent first.
type lane struct {
	classes [urgencyClasses]class
	times   serviceTimes
	// lastLate is the time of the last refusal with ReasonLate.
	lastLate time.Time
}

// overloaded reports whether the lane refused an item with ReasonLate recently, that is, less than the
// 99.5th percentile of the service times ago (see serviceTimes.tail).
func (lane *lane) overloaded(now time.Time) bool {
	return !lane.lastLate.IsZero() && now.Sub(lane.lastLate) < lane.times.tail(now)
}

// serviceBudget returns how much of an item's remaining time is reserved for its service. It allows
// for slow responses, because work that ends late wastes its slot. An overloaded lane needs only
// enough waiting items to keep the slots busy, so it reserves up to the tail of the service times but
// leaves twice the wait tolerance, a quarter of the mean, for waiting. In that time about a quarter of
// the usable slots are released. Otherwise at most half of the remaining time is reserved, so that short
// bursts are served and a few slow requests do not block admission.
func (lane *lane) serviceBudget(now time.Time, remaining time.Duration) time.Duration {
	mean, tail := lane.times.mean(now), lane.times.tail(now)
	if lane.overloaded(now) {
		return max(mean, min(tail, remaining-2*mean/waitToleranceDivisor))
	}
	return max(mean, min(tail, remaining/2))
}

// minRemaining returns the shortest remaining time with which a waiting item is still given a slot.
func (lane *lane) minRemaining(now time.Time, waiting *entry) time.Duration {
	mean := lane.times.mean(now)
	if lane.overloaded(now) {
		return max(mean, waiting.serviceBudget-mean/waitToleranceDivisor)
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

// headRank returns the urgency rank of the most urgent item, or urgencyClasses if the lane is empty.
func (lane *lane) headRank() int {
	for i := range lane.classes {
		if lane.classes[i].length > 0 {
			return i
		}
	}
	return urgencyClasses
}

func (lane *lane) peek() *entry {
	return lane.classes[lane.headRank()].peek()
}

// last returns the item that would be served last: the one with the latest deadline of the caller with the longest
// queue in the least urgent class.
func (lane *lane) last() *entry {
	for _, class := range slices.Backward(lane.classes[:]) {
		if class.length > 0 {
			queue := class.longest[0]
			return queue.entries[len(queue.entries)-1]
		}
	}
	return nil
}

// countAhead returns an upper bound of the number of the lane's items that would be served before a
// new item: all items of the more urgent classes, and the bound of class.countAhead for the item's own class.
func (lane *lane) countAhead(item Item) int {
	rank := item.Urgency.Rank()
	total := 0
	for i := range rank {
		total += lane.classes[i].length
	}
	return total + lane.classes[rank].countAhead(item)
}

// predictWait returns the expected wait of an item that has ahead items before it.
func (lane *lane) predictWait(now time.Time, ahead int, slots Slots) time.Duration {
	if ahead < slots.Free {
		return 0
	}
	releases := ahead - slots.Free + 1
	return time.Duration(float64(releases) / float64(max(slots.Usable, 1)) * float64(lane.times.mean(now)))
}

// checkAdmission returns a refusal if item has expired, has no usable slot or is predicted to miss its
// deadline, and nil otherwise. It does not insert the item.
func (lane *lane) checkAdmission(now time.Time, item Item, slots Slots) *Refusal {
	remaining := item.Deadline.Sub(now)
	if remaining <= 0 {
		return lane.refuse(now, item, ReasonExpired, slots)
	}
	if slots.Usable <= 0 {
		return lane.refuse(now, item, ReasonNoSlots, slots)
	}
	wait := lane.predictWait(now, lane.countAhead(item), slots)
	serviceTime := lane.times.mean(now)
	if wait > 0 {
		serviceTime = lane.serviceBudget(now, remaining)
	}
	if wait+serviceTime > remaining {
		lane.lastLate = now
		return lane.refuse(now, item, ReasonLate, slots)
	}
	return nil
}

func (lane *lane) refuse(now time.Time, item Item, reason Reason, slots Slots) *Refusal {
	return &Refusal{
		Item:       item,
		Reason:     reason,
		RetryAfter: max(MinRetryAfter, lane.predictWait(now, lane.length(), slots)),
	}
}

// entry is a waiting item.
type entry struct {
	item     Item
	sequence uint64
	queue    *callerQueue
	// serviceBudget is the time that was reserved for the item's service at admission.
	serviceBudget time.Duration
}

// yieldsTo reports whether the waiting item is removed from a full lane in favour of arrival: arrival
// is more urgent, or equally urgent and its caller's queue is shorter even with arrival in it.
func (entry *entry) yieldsTo(arrival Item, lane *lane) bool {
	rank := arrival.Urgency.Rank()
	if entry.item.Urgency.Rank() != rank {
		return entry.item.Urgency.Rank() > rank
	}
	callerLength := 0
	if queue := lane.classes[rank].callers[arrival.Caller]; queue != nil {
		callerLength = len(queue.entries)
	}
	return len(entry.queue.entries) > callerLength+1
}

func compareEntries(a, b *entry) int {
	return cmp.Or(a.item.Deadline.Compare(b.item.Deadline), cmp.Compare(a.sequence, b.sequence))
}

// callerQueue holds the items of one caller in one class, sorted by deadline.
type callerQueue struct {
	caller  string
	class   *class
	entries []*entry
	// index is the position in class.longest, or -1 if the queue is not in it.
	index int
	// inRoundRobin reports whether the queue is in class.roundRobin.
	inRoundRobin bool
}

// class holds the items of one urgency class in one lane.
type class struct {
	length  int
	callers map[string]*callerQueue
	// roundRobin lists the callers in the order in which they are served. It may contain empty queues.
	roundRobin []*callerQueue
	// longest is a heap of the non-empty queues with the longest one first.
	longest longestFirst
	// longerThan[n] is the number of callers with more than n items. The sum of its first n+1 entries
	// counts up to n+1 items of each caller. It is an upper bound of the number of items that are served
	// before a new item with n items of its caller before it, because the order of the callers' turns is
	// left out: a caller whose turn comes after the new item's caller has only n items served before it.
	// Of the new item's own caller, one item with a later deadline may be counted as well.
	longerThan []int
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
	if len(class.longerThan) < len(queue.entries) {
		class.longerThan = append(class.longerThan, 0)
	}
	class.longerThan[len(queue.entries)-1]++
	class.length++
	if !queue.inRoundRobin {
		queue.inRoundRobin = true
		class.roundRobin = append(class.roundRobin, queue)
	}
	if queue.index < 0 {
		heap.Push(&class.longest, queue)
		return
	}
	heap.Fix(&class.longest, queue.index)
}

func (class *class) remove(removed *entry) {
	queue := removed.queue
	at, found := slices.BinarySearchFunc(queue.entries, removed, compareEntries)
	if !found {
		return
	}
	if at == 0 {
		// Most removals are at the head, where reslicing avoids copying the rest.
		queue.entries[0] = nil
		queue.entries = queue.entries[1:]
	} else {
		queue.entries = slices.Delete(queue.entries, at, at+1)
	}
	class.longerThan[len(queue.entries)]--
	class.length--
	if len(queue.entries) > 0 {
		heap.Fix(&class.longest, queue.index)
		return
	}
	heap.Remove(&class.longest, queue.index)
	switch {
	case class.length == 0:
		// Empty queues stay in roundRobin until their turn, which never comes if all items are
		// cancelled. Clearing it here keeps them from accumulating.
		clear(class.callers)
		class.roundRobin = nil
	case !queue.inRoundRobin:
		delete(class.callers, queue.caller)
	}
}

// peek returns the first item of the next caller in turn. The class must not be empty.
func (class *class) peek() *entry {
	for {
		queue := class.roundRobin[0]
		if len(queue.entries) > 0 {
			return queue.entries[0]
		}
		class.endTurn()
	}
}

// endTurn moves the current caller to the end of the round-robin order, or removes it if its queue
// is empty.
func (class *class) endTurn() {
	if len(class.roundRobin) == 0 {
		return
	}
	queue := class.roundRobin[0]
	class.roundRobin[0] = nil
	class.roundRobin = class.roundRobin[1:]
	queue.inRoundRobin = len(queue.entries) > 0
	if queue.inRoundRobin {
		class.roundRobin = append(class.roundRobin, queue)
		return
	}
	delete(class.callers, queue.caller)
}

// countAhead returns an upper bound of the number of items of the class that would be served before a
// new item; see longerThan.
func (class *class) countAhead(item Item) int {
	position := 0
	if queue := class.callers[item.Caller]; queue != nil {
		position, _ = slices.BinarySearchFunc(queue.entries, item.Deadline, func(waiting *entry, deadline time.Time) int {
			if waiting.item.Deadline.After(deadline) {
				return 1
			}
			return -1
		})
	}
	total := 0
	for _, callers := range class.longerThan[:min(position+1, len(class.longerThan))] {
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
	removed := (*longestFirst)[last]
	(*longestFirst)[last] = nil
	*longestFirst = (*longestFirst)[:last]
	removed.index = -1
	return removed
}
