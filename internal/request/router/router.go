// Package router divides the slots and connections of a region's runners among the region's entry
// instances, keeps the health of the runners and chooses a runner or a peer for a request.
// It is pure: the time is an argument. It is not safe for concurrent use.
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

// headroomFactor covers all but a few in a hundred of the variations of short work.
const headroomFactor = 2.0

// longSlots are the slots that long work may take: half of them, whoever owns them, so that the
// bound holds over all members without an exchange.
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

// Runner is one listed upstream runner of the own region.
type Runner struct {
	ID      string
	Address netip.AddrPort
	Leaving bool
}

// Slot is a slot of a runner that is reserved for one attempt. It is given back by Release.
type Slot struct {
	Runner  string
	Address netip.AddrPort
	Index   int
	Lane    parser.Lane

	runner *runner
}

// Share is what an entry instance may use of one runner.
type Share struct {
	Slots       int
	LongSlots   int
	Connections int
}

// Router knows the runners of one service in one region. The zero value with Self set is ready
// for use.
type Router struct {
	// Self is the ID of this entry instance.
	Self string

	members []string
	runners []*runner
	byID    map[string]*runner
	// norms are the mean latencies of the short and the long lane, and typical the mean of all
	// answers relative to them, errors included.
	norms   [2]float64
	typical float64
	offset  int
	// total sums the rooms of all runners. It holds until staleAt or a change.
	total   room
	staleAt time.Time
}

// SetMembers sets the live entry instances of the region. Self always counts as one.
func (router *Router) SetMembers(members []string) {
	members = append(slices.Clone(members), router.Self)
	slices.Sort(members)
	members = slices.Compact(members)
	if slices.Equal(members, router.members) {
		return
	}
	router.members = members
	for _, runner := range router.runners {
		runner.owned = router.own(runner.ID)
	}
	router.staleAt = time.Time{}
}

// own returns the slots of a runner that belong to this instance by rendezvous hashing.
func (router *Router) own(runner string) mask {
	var owned mask
	for slot := range SlotsPerRunner {
		if owner(router.members, router.Self, runner, slot) == router.Self {
			owned |= 1 << slot
		}
	}
	return owned
}

func owner(members []string, self, runner string, slot int) string {
	best, bestScore := self, uint64(0)
	buffer := make([]byte, 0, 128)
	for _, member := range members {
		buffer = append(buffer[:0], runner...)
		buffer = append(buffer, 0, byte(slot), 0)
		buffer = append(buffer, member...)
		if score := xxhash.Sum64(buffer); score > bestScore {
			best, bestScore = member, score
		}
	}
	return best
}

// SetRunners replaces the list of runners. A runner that is no longer listed, or listed as
// leaving, gets no new work. Slots that are in use stay in use until they are released. What is
// known of a runner outlives a short absence, because a list that flaps must not end a pause or
// make a leaving runner look new.
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
			known.keptUntil = now.Add(leavingHold)
		}
	}
	for _, listed := range runners {
		known := router.byID[listed.ID]
		if known == nil || known.Address != listed.Address {
			// Another address means another process, about which nothing is known.
			known = newRunner(router.own(listed.ID))
			router.byID[listed.ID] = known
		}
		known.Runner = listed
		known.listed = true
	}
	router.runners = router.runners[:0]
	for id, known := range router.byID {
		if !known.listed && known.busy == 0 && !now.Before(known.keptUntil) {
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

// Share returns what this instance may use of a runner.
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

// Choose reserves a free own slot for the lane on the runner with the lowest expected latency.
// The runner named avoid is taken only when no other has a free slot.
func (router *Router) Choose(now time.Time, lane parser.Lane, avoid string) (Slot, bool) {
	if _, free := router.Slots(now, lane); free == 0 {
		return Slot{}, false
	}
	best, bestScore := (*runner)(nil), 0.0
	router.offset++
	for i := range router.runners {
		candidate := router.runners[(router.offset+i)%len(router.runners)]
		if candidate.room.freeIn(lane) == 0 {
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

// Slots returns how many own slots the lane's work may take in turn, and how many are free now.
func (router *Router) Slots(now time.Time, lane parser.Lane) (usable, free int) {
	router.refresh(now)
	total := &router.total
	if lane == parser.LaneLong {
		usable, free = total.usableLong, total.freeLong
		// Lanes take turns for the slots that both may use, so half of these come back.
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

// headroom returns how many free slots long work leaves once it holds half of what it may. Short
// work in progress varies by about its square root, and a slot that long work took is gone for
// the time of many short requests.
func headroom(busyShort int) int {
	return int(math.Ceil(headroomFactor * math.Sqrt(float64(busyShort))))
}

// Wake returns when a runner that is paused takes work again, or zero when none is paused.
func (router *Router) Wake(now time.Time) time.Time {
	var wake time.Time
	for _, runner := range router.runners {
		if !runner.listed || runner.Leaving || runner.owned&^runner.busy == 0 {
			continue
		}
		at := runner.closedUntil()
		if at.After(now) && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
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
