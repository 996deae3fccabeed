package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// rackCheckInterval is how often a waiting gang is checked for a rack that could hold it, which takes a look at all
// workers.
const rackCheckInterval = 250 * time.Millisecond

// rack is the capacity of a rack's workers for the tasks of a gang.
type rack struct {
	name string
	// freeSlots counts the tasks that fit now, totalSlots those that would fit if the rack were empty. Workers
	// without advice yet count as allowed.
	freeSlots  int
	totalSlots int
}

// racks returns the racks that could hold all tasks of step, the one with the most free slots first.
func (scheduler *Scheduler) racks(step *step) []rack {
	byName := map[string]*rack{}
	scheduler.stats.Examined += int64(len(scheduler.ranked))
	for _, worker := range scheduler.ranked {
		allowed, known := step.advice.allowed[worker.id]
		if known && !allowed || !worker.canRun(step) {
			continue
		}
		name := worker.description.Rack
		if byName[name] == nil {
			byName[name] = &rack{
				name: name,
			}
		}
		byName[name].freeSlots += step.slots(worker.free())
		byName[name].totalSlots += step.slots(worker.description.Capacity)
	}
	var racks []rack
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if byName[name].totalSlots >= step.Count {
			racks = append(racks, *byName[name])
		}
	}
	slices.SortStableFunc(racks, func(left, right rack) int {
		return cmp.Compare(right.freeSlots, left.freeSlots)
	})
	return racks
}

// findPlacements returns a placement for each task of a gang, or nil. A gang that needs one rack for full speed waits
// for one while it can still meet its objective. It is spread over several racks if none could hold it or if it is
// late.
func (scheduler *Scheduler) findPlacements(now time.Time, step *step) []placement {
	if !step.OneRack {
		return scheduler.placeTasks(now, step, "")
	}
	if step.uniform() {
		if placements, enough := scheduler.placeOnOneRack(now, step); enough {
			return placements
		}
	} else {
		for _, rack := range scheduler.racks(step) {
			if rack.freeSlots < step.Count {
				break
			}
			if placements := scheduler.placeTasks(now, step, rack.name); placements != nil {
				return placements
			}
		}
	}
	if now.Before(scheduler.latestStart(step)) && scheduler.fitsOneRack(now, step) {
		return nil
	}
	return scheduler.placeTasks(now, step, "")
}

// placeOnOneRack places a gang on the rack with the most room for it. enough is false if no rack has enough.
func (scheduler *Scheduler) placeOnOneRack(now time.Time, step *step) (placements []placement, enough bool) {
	all := scheduler.candidates(now, step, "")
	if all.slots < step.Count {
		return nil, false
	}
	slots := map[string]int{}
	best := ""
	for index := range all.workers {
		name := all.workers[index].worker.description.Rack
		slots[name] += all.workers[index].slots
		if slots[name] > slots[best] || slots[name] == slots[best] && name < best {
			best = name
		}
	}
	if slots[best] < step.Count {
		return nil, false
	}
	return scheduler.placeTasks(now, step, best), true
}

// fitsOneRack reports whether a rack could hold all tasks of step if it were empty.
func (scheduler *Scheduler) fitsOneRack(now time.Time, step *step) bool {
	if now.Sub(step.rackCheckedAt) > rackCheckInterval {
		step.rackCheckedAt = now
		step.fitsOneRack = len(scheduler.racks(step)) > 0
	}
	return step.fitsOneRack
}

// rankedByRack returns the ranked workers, those on the best racks for step first.
func (scheduler *Scheduler) rankedByRack(step *step) []*worker {
	if !step.OneRack {
		return scheduler.ranked
	}
	ranks := map[string]int{}
	racks := scheduler.racks(step)
	for index, rack := range racks {
		ranks[rack.name] = index - len(racks)
	}
	workers := slices.Clone(scheduler.ranked)
	slices.SortStableFunc(workers, func(left, right *worker) int {
		return ranks[left.description.Rack] - ranks[right.description.Rack]
	})
	return workers
}
