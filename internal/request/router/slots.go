package router

import (
	"time"

	"pomelomoor/internal/config/parser"
)

// refreshInterval is the maximum age of the slot counts. The decay of slowness within it is
// negligible.
const refreshInterval = 100 * time.Millisecond

// slotCounts counts the slots owned on one runner, or on all. A paused runner has no usable slots. A
// runner that has just refused as busy has usable slots but no free ones.
type slotCounts struct {
	usable, free                         int
	usableLong, freeLong                 int
	busyShort, busyLong, busyShortOnLong int
}

func (slotCounts *slotCounts) freeIn(lane parser.Lane) int {
	if lane == parser.LaneLong {
		return slotCounts.freeLong
	}
	return slotCounts.free
}

func (slotCounts *slotCounts) add(other slotCounts, sign int) {
	slotCounts.usable += sign * other.usable
	slotCounts.free += sign * other.free
	slotCounts.usableLong += sign * other.usableLong
	slotCounts.freeLong += sign * other.freeLong
	slotCounts.busyShort += sign * other.busyShort
	slotCounts.busyLong += sign * other.busyLong
	slotCounts.busyShortOnLong += sign * other.busyShortOnLong
}

func (runner *runner) countSlots(now time.Time, meanSlowness float64) slotCounts {
	if !runner.available(now) {
		return slotCounts{}
	}
	allowed := runner.allowed(now, meanSlowness)
	short := runner.busy &^ runner.long
	counts := slotCounts{
		usable:          allowed,
		usableLong:      min((runner.owned & longSlots).count(), allowed),
		busyShort:       short.count(),
		busyLong:        runner.long.count(),
		busyShortOnLong: (short & longSlots).count(),
	}
	if now.Before(runner.busyUntil) {
		return counts
	}
	unused := max(allowed-runner.busy.count(), 0)
	counts.free = min((runner.owned &^ runner.busy).count(), unused)
	counts.freeLong = min((runner.owned &^ runner.busy & longSlots).count(), unused)
	return counts
}

// refresh recounts the slots of all runners if the counts may have changed with time.
func (router *Router) refresh(now time.Time) {
	if now.Before(router.staleAt) {
		return
	}
	router.total = slotCounts{}
	router.staleAt = now.Add(refreshInterval)
	for _, runner := range router.runners {
		runner.slots = slotCounts{}
		router.update(now, runner)
	}
}

// update recounts the slots of one runner.
func (router *Router) update(now time.Time, runner *runner) {
	if router.byID[runner.ID] != runner {
		// The runner's ID now belongs to a process at another address, so these slots no longer count.
		return
	}
	router.total.add(runner.slots, -1)
	runner.slots = runner.countSlots(now, router.meanSlowness)
	router.total.add(runner.slots, 1)
	for _, transition := range []time.Time{runner.pausedUntil, runner.leavingUntil, runner.busyUntil} {
		if transition.After(now) && transition.Before(router.staleAt) {
			router.staleAt = transition
		}
	}
}
