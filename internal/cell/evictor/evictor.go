// Package evictor chooses the runs to stop on a worker so that a task fits that may not wait: the set that loses the
// least work.
package evictor

import (
	"cmp"
	"slices"

	"pomelomoor/internal/work/descriptor"
)

// Run is a run that may be stopped.
type Run struct {
	// Needs are the resources that the run occupies.
	Needs descriptor.Resources
	// Lost is the work that a stop throws away, in core-seconds.
	Lost float64
}

// Choose returns the indices of the runs to stop, so that needs fit into free and the resources of these runs, and the
// work that is lost. It returns false if needs do not fit even without all runs.
func Choose(needs, free descriptor.Resources, runs []Run) (chosen []int, lost float64, possible bool) {
	order := make([]int, len(runs))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(left, right int) int {
		return cmp.Compare(runs[left].Lost, runs[right].Lost)
	})
	for _, index := range order {
		if fits(needs, free) {
			break
		}
		free = free.Add(runs[index].Needs)
		chosen = append(chosen, index)
	}
	if !fits(needs, free) {
		return nil, 0, false
	}
	// A run that was chosen later may have made an earlier one needless; the most expensive are spared first.
	kept := chosen[:0:0]
	for position := len(chosen) - 1; position >= 0; position-- {
		index := chosen[position]
		without := free.Sub(runs[index].Needs)
		if fits(needs, without) {
			free = without
			continue
		}
		kept = append(kept, index)
		lost += runs[index].Lost
	}
	slices.Sort(kept)
	return kept, lost, true
}

func fits(needs, free descriptor.Resources) bool {
	return needs.MilliCPU <= free.MilliCPU && needs.MemoryBytes <= free.MemoryBytes && needs.Accelerators <= free.Accelerators
}
