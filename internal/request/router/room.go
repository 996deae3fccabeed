package router

import (
	"time"

	"pomelomoor/internal/config/parser"
)

// refreshPeriod bounds the age of rooms. Within it, fading slowness changes little.
const refreshPeriod = 100 * time.Millisecond

// room counts the own slots of a runner, or of all. A runner that is paused has no usable slots;
// one that was just busy has usable slots but no free ones.
type room struct {
	usable, free                         int
	usableLong, freeLong                 int
	busyShort, busyLong, busyShortOnLong int
}

func (room *room) freeIn(lane parser.Lane) int {
	if lane == parser.LaneLong {
		return room.freeLong
	}
	return room.free
}

func (room *room) add(other room, sign int) {
	room.usable += sign * other.usable
	room.free += sign * other.free
	room.usableLong += sign * other.usableLong
	room.freeLong += sign * other.freeLong
	room.busyShort += sign * other.busyShort
	room.busyLong += sign * other.busyLong
	room.busyShortOnLong += sign * other.busyShortOnLong
}

func (runner *runner) measure(now time.Time, typical float64) room {
	if !runner.open(now) {
		return room{}
	}
	allowed := runner.allowed(now, typical)
	short := runner.busy &^ runner.long
	measured := room{
		usable:          allowed,
		usableLong:      min((runner.owned & longSlots).count(), allowed),
		busyShort:       short.count(),
		busyLong:        runner.long.count(),
		busyShortOnLong: (short & longSlots).count(),
	}
	if now.Before(runner.coolUntil) {
		return measured
	}
	left := max(allowed-runner.busy.count(), 0)
	measured.free = min((runner.owned &^ runner.busy).count(), left)
	measured.freeLong = min((runner.owned &^ runner.busy & longSlots).count(), left)
	return measured
}

// refresh recounts all rooms when time may have changed them.
func (router *Router) refresh(now time.Time) {
	if now.Before(router.staleAt) {
		return
	}
	router.total = room{}
	router.staleAt = now.Add(refreshPeriod)
	for _, runner := range router.runners {
		runner.room = room{}
		router.update(now, runner)
	}
}

// update recounts the room of one runner.
func (router *Router) update(now time.Time, runner *runner) {
	if router.byID[runner.ID] != runner {
		// Another process took the address of this one, whose slots count no more.
		return
	}
	router.total.add(runner.room, -1)
	runner.room = runner.measure(now, router.typical)
	router.total.add(runner.room, 1)
	for _, change := range []time.Time{runner.pausedUntil, runner.leavingUntil, runner.coolUntil} {
		if change.After(now) && change.Before(router.staleAt) {
			router.staleAt = change
		}
	}
}
