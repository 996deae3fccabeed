package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// rack is what the workers of a rack could take of a gang.
type rack struct {
	name string
	// free counts the tasks that find room now, possible those that would if the rack were empty. Workers of
	// which the advice service was not asked yet count as allowed.
	free     int
	possible int
}

// racks returns the racks that could hold all tasks of step, the one with the most room first.
func (planner *Planner) racks(step *step) []rack {
	byName := map[string]*rack{}
	for _, worker := range planner.roomiest {
		allowed, known := step.advice.allowed[worker.id]
		if known && !allowed || !worker.suits(step) {
			continue
		}
		name := worker.description.Rack
		if byName[name] == nil {
			byName[name] = &rack{
				name: name,
			}
		}
		byName[name].free += step.slots(worker.free())
		byName[name].possible += step.slots(worker.description.Capacity)
	}
	var racks []rack
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if byName[name].possible >= step.Count {
			racks = append(racks, *byName[name])
		}
	}
	slices.SortStableFunc(racks, func(left, right rack) int {
		return cmp.Compare(right.free, left.free)
	})
	return racks
}

// slots is the number of tasks of step that fit into resources of one worker.
func (step *step) slots(resources descriptor.Resources) int {
	needs := step.Occupied()
	count := step.Count
	if step.MostPerWorker > 0 {
		count = min(count, step.MostPerWorker)
	}
	taken := 0
	for taken < count && fits(needs, resources) {
		resources = resources.Sub(needs)
		taken++
	}
	return taken
}

// findPlaces returns a place for each task of a gang, or nil. A gang that works at full speed on one rack only
// waits for a rack while it can meet its objective there, and is spread over racks if none could hold it or
// it is late.
func (planner *Planner) findPlaces(now time.Time, step *step) []place {
	if !step.OneRack {
		return planner.gather(now, step, "")
	}
	racks := planner.racks(step)
	for _, rack := range racks {
		if rack.free < step.Count {
			break
		}
		if places := planner.gather(now, step, rack.name); places != nil {
			return places
		}
	}
	if len(racks) > 0 && now.Before(planner.latestStart(step)) {
		return nil
	}
	return planner.gather(now, step, "")
}

// byRack returns the workers that may be given work, those of the best racks for step first.
func (planner *Planner) byRack(step *step) []*worker {
	if !step.OneRack {
		return planner.roomiest
	}
	ranks := map[string]int{}
	racks := planner.racks(step)
	for index, rack := range racks {
		ranks[rack.name] = index - len(racks)
	}
	workers := slices.Clone(planner.roomiest)
	slices.SortStableFunc(workers, func(left, right *worker) int {
		return ranks[left.description.Rack] - ranks[right.description.Rack]
	})
	return workers
}
