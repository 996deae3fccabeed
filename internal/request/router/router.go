// Package router divides the slots and connections of a region's runners among the region's entry
// instances, tracks the health of the runners and selects a runner or a peer for a request.
// The current time is an argument. Its types are not safe for concurrent use.
package router

import (
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelomoor/internal/config/parser"
)

// Limits of one runner.
const (
	SlotsPerRunner       = 8
	ConnectionsPerRunner = 64
	connectionsPerSlot   = ConnectionsPerRunner / SlotsPerRunner
)

// headroomFactor is the headroom for short work in standard deviations. It covers all but a few
// percent of the variation.
const headroomFactor = 2.0

// longSlots are the slots that long work may use: a fixed half of each runner's slots, regardless of
// their owners, so that the limit holds across all members without coordination.
const longSlots = mask(1<<(SlotsPerRunner/2) - 1)

// mask is a set of slots of one runner.
type mask uint8

func (mask mask) count() int {
	return bits.OnesCount8(uint8(mask))
}

func laneMask(lane parser.Lane) mask {
	if lane == parser.LaneLong {
		return longSlots
	}
	return 1<<SlotsPerRunner - 1
}

// Runner is a listed runner, one process of an upstream service, in the region of this instance.
type Runner struct {
	ID      string
	Address netip.AddrPort
	Leaving bool
}

// Slot is a slot of a runner that is reserved for one attempt. Release frees it.
type Slot struct {
	Runner  string
	Address netip.AddrPort
	Index   int
	Lane    parser.Lane

	runner *runner
}

// Share is the part of one runner's limits that an entry instance may use.
type Share struct {
	Slots       int
	LongSlots   int
	Connections int
}

// Router tracks the runners of one service in one region and reserves their slots. The zero value
// with Self set is ready for use.
type Router struct {
	// Self is the ID of this entry instance.
	Self string

	members []string
	runners []*runner
	byID    map[string]*runner
	// meanLatencies are the mean latencies of the short and the long lane, in nanoseconds.
	// meanSlowness is the mean over all runners of latency relative to them, errors included.
	meanLatencies [2]float64
	meanSlowness  float64
	// scanStart advances with each Choose, so that runners with equal scores are chosen in turn.
	scanStart int
	// total is the sum of the slot counts of all runners. It is valid until staleAt or a change.
	total   slotCounts
	staleAt time.Time
}

// SetMembers sets the live entry instances of the region. Self is always included.
func (router *Router) SetMembers(members []string) {
	members = append(slices.Clone(members), router.Self)
	slices.Sort(members)
	members = slices.Compact(members)
	if slices.Equal(members, router.members) {
		return
	}
	router.members = members
	for _, runner := range router.runners {
		runner.owned = router.ownedSlots(runner.ID)
	}
	router.staleAt = time.Time{}
}

// ownedSlots returns the slots of a runner that rendezvous hashing assigns to this instance.
func (router *Router) ownedSlots(runnerID string) mask {
	var owned mask
	for slot := range SlotsPerRunner {
		if owner(router.members, router.Self, runnerID, slot) == router.Self {
			owned |= 1 << slot
		}
	}
	return owned
}

func owner(members []string, self, runnerID string, slot int) string {
	best, bestScore := self, uint64(0)
	buffer := make([]byte, 0, 128)
	for _, member := range members {
		buffer = append(buffer[:0], runnerID...)
		buffer = append(buffer, 0, byte(slot), 0)
		buffer = append(buffer, member...)
		if score := xxhash.Sum64(buffer); score > bestScore {
			best, bestScore = member, score
		}
	}
	return best
}

// SetRunners replaces the list of runners. A runner that is no longer listed, or is listed as
// leaving, gets no new work. Slots in use stay in use until they are released. The state of a runner
// is kept for maxListLag after it disappears, so that a flapping list does not end a pause or make a
// leaving runner look new.
func (router *Router) SetRunners(now time.Time, runners []Runner) {
	if len(router.members) == 0 {
		router.SetMembers(nil)
	}
	if router.byID == nil {
		router.byID = map[string]*runner{}
	}
	for _, known := range router.runners {
		if known.listed {
			known.listed = false
			known.forgetAt = now.Add(maxListLag)
		}
	}
	for _, listed := range runners {
		known := router.byID[listed.ID]
		if known == nil || known.Address != listed.Address {
			// Another address means another process, so the state of the old one does not apply.
			known = newRunner(router.ownedSlots(listed.ID))
			router.byID[listed.ID] = known
		}
		known.Runner = listed
		known.listed = true
	}
	router.runners = router.runners[:0]
	for id, known := range router.byID {
		if !known.listed && known.busy == 0 && !now.Before(known.forgetAt) {
			delete(router.byID, id)
			continue
		}
		router.runners = append(router.runners, known)
	}
	slices.SortFunc(router.runners, func(a, b *runner) int {
		return strings.Compare(a.ID, b.ID)
	})
	router.staleAt = time.Time{}
}

// Share returns this instance's share of a runner.
func (router *Router) Share(id string) Share {
	known := router.byID[id]
	if known == nil {
		return Share{}
	}
	return Share{
		Slots:       known.owned.count(),
		LongSlots:   (known.owned & longSlots).count(),
		Connections: known.owned.count() * connectionsPerSlot,
	}
}

// Choose reserves a free owned slot for the lane on the runner with the lowest expected latency.
// The runner with the ID avoid is chosen only if no other has a free slot.
func (router *Router) Choose(now time.Time, lane parser.Lane, avoid string) (Slot, bool) {
	if _, free := router.Slots(now, lane); free == 0 {
		return Slot{}, false
	}
	best, bestScore := (*runner)(nil), 0.0
	router.scanStart++
	for i := range router.runners {
		candidate := router.runners[(router.scanStart+i)%len(router.runners)]
		if candidate.slots.freeIn(lane) == 0 {
			continue
		}
		score := candidate.score(now)
		if candidate.ID == avoid {
			score += avoidPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = candidate, score
		}
	}
	if best == nil {
		return Slot{}, false
	}
	slot := best.reserve(lane)
	router.update(now, best)
	return slot, true
}

// Slots returns how many owned slots work of the lane may occupy over time, and how many are free now.
func (router *Router) Slots(now time.Time, lane parser.Lane) (usable, free int) {
	router.refresh(now)
	total := &router.total
	if lane == parser.LaneLong {
		usable, free = total.usableLong, total.freeLong
		// The lanes alternate for the slots that both may use, so half of those that short work holds
		// are expected to pass to long work.
		usable -= total.busyShortOnLong / 2
		if 2*total.busyLong > total.usableLong {
			free = min(free, total.free-headroom(total.busyShort))
		}
	} else {
		usable, free = total.usable-total.busyLong, total.free
	}
	if total.usable == 0 || lane == parser.LaneLong && total.usableLong == 0 {
		return 0, 0
	}
	return max(usable, 1), max(free, 0)
}

// headroom returns how many free slots long work leaves to short work once it occupies more than half
// of its slots. The number of short requests in progress has a standard deviation of about its square
// root, and a slot occupied by long work is unavailable for the duration of many short requests.
func headroom(busyShort int) int {
	return int(math.Ceil(headroomFactor * math.Sqrt(float64(busyShort))))
}

// AvailableAt returns the earliest time at which a paused runner accepts work again, or the zero time if
// none is paused.
func (router *Router) AvailableAt(now time.Time) time.Time {
	var earliest time.Time
	for _, runner := range router.runners {
		if !runner.listed || runner.Leaving || runner.owned&^runner.busy == 0 {
			continue
		}
		at := runner.availableAt()
		if at.After(now) && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// Idle reports whether no runner is listed and no slot is in use.
func (router *Router) Idle() bool {
	for _, runner := range router.runners {
		if runner.listed || runner.busy != 0 {
			return false
		}
	}
	return true
}
