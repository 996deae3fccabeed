// Package queuer holds the interactive requests of one service that wait for a slot at one
// entry instance: a short and a long lane with admission, fairness between callers and deadlines.
// It is pure: the time is an argument and no method blocks. It is not safe for concurrent use.
package queuer

import (
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
)

// DefaultLimit is the number of requests that may wait in each lane.
const DefaultLimit = 1024

// MinRetryAfter keeps refused callers from coming back before a slot can have become free.
const MinRetryAfter = 50 * time.Millisecond

// trimsPerOffer bounds the work that one arrival causes.
const trimsPerOffer = 4

// Item is one request that asks for a slot.
type Item struct {
	// ID is unique among the items that wait.
	ID       string
	Caller   string
	Lane     parser.Lane
	Urgency  descriptor.Urgency
	Deadline time.Time
}

// Slots is what a lane can use at the moment of a decision.
type Slots struct {
	// Usable counts the slots that the lane's work may take in turn, in use or free.
	Usable int
	// Free counts the slots that could be taken now.
	Free int
}

// Reason tells why an item was not served.
type Reason string

// The reasons.
const (
	// ReasonExpired means that the deadline has passed.
	ReasonExpired Reason = "Expired"
	// ReasonLate means that the item could not end before its deadline.
	ReasonLate Reason = "Late"
	// ReasonFull means that too many items wait.
	ReasonFull Reason = "Full"
	// ReasonDisplaced means that the item's place was needed for more urgent work or a caller with a shorter queue.
	ReasonDisplaced Reason = "Displaced"
	// ReasonNoSlots means that the lane has no slot at all.
	ReasonNoSlots Reason = "NoSlots"
)

// Refusal is an item that will not be served. It was not run.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter tells when the same request has a chance.
	RetryAfter time.Duration
}

// Problem returns what the caller of the refused item is told.
func (refusal *Refusal) Problem() *descriptor.Problem {
	code, message, retryAfter := descriptor.CodeOverloaded, "too many requests wait", refusal.RetryAfter
	switch refusal.Reason {
	case ReasonExpired:
		code, message, retryAfter = descriptor.CodeDeadline, "deadline passed before a slot was free", 0
	case ReasonNoSlots:
		code, message = descriptor.CodeUnavailable, "no runner takes work"
	case ReasonLate:
		message = "request would miss its deadline"
	case ReasonDisplaced:
		message = "request was displaced by more urgent work or by other callers"
	}
	return descriptor.NewProblem(code, retryAfter, "%s", message)
}

// Queuer holds the lanes of one service. The zero value is ready for use.
type Queuer struct {
	// Limit bounds the items that wait in each lane; 0 means DefaultLimit.
	Limit int

	short, long lane
	entries     map[string]*entry
	sequence    uint64
	longTurn    bool
}

func (queuer *Queuer) lane(name parser.Lane) *lane {
	if name == parser.LaneLong {
		return &queuer.long
	}
	return &queuer.short
}

// Offer admits item, or returns why not as its first result. Displaced lists items that waited and were given up
// so that item or others can be served in time.
func (queuer *Queuer) Offer(now time.Time, item Item, slots Slots) (refusal *Refusal, displaced []Refusal) {
	lane := queuer.lane(item.Lane)
	if refusal := lane.admit(now, item, slots); refusal != nil {
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
		item:     item,
		sequence: queuer.sequence,
		reserve:  lane.reserve(now, item.Deadline.Sub(now)),
	}
	queuer.entries[item.ID] = added
	lane.classes[item.Urgency.Rank()].insert(added)
}

// trim gives up waiting items that arrival pushed past their deadlines. Without it they would hold
// their place until they expire and learn late that they have to go elsewhere.
func (queuer *Queuer) trim(now time.Time, lane *lane, arrival Item, slots Slots) []Refusal {
	var displaced []Refusal
	for range trimsPerOffer {
		victim := lane.last()
		if victim == nil || victim.item.ID == arrival.ID {
			return displaced
		}
		wait := lane.waitBehind(now, lane.length()-1, slots)
		if !now.Add(wait + lane.floor(now, victim)).After(victim.item.Deadline) {
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

func (queuer *Queuer) remove(gone *entry) {
	delete(queuer.entries, gone.item.ID)
	gone.queue.class.remove(gone)
}

// Take removes and returns the item to serve next among the lanes that are open. Dropped lists
// items at the head that were past hope and will not be served.
func (queuer *Queuer) Take(now time.Time, short, long bool) (item Item, dropped []Refusal, ok bool) {
	for {
		lane := queuer.next(short, long)
		if lane == nil {
			return Item{}, dropped, false
		}
		head := lane.peek()
		// A dropped item leaves the turn with its caller.
		queuer.remove(head)
		left := head.item.Deadline.Sub(now)
		switch {
		case left <= 0:
			dropped = append(dropped, *lane.refuse(now, head.item, ReasonExpired, Slots{}))
		case left < lane.floor(now, head) && lane.length() > 0:
			// It would most likely miss its deadline and take a slot from one that need not.
			dropped = append(dropped, *lane.refuse(now, head.item, ReasonLate, Slots{}))
		default:
			head.queue.class.endTurn()
			queuer.longTurn = lane == &queuer.short
			return head.item, dropped, true
		}
	}
}

// next chooses the lane with the more urgent head. Equal lanes take turns, so that neither
// starves; the long lane's share of slots is bounded by the router.
func (queuer *Queuer) next(short, long bool) *lane {
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
	shortRank, longRank := queuer.short.rank(), queuer.long.rank()
	if longRank < shortRank || longRank == shortRank && queuer.longTurn {
		return &queuer.long
	}
	return &queuer.short
}

// Cancel removes the item with this ID and reports whether it was still waiting.
func (queuer *Queuer) Cancel(id string) bool {
	waiting, ok := queuer.entries[id]
	if ok {
		queuer.remove(waiting)
	}
	return ok
}

// Learn adds the time that one request of the lane held its slot.
func (queuer *Queuer) Learn(now time.Time, lane parser.Lane, took time.Duration) {
	queuer.lane(lane).times.learn(now, took)
}

// Predict returns how long item would wait and how long it would then hold a slot.
func (queuer *Queuer) Predict(now time.Time, item Item, slots Slots) (wait, service time.Duration) {
	lane := queuer.lane(item.Lane)
	return lane.waitBehind(now, lane.ahead(item), slots), lane.times.mean(now)
}

// Len returns how many items wait in the lane.
func (queuer *Queuer) Len(lane parser.Lane) int {
	return queuer.lane(lane).length()
}
