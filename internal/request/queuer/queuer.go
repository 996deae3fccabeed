// Package queuer implements the queue of interactive requests that wait for a slot of one service
// at one entry instance. It has a short and a long lane, with admission control by deadline and
// round-robin fairness between callers. The current time is an argument and no method blocks.
// A Queuer is not safe for concurrent use.
package queuer

import (
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
)

// DefaultLimit is the default maximum number of waiting requests per lane.
const DefaultLimit = 1024

// MinRetryAfter is the shortest retry delay sent to refused callers. A retry that comes sooner is
// unlikely to find a free slot.
const MinRetryAfter = 50 * time.Millisecond

// maxTrimPerOffer is the maximum number of late items that one Offer removes, which bounds its cost.
const maxTrimPerOffer = 4

// Item is a request that needs a slot.
type Item struct {
	// ID is unique among the waiting items.
	ID       string
	Caller   string
	Lane     parser.Lane
	Urgency  descriptor.Urgency
	Deadline time.Time
}

// Slots gives the slots that a lane may use at the time of a call.
type Slots struct {
	// Usable is the number of slots, occupied or free, that work of the lane may occupy over time.
	Usable int
	// Free is the number of slots that work of the lane can occupy now.
	Free int
}

// Reason is the reason why an item was not served.
type Reason string

// The reasons of a refusal.
const (
	// ReasonExpired means that the item's deadline has passed.
	ReasonExpired Reason = "Expired"
	// ReasonLate means that the item is predicted to miss its deadline.
	ReasonLate Reason = "Late"
	// ReasonFull means that the lane holds the maximum number of items.
	ReasonFull Reason = "Full"
	// ReasonDisplaced means that the item was removed in favour of more urgent work or a caller with a shorter queue.
	ReasonDisplaced Reason = "Displaced"
	// ReasonNoSlots means that the lane has no usable slot.
	ReasonNoSlots Reason = "NoSlots"
)

// Refusal describes an item that will not be served. The request was not run.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is the predicted delay until the same request could be served.
	RetryAfter time.Duration
}

// Problem returns the error that is reported to the caller of the refused item.
func (refusal *Refusal) Problem() *descriptor.Problem {
	code, message, retryAfter := descriptor.CodeOverloaded, "too many requests are waiting", refusal.RetryAfter
	switch refusal.Reason {
	case ReasonExpired:
		code, message, retryAfter = descriptor.CodeDeadline, "deadline passed before a slot was free", 0
	case ReasonNoSlots:
		code, message = descriptor.CodeUnavailable, "no runner accepts work"
	case ReasonLate:
		message = "request would miss its deadline"
	case ReasonDisplaced:
		message = "request was displaced by more urgent work or by other callers"
	}
	return descriptor.NewProblem(code, retryAfter, "%s", message)
}

// Queuer queues the waiting items of one service by lane. The zero value is ready for use.
type Queuer struct {
	// Limit is the maximum number of waiting items per lane; 0 means DefaultLimit.
	Limit int

	short, long lane
	entries     map[string]*entry
	sequence    uint64
	// longNext reports whether the long lane is served first when both heads are equally urgent.
	longNext bool
}

func (queuer *Queuer) lane(name parser.Lane) *lane {
	if name == parser.LaneLong {
		return &queuer.long
	}
	return &queuer.short
}

// Offer admits item or returns its refusal. Displaced holds the waiting items that were removed so that item or
// others can be served in time.
func (queuer *Queuer) Offer(now time.Time, item Item, slots Slots) (refusal *Refusal, displaced []Refusal) {
	lane := queuer.lane(item.Lane)
	if refusal := lane.checkAdmission(now, item, slots); refusal != nil {
		return refusal, nil
	}
	limit := queuer.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	if lane.length() >= limit {
		victim := lane.last()
		if !victim.yieldsTo(item, lane) {
			return lane.refuse(now, item, ReasonFull, slots), nil
		}
		displaced = append(displaced, queuer.displace(now, lane, victim, slots))
	}
	queuer.insert(now, lane, item)
	return nil, append(displaced, queuer.trim(now, lane, item, slots)...)
}

func (queuer *Queuer) insert(now time.Time, lane *lane, item Item) {
	if queuer.entries == nil {
		queuer.entries = map[string]*entry{}
	}
	queuer.sequence++
	added := &entry{
		item:          item,
		sequence:      queuer.sequence,
		serviceBudget: lane.serviceBudget(now, item.Deadline.Sub(now)),
	}
	queuer.entries[item.ID] = added
	lane.classes[item.Urgency.Rank()].insert(added)
}

// trim removes waiting items that arrival delays past their deadlines. Otherwise they would occupy
// the queue until they expire, and their callers would be told too late to retry elsewhere.
func (queuer *Queuer) trim(now time.Time, lane *lane, arrival Item, slots Slots) []Refusal {
	var displaced []Refusal
	for range maxTrimPerOffer {
		victim := lane.last()
		if victim == nil || victim.item.ID == arrival.ID {
			return displaced
		}
		wait := lane.predictWait(now, lane.length()-1, slots)
		if !now.Add(wait + lane.minRemaining(now, victim)).After(victim.item.Deadline) {
			return displaced
		}
		displaced = append(displaced, queuer.displace(now, lane, victim, slots))
	}
	return displaced
}

func (queuer *Queuer) displace(now time.Time, lane *lane, victim *entry, slots Slots) Refusal {
	queuer.remove(victim)
	return *lane.refuse(now, victim.item, ReasonDisplaced, slots)
}

func (queuer *Queuer) remove(removed *entry) {
	delete(queuer.entries, removed.item.ID)
	removed.queue.class.remove(removed)
}

// Take removes and returns the next item to serve. Short and long tell which lanes may be served.
// Dropped holds items at the head of a lane that can no longer meet their deadlines.
func (queuer *Queuer) Take(now time.Time, short, long bool) (item Item, dropped []Refusal, ok bool) {
	for {
		lane := queuer.nextLane(short, long)
		if lane == nil {
			return Item{}, dropped, false
		}
		head := lane.peek()
		// A dropped item does not end its caller's turn.
		queuer.remove(head)
		remaining := head.item.Deadline.Sub(now)
		switch {
		case remaining <= 0:
			dropped = append(dropped, *lane.refuse(now, head.item, ReasonExpired, Slots{}))
		case remaining < lane.minRemaining(now, head) && lane.length() > 0:
			// The item would probably miss its deadline and delay items that can still meet theirs.
			dropped = append(dropped, *lane.refuse(now, head.item, ReasonLate, Slots{}))
		default:
			head.queue.class.endTurn()
			queuer.longNext = lane == &queuer.short
			return head.item, dropped, true
		}
	}
}

// nextLane returns the lane with the more urgent head, or nil if no eligible lane has items.
// Equally urgent lanes alternate so that neither starves. The router limits the long lane's share
// of the slots.
func (queuer *Queuer) nextLane(short, long bool) *lane {
	short = short && queuer.short.length() > 0
	long = long && queuer.long.length() > 0
	switch {
	case !short && !long:
		return nil
	case !long:
		return &queuer.short
	case !short:
		return &queuer.long
	}
	shortRank, longRank := queuer.short.headRank(), queuer.long.headRank()
	if longRank < shortRank || longRank == shortRank && queuer.longNext {
		return &queuer.long
	}
	return &queuer.short
}

// Cancel removes the item with this ID and reports whether it was still waiting.
func (queuer *Queuer) Cancel(id string) bool {
	found, ok := queuer.entries[id]
	if ok {
		queuer.remove(found)
	}
	return ok
}

// ObserveServiceTime records how long a request of the lane occupied its slot.
func (queuer *Queuer) ObserveServiceTime(now time.Time, lane parser.Lane, took time.Duration) {
	queuer.lane(lane).times.observe(now, took)
}

// PredictTimes returns the expected wait of item and the expected time that it then occupies a slot.
func (queuer *Queuer) PredictTimes(now time.Time, item Item, slots Slots) (wait, serviceTime time.Duration) {
	lane := queuer.lane(item.Lane)
	return lane.predictWait(now, lane.countAhead(item), slots), lane.times.mean(now)
}

// Len returns the number of items that wait in the lane.
func (queuer *Queuer) Len(lane parser.Lane) int {
	return queuer.lane(lane).length()
}
